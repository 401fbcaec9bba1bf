"""How long work currently takes on a server's machine, as the server states.

Machines have short slow spells. Shortly after a server has stated one, its
next responses also take longer. A value that a server states all the time is
the usual speed of its machine instead: response times show it already.
"""

from collections import deque

# A spell lasts about this long, and a value is stated somewhere within it. A
# value therefore loses its worth steadily over this time.
SPELL_S = 0.6
# Values within this time show what a machine states all the time, if there
# are enough of them and the first and the last are further apart than spells.
SUSTAINED_WINDOW_S = 4.0
MIN_SUSTAINED_VALUES = 3
MIN_SUSTAINED_SPAN_S = 2.0
# Stated values beyond these are taken for these.
MIN_FACTOR = 0.5
MAX_FACTOR = 5.0


class MachineSpeed:
    """Factors that one server has stated; 1 is usual, 2 is twice as long."""

    __slots__ = ("_stated",)

    def __init__(self) -> None:
        self._stated: deque[tuple[float, float]] = deque()

    def record(self, now_s: float, factor: float) -> None:
        """Record a factor that the server stated with a response."""
        factor = min(max(factor, MIN_FACTOR), MAX_FACTOR)
        if self._stated and now_s < self._stated[-1][0]:
            self._stated.clear()
        self._stated.append((now_s, factor))
        while self._stated[0][0] < now_s - SUSTAINED_WINDOW_S:
            self._stated.popleft()

    def age_s(self, now_s: float) -> float | None:
        """Return the age of the last factor; none if it is not used."""
        if not self._stated:
            return None
        age_s = now_s - self._stated[-1][0]
        return age_s if 0.0 <= age_s < SPELL_S else None

    def expected_ratio(self, now_s: float) -> float:
        """Return how much longer than usual work is expected to take now."""
        age_s = self.age_s(now_s)
        if age_s is None:
            return 1.0
        ratio = self.ratio_to_sustained(self._stated[-1][1])
        return 1.0 + (ratio - 1.0) * (1.0 - age_s / SPELL_S)

    def ratio_to_sustained(self, factor: float) -> float:
        """Return a stated factor relative to what the server always states."""
        factor = min(max(factor, MIN_FACTOR), MAX_FACTOR)
        return factor / self._sustained

    @property
    def _sustained(self) -> float:
        """The value nearest to the usual one in the recent past."""
        stated = self._stated
        if (
            len(stated) < MIN_SUSTAINED_VALUES
            or stated[-1][0] - stated[0][0] < MIN_SUSTAINED_SPAN_S
        ):
            return 1.0
        return min((f for _, f in stated), key=lambda f: abs(f - 1.0))
