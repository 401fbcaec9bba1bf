"""Estimates how much callers ask for per second."""

import math

_SLOT_S = 0.25
_SLOTS = 4

# Time constant of the mean; the larger it is, the fewer parts move because
# of random variation alone.
_MEAN_S = 4.0

# A second's count that is this many standard deviations from the mean is a
# change of the demand and replaces the mean.
_DEVIATIONS = 2.5

# A small demand has gaps of a second by chance: at 4/s, one second in 55 has
# no call. Its mean falls to zero only after this time without a call.
_SILENCE_S = 2.0


class DemandMeter:
    """Averages random variation, but follows a change within a second.

    Amounts are counted in slots of a sliding window of one second. Right
    after a pause the rate is taken over the time since the first amount, so
    that demand that has just moved here is seen in full.
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
        self._counts = [0] * _SLOTS
        self._added_at_s = float("-inf")
        self._slot = 0
        self._started_at_s = float("-inf")
        self._mean: float | None = None
        self._read_at_s = 0.0

    def add(self, now_s: float, amount: int) -> None:
        """Count an amount."""
        self._move(now_s)
        self._added_at_s = now_s
        if not any(self._counts):
            self._started_at_s = now_s
        self._counts[self._slot % _SLOTS] += amount

    def per_s(self, now_s: float) -> float:
        """Return the estimated amount per second."""
        self._move(now_s)
        window_s = (_SLOTS - 1) * _SLOT_S + now_s % _SLOT_S
        age_s = now_s - self._started_at_s
        window_s = max(_SLOT_S, min(window_s, age_s))
        count = sum(self._counts)
        recent = count / window_s
        passed_s, self._read_at_s = now_s - self._read_at_s, now_s
        if count == 0 and now_s - self._added_at_s >= _SILENCE_S:
            self._mean = 0.0
        elif self._mean is None or _is_change(count, self._mean * window_s):
            self._mean = recent
        else:
            weight = 1 - math.exp(-passed_s / _MEAN_S)
            self._mean += (recent - self._mean) * weight
        return self._mean

    def _move(self, now_s: float) -> None:
        slot = int(now_s / _SLOT_S)
        for passed in range(self._slot + 1, min(slot, self._slot + 4) + 1):
            self._counts[passed % _SLOTS] = 0
        if slot - self._slot >= _SLOTS:
            self._counts = [0] * _SLOTS
        self._slot = max(self._slot, slot)


def _is_change(count: int, expected: float) -> bool:
    deviation = math.sqrt(max(count, expected))
    return abs(count - expected) > _DEVIATIONS * deviation + 1
