"""Chooses the backend server for a request, or refuses it.

Servers are compared by the predicted time to the answer: distance, work,
waiting for a slot, and what the server's recent slowness and failures add. A
server that knows the request's object works much less, so requests for one
object meet at the first server in its rendezvous order and leave it only
where waiting there costs more than an unknown object elsewhere.

Links between failure domains are shared and paid for. Large bodies therefore
stay in the failure domain where there is room: each domain has an order of its
own servers for them, and their objects become known in each.
"""

from collections.abc import Iterable
from random import Random

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.cold_start_limiter import ColdStartLimiter
from verbenaworks.steering.placement_result import (
    Placed,
    PlacementRefused,
    PlacementRequest,
    RefusalReason,
)
from verbenaworks.steering.pressure import Pressure
from verbenaworks.steering.rendezvous import rendezvous_order
from verbenaworks.steering.server_load import ServerLoad
from verbenaworks.steering.server_table import ServerTable
from verbenaworks.steering.service_times import PLACES, ServiceTimes

# Servers of an object's order that are always compared.
PREFERRED_CANDIDATES = 3
# Servers of the order that are compared while those are busy.
ORDERED_CANDIDATES = 6
# Servers of the own failure domain that are compared for large bodies without
# an object.
NEAR_CANDIDATES = 2
# Servers drawn at random beside them, so that free ones are found in a large
# service whose first choices are all busy.
RANDOM_CANDIDATES = 2
# Round trips to another failure domain and another region, in seconds; only
# their order of magnitude matters beside service times.
DOMAIN_RTT_S = 0.003
REGION_RTT_S = 0.030
# Rate at which bodies are reckoned to cross links between failure domains.
# The links are faster, but what crosses them takes room from others.
CROSSING_BYTES_PER_S = 150_000
# Bodies from this size on have an order of servers in each failure domain.
LARGE_BODY_BYTES = 16_384
# A server that has just started works about this many times as long.
COLD_SLOWNESS = 2.0
# Objects that a server is assumed to remember.
KEPT_OBJECTS = 24
# A failing server costs a repeat; this many service times a failure.
FAILURE_COST = 3.0
MAX_ORDERS = 4096
# Least wait that is accepted under lasting pressure, in latency objectives.
MIN_SPARE_SHARE = 0.25
# Under lasting pressure a request is expected to take this many times the
# usual work, and may wait at least this share of the objective.
CAUTION = 1.6
STRICT_SPARE_SHARE = 0.1
# Shortest pause after a refusal: the time in which a slot becomes free.
RETRY_AFTER_S = 0.15


