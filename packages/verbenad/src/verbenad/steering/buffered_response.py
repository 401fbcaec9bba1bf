"""Responses that are buffered, or streamed if they are long."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from verbenad.http_syntax import Headers
from verbenad.upstream_response import UpstreamResponse

# Bodies up to this size are received whole before the caller gets any byte. If
# one is truncated, the request can still be retried or refused.
MAX_BUFFERED_BYTES = 65536


@dataclass(frozen=True, kw_only=True, slots=True)
class BufferedResponse:
    """Status, header fields and body of a response.

    :ivar pieces: a list with the whole body, or an iterable that streams a
        long one.
    """

    status: int
    status_line: str
    headers: Headers
    pieces: Iterable[bytes]

    def close(self) -> None:
        """Close the connection of a body that is not read to its end."""
        close = getattr(self.pieces, "close", None)
        if close is not None:
            close()


def buffer_response(
    response: UpstreamResponse,
    *,
    buffered_by_s: float,
    end_s: float,
) -> BufferedResponse:
    """Receive a response's body, or only its beginning if it is long.

    :param buffered_by_s: time by which that part must have arrived.
    :param end_s: time by which a long body must have been passed on.
    :raises ResponseTruncatedError: if the body ends early within that part.
    """
    response.body.limit_until(buffered_by_s)
    buffered: list[bytes] = []
    buffered_bytes = 0
    complete = False
    while buffered_bytes <= MAX_BUFFERED_BYTES:
        piece = response.body.read_some()
        if not piece:
            complete = True
            break
        buffered.append(piece)
        buffered_bytes += len(piece)
    pieces: Iterable[bytes]
    if complete:
        pieces = [b"".join(buffered)]
    else:
        response.body.limit_until(end_s)
        pieces = _BufferedThenStreamed(buffered, response)
    return BufferedResponse(
        status=response.status,
        status_line=response.status_line,
        headers=response.headers,
        pieces=pieces,
    )


class _BufferedThenStreamed:
    """Iterates over the buffered pieces, then over the rest of the body."""

    def __init__(
        self, buffered: list[bytes], response: UpstreamResponse
    ) -> None:
        self._buffered = buffered
        self._response = response

    def __iter__(self) -> Iterator[bytes]:
        yield from self._buffered
        self._buffered = []
        while piece := self._response.body.read_some():
            yield piece

    def time_left_s(self) -> float:
        return self._response.body.time_left_s()

    def close(self) -> None:
        self._response.body.close()
