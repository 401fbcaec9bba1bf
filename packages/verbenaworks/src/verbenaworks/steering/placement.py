"""Choice of the backend server for a request, or its refusal.

The shares of the regions determine in which region a request runs. There,
servers are compared by the predicted time to the response: network distance,
service time, waiting time for a slot, and penalties for recent slowness and
failures. A server that has the data of the request's object cached responds
much faster. Requests for an object therefore go to the first server of its
order, its home, and move to another server only if waiting there would take
longer than an uncached request elsewhere.

Only a few requests leave their region because it is busy. All of them may if
it has no server that can take them.
"""

import copy
from collections.abc import Iterable, Mapping
from dataclasses import replace
from random import Random

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.best_server import BestServer
from verbenaworks.steering.candidate_servers import CandidateServers
from verbenaworks.steering.cold_start_limiter import ColdStartLimiter
from verbenaworks.steering.decision_trace import DecisionTrace
from verbenaworks.steering.learned_capacities import LearnedCapacities
from verbenaworks.steering.overflow_budget import OverflowBudget
from verbenaworks.steering.overload_refusals import OverloadRefusals
from verbenaworks.steering.placement_cost import PlacementCost
from verbenaworks.steering.placement_result import (
    ChoiceReason,
    Placed,
    PlacementRefused,
    PlacementRequest,
    RefusalReason,
)
from verbenaworks.steering.rank_admission import RankAdmission
from verbenaworks.steering.region_demand import RegionDemand
from verbenaworks.steering.region_requests import RegionRequests
from verbenaworks.steering.region_splits import RegionSplits, Shares
from verbenaworks.steering.response_predictor import ResponsePredictor
from verbenaworks.steering.server_admission import (
    ServerAdmission,
    ServerRefusal,
)
from verbenaworks.steering.server_introductions import ServerIntroductions
from verbenaworks.steering.server_limits import ServerLimits
from verbenaworks.steering.server_load import ServerLoad
from verbenaworks.steering.server_pauses import ServerPauses
from verbenaworks.steering.server_table import ServerTable
from verbenaworks.steering.service_times import TRACKED_RANKS, ServiceTimes
from verbenaworks.steering.spare_servers import SpareServers

# The first servers of the rendezvous order, which are always compared.
PREFERRED_CANDIDATES = 3
# Refusals of a server that last longer than those of a cold start.
_LASTING_REASONS = (RefusalReason.SERVER_LIMIT, RefusalReason.SERVER_PAUSED)
_NO_SERVER = ServerRefusal(reason=RefusalReason.NO_SERVER)


