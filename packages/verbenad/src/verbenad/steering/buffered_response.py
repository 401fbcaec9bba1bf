"""Responses that are buffered, or streamed if they are long."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

import eventlet

from verbenad.http_syntax import Headers
from verbenad.protocol_errors import ResponseTruncatedError
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


def buffer_response(
    response: UpstreamResponse,
    *,
    end_s: float,
    now_s: Callable[[], float],
) -> BufferedResponse:
    """Receive a response's body, or only its beginning if it is long.

    :param end_s: time by which a long body must have been passed on.
    :raises ResponseTruncatedError: if the body ends early within that part.
    """
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
    pieces: Iterable[bytes] = _BufferedThenStreamed(
        buffered, response, end_s=end_s, now_s=now_s
    )
    if complete:
        pieces = [b"".join(buffered)]
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
        *,
        end_s: float,
        now_s: Callable[[], float],
    ) -> None:
        self._buffered = buffered
        self._response = response
        self._end_s = end_s
        self._now_s = now_s

    def __iter__(self) -> Iterator[bytes]:
        yield from self._buffered
        self._buffered = []
        while piece := self._read_in_time():
            yield piece

    def _read_in_time(self) -> bytes:
        """Return the next piece.

        :raises ResponseTruncatedError: if the body goes on for too long.
        """
        left_s = self._end_s - self._now_s()
        try:
            if left_s <= 0:
                raise TimeoutError
            with eventlet.Timeout(left_s, TimeoutError):
                return self._response.body.read_some()
        except TimeoutError as error:
            self._response.body.close()
            raise ResponseTruncatedError(
                "the response body did not end in time"
            ) from error

    def close(self) -> None:
        self._response.body.close()
