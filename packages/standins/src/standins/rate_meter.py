"""Counts calls and limits their rate."""

from collections.abc import Callable


class RateMeter:
    """Limits the calls in each second and counts them.

    :ivar total: number of all calls.
    :ivar peak_per_s: number of calls in the busiest second.

    :param now_s: clock.
    :param limit_per_s: calls allowed in each second.
    """

    def __init__(self, now_s: Callable[[], float], limit_per_s: int) -> None:
        self._now_s = now_s
        self._limit_per_s = limit_per_s
        self._second = 0
        self._calls_in_second = 0
        self.total = 0
        self.peak_per_s = 0

    def admit(self) -> bool:
        """Count a call; return False if it exceeds the limit."""
        second = int(self._now_s())
        if second != self._second:
            self._second, self._calls_in_second = second, 0
        self.total += 1
        self._calls_in_second += 1
        self.peak_per_s = max(self.peak_per_s, self._calls_in_second)
        return self._calls_in_second <= self._limit_per_s
