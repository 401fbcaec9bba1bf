"""Choice of the backend server for a request, or its refusal.

Servers are compared by the predicted time to the response: network distance,
service time, waiting time for a slot, and penalties for recent slowness and
failures. A server that has the data of the request's affinity key cached
responds much faster. Requests with the same key therefore go to the first
server in the key's rendezvous order, and move to another server only if
waiting there would take longer than an uncached request elsewhere.

Links between failure domains are shared and paid for. Large bodies therefore
stay in the local failure domain while it has capacity: each domain has its own
order of servers for them, and the data of their keys is cached in each domain.
"""

from collections.abc import Iterable
from random import Random

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.cold_start_limiter import ColdStartLimiter
from verbenaworks.steering.overload_detector import OverloadDetector
from verbenaworks.steering.placement_result import (
    Placed,
    PlacementRefused,
    PlacementRequest,
    RefusalReason,
)
from verbenaworks.steering.rendezvous import rendezvous_order
from verbenaworks.steering.server_load import ServerLoad
from verbenaworks.steering.server_table import ServerTable
from verbenaworks.steering.service_times import TRACKED_RANKS, ServiceTimes

# The first servers of the rendezvous order, which are always compared.
PREFERRED_CANDIDATES = 3
# Servers of the order that are compared if the preferred ones are busy.
RANKED_CANDIDATES = 6
# Servers of the local failure domain that are compared for large bodies
# without an affinity key.
LOCAL_DOMAIN_CANDIDATES = 2
# Servers drawn at random in addition, so that free servers are found in a
# large service whose first choices are all busy.
RANDOM_CANDIDATES = 2
# Round trips to another failure domain and to another region. Only their order
# of magnitude matters in comparison with service times.
CROSS_DOMAIN_RTT_S = 0.003
CROSS_REGION_RTT_S = 0.030
# Rate used to convert body sizes into a cost for crossing failure domains. The
# links are faster, but the body takes bandwidth from other requests.
CROSS_DOMAIN_BYTES_PER_S = 150_000
# Bodies of at least this size use a separate server order in each domain.
LARGE_BODY_BYTES = 16_384
# Least slowdown that is assumed for a server in its cold start.
COLD_START_SLOWDOWN = 2.0
# Affinity keys whose data a server is assumed to keep cached.
CACHED_KEYS_PER_SERVER = 24
# Expected cost of a failed request, which must be retried, in service times.
FAILURE_COST_SERVICE_TIMES = 3.0
MAX_CACHED_ORDERS = 4096
# Wait that is always allowed, as a share of the latency objective.
MIN_WAIT_SHARE = 0.25
# Under sustained overload, the service time is assumed to be this many times
# the usual one, and a wait of the given share of the objective is allowed.
STRICT_SERVICE_TIME_FACTOR = 1.6
MIN_STRICT_WAIT_SHARE = 0.1
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
        self._loads: dict[str, ServerLoad] = {}
        self._orders: dict[tuple[str, str, bool], list[BackendServer]] = {}
        self._table_version = -1
        self._overloads: dict[str, OverloadDetector] = {}
        self._serving_since_s: float | None = None
        # Server incarnations that need no first request from this instance.
        self._introduced: set[tuple[str, int]] = set()
        # Table version at which all servers of a service were introduced.
        self._all_introduced_version: dict[str, int] = {}

    def load_of(self, server: BackendServer) -> ServerLoad:
        """Return the load and health of a server, as known here."""
        load = self._loads.get(server.server_id)
        if load is None:
            load = self._loads[server.server_id] = ServerLoad(
                slots=server.slots
            )
        return load

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
        introduction = self._introduce(now_s, request, cold_requests_per_s)
        best = introduction or self._best(now_s, request, cold_requests_per_s)
        if isinstance(best, PlacementRefused):
            return best
        refused = self._refuse(now_s, request, best)
        if refused is not None:
            return refused
        if self._table.cold_left_s(now_s, best.server.server_id) > 0:
            self._cold_start_limiter.record_request(
                now_s, best.server.server_id, cold_requests_per_s
            )
        return best

    def _introduce(
        self,
        now_s: float,
        request: PlacementRequest,
        cold_requests_per_s: float,
    ) -> Placed | None:
        """Choose a server that joined and got no request from here yet.

        Such a server may be the first choice of no affinity key; without a
        request, its load and health would stay unknown. Each instance that
        may use a cold server sends it one request.
        """
        if (
            self._overload(request.service).is_sustained
            or request.tried_servers
        ):
            return None
        version = self._table.version
        if self._all_introduced_version.get(request.service) == version:
            return None
        home_regions = request.home_regions
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
            if home_regions and server.region not in home_regions:
                continue
            cold = self._table.cold_left_s(now_s, server_id) > 0
            if cold and not self._cold_start_limiter.allows(
                now_s, server_id, cold_requests_per_s
            ):
                continue
            self._introduced.add(key)
            rank = TRACKED_RANKS if request.affinity_key else None
            return self._predict(now_s, request, server, rank, cold=cold)
        if not is_one_left:
            self._all_introduced_version[request.service] = version
        return None

    def _best(
        self,
        now_s: float,
        request: PlacementRequest,
        cold_requests_per_s: float,
    ) -> Placed | PlacementRefused:
        """Return the server with the least cost, or a refusal if none."""
        best: Placed | None = None
        best_cost_s = 0.0
        reason = RefusalReason.NO_SERVER
        overload = self._overload(request.service)
        max_wait_s = self._max_wait_s(request)
        candidates = self._candidates(now_s, request)
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
            placed = self._predict(now_s, request, server, rank, cold=cold)
            # The longer service time without cached data takes capacity from
            # other requests. It counts more if many requests are late.
            cost_s = (
                placed.predicted_s
                + overload.late_share * placed.expected_s
                + self._crossing_cost_s(request, server)
            )
            if best is None or cost_s < best_cost_s:
                best, best_cost_s = placed, cost_s
        if best is None:
            return PlacementRefused(
                reason=reason, retry_after_s=MIN_RETRY_AFTER_S
            )
        return best

    def _refuse(
        self,
        now_s: float,
        request: PlacementRequest,
        best: Placed,
    ) -> PlacementRefused | None:
        """Return a refusal if not even the best server is good enough."""
        overload = self._overload(request.service)
        max_wait_s = self._max_wait_s(request)
        late = best.wait_s > max_wait_s
        if not request.tried_servers:
            overload.observe(now_s, late)
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
            and best.wait_s > self._strict_max_wait_s(request)
        )
        if not misses_deadline and not is_excess:
            return None
        over_s = best.wait_s - max_wait_s
        return PlacementRefused(
            reason=RefusalReason.OVERLOADED,
            retry_after_s=max(MIN_RETRY_AFTER_S, over_s)
            * self._random.uniform(1.0, 2.0),
            predicted_s=best.predicted_s,
        )

    def _max_wait_s(self, request: PlacementRequest) -> float:
        """Return the longest wait that meets the latency objective.

        It does not depend on the expected service time of this request:
        otherwise requests without an affinity key, or on a new route, would
        be refused more often than others.
        """
        route = request.route
        cached_s = self._times.cached_s(
            route.name, request.service, route.latency_objective_s
        )
        return max(
            route.latency_objective_s - cached_s,
            MIN_WAIT_SHARE * route.latency_objective_s,
        )

    def _strict_max_wait_s(self, request: PlacementRequest) -> float:
        """Return a wait that meets the latency objective with a margin.

        Waits are estimates; under sustained overload they are too low as
        often as too high.
        """
        route = request.route
        cached_s = self._times.cached_s(
            route.name, request.service, route.latency_objective_s
        )
        return max(
            route.latency_objective_s - STRICT_SERVICE_TIME_FACTOR * cached_s,
            MIN_STRICT_WAIT_SHARE * route.latency_objective_s,
        )

    def _overload(self, service: str) -> OverloadDetector:
        overload = self._overloads.get(service)
        if overload is None:
            overload = self._overloads[service] = OverloadDetector()
        return overload

    def request_started(self, server: BackendServer) -> None:
        """Count a request that is sent to a server."""
        self.load_of(server).in_flight += 1

    def request_ended(self, server: BackendServer) -> None:
        """Stop counting a request that the server no longer works on."""
        self.load_of(server).in_flight -= 1

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
        load = self.load_of(placed.server)
        rtt_s = self._rtt_s(placed.server)
        at_server_s = max(0.001, took_s - rtt_s)
        load.record_success(now_s, took_s / max(0.001, placed.predicted_s))
        if request.affinity_key:
            load.record_cached_key(
                now_s, request.affinity_key, CACHED_KEYS_PER_SERVER
            )
        self._times.observe_mean(
            request.route.name,
            request.service,
            request.route.latency_objective_s,
            at_server_s - placed.wait_s,
        )
        if not placed.wait_s:
            self._times.observe(
                request.route.name,
                request.service,
                request.route.latency_objective_s,
                at_server_s,
                cached=placed.cached,
                rank=placed.rank,
            )

    def in_flight(self) -> dict[str, int]:
        """Return the local requests in flight by server id, without zeros."""
        return {
            server_id: load.in_flight
            for server_id, load in self._loads.items()
            if load.in_flight > 0
        }

    def reported_loads(self, newer_than_s: float) -> dict[str, int]:
        """Return the loads that servers have reported here since a time."""
        loads = {}
        for server_id, load in self._loads.items():
            reported = load.recent_reported_load(newer_than_s)
            if reported is not None:
                loads[server_id] = reported
        return loads

    def record_load_from_peer(
        self, now_s: float, server_id: str, reported: float
    ) -> None:
        """Record the load that a server reported to another instance."""
        load = self._loads.get(server_id)
        if load is not None:
            load.record_load_from_peer(now_s, reported)

    def set_peer_requests(
        self, now_s: float, by_server: dict[str, float]
    ) -> None:
        """Set the requests that other instances report to be in flight."""
        for server_id, load in self._loads.items():
            load.set_peer_requests(now_s, by_server.get(server_id, 0.0))

    def forget_removed_servers(self, server_ids: Iterable[str]) -> None:
        """Delete the data about servers that no longer exist.

        :param server_ids: ids of all existing servers.
        """
        existing_ids = set(server_ids)
        for server_id, load in list(self._loads.items()):
            if server_id not in existing_ids and not load.in_flight:
                del self._loads[server_id]

    def _predict(
        self,
        now_s: float,
        request: PlacementRequest,
        server: BackendServer,
        rank: int | None,
        *,
        cold: bool,
    ) -> Placed:
        load = self.load_of(server)
        route = request.route
        times = self._times
        key = (route.name, request.service, route.latency_objective_s)
        cached = rank is not None and load.has_cached(request.affinity_key)
        cached_share = 1.0 if cached else 0.0
        if rank is not None and not cached:
            cached_share = times.cached_share(*key, rank)
        expected_s = times.expected_s(*key, cached_share)
        slowdown = load.slowdown(now_s)
        if cold:
            slowdown = max(slowdown, COLD_START_SLOWDOWN)
        wait_s = slowdown * load.wait_s(now_s, times.mean_s(*key))
        failure_cost_s = (
            load.failure_share(now_s) * FAILURE_COST_SERVICE_TIMES * expected_s
        )
        return Placed(
            server=server,
            expected_s=expected_s,
            wait_s=wait_s,
            predicted_s=self._rtt_s(server)
            + slowdown * expected_s
            + wait_s
            + failure_cost_s,
            cached=cached,
            rank=rank,
            load=load.load(now_s),
        )

    def _crossing_cost_s(
        self, request: PlacementRequest, server: BackendServer
    ) -> float:
        """Return the cost of sending the body to another failure domain."""
        if server.failure_domain == self._failure_domain:
            return 0.0
        return request.body_bytes / CROSS_DOMAIN_BYTES_PER_S

    def _rtt_s(self, server: BackendServer) -> float:
        if server.failure_domain == self._failure_domain:
            return 0.0
        if server.region == self._region:
            return CROSS_DOMAIN_RTT_S
        return CROSS_REGION_RTT_S

    def _candidates(
        self, now_s: float, request: PlacementRequest
    ) -> list[tuple[int | None, BackendServer]]:
        """Return the servers to compare, each with its rank in the order.

        The rank is none if the request has no affinity key.
        """
        ordered = self._order(request)
        home_regions = request.home_regions
        if home_regions:
            ordered = [s for s in ordered if s.region in home_regions]
        usable = [
            s for s in ordered if s.server_id not in request.tried_servers
        ]
        up = [s for s in usable if not self.load_of(s).is_down(now_s)]
        # If all are down, they are tried anyway: a failed connection attempt
        # costs little, and the next one may succeed.
        usable = up or usable
        if not request.affinity_key:
            count = min(RANKED_CANDIDATES, len(usable))
            sampled = self._sample_local_domain(request, usable)
            sampled += self._random.sample(usable, count)
            return [(None, s) for s in sampled]
        candidates: list[tuple[int | None, BackendServer]] = []
        candidates += enumerate(usable[:RANKED_CANDIDATES])
        rest = usable[RANKED_CANDIDATES:]
        count = min(RANDOM_CANDIDATES, len(rest))
        for server in self._random.sample(rest, count):
            candidates.append((RANKED_CANDIDATES, server))
        return candidates

    def _sample_local_domain(
        self, request: PlacementRequest, usable: list[BackendServer]
    ) -> list[BackendServer]:
        """Return random servers of the local domain for a large body."""
        if request.body_bytes < LARGE_BODY_BYTES:
            return []
        local = [s for s in usable if s.failure_domain == self._failure_domain]
        return self._random.sample(
            local, min(len(local), LOCAL_DOMAIN_CANDIDATES)
        )

    def _order(self, request: PlacementRequest) -> list[BackendServer]:
        if self._table_version != self._table.version:
            self._table_version = self._table.version
            self._orders.clear()
        if not request.affinity_key:
            return list(self._table.usable(request.service))
        local_first = request.body_bytes >= LARGE_BODY_BYTES
        key = (request.service, request.affinity_key, local_first)
        order = self._orders.get(key)
        if order is None:
            if len(self._orders) >= MAX_CACHED_ORDERS:
                self._orders.clear()
            order = rendezvous_order(
                request.affinity_key, self._table.usable(request.service)
            )
            if local_first:
                order.sort(key=self._rtt_s)
            self._orders[key] = order
        return order
