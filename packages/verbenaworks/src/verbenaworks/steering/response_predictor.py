"""Prediction of response times, and what it is learned from."""

from collections.abc import Callable

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.cache_capacity import CacheCapacity
from verbenaworks.steering.candidate_servers import object_key
from verbenaworks.steering.learned_capacities import LearnedCapacities
from verbenaworks.steering.placement_result import (
    ChoiceReason,
    Placed,
    PlacementRequest,
)
from verbenaworks.steering.server_load import ServerLoad
from verbenaworks.steering.service_times import ServiceTimes

# Round trips to another failure domain and to another region. Only their order
# of magnitude matters in comparison with service times.
CROSS_DOMAIN_RTT_S = 0.003
CROSS_REGION_RTT_S = 0.030
# Least slowdown that is assumed for a server in its cold start.
COLD_START_SLOWDOWN = 2.0
# A server that is slower than this is not used to learn cache sizes.
MAX_LEARNING_SLOWDOWN = 1.5
# Expected cost of a failed request, which must be retried, in service times.
FAILURE_COST_SERVICE_TIMES = 3.0
# A load that a server stated with a response is not older than this when the
# response is recorded.
STATED_LOAD_AGE_S = 0.05


class ResponsePredictor:
    """Loads, health and service times of servers as one instance sees them.

    :param region: region of the instance.
    :param failure_domain: failure domain of the instance.
    :param is_restricted: returns whether a server has a limit or a pause.
    :param capacities: learned capacities of the servers.
    :param machine_speed: whether to use the speed that servers state.
    :ivar loads: load and health by server id.
    """

    def __init__(
        self,
        *,
        region: str,
        failure_domain: str,
        times: ServiceTimes,
        is_restricted: Callable[[float, BackendServer], bool],
        capacities: LearnedCapacities,
        machine_speed: bool = True,
    ) -> None:
        self._region = region
        self._failure_domain = failure_domain
        self._times = times
        self._is_restricted = is_restricted
        self._capacities = capacities
        self._uses_machine_speed = machine_speed
        self.loads: dict[str, ServerLoad] = {}
        self._cache_capacities: dict[str, CacheCapacity] = {}

    def load_of(self, server: BackendServer) -> ServerLoad:
        """Return the load and health of a server, as known here."""
        load = self.loads.get(server.server_id)
        if load is None:
            load = self.loads[server.server_id] = ServerLoad(
                slots=server.slots
            )
        return load

    def forget_removed(self, existing_ids: set[str]) -> None:
        """Delete the load of servers that no longer exist."""
        for server_id, load in list(self.loads.items()):
            if server_id not in existing_ids and not load.in_flight:
                del self.loads[server_id]

    def relative_slots(self, now_s: float, server: BackendServer) -> float:
        """Return how many slots of a usual server it replaces."""
        capacity = self._capacities.capacity(now_s, server)
        return capacity.relative_slots(server.slots)

    def cache_capacity(self, service: str) -> CacheCapacity:
        """Return what is known of the caches of a service's servers."""
        capacity = self._cache_capacities.get(service)
        if capacity is None:
            capacity = self._cache_capacities[service] = CacheCapacity()
        return capacity

    def predict(
        self,
        now_s: float,
        request: PlacementRequest,
        server: BackendServer,
        rank: int | None,
        *,
        cold: bool,
    ) -> Placed:
        """Predict how a server would respond to a request.

        :param rank: rank of the server in the object's order.
        :param cold: whether the server is in its cold start.
        """
        load = self.load_of(server)
        route = request.route
        times = self._times
        key = (route.name, request.service, route.latency_objective_s)
        objects_since = None
        if rank is not None:
            objects_since = self._objects_since(now_s, request, load)
        cached = (
            objects_since is not None
            and objects_since < self.cache_capacity(request.service).objects
        )
        cached_share = 1.0 if cached else 0.0
        if rank is not None and not cached:
            cached_share = times.cached_share(*key, rank)
        expected_s = times.expected_s(*key, cached_share)
        load.apply_capacity(self._capacities.capacity(now_s, server))
        slowdown = load.slowdown(now_s) * load.time_factor
        if cold:
            slowdown = max(slowdown, COLD_START_SLOWDOWN)
        wait_s = slowdown * load.wait_s(now_s, times.mean_s(*key))
        failure_cost_s = (
            load.failure_share(now_s) * FAILURE_COST_SERVICE_TIMES * expected_s
        )
        machine_ratio, machine_speed_age_s = 1.0, None
        if self._uses_machine_speed:
            machine_ratio = load.machine_speed.expected_ratio(now_s)
            machine_speed_age_s = load.machine_speed.age_s(now_s)
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
            objects_since=objects_since,
            reason=(
                ChoiceReason.SHORTER_WAIT if rank else ChoiceReason.PREFERRED
            ),
            time_factor=load.time_factor,
            load_cost_s=expected_s - times.expected_s(*key, 1.0),
            cold=cold,
            machine_delay_s=(machine_ratio - 1.0)
            * (slowdown * expected_s + wait_s),
            machine_speed_age_s=machine_speed_age_s,
        )

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
        load = self.load_of(placed.server)
        rtt_s = self._rtt_s(placed.server)
        at_server_s = max(0.001, took_s - rtt_s)
        if self._uses_machine_speed:
            at_server_s /= load.machine_speed.ratio_to_sustained(work_factor)
            took_s = rtt_s + at_server_s
        load.record_success(now_s, took_s / max(0.001, placed.predicted_s))
        self._learn_capacity(now_s, placed, at_server_s)
        at_server_s /= load.time_factor
        if request.affinity_key:
            load.record_object(
                object_key(request).text, placed.restricted_home
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
            self._learn_cache_capacity(now_s, request, placed, at_server_s)

    def _learn_capacity(
        self, now_s: float, placed: Placed, at_server_s: float
    ) -> None:
        """Update the learned capacity of a server from a response.

        Responses that may or may not have found their data cached, and those
        of a cold start, say nothing about the server.
        """
        if placed.cold or not (placed.cached or placed.rank is None):
            return
        load = self.load_of(placed.server)
        end_load: float | None = load.recent_reported_load(
            now_s - STATED_LOAD_AGE_S
        )
        if end_load is None:
            end_load = load.load(now_s)
        self._capacities.observe(
            now_s,
            placed.server,
            # From the start of the request to its end.
            load=(placed.load + 1 + end_load) / 2,
            took_s=at_server_s,
            usual_s=placed.expected_s,
        )

    def in_flight(self) -> dict[str, int]:
        """Return the local requests in flight by server id, without zeros."""
        return {
            server_id: load.in_flight
            for server_id, load in self.loads.items()
            if load.in_flight > 0
        }

    def bound_requests(self) -> dict[str, int]:
        """Return those that may not run in every region, by server id."""
        return {
            server_id: load.bound
            for server_id, load in self.loads.items()
            if load.bound > 0
        }

    def _objects_since(
        self, now_s: float, request: PlacementRequest, load: ServerLoad
    ) -> int | None:
        text = object_key(request).text
        home = load.restricted_home(text)
        if home and not self._is_restricted(now_s, home):
            # The object returns to its home, whose limit or pause has ended.
            return None
        return load.objects_since(text)

    def _learn_cache_capacity(
        self,
        now_s: float,
        request: PlacementRequest,
        placed: Placed,
        at_server_s: float,
    ) -> None:
        """Update the learned cache size from a response without a wait."""
        slowdown = self.load_of(placed.server).slowdown(now_s)
        if placed.objects_since is None or slowdown > MAX_LEARNING_SLOWDOWN:
            return
        route = request.route
        fast = self._times.is_fast(
            route.name,
            request.service,
            route.latency_objective_s,
            at_server_s,
        )
        self.cache_capacity(request.service).observe(
            placed.objects_since, fast=fast
        )

    def _rtt_s(self, server: BackendServer) -> float:
        if server.failure_domain == self._failure_domain:
            return 0.0
        if server.region == self._region:
            return CROSS_DOMAIN_RTT_S
        return CROSS_REGION_RTT_S
