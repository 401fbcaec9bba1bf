"""Limits the requests that leave their region because it is busy.

A few requests may do so at any time, which evens out short peaks. If all of
them could, a region's traffic would move to others as soon as it is busy, and
back again when it is not.
"""

# Part of the requests that may leave their region.
MAX_OVERFLOW_SHARE = 0.04
# Requests that may do so per second even if there are few requests.
MIN_OVERFLOW_PER_S = 0.25
# Requests that may do so at once.
MAX_OVERFLOW_BURST = 3.0


class OverflowBudget:
    """Counts the requests of one instance."""

    __slots__ = ("_credit", "_updated_s")

    def __init__(self) -> None:
        self._credit = MAX_OVERFLOW_BURST
        self._updated_s = float("-inf")

    def record_request(self, now_s: float) -> None:
        """Count a request that has arrived."""
        elapsed_s = now_s - self._updated_s
        self._updated_s = now_s
        earned = MAX_OVERFLOW_SHARE + MIN_OVERFLOW_PER_S * elapsed_s
        self._credit = min(MAX_OVERFLOW_BURST, self._credit + earned)

    @property
    def allows_one(self) -> bool:
        """Whether one more request may leave its region."""
        return self._credit >= 1.0

    def record_overflow(self) -> None:
        """Count a request that leaves its region because it is busy."""
        self._credit -= 1.0