class Placement:
    """Chooses servers for one instance.

    :param region: region of this instance.
    :param failure_domain: its failure domain.
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
        self._colds = cold_start_limiter
        self._random = random
        self._loads: dict[str, ServerLoad] = {}
        self._orders: dict[tuple[str, str, bool], list[BackendServer]] = {}
        self._generation = -1
        self._pressures: dict[str, Pressure] = {}
        self._serving_since_s: float | None = None
        self._introduced: set[tuple[str, int]] = set()
        # Generation of the table at which no server of a service was left.
        self._all_introduced: dict[str, int] = {}

    def load_of(self, server: BackendServer) -> ServerLoad:
        """Return what is known about a server."""
        load = self._loads.get(server.server_id)
        if load is None:
            load = self._loads[server.server_id] = ServerLoad(
                slots=server.slots
            )
        return load

    def choose(
        self, now_s: float, request: PlacementRequest, cold_per_s: float
    ) -> Placed | PlacementRefused:
        """Return a server, or why there is none.

        :param cold_per_s: requests per second that a cold server bears.
        """
        if self._serving_since_s is None:
            self._serving_since_s = now_s
        introduction = self._introduction(now_s, request, cold_per_s)
        best = introduction or self._best(now_s, request, cold_per_s)
        if isinstance(best, PlacementRefused):
            return best
        rejected = self._reject(now_s, request, best)
        if rejected is not None:
            return rejected
        if self._table.cold_left_s(now_s, best.server.server_id) > 0:
            self._colds.take(now_s, best.server.server_id, cold_per_s)
        return best

    def _introduction(
        self, now_s: float, request: PlacementRequest, cold_per_s: float
    ) -> Placed | None:
        """Return a server that has joined and had no request from here.

        No object may have it as its first choice, and nobody would know how
        it does. The instances that may use a cold server send it one request
        each.
        """
        if self._pressure(request.service).lasting or request.tried_servers:
            return None
        generation = self._table.generation
        if self._all_introduced.get(request.service) == generation:
            return None
        homes = request.home_regions
        is_one_left = False
        for server in self._table.usable(request.service):
            server_id = server.server_id
            key = (server_id, server.started_at_ms)
            if key in self._introduced:
                continue
            joined_at_s = self._table.joined_at_s(server_id)
            if joined_at_s <= (self._serving_since_s or now_s):
                # Servers that were there before are found by their objects.
                self._introduced.add(key)
                continue
            if not self._colds.is_sender(server_id):
                self._introduced.add(key)
                continue
            is_one_left = True
            if homes and server.region not in homes:
                continue
            cold = self._table.cold_left_s(now_s, server_id) > 0
            if cold and not self._colds.has(now_s, server_id, cold_per_s):
                continue
            self._introduced.add(key)
            place = PLACES if request.affinity_key else None
            return self._predict(now_s, request, server, place, cold=cold)
        if not is_one_left:
            self._all_introduced[request.service] = generation
        return None

    def _best(
        self, now_s: float, request: PlacementRequest, cold_per_s: float
    ) -> Placed | PlacementRefused:
        """Return the server with the least cost, or that there is none."""
        best: Placed | None = None
        best_cost_s = 0.0
        reason = RefusalReason.NO_SERVER
        pressure = self._pressure(request.service)
        spare_s = self._spare_s(request)
        candidates = self._candidates(now_s, request)
        for number, (place, server) in enumerate(candidates):
            if (
                number >= PREFERRED_CANDIDATES
                and best is not None
                and (best.wait_s <= spare_s or pressure.lasting)
            ):
                # Servers further down would have to learn the object, which
                # takes slots that known objects need.
                break
            cold = self._table.cold_left_s(now_s, server.server_id) > 0
            if cold and not self._colds.has(
                now_s, server.server_id, cold_per_s
            ):
                reason = RefusalReason.COLD_START_LIMIT
                continue
            placed = self._predict(now_s, request, server, place, cold=cold)
            # Work that a server which knows the object would be spared is
            # taken from other requests.
            cost_s = (
                placed.predicted_s
                + pressure.late_share * placed.expected_s
                + self._crossing_s(request, server)
            )
            if best is None or cost_s < best_cost_s:
                best, best_cost_s = placed, cost_s
        if best is None:
            return PlacementRefused(reason=reason, retry_after_s=RETRY_AFTER_S)
        return best

    def _reject(
        self,
        now_s: float,
        request: PlacementRequest,
        best: Placed,
    ) -> PlacementRefused | None:
        """Return why not even the best server can serve the request."""
        pressure = self._pressure(request.service)
        spare_s = self._spare_s(request)
        late = best.wait_s > spare_s
        if not request.tried_servers:
            pressure.observe(now_s, late)
        work_s = best.expected_s
        if not best.cached:
            # A server learns an object only if it finishes in time.
            work_s = self._times.unknown_s(
                request.route.name,
                request.service,
                request.route.latency_objective_s,
            )
        hopeless = (
            best.wait_s > 0 and best.wait_s + work_s > request.time_left_s
        )
        excess = pressure.lasting and best.wait_s > self._strict_spare_s(
            request
        )
        if not hopeless and not excess:
            return None
        over_s = best.wait_s - spare_s
        return PlacementRefused(
            reason=RefusalReason.OVERLOADED,
            retry_after_s=max(RETRY_AFTER_S, over_s)
            * self._random.uniform(1.0, 2.0),
            predicted_s=best.predicted_s,
        )

    def _spare_s(self, request: PlacementRequest) -> float:
        """Return the longest wait that keeps the objective.

        Requests are judged by the wait alone: those without an object, or on
        a new route, would else be refused more often than the others.
        """
        route = request.route
        warm_s = self._times.warm_s(
            route.name, request.service, route.latency_objective_s
        )
        return max(
            route.latency_objective_s - warm_s,
            MIN_SPARE_SHARE * route.latency_objective_s,
        )

    def _strict_spare_s(self, request: PlacementRequest) -> float:
        """Return the wait that surely keeps the objective.

        Waits are estimates, and under lasting pressure as many are too short
        as too long.
        """
        route = request.route
        warm_s = self._times.warm_s(
            route.name, request.service, route.latency_objective_s
        )
        return max(
            route.latency_objective_s - CAUTION * warm_s,
            STRICT_SPARE_SHARE * route.latency_objective_s,
        )

    def _pressure(self, service: str) -> Pressure:
        pressure = self._pressures.get(service)
        if pressure is None:
            pressure = self._pressures[service] = Pressure()
        return pressure

    def request_started(self, server: BackendServer) -> None:
        """Count a request that is sent to a server."""
        self.load_of(server).in_flight += 1

    def request_ended(self, server: BackendServer) -> None:
        """Count a request that the server no longer works on."""
        self.load_of(server).in_flight -= 1

    def record_response(
        self,
        now_s: float,
        request: PlacementRequest,
        placed: Placed,
        took_s: float,
    ) -> None:
        """Learn from an answer."""
        load = self.load_of(placed.server)
        distance_s = self._distance_s(placed.server)
        worked_s = max(0.001, took_s - distance_s)
        load.succeeded(now_s, took_s / max(0.001, placed.predicted_s))
        if request.affinity_key:
            load.learned(now_s, request.affinity_key, KEPT_OBJECTS)
        self._times.observe_mean(
            request.route.name,
            request.service,
            request.route.latency_objective_s,
            worked_s - placed.wait_s,
        )
        if not placed.wait_s:
            self._times.observe(
                request.route.name,
                request.service,
                request.route.latency_objective_s,
                worked_s,
                known=placed.cached,
                place=placed.rank,
            )

    def in_flight(self) -> dict[str, int]:
        """Return own requests by server, where there are any."""
        return {
            server_id: load.in_flight
            for server_id, load in self._loads.items()
            if load.in_flight > 0
        }

    def reported_loads(self, newer_than_s: float) -> dict[str, int]:
        """Return the loads that servers have stated since a time."""
        loads = {}
        for server_id, load in self._loads.items():
            stated = load.fresh_statement(newer_than_s)
            if stated is not None:
                loads[server_id] = stated
        return loads

    def record_load_from_peer(
        self, now_s: float, server_id: str, stated: float
    ) -> None:
        """Enter the load that a server stated to another instance."""
        load = self._loads.get(server_id)
        if load is not None:
            load.stated_to_peer(now_s, stated)

    def set_peer_requests(
        self, now_s: float, by_server: dict[str, float]
    ) -> None:
        """Enter what other instances say they have in flight."""
        for server_id, load in self._loads.items():
            load.set_peers(now_s, by_server.get(server_id, 0.0))

    def forget_removed_servers(self, known: Iterable[str]) -> None:
        """Drop what is known about servers that no longer exist."""
        names = set(known)
        for server_id, load in list(self._loads.items()):
            if server_id not in names and not load.in_flight:
                del self._loads[server_id]

    def _predict(
        self,
        now_s: float,
        request: PlacementRequest,
        server: BackendServer,
        place: int | None,
        *,
        cold: bool,
    ) -> Placed:
        load = self.load_of(server)
        route = request.route
        times = self._times
        names = (route.name, request.service, route.latency_objective_s)
        known = place is not None and load.knows(request.affinity_key)
        known_share = 1.0 if known else 0.0
        if place is not None and not known:
            known_share = times.known_share(*names, place)
        expected_s = times.expected_s(*names, known_share)
        slowness = load.slowness(now_s)
        if cold:
            slowness = max(slowness, COLD_SLOWNESS)
        wait_s = slowness * load.wait_s(now_s, times.mean_s(*names))
        failing = load.failure_share(now_s) * FAILURE_COST * expected_s
        return Placed(
            server=server,
            expected_s=expected_s,
            wait_s=wait_s,
            predicted_s=self._distance_s(server)
            + slowness * expected_s
            + wait_s
            + failing,
            cached=known,
            rank=place,
            load=load.load(now_s),
        )

    def _crossing_s(
        self, request: PlacementRequest, server: BackendServer
    ) -> float:
        """Return what the body's way to another failure domain costs."""
        if server.failure_domain == self._failure_domain:
            return 0.0
        return request.body_bytes / CROSSING_BYTES_PER_S

    def _distance_s(self, server: BackendServer) -> float:
        if server.failure_domain == self._failure_domain:
            return 0.0
        if server.region == self._region:
            return DOMAIN_RTT_S
        return REGION_RTT_S

    def _candidates(
        self, now_s: float, request: PlacementRequest
    ) -> list[tuple[int | None, BackendServer]]:
        """Return servers to compare, with their places in the order."""
        ordered = self._order(request)
        homes = request.home_regions
        if homes:
            ordered = [s for s in ordered if s.region in homes]
        usable = [
            s for s in ordered if s.server_id not in request.tried_servers
        ]
        up = [s for s in usable if not self.load_of(s).is_down(now_s)]
        # A connection that fails costs little, and may succeed again.
        usable = up or usable
        if not request.affinity_key:
            count = min(ORDERED_CANDIDATES, len(usable))
            near = self._near(request, usable)
            near += self._random.sample(usable, count)
            return [(None, s) for s in near]
        picked: list[tuple[int | None, BackendServer]] = []
        picked += enumerate(usable[:ORDERED_CANDIDATES])
        rest = usable[ORDERED_CANDIDATES:]
        count = min(RANDOM_CANDIDATES, len(rest))
        for server in self._random.sample(rest, count):
            picked.append((ORDERED_CANDIDATES, server))
        return picked

    def _near(
        self, request: PlacementRequest, usable: list[BackendServer]
    ) -> list[BackendServer]:
        """Return some servers of the own failure domain for a large body."""
        if request.body_bytes < LARGE_BODY_BYTES:
            return []
        near = [s for s in usable if s.failure_domain == self._failure_domain]
        return self._random.sample(near, min(len(near), NEAR_CANDIDATES))

    def _order(self, request: PlacementRequest) -> list[BackendServer]:
        if self._generation != self._table.generation:
            self._generation = self._table.generation
            self._orders.clear()
        if not request.affinity_key:
            return list(self._table.usable(request.service))
        near_first = request.body_bytes >= LARGE_BODY_BYTES
        key = (request.service, request.affinity_key, near_first)
        order = self._orders.get(key)
        if order is None:
            if len(self._orders) >= MAX_ORDERS:
                self._orders.clear()
            order = rendezvous_order(
                request.affinity_key, self._table.usable(request.service)
            )
            if near_first:
                order.sort(key=self._distance_s)
            self._orders[key] = order
        return order
