"""Servers with slots to spare, for requests that would be refused."""

from dataclasses import replace

from verbenaworks.steering.candidate_servers import CandidateServers
from verbenaworks.steering.placement_result import (
    ChoiceReason,
    Placed,
    PlacementRequest,
)
from verbenaworks.steering.response_predictor import ResponsePredictor
from verbenaworks.steering.server_admission import ServerAdmission

# Share of its slots up to which a server counts as having slots to spare.
MAX_SPARE_USE = 0.67


class SpareServers:
    """Finds a server that is idle although an object's preferred ones are not.

    :param admission: what restricts servers.
    """

    def __init__(
        self,
        *,
        candidates: CandidateServers,
        admission: ServerAdmission,
        predictor: ResponsePredictor,
    ) -> None:
        self._candidates = candidates
        self._admission = admission
        self._predictor = predictor

    def choose(
        self, now_s: float, request: PlacementRequest, region: str
    ) -> Placed | None:
        """Return a server of a region; none if none has slots to spare."""
        for rank, server in self._candidates.in_region(now_s, request, region):
            load = self._predictor.load_of(server).load(now_s)
            if load + 1 > MAX_SPARE_USE * server.slots:
                continue
            if self._admission.is_cold(
                now_s, server
            ) or self._admission.refusal(now_s, server, 0.0):
                continue
            placed = self._predictor.predict(
                now_s, request, server, rank, cold=False
            )
            if placed.predicted_s <= request.time_left_s:
                # The first one in the order, so that the requests that follow
                # find the data there.
                return replace(placed, reason=ChoiceReason.SPARE)
        return None
