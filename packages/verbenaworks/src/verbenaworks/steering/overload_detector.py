"""Detects a sustained overload of a service.

Requests beyond the capacity for a short time are best served late. Under a
sustained overload, requests whose wait would miss the latency objective must
be refused: a standing queue would make every response late without serving
more requests.
"""

import math

# Time constant of the moving average of the share of late requests.
TIME_CONSTANT_S = 2.0
# A larger share of late requests counts as a sustained overload.
SUSTAINED_LATE_SHARE = 0.15


class OverloadDetector:
    """Moving average of the share of a service's requests that are late."""

    __slots__ = ("_late_share", "_rate_per_s", "_updated_s")

    def __init__(self) -> None:
        self._late_share = 0.0
        self._rate_per_s = 0.0
        self._updated_s = float("-inf")

    def observe(self, now_s: float, late: bool) -> None:
        """Record a request.

        :param late: whether its wait would miss the latency objective.
        """
        elapsed_s = now_s - self._updated_s
        self._updated_s = now_s
        kept = math.exp(-elapsed_s / TIME_CONSTANT_S)
        # The weight of a request depends on the recent request rate.
        self._rate_per_s = self._rate_per_s * kept + 1.0 / TIME_CONSTANT_S
        weight = min(1.0, 1.0 / (self._rate_per_s * TIME_CONSTANT_S))
        self._late_share += weight * (late - self._late_share)

    @property
    def late_share(self) -> float:
        """Share of requests whose wait would miss the latency objective."""
        return self._late_share

    @property
    def is_sustained(self) -> bool:
        """Whether requests that would miss the objective must be refused."""
        return self._late_share > SUSTAINED_LATE_SHARE
