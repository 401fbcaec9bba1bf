"""A wait that another green thread may end."""

from collections.abc import Callable
from typing import Any, TypeVar

from eventlet.hubs import get_hub
from eventlet.support.greenlets import getcurrent

T = TypeVar("T")


class WaitInterruptedError(Exception):
    """The wait was ended by another green thread."""


class InterruptibleWait:
    """Ends the wait of one green thread, and only that wait.

    The exception is delivered by the event loop, after the call of
    :meth:`interrupt`. By then the green thread may have been woken by what it
    waited for, and may wait for something else, which the exception must not
    end.
    """

    __slots__ = ("_current",)

    def __init__(self) -> None:
        # A new list for each wait tells it from the next one.
        self._current: list[Any] | None = None

    def run(self, wait: Callable[[], T]) -> T:
        """Return the result of ``wait``.

        :raises WaitInterruptedError: if it was interrupted.
        """
        self._current = [getcurrent()]
        try:
            return wait()
        finally:
            self._current = None

    def interrupt(self) -> None:
        """End the current wait; does nothing if there is none."""
        interrupted = self._current
        if interrupted is not None:
            get_hub().schedule_call_global(0, self._deliver, interrupted)

    def _deliver(self, interrupted: list[Any]) -> None:
        if self._current is interrupted:
            interrupted[0].throw(WaitInterruptedError())
