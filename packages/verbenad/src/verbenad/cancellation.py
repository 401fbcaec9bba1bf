"""Cancellation of one request."""

from collections.abc import Callable


class Cancellation:
    """Stops the work on a request.

    Only the latest callback is kept; it stops the current step.
    """

    __slots__ = ("_callback", "cancelled")

    def __init__(self) -> None:
        self.cancelled = False
        self._callback: Callable[[], None] | None = None

    def cancel(self) -> None:
        """Cancel; later calls do nothing."""
        if self.cancelled:
            return
        self.cancelled = True
        callback, self._callback = self._callback, None
        if callback is not None:
            callback()

    def on_cancel(self, callback: Callable[[], None] | None) -> None:
        """Set the callback; it is called at once if already cancelled."""
        if self.cancelled and callback is not None:
            callback()
            return
        self._callback = callback
