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

from collections.abc import Iterable, Mapping
from dataclasses import replace
from random import Random

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.candidate_servers import CandidateServers
from verbenaworks.steering.cold_start_limiter import ColdStartLimiter
from verbenaworks.steering.overflow_budget import OverflowBudget
from verbenaworks.steering.overload_detector import OverloadDetector
from verbenaworks.steering.placement_result import (
    ChoiceReason,
    Placed,
    PlacementRefused,
    PlacementRequest,
    RefusalReason,
)
from verbenaworks.steering.region_demand import RegionDemand
from verbenaworks.steering.region_requests import RegionRequests
from verbenaworks.steering.region_splits import RegionSplits, Shares
from verbenaworks.steering.response_predictor import ResponsePredictor
from verbenaworks.steering.server_load import ServerLoad
from verbenaworks.steering.server_table import ServerTable
from verbenaworks.steering.service_times import TRACKED_RANKS, ServiceTimes
from verbenaworks.steering.wait_limits import WaitLimits

# The first servers of the rendezvous order, which are always compared.
PREFERRED_CANDIDATES = 3
# Rate used to convert body sizes into a cost for crossing failure domains. The
# links are faster, but the body takes bandwidth from other requests.
CROSS_DOMAIN_BYTES_PER_S = 150_000
# Cost of crossing regions besides the time that it takes: the links between
# them carry the requests of all instances.
CROSS_REGION_COST_S = 0.030
# Share of its slots up to which a server counts as having slots to spare.
MAX_SPARE_USE = 0.67
# Shortest pause after a refusal: the time in which a slot becomes free.
MIN_RETRY_AFTER_S = 0.15


