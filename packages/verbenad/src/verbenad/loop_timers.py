"""Timer service on eventlet's loop."""

import time
from collections.abc import Callable
from typing import Any

import logbook
from eventlet.hubs import get_hub
from greenlet import greenlet

_log = logbook.Logger("verbenad.timers")


class LoopSubscription:
    """A pending timer."""

    def __init__(
        self, callback: Callable[[], None], period_s: float | None
    ) -> None:
        self._callback = callback
        self._period_s = period_s
        self._due_s = 0.0
        self._timer: Any = None
        self._cancelled = False

    def cancel(self) -> None:
        """Stop the timer; does nothing if it already ended.

        Does not switch to other green threads, so it is safe in the middle
        of a change. Cancelling a thread of eventlet's ``spawn_after`` is
        not: it lets other threads run.
        """
        self._cancelled = True
        if self._timer is not None:
            self._timer.cancel()

    def schedule(self, due_s: float) -> None:
        """Set the next call to the monotonic time ``due_s``."""
        self._due_s = due_s
        delay_s = max(0.0, due_s - time.monotonic())
        hub = get_hub()
        thread = greenlet(self._run, parent=hub.greenlet)
        self._timer = hub.schedule_call_global(delay_s, thread.switch)

    def _run(self) -> None:
        if self._cancelled:
            return
        if self._period_s is not None:
            # Calls that were missed while the process was stopped are
            # skipped instead of being made in a burst.
            late_s = max(0.0, time.monotonic() - self._due_s)
            periods = late_s // self._period_s + 1
            self.schedule(self._due_s + periods * self._period_s)
        try:
            self._callback()
        except Exception:
            _log.exception("a timer callback failed")


class LoopTimers:
    """Timers on eventlet's loop; each callback runs in a green thread.

    Periodic timers start at whole periods of the service's own time. Those
    with multiples of one period then share a wake-up of the loop, which
    costs as much as a small callback.
    """

    def __init__(self) -> None:
        # Differs between processes, so that they do not all wake together.
        self._origin_s = time.monotonic()

    def now_s(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def after(
        self, delay_s: float, callback: Callable[[], None]
    ) -> LoopSubscription:
        """Call ``callback`` once, ``delay_s`` seconds from now."""
        subscription = LoopSubscription(callback, None)
        subscription.schedule(time.monotonic() + delay_s)
        return subscription

    def every(
        self, period_s: float, callback: Callable[[], None]
    ) -> LoopSubscription:
        """Call ``callback`` each ``period_s`` seconds, first within one.

        :raises ValueError: if the period is not positive.
        """
        if period_s <= 0:
            raise ValueError(f"period_s must be positive, got {period_s}")
        subscription = LoopSubscription(callback, period_s)
        periods = (time.monotonic() - self._origin_s) // period_s + 1
        subscription.schedule(self._origin_s + periods * period_s)
        return subscription
