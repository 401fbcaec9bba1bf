"""Interface of the timer service that all components use.

No component reads a clock itself. This makes every decision reproducible in
virtual time.
"""

from collections.abc import Callable
from typing import Protocol


class Subscription(Protocol):
    """A pending timer."""

    def cancel(self) -> None:
        """Stop the timer; has no effect if it has already ended."""


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
        """Call ``callback`` every ``period_s`` seconds.

        The first call comes within one period.
        """
