"""A backend server's response and its streamed body."""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from verbenad.chunked_decoder import ChunkedDecoder
from verbenad.http_syntax import Headers
from verbenad.protocol_errors import (
    MalformedChunkError,
    ResponseTruncatedError,
)
from verbenad.response_head import ResponseHead
from verbenad.socket_stream import RECEIVE_BYTES, SocketStream


class ResponseBody:
    """Streams the body of one response; a WSGI result.

    The first piece holds the bytes that have already arrived, and may be
    empty. The head can therefore be passed on before the body arrives.

    Each read ends by the deadline of the body; :meth:`limit_until` sets one.

    :param stall_s: timeout for the next bytes.
    :param now_s: clock of the deadline.
    :param on_end: called once, with whether the body was read completely.
    :param charge: called with the number of bytes to pass on and whether the
        head may have been passed on. Waits until the bytes are admitted;
        raises ResponseTruncatedError if they are not.
    """

    __slots__ = (
        "_head_sent",
        "_charge",
        "_deadline_s",
        "_decoder",
        "_left_bytes",
        "_now_s",
        "_on_end",
        "_stall_s",
        "_stream",
        "_is_close_delimited",
    )

    def __init__(
        self,
        stream: SocketStream,
        head: ResponseHead,
        *,
        stall_s: float,
        now_s: Callable[[], float],
        on_end: Callable[[bool], None],
        charge: Callable[[int, bool], None] | None = None,
    ) -> None:
        self._stream = stream
        self._charge = charge
        self._head_sent = False
        self._stall_s = stall_s
        self._now_s = now_s
        self._deadline_s = math.inf
        self._on_end: Callable[[bool], None] | None = on_end
        self._decoder = (
            ChunkedDecoder(stream, self._refill) if head.chunked else None
        )
        self._is_close_delimited = not head.is_self_delimiting
        self._left_bytes = head.length or 0
        if head.length == 0:
            self._end(True)

    def __iter__(self) -> Iterator[bytes]:
        yield self._read_buffered()
        self._head_sent = True
        while True:
            data = self.read_some()
            if not data:
                return
            yield data

    def read_some(self, limit_bytes: int = RECEIVE_BYTES) -> bytes:
        """Return the next bytes, or ``b""`` at the verified end of the body.

        :raises ResponseTruncatedError: if the body ended early.
        """
        if self._on_end is None:
            return b""
        try:
            data = self._next_bytes(limit_bytes)
            if self._charge is not None and data:
                self._charge(len(data), self._head_sent)
            return data
        except Exception as error:
            self._end(False)
            if isinstance(error, MalformedChunkError):
                raise ResponseTruncatedError(error.message) from error
            raise

    def limit_until(self, deadline_s: float) -> None:
        """Set the time by which the body must be read completely."""
        self._deadline_s = deadline_s

    def time_left_s(self) -> float:
        """Return the time left to read the body; infinite once it is read."""
        if self._on_end is None:
            return math.inf
        return self._deadline_s - self._now_s()

    def drain(self, *, limit_bytes: int, timeout_s: float) -> bool:
        """Read and discard the rest, so that the connection can be reused.

        If the rest is longer or takes more time, the connection is closed.

        :return: whether the body was read completely.
        """
        deadline_s = self._now_s() + timeout_s
        self._deadline_s = min(self._deadline_s, deadline_s)
        discarded_bytes = 0
        try:
            while discarded_bytes <= limit_bytes:
                piece = self.read_some()
                if not piece:
                    return True
                discarded_bytes += len(piece)
        except ResponseTruncatedError:
            return False
        self.close()
        return False

    def close(self) -> None:
        """Close the connection if the body was not read completely."""
        self._end(False)

    def _read_buffered(self) -> bytes:
        if self._on_end is None or not self._stream.buffered_bytes:
            return b""
        return self.read_some()

    def _next_bytes(self, limit_bytes: int) -> bytes:
        if self._decoder is not None:
            data = self._decoder.read_some(limit_bytes)
            if self._decoder.finished:
                self._end(True)
            return data
        if self._is_close_delimited:
            return self._read_until_close(limit_bytes)
        if not self._stream.buffered_bytes:
            self._refill()
        data = self._stream.take(min(limit_bytes, self._left_bytes))
        self._left_bytes -= len(data)
        if not self._left_bytes:
            self._end(True)
        return data

    def _read_until_close(self, limit_bytes: int) -> bytes:
        if not self._stream.buffered_bytes and not self._receive():
            if self._stream.is_shut_down:
                # The request was cancelled; the backend server has not ended
                # the body.
                raise ResponseTruncatedError
            self._end(True)
            return b""
        return self._stream.take(limit_bytes)

    def _refill(self) -> None:
        if not self._receive():
            raise ResponseTruncatedError

    def _receive(self) -> int:
        left_s = self._deadline_s - self._now_s()
        if left_s <= 0:
            raise ResponseTruncatedError(
                "the response body did not end in time"
            )
        try:
            return self._stream.refill(min(self._stall_s, left_s))
        except TimeoutError as error:
            raise ResponseTruncatedError(
                "the backend server stopped sending its response"
            ) from error
        except OSError as error:
            raise ResponseTruncatedError from error

    def _end(self, read_to_end: bool) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(read_to_end)


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamResponse:
    """A response whose head has arrived.

    The connection stays in use until the body is read completely or closed.

    :param headers: end-to-end headers.
    :param reused: whether the connection had carried a request before.
    :param length: length of the body according to its head; None if unknown.
    """

    status: int
    reason: str
    headers: Headers
    body: ResponseBody
    reused: bool
    length: int | None = None

    @property
    def status_line(self) -> str:
        """Return status and reason phrase in WSGI form."""
        return f"{self.status} {self.reason}"
