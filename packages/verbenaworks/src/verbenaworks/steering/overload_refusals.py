"""Refuses requests whose wait would serve nobody."""

from collections.abc import Callable
from dataclasses import replace
from random import Random

from verbenaworks.steering.overload_detector import OverloadDetector
from verbenaworks.steering.placement_result import (
    Placed,
    PlacementRefused,
    PlacementRequest,
    RefusalReason,
)
from verbenaworks.steering.rank_admission import RankAdmission
from verbenaworks.steering.return_time import return_time_s
from verbenaworks.steering.server_admission import (
    MIN_RETRY_AFTER_S,
    ServerRefusal,
)
from verbenaworks.steering.service_times import ServiceTimes
from verbenaworks.steering.wait_limits import WaitLimits

# Callers that are refused together return spread over this share of the time.
RETURN_SPREAD = 0.1
# With fewer slots, one place in a queue is a large part of the objective.
# Classes that may not take it leave slots free: with three slots, the main
# class of a service was answered in time a tenth less often.
MIN_SLOTS_FOR_CLASSES = 6


class OverloadRefusals:
    """Waits and overloads of all services as one instance sees them.

    :param slots_of: returns the slots of a service's servers.
    """

    def __init__(
        self,
        *,
        times: ServiceTimes,
        random: Random,
        rank_admission: RankAdmission,
        slots_of: Callable[[str], int],
    ) -> None:
        self._times = times
        self._slots_of = slots_of
        self._rank_admission = rank_admission
        self._random = random
        self._wait_limits = WaitLimits(times)
        self._overloads: dict[str, OverloadDetector] = {}

    def overload(self, service: str) -> OverloadDetector:
        """Return the detector of a service's overload."""
        overload = self._overloads.get(service)
        if overload is None:
            overload = self._overloads[service] = OverloadDetector()
        return overload

    def classified(
        self, now_s: float, request: PlacementRequest
    ) -> PlacementRequest:
        """Return a new request with its class in a shortage."""
        if self._slots_of(request.service) < MIN_SLOTS_FOR_CLASSES:
            return request
        admission = self._rank_admission.classify(
            now_s,
            request.service,
            request.rank,
            request.workspace,
            is_returning=request.is_returning,
            time_left_share=request.time_left_s / request.route.timeout_s,
        )
        return replace(request, admission=admission) if admission else request

    def record_outcome(
        self,
        now_s: float,
        request: PlacementRequest,
        chosen: Placed | PlacementRefused,
    ) -> None:
        """Record whether a new request was admitted."""
        if isinstance(chosen, PlacementRefused):
            reason = chosen.reason.name.lower()
            if chosen.reason is RefusalReason.OVERLOADED and request.admission:
                reason = request.admission.reason
            self._rank_admission.on_refusal(
                request.service, request.rank, reason
            )
        self._rank_admission.record(
            now_s,
            request.service,
            request.rank,
            request.workspace,
            is_admitted=isinstance(chosen, Placed),
            is_late=isinstance(chosen, Placed)
            and self.is_late(request, chosen),
            is_sustained=self.overload(request.service).is_sustained,
        )

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
        ) or (
            request.admission is not None
            and best.expected_s > request.time_left_s
        )
        if not misses_deadline and not self._is_excess(request, best):
            return None
        return PlacementRefused(
            reason=RefusalReason.OVERLOADED,
            retry_after_s=self._retry_after_s(request, best, service_time_s),
            predicted_s=best.predicted_s,
            detail=self._describe(request, best),
        )

    def _retry_after_s(
        self, request: PlacementRequest, best: Placed, service_time_s: float
    ) -> float:
        if request.admission is None:
            over_s = best.wait_s - self._wait_limits.max_wait_s(request)
            spread = self._random.uniform(1.0, 2.0)
            return max(MIN_RETRY_AFTER_S, over_s) * spread
        return return_time_s(
            over_s=best.wait_s - self._max_wait_s(request, best),
            refused_for_s=request.admission.refused_for_s,
            time_left_s=request.time_left_s,
            service_s=service_time_s,
            random=self._random,
        )

    def _describe(self, request: PlacementRequest, best: Placed) -> str:
        if request.admission is None:
            return ""
        return (
            f"{request.admission.describe()}, wait {best.wait_s * 1000:.0f} ms"
            f" of {self._max_wait_s(request, best) * 1000:.0f}"
        )

    def _max_wait_s(self, request: PlacementRequest, best: Placed) -> float:
        """Return the longest wait of the request's class."""
        strict_s = self._wait_limits.strict_max_wait_s(request, best.server)
        if request.admission is None:
            return strict_s
        usual_s = self._wait_limits.max_wait_s(request)
        return request.admission.max_wait_s(usual_s, strict_s)

    def _is_excess(self, request: PlacementRequest, best: Placed) -> bool:
        """Whether the wait is too long for the request's class."""
        is_short = request.admission is not None
        if not is_short and not self.overload(request.service).is_sustained:
            return False
        return best.wait_s > self._max_wait_s(request, best)

    def levels(
        self, now_s: float, request: PlacementRequest, best: Placed
    ) -> dict[str, object]:
        """Return the limits in force for a request, for an explanation.

        :param best: the best server for it.
        """
        overload = self.overload(request.service)
        limits = self._wait_limits
        request = self.classified(now_s, request)
        return {
            "admission": self._describe(request, best) or "no shortage",
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
