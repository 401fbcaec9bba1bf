"""Measures how much callers asked for in the last second."""

_SLOT_S = 0.25
_SLOTS = 4


class DemandMeter:
    """Counts amounts in slots of a sliding window of one second.

    Right after a pause the rate is taken over the time since the first
    amount, so that demand that has just moved here is seen in full.
    """

    __slots__ = ("_counts", "_slot", "_started_at_s")

    def __init__(self) -> None:
        self._counts = [0] * _SLOTS
        self._slot = 0
        self._started_at_s = float("-inf")

    def add(self, now_s: float, amount: int) -> None:
        """Count an amount."""
        self._move(now_s)
        if not any(self._counts):
            self._started_at_s = now_s
        self._counts[self._slot % _SLOTS] += amount

    def per_s(self, now_s: float) -> float:
        """Return the recent amount per second."""
        self._move(now_s)
        window_s = (_SLOTS - 1) * _SLOT_S + now_s % _SLOT_S
        age_s = now_s - self._started_at_s
        return sum(self._counts) / max(_SLOT_S, min(window_s, age_s))

    def _move(self, now_s: float) -> None:
        slot = int(now_s / _SLOT_S)
        for passed in range(self._slot + 1, min(slot, self._slot + 4) + 1):
            self._counts[passed % _SLOTS] = 0
        if slot - self._slot >= _SLOTS:
            self._counts = [0] * _SLOTS
        self._slot = max(self._slot, slot)
