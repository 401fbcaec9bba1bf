"""Whether a backend server may get one more request."""

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.cold_start_limiter import ColdStartLimiter
from verbenaworks.steering.placement_result import RefusalReason
from verbenaworks.steering.response_predictor import ResponsePredictor
from verbenaworks.steering.server_limits import ServerLimits
from verbenaworks.steering.server_table import ServerTable


class ServerAdmission:
    """Applies all limits of servers, for every choice of a server.

    :param limits: limits that servers name.
    """

    def __init__(
        self,
        *,
        table: ServerTable,
        predictor: ResponsePredictor,
        cold_start_limiter: ColdStartLimiter,
        limits: ServerLimits,
    ) -> None:
        self._table = table
        self._predictor = predictor
        self._cold_start_limiter = cold_start_limiter
        self._limits = limits

    def is_cold(self, now_s: float, server: BackendServer) -> bool:
        """Whether a server is in its cold start."""
        return self._table.cold_left_s(now_s, server.server_id) > 0

    def refusal(
        self, now_s: float, server: BackendServer, cold_requests_per_s: float
    ) -> RefusalReason | None:
        """Return why a server may get no request now; none if it may.

        :param cold_requests_per_s: requests per second that a server can
            handle during its cold start.
        """
        in_flight = self._predictor.load_of(server).in_flight
        if not self._limits.allows(now_s, server, in_flight):
            return RefusalReason.SERVER_LIMIT
        if self.is_cold(now_s, server) and not self._cold_start_limiter.allows(
            now_s, server, cold_requests_per_s
        ):
            return RefusalReason.COLD_START_LIMIT
        return None

    def record_request(
        self, now_s: float, server: BackendServer, cold_requests_per_s: float
    ) -> None:
        """Count a request that is sent to a server."""
        self._limits.record_request(now_s, server)
        if self.is_cold(now_s, server):
            self._cold_start_limiter.record_request(
                now_s, server, cold_requests_per_s
            )
