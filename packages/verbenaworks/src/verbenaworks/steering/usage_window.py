"""Counts of events in a sliding window."""

from collections import deque

# Events are counted in slices of this length. A slice leaves the window only
# when all of its events are outside.
SLICE_S = 0.25


class UsageWindow:
    """Number of events in a sliding window; it never counts too few.

    :param window_s: length of the window.
    """

    __slots__ = ("_count", "_slices", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._slices: deque[list[float]] = deque()
        self._count = 0.0

    def add(self, now_s: float, events: float = 1.0) -> None:
        """Count events."""
        slices = self._slices
        if slices and now_s - slices[-1][0] < SLICE_S:
            slices[-1][1] += events
        else:
            slices.append([now_s, events])
        self._count += events

    def subtract(self, now_s: float, events: float = 1.0) -> None:
        """Stop counting events of the window; it is not known which.

        The oldest ones are left out, so that the count is never too low once
        the events that were meant would have left the window.
        """
        self.count(now_s)
        for entry in self._slices:
            taken = min(entry[1], events)
            entry[1] -= taken
            self._count -= taken
            events -= taken
            if events <= 0:
                return

    def count(self, now_s: float) -> float:
        """Return the number of events in the window that ends now."""
        slices = self._slices
        oldest_s = now_s - self._window_s - SLICE_S
        while slices and slices[0][0] <= oldest_s:
            self._count -= slices.popleft()[1]
        return max(0.0, self._count) if slices else 0.0

    def ages(self, now_s: float) -> list[tuple[float, float]]:
        """Return pairs of an age in seconds and the events of that age.

        An age is the least that an event of its slice can have.
        """
        self.count(now_s)
        return [
            (max(0.0, now_s - at_s - SLICE_S), events)
            for at_s, events in self._slices
        ]
