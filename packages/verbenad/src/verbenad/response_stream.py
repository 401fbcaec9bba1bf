"""Passes an answer's body on and ends the attempt with it."""

from collections.abc import Callable, Iterator

from verbenad.upstream_response import UpstreamResponse
from verbenaworks.attempt_outcome import (
    Cancelled,
    Completed,
    Failed,
    Outcome,
)


class ResponseStream:
    """WSGI result that tells once how the attempt ended.

    :param on_end: called once with the outcome.
    """

    def __init__(
        self, answer: UpstreamResponse, on_end: Callable[[Outcome], None]
    ) -> None:
        self._answer = answer
        self._on_end: Callable[[Outcome], None] | None = on_end

    def __iter__(self) -> Iterator[bytes]:
        try:
            yield from self._answer.body
        except GeneratorExit:
            raise
        except Exception:
            self._end(Failed(bytes_sent=True))
            raise
        self._end(Completed())

    def close(self) -> None:
        """End the attempt if the answer was not read to its end."""
        self._answer.body.close()
        self._end(Cancelled())

    def _end(self, outcome: Outcome) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(outcome)
