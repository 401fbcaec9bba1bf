"""Estimate of the amount that callers demand per second."""

import math

_SLOT_S = 0.25
_SLOT_COUNT = 4

# A larger time constant moves fewer allocations because of random variation.
_MEAN_TIME_CONSTANT_S = 4.0

# A count in one second that is this many standard deviations from the mean is
# a change of the demand and replaces the mean.
_MIN_CHANGE_DEVIATIONS = 2.5

# Time without a call after which the mean falls to zero. It is longer than a
# second because a small demand has gaps by chance: at 4 calls per second, one
# second in 55 has no call.
_ZERO_DEMAND_AFTER_S = 2.0


class DemandMeter:
    """Averages random variation, but follows a change within a second.

    Amounts are counted in slots of a sliding window of one second. After a
    pause, the rate is computed over the time since the first amount, so that
    demand that has just moved here counts in full.
    """

    __slots__ = (
        "_added_at_s",
        "_counts",
        "_mean",
        "_read_at_s",
        "_slot",
        "_started_at_s",
    )

    def __init__(self) -> None:
        self._counts = [0] * _SLOT_COUNT
        self._added_at_s = float("-inf")
        self._slot = 0
        self._started_at_s = float("-inf")
        self._mean: float | None = None
        self._read_at_s = 0.0

    def add(self, now_s: float, amount: int) -> None:
        """Count an amount."""
        self._advance(now_s)
        self._added_at_s = now_s
        if not any(self._counts):
            self._started_at_s = now_s
        self._counts[self._slot % _SLOT_COUNT] += amount

    def per_s(self, now_s: float) -> float:
        """Return the estimated amount per second."""
        self._advance(now_s)
        window_s = (_SLOT_COUNT - 1) * _SLOT_S + now_s % _SLOT_S
        age_s = now_s - self._started_at_s
        window_s = max(_SLOT_S, min(window_s, age_s))
        count = sum(self._counts)
        recent_per_s = count / window_s
        elapsed_s, self._read_at_s = now_s - self._read_at_s, now_s
        if count == 0 and now_s - self._added_at_s >= _ZERO_DEMAND_AFTER_S:
            self._mean = 0.0
        elif self._mean is None or _is_change(count, self._mean * window_s):
            self._mean = recent_per_s
        else:
            weight = 1 - math.exp(-elapsed_s / _MEAN_TIME_CONSTANT_S)
            self._mean += (recent_per_s - self._mean) * weight
        return self._mean

    def _advance(self, now_s: float) -> None:
        slot = int(now_s / _SLOT_S)
        for skipped_slot in range(
            self._slot + 1, min(slot, self._slot + 4) + 1
        ):
            self._counts[skipped_slot % _SLOT_COUNT] = 0
        if slot - self._slot >= _SLOT_COUNT:
            self._counts = [0] * _SLOT_COUNT
        self._slot = max(self._slot, slot)


def _is_change(count: int, expected: float) -> bool:
    deviation = math.sqrt(max(count, expected))
    return abs(count - expected) > _MIN_CHANGE_DEVIATIONS * deviation + 1
