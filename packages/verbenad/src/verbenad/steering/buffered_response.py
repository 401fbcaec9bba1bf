"""Responses that are buffered, or streamed if they are long."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from verbenad.held_bytes import Holding
from verbenad.http_syntax import Headers
from verbenad.socket_stream import RECEIVE_BYTES
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
    holding: Holding,
) -> BufferedResponse:
    """Receive a response's body, or only its beginning if it is long.

    A body for which no bytes are granted is received only as fast as the
    caller takes it.

    :param buffered_by_s: time by which that part must have arrived.
    :param end_s: time by which a long body must have been passed on.
    :param holding: the bytes held for the request.
    :raises ResponseTruncatedError: if the body ends early within that part.
    """
    response.body.limit_until(buffered_by_s)
    buffered: list[bytes] = []
    buffered_bytes = 0
    complete = False
    while buffered_bytes <= MAX_BUFFERED_BYTES:
        if not holding.try_grow(RECEIVE_BYTES):
            break
        piece = response.body.read_some()
        holding.shrink(RECEIVE_BYTES - len(piece))
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
        pieces = _BufferedThenStreamed(buffered, response, holding)
    return BufferedResponse(
        status=response.status,
        status_line=response.status_line,
        headers=response.headers,
        pieces=pieces,
    )


class _BufferedThenStreamed:
    """Iterates over the buffered pieces, then over the rest of the body."""

    def __init__(
        self,
        buffered: list[bytes],
        response: UpstreamResponse,
        holding: Holding,
    ) -> None:
        self._buffered = buffered
        self._response = response
        self._holding = holding

    def __iter__(self) -> Iterator[bytes]:
        while self._buffered:
            piece = self._buffered.pop(0)
            yield piece
            self._holding.shrink(len(piece))
            self._holding.record_progress(len(piece))
        self._holding.grow(RECEIVE_BYTES)
        while True:
            # While the server has to send, the caller is not to blame.
            self._holding.set_droppable(False)
            piece = self._response.body.read_some()
            self._holding.set_droppable(True)
            if not piece:
                return
            yield piece

    def time_left_s(self) -> float:
        return self._response.body.time_left_s()

    def close(self) -> None:
        self._response.body.close()
