"""The timer service that all parts subscribe to.

No part reads a clock of its own. This makes every decision reproducible in
virtual time.
"""

from collections.abc import Callable
from typing import Protocol


class Subscription(Protocol):
    """A pending timer."""

    def cancel(self) -> None:
        """Stop the timer; does nothing if it already ended."""


class Timers(Protocol):
    """Monotonic time and callbacks."""

    def now_s(self) -> float:
        """Return the monotonic time in seconds; its origin is arbitrary."""

    def after(
        self, delay_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Call ``callback`` once, ``delay_s`` seconds from now."""

    def every(
        self, period_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Call ``callback`` each ``period_s`` seconds, first within one."""
