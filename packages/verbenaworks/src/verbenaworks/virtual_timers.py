"""Timer service in virtual time, for tests, fuzzing and simulations."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(kw_only=True, order=True, slots=True)
class _Timer:
    due_s: float
    order: int
    callback: Callable[[], None] = field(compare=False)
    period_s: float | None = field(compare=False, default=None)
    cancelled: bool = field(compare=False, default=False)

    def cancel(self) -> None:
        self.cancelled = True


class VirtualTimers:
    """Timer service whose time moves only in :meth:`advance`.

    :param rate: seconds of this clock per second of virtual time. Clocks
        with different rates share one schedule through ``parent``.
    :param parent: the service that owns the schedule.
    """

    def __init__(
        self, rate: float = 1.0, parent: "VirtualTimers | None" = None
    ) -> None:
        self._rate = rate
        self._parent = parent
        self._virtual_time_s = 0.0
        self._timers: list[_Timer] = []
        self._sequence = itertools.count()

    def now_s(self) -> float:
        """Return this clock's time in seconds."""
        if self._parent is not None:
            return self._parent.now_s() * self._rate
        return self._virtual_time_s * self._rate

    def after(self, delay_s: float, callback: Callable[[], None]) -> _Timer:
        """Call ``callback`` once, ``delay_s`` of this clock from now."""
        return self._schedule(delay_s, callback, None)

    def every(self, period_s: float, callback: Callable[[], None]) -> _Timer:
        """Call ``callback`` each ``period_s`` of this clock.

        :raises ValueError: if the period is not positive.
        """
        if period_s <= 0:
            raise ValueError(f"period_s must be positive, got {period_s}")
        return self._schedule(period_s, callback, period_s)

    def advance(self, duration_s: float) -> None:
        """Run all timers that fall due in the next ``duration_s`` seconds."""
        if self._parent is not None:
            self._parent.advance(duration_s)
            return
        end_s = self._virtual_time_s + duration_s
        while self._timers and self._timers[0].due_s <= end_s:
            timer = heapq.heappop(self._timers)
            if timer.cancelled:
                continue
            self._virtual_time_s = max(self._virtual_time_s, timer.due_s)
            if timer.period_s is not None:
                timer.due_s += timer.period_s
                heapq.heappush(self._timers, timer)
            timer.callback()
        self._virtual_time_s = end_s

    def _schedule(
        self,
        delay_s: float,
        callback: Callable[[], None],
        period_s: float | None,
    ) -> _Timer:
        root = self._parent or self
        timer = _Timer(
            due_s=root._virtual_time_s + delay_s / self._rate,
            order=next(root._sequence),
            callback=callback,
            period_s=None if period_s is None else period_s / self._rate,
        )
        heapq.heappush(root._timers, timer)
        return timer
