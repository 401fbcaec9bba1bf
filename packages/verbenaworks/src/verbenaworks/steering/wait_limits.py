"""Longest waits for a slot that still serve the caller."""

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.placement_result import PlacementRequest
from verbenaworks.steering.service_times import ServiceTimes

# Wait that is always allowed, as a share of the latency objective.
MIN_WAIT_SHARE = 0.25
# Under sustained overload, the service time is assumed to be this many times
# the usual one, and a wait of the given share of the objective is allowed.
STRICT_SERVICE_TIME_FACTOR = 1.6
MIN_STRICT_WAIT_SHARE = 0.1


class WaitLimits:
    """Limits on the wait of a request, from its latency objective."""

    def __init__(self, times: ServiceTimes) -> None:
        self._times = times

    def max_wait_s(self, request: PlacementRequest) -> float:
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

    def strict_max_wait_s(
        self, request: PlacementRequest, server: BackendServer
    ) -> float:
        """Return a wait that meets the latency objective with a margin.

        Waits are estimates; under sustained overload they are too low as
        often as too high. One request may always wait for a slot, so that
        slots do not stay free until the next request arrives.
        """
        route = request.route
        cached_s = self._times.cached_s(
            route.name, request.service, route.latency_objective_s
        )
        strict_wait_s = max(
            route.latency_objective_s - STRICT_SERVICE_TIME_FACTOR * cached_s,
            MIN_STRICT_WAIT_SHARE * route.latency_objective_s,
        )
        mean_s = self._times.mean_s(
            route.name, request.service, route.latency_objective_s
        )
        return min(
            self.max_wait_s(request),
            max(strict_wait_s, mean_s / server.slots),
        )
