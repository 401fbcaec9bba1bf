"""Whether a service has more requests than it can serve in time.

A short excess is best served late. A lasting one must be refused beyond what
fits into the latency objective: a standing queue would make every answer
late without serving more.
"""

import math

# Over this time the share of requests that would be late is averaged.
WINDOW_S = 2.0
# Above this share the excess is taken as lasting.
LASTING_SHARE = 0.15


class Pressure:
    """Share of a service's requests that would be answered late."""

    __slots__ = ("_late_share", "_rate_per_s", "_updated_s")

    def __init__(self) -> None:
        self._late_share = 0.0
        self._rate_per_s = 0.0
        self._updated_s = float("-inf")

    def observe(self, now_s: float, late: bool) -> None:
        """Enter a request.

        :param late: whether it would miss its objective because it waits.
        """
        elapsed_s = now_s - self._updated_s
        self._updated_s = now_s
        kept = math.exp(-elapsed_s / WINDOW_S)
        # The weight of one request among those of the window.
        self._rate_per_s = self._rate_per_s * kept + 1.0 / WINDOW_S
        weight = min(1.0, 1.0 / (self._rate_per_s * WINDOW_S))
        self._late_share += weight * (late - self._late_share)

    @property
    def late_share(self) -> float:
        """Share of requests that would be late."""
        return self._late_share

    @property
    def lasting(self) -> bool:
        """Whether requests beyond the objective must be refused."""
        return self._late_share > LASTING_SHARE