class Placement:
    """Chooses backend servers for the requests of one instance.

    :param region: region of this instance.
    :param failure_domain: failure domain of this instance.
    :param learned_capacity: whether to use learned capacities.
    :param machine_speed: whether to use the speed that servers state.
    :ivar rank_admission: classes of requests in a shortage.
    :ivar capacities: learned capacities of the servers.
    """

    def __init__(
        self,
        *,
        region: str,
        failure_domain: str,
        table: ServerTable,
        times: ServiceTimes,
        cold_start_limiter: ColdStartLimiter,
        limits: ServerLimits,
        pauses: ServerPauses,
        random: Random,
        learned_capacity: bool = True,
        machine_speed: bool = True,
        rank_admission: RankAdmission | None = None,
    ) -> None:
        self.rank_admission = rank_admission or RankAdmission()
        self._table = table
        self.capacities = LearnedCapacities(
            region=region, is_enabled=learned_capacity
        )
        self._predictor = ResponsePredictor(
            region=region,
            failure_domain=failure_domain,
            times=times,
            is_restricted=self._is_restricted,
            capacities=self.capacities,
            machine_speed=machine_speed,
        )
        self._limits = limits
        self._pauses = pauses
        self._refusals = OverloadRefusals(
            times=times,
            random=random,
            rank_admission=self.rank_admission,
            slots_of=self._slots_of,
        )
        self._costs = PlacementCost(
            region=region,
            failure_domain=failure_domain,
            late_share=self._late_share,
        )
        self._splits = RegionSplits(region)
        self._candidates = CandidateServers(
            failure_domain=failure_domain,
            table=table,
            load_of=self.load_of,
            shares_of=self._shares,
            random=random,
        )
        self._demand = RegionDemand(
            region=region,
            table=table,
            times=times,
            predictor=self._predictor,
            recent_objects=self._candidates.count_recent_objects,
            limits=limits,
            splits=self._splits,
        )
        self._admission = ServerAdmission(
            table=table,
            predictor=self._predictor,
            cold_start_limiter=cold_start_limiter,
            limits=limits,
            pauses=pauses,
        )
        self._introductions = ServerIntroductions(
            table=table,
            admission=self._admission,
            cold_start_limiter=cold_start_limiter,
            limits=limits,
        )
        self._spare = SpareServers(
            candidates=self._candidates,
            admission=self._admission,
            predictor=self._predictor,
        )
        self._overflow = OverflowBudget()
        self._trace = DecisionTrace()

    def load_of(self, server: BackendServer) -> ServerLoad:
        """Return the load and health of a server, as known here."""
        return self._predictor.load_of(server)

    def trial(self, trace: DecisionTrace) -> "Placement":
        """Return a traced copy to decide with; it counts nothing here."""
        trial = copy.deepcopy(self)
        trial._trace = trace
        return trial

    def levels(
        self, now_s: float, request: PlacementRequest, best: Placed
    ) -> dict[str, object]:
        """Return the limits in force for a request, for an explanation."""
        return self._refusals.levels(now_s, request, best) | {
            "may_leave_region": self._overflow.allows_one
        }

    def choose(
        self,
        now_s: float,
        request: PlacementRequest,
        cold_requests_per_s: float,
    ) -> Placed | PlacementRefused:
        """Choose a server for a request, or refuse the request.

        :param cold_requests_per_s: requests per second that a server can
            handle during its cold start.
        """
        self._introductions.record_request(now_s)
        is_new = not request.tried_servers
        if is_new:
            self._overflow.record_request(now_s)
            request = self._refusals.classified(now_s, request)
        regions = self._candidates.regions(now_s, request)
        chosen = self._introduce(
            now_s, request, regions, cold_requests_per_s
        ) or self._choose_region(now_s, request, regions, cold_requests_per_s)
        if isinstance(chosen, Placed):
            self._admission.record_request(
                now_s, chosen.server, cold_requests_per_s
            )
        if is_new:
            self._refusals.record_outcome(now_s, request, chosen)
        return chosen

    def refuse_service(
        self, now_s: float, service: str, cold_requests_per_s: float
    ) -> PlacementRefused:
        """Return a refusal that names when a server takes requests again."""
        refusals = [
            self._admission.refusal(now_s, server, cold_requests_per_s)
            for server in self._table.usable(service)
        ]
        first = _NO_SERVER
        if None not in refusals:
            for refusal in filter(None, refusals):
                first = first.sooner(refusal)
        return self._refusals.no_server(first)

    def _is_restricted(self, now_s: float, server: BackendServer) -> bool:
        """Whether a server takes fewer requests than its slots allow."""
        return (
            self._limits.limit_per_s(now_s, server) is not None
            or self._pauses.left_s(now_s, server) > 0
        )

    def _slots_of(self, service: str) -> int:
        """Return the slots of a service's servers, which are mostly alike."""
        servers = self._table.usable(service)
        return servers[0].slots if servers else 0

    def _late_share(self, service: str) -> float:
        return self._refusals.overload(service).late_share

    def _shares(self, now_s: float, service: str) -> Mapping[str, float]:
        """Return the share of a service's requests by region."""
        shares = self._splits.shares(service)
        if not shares:
            # No instance has reported yet.
            self._demand.update(now_s, {}, is_complete=False)
            shares = self._splits.shares(service)
        return shares

    def _introduce(
        self,
        now_s: float,
        request: PlacementRequest,
        regions: list[str],
        cold_requests_per_s: float,
    ) -> Placed | None:
        """Choose a server that needs a request, none if there is none."""
        if request.tried_servers or not regions:
            return None
        server = self._introductions.choose(
            now_s,
            request.service,
            regions[0],
            cold_requests_per_s,
            is_overloaded=self._refusals.overload(
                request.service
            ).is_sustained,
        )
        if server is None:
            return None
        rank = TRACKED_RANKS if request.affinity_key else None
        placed = self._predict(now_s, request, server, rank)
        return replace(placed, reason=ChoiceReason.JOINED)

    def _choose_region(
        self,
        now_s: float,
        request: PlacementRequest,
        regions: list[str],
        cold_requests_per_s: float,
    ) -> Placed | PlacementRefused:
        """Choose a server in the first region that can take the request.

        If it would be late there, it may run in another region within the
        overflow budget.
        """
        refusal = _NO_SERVER
        best: Placed | None = None
        left = list(regions)
        while left and best is None:
            region = left.pop(0)
            best, reason = self._best_in(
                now_s, request, region, cold_requests_per_s
            )
            refusal = refusal.sooner(reason)
        if best is None:
            best, reason = self._best_of(
                now_s,
                request,
                self._candidates.that_are_down(request),
                cold_requests_per_s,
            )
            refusal = refusal.sooner(reason)
        if best is None:
            return self._refusals.no_server(refusal)
        if best.server.region != regions[0] and self._is_busy(
            request, regions[0]
        ):
            if not self._overflow.allows_one:
                return self._refusals.no_server(
                    ServerRefusal(reason=RefusalReason.OVERLOADED)
                )
            self._overflow.record_overflow()
        is_late = self._refusals.is_late(request, best)
        if not request.tried_servers:
            self._refusals.overload(request.service).observe(now_s, is_late)
        refused = self._refusals.refuse(request, best)
        if not is_late and refused is None:
            return best
        other = self._overflow_server(
            now_s, request, left, best, cold_requests_per_s
        )
        if other is not None:
            return other
        if refused is None:
            return best
        return self._spare_server(now_s, request, best, left) or refused

    def _is_busy(self, request: PlacementRequest, region: str) -> bool:
        """Whether a server of the region was too busy for the request."""
        servers = self._table.usable_by_region(request.service)
        return any(
            server.server_id in request.full_servers
            for server in servers.get(region, ())
        )

    def _best_in(
        self,
        now_s: float,
        request: PlacementRequest,
        region: str,
        cold_requests_per_s: float,
    ) -> tuple[Placed | None, ServerRefusal]:
        """Return a region's server with the least cost; none if it has none.

        The refusal tells why there is none.
        """
        return self._best_of(
            now_s,
            request,
            self._candidates.in_region(now_s, request, region),
            cold_requests_per_s,
        )

    def _best_of(
        self,
        now_s: float,
        request: PlacementRequest,
        candidates: Iterable[tuple[int | None, BackendServer]],
        cold_requests_per_s: float,
    ) -> tuple[Placed | None, ServerRefusal]:
        compared = BestServer(self._costs, request)
        restricted_home: BackendServer | None = None
        first_refusal = _NO_SERVER
        overload = self._refusals.overload(request.service)
        for number, (rank, server) in enumerate(candidates):
            if (
                number >= PREFERRED_CANDIDATES
                and compared.usual is not None
                and (
                    overload.is_sustained
                    or not self._refusals.is_late(request, compared.usual)
                )
            ):
                # Servers further down the order would have to load the key's
                # data, which takes slots that cached keys need.
                break
            refusal = self._admission.refusal(
                now_s, server, cold_requests_per_s
            )
            if refusal is not None:
                self._trace.record_excluded(server, refusal)
                first_refusal = first_refusal.sooner(refusal)
                if rank == 0 and refusal.reason in _LASTING_REASONS:
                    restricted_home = server
                continue
            placed = self._predict(now_s, request, server, rank)
            self._trace.record_compared(placed, compared.add(placed))
        best = compared.chosen
        if best is not None and restricted_home is not None:
            best = replace(best, restricted_home=restricted_home)
        return best, first_refusal

    def _overflow_server(
        self,
        now_s: float,
        request: PlacementRequest,
        regions: list[str],
        best: Placed,
        cold_requests_per_s: float,
    ) -> Placed | None:
        """Return a better server in another region, if the budget allows.

        :param best: the best server in the request's own region.
        """
        if not regions or not self._overflow.allows_one:
            return None
        other, _ = self._best_in(
            now_s, request, regions[0], cold_requests_per_s
        )
        if other is None or self._refusals.refuse(request, other) is not None:
            return None
        if self._costs.cost_s(request, other) >= self._costs.cost_s(
            request, best
        ):
            return None
        self._overflow.record_overflow()
        return replace(other, reason=ChoiceReason.OVERFLOW)

    def _spare_server(
        self,
        now_s: float,
        request: PlacementRequest,
        best: Placed,
        regions: list[str],
    ) -> Placed | None:
        """Return a server that has slots to spare, none if there is none.

        The preferred servers of an object may be busy while others are idle.
        There the response is late, but the data is cached for the next one.
        """
        region = best.server.region
        spare = self._spare.choose(now_s, request, region)
        if spare is not None or not self._overflow.allows_one:
            return spare
        for other in regions:
            spare = self._spare.choose(now_s, request, other)
            if spare is not None:
                self._overflow.record_overflow()
                return spare
        return None

    def _predict(
        self,
        now_s: float,
        request: PlacementRequest,
        server: BackendServer,
        rank: int | None,
    ) -> Placed:
        return self._predictor.predict(
            now_s,
            request,
            server,
            rank,
            cold=self._admission.is_cold(now_s, server),
        )

    def request_started(
        self, server: BackendServer, *, is_bound: bool = False
    ) -> None:
        """Count a request that is sent to a server.

        :param is_bound: whether it may not run in every region.
        """
        load = self.load_of(server)
        load.in_flight += 1
        load.bound += is_bound

    def request_ended(
        self, server: BackendServer, *, is_bound: bool = False
    ) -> None:
        """Stop counting a request that the server no longer works on."""
        load = self.load_of(server)
        load.in_flight -= 1
        load.bound -= is_bound

    def record_response(
        self,
        now_s: float,
        request: PlacementRequest,
        placed: Placed,
        took_s: float,
        work_factor: float = 1.0,
    ) -> None:
        """Update the load, the health and the service times of a server.

        :param took_s: time from the start of the request to the response.
        :param work_factor: how much longer than usual work takes on the
            machine, as stated in the response.
        """
        self._predictor.record_response(
            now_s, request, placed, took_s, work_factor
        )

    def in_flight(self) -> dict[str, int]:
        """Return the local requests in flight by server id, without zeros."""
        return self._predictor.in_flight()

    def bound_requests(self) -> dict[str, int]:
        """Return those that may not run in every region, by server id."""
        return self._predictor.bound_requests()

    def set_peer_requests(
        self, now_s: float, by_server: Mapping[str, float]
    ) -> None:
        """Set the requests that other instances report to be in flight."""
        for server_id, load in self._predictor.loads.items():
            load.set_peer_requests(now_s, by_server.get(server_id, 0.0))

    def set_region_requests(
        self,
        now_s: float,
        by_region: Mapping[str, RegionRequests],
        *,
        is_complete: bool = True,
    ) -> None:
        """Set the requests in flight that the instances of regions have sent.

        :param by_region: requests by region of the sender, those of this
            instance included.
        :param is_complete: whether nearly all instances have reported.
        """
        self._demand.update(now_s, by_region, is_complete=is_complete)

    def set_bound_parts(self, parts: Mapping[str, float]) -> None:
        """Set what part of all requests is bound to each region."""
        self._splits.set_bound_parts(parts)

    def set_peer_shares(self, peers: Iterable[Shares]) -> None:
        """Set the shares that the region's other instances use."""
        self._splits.set_peers(peers)

    def region_shares(self) -> Shares:
        """Return the shares of each service's requests by region.

        Shares that are only guessed are left out.
        """
        return self._splits.settled_shares

    def forget_removed_servers(self) -> None:
        """Delete the data about servers that no longer exist."""
        self._predictor.forget_removed(set(self._table.server_ids))
        self.capacities.forget_removed(self._table.servers)
