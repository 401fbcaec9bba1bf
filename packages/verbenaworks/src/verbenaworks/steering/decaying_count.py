"""Count of recent events that decays exponentially."""

import math


class DecayingCount:
    """Events weighted by their age.

    :param time_constant_s: age at which an event counts 1/e.
    """

    __slots__ = ("_time_constant_s", "_updated_s", "_value")

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._value = 0.0
        self._updated_s = float("-inf")

    def add(self, now_s: float) -> None:
        """Count one event."""
        self._value = self.value(now_s) + 1.0
        self._updated_s = now_s

    def value(self, now_s: float) -> float:
        """Return the decayed number of events."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        return self._value * math.exp(-elapsed_s / self._time_constant_s)

    def per_s(self, now_s: float) -> float:
        """Return the recent rate of events."""
        return self.value(now_s) / self._time_constant_s
