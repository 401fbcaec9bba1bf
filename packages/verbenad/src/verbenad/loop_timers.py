"""Timer service on eventlet's loop."""

import time
from collections.abc import Callable
from typing import Any

import eventlet
import logbook

_log = logbook.Logger("verbenad.timers")


class LoopSubscription:
    """A pending timer."""

    def __init__(
        self, callback: Callable[[], None], period_s: float | None
    ) -> None:
        self._callback = callback
        self._period_s = period_s
        self._due_s = 0.0
        self._thread: Any = None
        self._cancelled = False

    def cancel(self) -> None:
        """Stop the timer; does nothing if it already ended."""
        self._cancelled = True
        if self._thread is not None:
            # Only a thread that has not started is stopped: a callback may
            # cancel its own timer.
            self._thread.cancel()

    def schedule(self, due_s: float) -> None:
        """Set the next call to the monotonic time ``due_s``."""
        self._due_s = due_s
        delay_s = max(0.0, due_s - time.monotonic())
        self._thread = eventlet.spawn_after(delay_s, self._run)

    def _run(self) -> None:
        if self._cancelled:
            return
        if self._period_s is not None:
            # Calls that were missed while the process was stopped are
            # dropped, not made up for in a burst.
            self.schedule(max(self._due_s + self._period_s, time.monotonic()))
        try:
            self._callback()
        except Exception:
            _log.exception("a timer callback failed")


class LoopTimers:
    """Timers on eventlet's loop; each callback runs in a green thread."""

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
        """Call ``callback`` each ``period_s`` seconds, first after one.

        :raises ValueError: if the period is not positive.
        """
        if period_s <= 0:
            raise ValueError(f"period_s must be positive, got {period_s}")
        subscription = LoopSubscription(callback, period_s)
        subscription.schedule(time.monotonic() + period_s)
        return subscription
