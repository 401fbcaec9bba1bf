"""Ownership of a response whose connection must be returned."""

from types import TracebackType

from verbenad.upstream_response import UpstreamResponse


class ResponseOwner:
    """Owns at most one response, and with it a connection of the pool.

    The response is closed when another one takes its place, and at the end of
    the ``with`` block, however that is left, unless it was handed over.
    """

    __slots__ = ("_response",)

    def __init__(self) -> None:
        self._response: UpstreamResponse | None = None

    def __enter__(self) -> "ResponseOwner":
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._close()

    def own(self, response: UpstreamResponse) -> None:
        """Take a response over and close the one before it."""
        self._close()
        self._response = response

    def hand_over(self) -> None:
        """Leave the response to the code that reads its body."""
        self._response = None

    def _close(self) -> None:
        response, self._response = self._response, None
        if response is not None:
            response.body.close()
