"""Timer service in virtual time, for tests, fuzzing and models."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(kw_only=True, order=True, slots=True)
class _Entry:
    due_s: float
    order: int
    callback: Callable[[], None] = field(compare=False)
    period_s: float | None = field(compare=False, default=None)
    cancelled: bool = field(compare=False, default=False)

    def cancel(self) -> None:
        self.cancelled = True


class VirtualTimers:
    """Timers that move only when :meth:`advance` is called.

    :param rate: seconds of this clock per second of virtual time. Clocks
        that run at different rates share one schedule through ``parent``.
    :param parent: the service that owns the schedule.
    """

    def __init__(
        self, rate: float = 1.0, parent: "VirtualTimers | None" = None
    ) -> None:
        self._rate = rate
        self._parent = parent
        self._time_s = 0.0
        self._entries: list[_Entry] = []
        self._order = itertools.count()

    def now_s(self) -> float:
        """Return this clock's time in seconds."""
        if self._parent is not None:
            return self._parent.now_s() * self._rate
        return self._time_s * self._rate

    def after(self, delay_s: float, callback: Callable[[], None]) -> _Entry:
        """Call ``callback`` once, ``delay_s`` of this clock from now."""
        return self._push(delay_s, callback, None)

    def every(self, period_s: float, callback: Callable[[], None]) -> _Entry:
        """Call ``callback`` each ``period_s`` of this clock.

        :raises ValueError: if the period is not positive.
        """
        if period_s <= 0:
            raise ValueError(f"period_s must be positive, got {period_s}")
        return self._push(period_s, callback, period_s)

    def advance(self, duration_s: float) -> None:
        """Run all timers that fall due in the next ``duration_s`` seconds."""
        if self._parent is not None:
            self._parent.advance(duration_s)
            return
        end_s = self._time_s + duration_s
        while self._entries and self._entries[0].due_s <= end_s:
            entry = heapq.heappop(self._entries)
            if entry.cancelled:
                continue
            self._time_s = max(self._time_s, entry.due_s)
            if entry.period_s is not None:
                entry.due_s += entry.period_s
                heapq.heappush(self._entries, entry)
            entry.callback()
        self._time_s = end_s

    def _push(
        self,
        delay_s: float,
        callback: Callable[[], None],
        period_s: float | None,
    ) -> _Entry:
        root = self._parent or self
        entry = _Entry(
            due_s=root._time_s + delay_s / self._rate,
            order=next(root._order),
            callback=callback,
            period_s=None if period_s is None else period_s / self._rate,
        )
        heapq.heappush(root._entries, entry)
        return entry
