"""A backend server's answer and its streamed body."""

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


class AnswerBody:
    """Streams the body of one answer; a WSGI result.

    The first piece is what has already arrived, even if that is empty, so
    that the head can be passed on before the body.

    :param stall_s: longest wait for the next byte.
    :param on_end: called once; told whether the answer was read to its end.
    :param charge: waits until a number of bytes may be passed on, or raises
        ResponseTruncatedError; told whether the head may have been passed on.
    """

    __slots__ = (
        "_begun",
        "_charge",
        "_decoder",
        "_left_bytes",
        "_on_end",
        "_stall_s",
        "_stream",
        "_until_close",
    )

    def __init__(
        self,
        stream: SocketStream,
        head: ResponseHead,
        *,
        stall_s: float,
        on_end: Callable[[bool], None],
        charge: Callable[[int, bool], None] | None = None,
    ) -> None:
        self._stream = stream
        self._charge = charge
        self._begun = False
        self._stall_s = stall_s
        self._on_end: Callable[[bool], None] | None = on_end
        self._decoder = (
            ChunkedDecoder(stream, self._refill) if head.chunked else None
        )
        self._until_close = not head.sized
        self._left_bytes = head.length or 0
        if head.length == 0:
            self._end(True)

    def __iter__(self) -> Iterator[bytes]:
        yield self._read_buffered()
        self._begun = True
        while True:
            data = self.read_some()
            if not data:
                return
            yield data

    def read_some(self, limit_bytes: int = RECEIVE_BYTES) -> bytes:
        """Return the next bytes, or ``b""`` at the verified end.

        :raises ResponseTruncatedError: if the body ended early.
        """
        if self._on_end is None:
            return b""
        try:
            data = self._next_bytes(limit_bytes)
            if self._charge is not None and data:
                self._charge(len(data), self._begun)
            return data
        except Exception as error:
            self._end(False)
            if isinstance(error, MalformedChunkError):
                raise ResponseTruncatedError(error.message) from error
            raise

    def close(self) -> None:
        """Give the connection up if the body was not read to its end."""
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
        if self._until_close:
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
            self._end(True)
            return b""
        return self._stream.take(limit_bytes)

    def _refill(self) -> None:
        if not self._receive():
            raise ResponseTruncatedError

    def _receive(self) -> int:
        try:
            return self._stream.refill(self._stall_s)
        except TimeoutError as error:
            raise ResponseTruncatedError(
                "the backend server stopped sending its answer"
            ) from error
        except OSError as error:
            raise ResponseTruncatedError from error

    def _end(self, complete: bool) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(complete)


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamResponse:
    """An answer whose head has arrived.

    The body must be read to its end or closed; the connection is in use
    until then.

    :param headers: fields without the hop-by-hop ones.
    :param reused: whether the connection had served a request before.
    :param length: stated length of the body; none if there is no statement.
    """

    status: int
    reason: str
    headers: Headers
    body: AnswerBody
    reused: bool
    length: int | None = None

    @property
    def status_line(self) -> str:
        """Return status and reason phrase in WSGI form."""
        return f"{self.status} {self.reason}"
