"""Passes on the body of a response and reports the attempt's outcome."""

from collections.abc import Callable, Iterator

from verbenad.upstream_response import UpstreamResponse
from verbenaworks.attempt_outcome import (
    Cancelled,
    Completed,
    Failed,
    Outcome,
)


class ResponseStream:
    """WSGI result that reports the outcome of the attempt once.

    :param on_end: called once with the outcome.
    """

    def __init__(
        self, response: UpstreamResponse, on_end: Callable[[Outcome], None]
    ) -> None:
        self._response = response
        self._on_end: Callable[[Outcome], None] | None = on_end

    def __iter__(self) -> Iterator[bytes]:
        try:
            yield from self._response.body
        except GeneratorExit:
            raise
        except Exception:
            self._end(Failed(bytes_sent=True))
            raise
        self._end(Completed())

    def close(self) -> None:
        """End the attempt if the response was not read completely."""
        self._response.body.close()
        self._end(Cancelled())

    def _end(self, outcome: Outcome) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(outcome)
