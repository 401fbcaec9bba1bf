"""Refuses requests whose wait would serve nobody."""

from random import Random

from verbenaworks.steering.overload_detector import OverloadDetector
from verbenaworks.steering.placement_result import (
    Placed,
    PlacementRefused,
    PlacementRequest,
    RefusalReason,
)
from verbenaworks.steering.server_admission import (
    MIN_RETRY_AFTER_S,
    ServerRefusal,
)
from verbenaworks.steering.service_times import ServiceTimes
from verbenaworks.steering.wait_limits import WaitLimits

# Callers that are refused together return spread over this share of the time.
RETURN_SPREAD = 0.1


class OverloadRefusals:
    """Waits and overloads of all services as one instance sees them."""

    def __init__(self, *, times: ServiceTimes, random: Random) -> None:
        self._times = times
        self._random = random
        self._wait_limits = WaitLimits(times)
        self._overloads: dict[str, OverloadDetector] = {}

    def overload(self, service: str) -> OverloadDetector:
        """Return the detector of a service's overload."""
        overload = self._overloads.get(service)
        if overload is None:
            overload = self._overloads[service] = OverloadDetector()
        return overload

    def is_late(self, request: PlacementRequest, best: Placed) -> bool:
        """Whether a response would miss the latency objective."""
        return best.wait_s > self._wait_limits.max_wait_s(request)

    def refuse(
        self, request: PlacementRequest, best: Placed
    ) -> PlacementRefused | None:
        """Return a refusal if not even the best server is good enough."""
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
        is_excess = self.overload(
            request.service
        ).is_sustained and best.wait_s > self._wait_limits.strict_max_wait_s(
            request, best.server
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

    def levels(
        self, request: PlacementRequest, best: Placed
    ) -> dict[str, object]:
        """Return the limits in force for a request, for an explanation.

        :param best: the best server for it.
        """
        overload = self.overload(request.service)
        limits = self._wait_limits
        return {
            "sustained_overload": overload.is_sustained,
            "late_share": overload.late_share,
            "max_wait_s": limits.max_wait_s(request),
            "strict_max_wait_s": limits.strict_max_wait_s(
                request, best.server
            ),
        }

    def no_server(self, refusal: ServerRefusal) -> PlacementRefused:
        """Return a refusal because no server can take the request.

        :param refusal: refusal of the server that can take one first.
        """
        match refusal.reason:
            case RefusalReason.SERVER_LIMIT:
                spread = 1.0
            case RefusalReason.SERVER_PAUSED:
                spread = RETURN_SPREAD
            case _:
                spread = 0.0
        return PlacementRefused(
            reason=refusal.reason,
            retry_after_s=refusal.retry_after_s
            * self._random.uniform(1.0, 1.0 + spread),
        )