class Placement:
    """Chooses backend servers for the requests of one instance.

    :param region: region of this instance.
    :param failure_domain: failure domain of this instance.
    """

    def __init__(
        self,
        *,
        region: str,
        failure_domain: str,
        table: ServerTable,
        times: ServiceTimes,
        cold_start_limiter: ColdStartLimiter,
        random: Random,
    ) -> None:
        self._region = region
        self._failure_domain = failure_domain
        self._table = table
        self._times = times
        self._cold_start_limiter = cold_start_limiter
        self._random = random
        self._predictor = ResponsePredictor(
            region=region, failure_domain=failure_domain, times=times
        )
        self._wait_limits = WaitLimits(times)
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
            splits=self._splits,
        )
        self._overflow = OverflowBudget()
        self._overloads: dict[str, OverloadDetector] = {}
        self._serving_since_s: float | None = None
        # Server incarnations that need no first request from this instance.
        self._introduced: set[tuple[str, int]] = set()
        # Table version at which all servers of a service were introduced.
        self._all_introduced_version: dict[str, int] = {}

    def load_of(self, server: BackendServer) -> ServerLoad:
        """Return the load and health of a server, as known here."""
        return self._predictor.load_of(server)

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
        if self._serving_since_s is None:
            self._serving_since_s = now_s
        if not request.tried_servers:
            self._overflow.record_request(now_s)
        regions = self._candidates.regions(now_s, request)
        chosen = self._introduce(
            now_s, request, regions, cold_requests_per_s
        ) or self._choose_region(now_s, request, regions, cold_requests_per_s)
        if isinstance(chosen, PlacementRefused):
            return chosen
        if self._table.cold_left_s(now_s, chosen.server.server_id) > 0:
            self._cold_start_limiter.record_request(
                now_s, chosen.server.server_id, cold_requests_per_s
            )
        return chosen

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
        """Choose a server that joined and got no request from here yet.

        Such a server may be the first choice of no affinity key; without a
        request, its load and health would stay unknown. Each instance that
        may use a cold server sends it one request, of those that run in the
        server's region anyway.
        """
        if (
            self._overload(request.service).is_sustained
            or request.tried_servers
            or not regions
        ):
            return None
        version = self._table.version
        if self._all_introduced_version.get(request.service) == version:
            return None
        is_one_left = False
        for server in self._table.usable(request.service):
            server_id = server.server_id
            key = (server_id, server.started_at_ms)
            if key in self._introduced:
                continue
            joined_at_s = self._table.joined_at_s(server_id)
            if joined_at_s <= (self._serving_since_s or now_s):
                # Existing servers get requests through the affinity keys.
                self._introduced.add(key)
                continue
            if not self._cold_start_limiter.is_sender(server_id):
                self._introduced.add(key)
                continue
            is_one_left = True
            if server.region != regions[0]:
                continue
            cold = self._table.cold_left_s(now_s, server_id) > 0
            if cold and not self._cold_start_limiter.allows(
                now_s, server_id, cold_requests_per_s
            ):
                continue
            self._introduced.add(key)
            rank = TRACKED_RANKS if request.affinity_key else None
            placed = self._predictor.predict(
                now_s, request, server, rank, cold=cold
            )
            return replace(placed, reason=ChoiceReason.JOINED)
        if not is_one_left:
            self._all_introduced_version[request.service] = version
        return None

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
        reason = RefusalReason.NO_SERVER
        best: Placed | None = None
        left = list(regions)
        while left and best is None:
            region = left.pop(0)
            best, reason = self._best_in(
                now_s, request, region, cold_requests_per_s
            )
        if best is None:
            best, reason = self._best_of(
                now_s,
                request,
                self._candidates.that_are_down(request),
                cold_requests_per_s,
            )
        if best is None:
            return PlacementRefused(
                reason=reason, retry_after_s=MIN_RETRY_AFTER_S
            )
        if best.server.region != regions[0] and self._is_busy(
            request, regions[0]
        ):
            if not self._overflow.allows_one:
                return PlacementRefused(
                    reason=RefusalReason.OVERLOADED,
                    retry_after_s=MIN_RETRY_AFTER_S,
                )
            self._overflow.record_overflow()
        is_late = best.wait_s > self._wait_limits.max_wait_s(request)
        if not request.tried_servers:
            self._overload(request.service).observe(now_s, is_late)
        refused = self._refuse(now_s, request, best)
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
    ) -> tuple[Placed | None, RefusalReason]:
        """Return a region's server with the least cost; none if it has none.

        The reason tells why there is none.
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
    ) -> tuple[Placed | None, RefusalReason]:
        best: Placed | None = None
        best_cost_s = 0.0
        reason = RefusalReason.NO_SERVER
        overload = self._overload(request.service)
        max_wait_s = self._wait_limits.max_wait_s(request)
        for number, (rank, server) in enumerate(candidates):
            if (
                number >= PREFERRED_CANDIDATES
                and best is not None
                and (best.wait_s <= max_wait_s or overload.is_sustained)
            ):
                # Servers further down the order would have to load the key's
                # data, which takes slots that cached keys need.
                break
            cold = self._table.cold_left_s(now_s, server.server_id) > 0
            if cold and not self._cold_start_limiter.allows(
                now_s, server.server_id, cold_requests_per_s
            ):
                reason = RefusalReason.COLD_START_LIMIT
                continue
            placed = self._predictor.predict(
                now_s, request, server, rank, cold=cold
            )
            cost_s = self._cost_s(request, placed)
            if best is None or cost_s < best_cost_s:
                best, best_cost_s = placed, cost_s
        return best, reason

    def _cost_s(self, request: PlacementRequest, placed: Placed) -> float:
        # The longer service time without cached data takes capacity from
        # other requests. It counts more if many requests are late.
        late_share = self._overload(request.service).late_share
        return (
            placed.predicted_s
            + late_share * placed.expected_s
            + self._crossing_cost_s(request, placed.server)
        )

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
        if other is None or self._refuse(now_s, request, other) is not None:
            return None
        if self._cost_s(request, other) >= self._cost_s(request, best):
            return None
        self._overflow.record_overflow()
        return replace(other, reason=ChoiceReason.OVERFLOW)

    def _refuse(
        self,
        now_s: float,
        request: PlacementRequest,
        best: Placed,
    ) -> PlacementRefused | None:
        """Return a refusal if not even the best server is good enough."""
        overload = self._overload(request.service)
        service_time_s = best.expected_s
        if not best.cached:
            # A server caches the key's data only if it finishes in time.
            service_time_s = self._times.uncached_s(
                request.route.name,
                request.service,
                request.route.latency_objective_s,
            )
        misses_deadline = (
            best.wait_s > 0
            and best.wait_s + service_time_s > request.time_left_s
        )
        is_excess = (
            overload.is_sustained
            and best.wait_s
            > self._wait_limits.strict_max_wait_s(request, best.server)
        )
        if not misses_deadline and not is_excess:
            return None
        over_s = best.wait_s - self._wait_limits.max_wait_s(request)
        return PlacementRefused(
            reason=RefusalReason.OVERLOADED,
            retry_after_s=max(MIN_RETRY_AFTER_S, over_s)
            * self._random.uniform(1.0, 2.0),
            predicted_s=best.predicted_s,
        )

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
        spare = self._spare_in(now_s, request, region)
        if spare is not None or not self._overflow.allows_one:
            return spare
        for other in regions:
            spare = self._spare_in(now_s, request, other)
            if spare is not None:
                self._overflow.record_overflow()
                return spare
        return None

    def _spare_in(
        self, now_s: float, request: PlacementRequest, region: str
    ) -> Placed | None:
        candidates = self._candidates.in_region(now_s, request, region)
        for rank, server in candidates:
            load = self.load_of(server).load(now_s)
            if load + 1 > MAX_SPARE_USE * server.slots:
                continue
            if self._table.cold_left_s(now_s, server.server_id) > 0:
                continue
            placed = self._predictor.predict(
                now_s, request, server, rank, cold=False
            )
            if placed.predicted_s <= request.time_left_s:
                # The first one in the order, so that the requests that follow
                # find the data there.
                return replace(placed, reason=ChoiceReason.SPARE)
        return None

    def _overload(self, service: str) -> OverloadDetector:
        overload = self._overloads.get(service)
        if overload is None:
            overload = self._overloads[service] = OverloadDetector()
        return overload

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
    ) -> None:
        """Update the load, the health and the service times of a server.

        :param took_s: time from the start of the request to the response.
        """
        self._predictor.record_response(now_s, request, placed, took_s)

    def in_flight(self) -> dict[str, int]:
        """Return the local requests in flight by server id, without zeros."""
        return {
            server_id: load.in_flight
            for server_id, load in self._predictor.loads.items()
            if load.in_flight > 0
        }

    def bound_requests(self) -> dict[str, int]:
        """Return those that may not run in every region, by server id."""
        return {
            server_id: load.bound
            for server_id, load in self._predictor.loads.items()
            if load.bound > 0
        }

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

    def forget_removed_servers(self, server_ids: Iterable[str]) -> None:
        """Delete the data about servers that no longer exist.

        :param server_ids: ids of all existing servers.
        """
        existing_ids = set(server_ids)
        for server_id, load in list(self._predictor.loads.items()):
            if server_id not in existing_ids and not load.in_flight:
                del self._predictor.loads[server_id]

    def _crossing_cost_s(
        self, request: PlacementRequest, server: BackendServer
    ) -> float:
        """Return the cost of sending the request to another domain."""
        if server.failure_domain == self._failure_domain:
            return 0.0
        cost_s = request.body_bytes / CROSS_DOMAIN_BYTES_PER_S
        if server.region != self._region:
            cost_s += CROSS_REGION_COST_S
        return cost_s
