"""Strict decoder of the chunked transfer coding (RFC 9112 section 7.1)."""

import re
from collections.abc import Callable

from verbenad.http_syntax import parse_header_lines
from verbenad.protocol_errors import MalformedChunkError, ProtocolError
from verbenad.socket_stream import SocketStream

_SIZE_LINE = re.compile(
    rb"([0-9A-Fa-f]{1,15})(?:[ \t]*;[\t\x20-\x7e\x80-\xff]*)?"
)
_MAX_SIZE_LINE_BYTES = 1024
_MAX_TRAILER_BYTES = 8192


class ChunkedDecoder:
    """Reads one chunked body; trailers are checked and discarded.

    :param stream: the stream that buffers the encoded bytes.
    :param refill: waits for more bytes in the stream's buffer; raises if
        no more can arrive.
    """

    __slots__ = (
        "_chunk_remaining_bytes",
        "_refill",
        "_started",
        "_stream",
        "finished",
    )

    def __init__(
        self, stream: SocketStream, refill: Callable[[], None]
    ) -> None:
        self._stream = stream
        self._refill = refill
        self._chunk_remaining_bytes = 0
        self._started = False
        self.finished = False

    def read_some(self, limit_bytes: int) -> bytes:
        """Return the next bytes of the body, or ``b""`` at its end.

        :raises MalformedChunkError: if the coding is malformed.
        """
        pieces: list[bytes] = []
        held_bytes = 0
        while not self.finished and held_bytes < limit_bytes:
            if pieces and not self._stream.buffered_bytes:
                break
            if not self._chunk_remaining_bytes:
                if pieces and not self._line_is_buffered():
                    break
                self._next_chunk()
                continue
            if not self._stream.buffered_bytes:
                self._refill()
            piece = self._stream.take(
                min(self._chunk_remaining_bytes, limit_bytes - held_bytes)
            )
            self._chunk_remaining_bytes -= len(piece)
            held_bytes += len(piece)
            pieces.append(piece)
        return pieces[0] if len(pieces) == 1 else b"".join(pieces)

    def _line_is_buffered(self) -> bool:
        # The CRLF after the chunk data and the next size line are two lines.
        stream = self._stream
        first = stream.buffer.find(b"\n", stream.position)
        return first >= 0 and stream.buffer.find(b"\n", first + 1) >= 0

    def _next_chunk(self) -> None:
        if self._started:
            self._read_chunk_end()
        self._started = True
        match = _SIZE_LINE.fullmatch(self._read_line(_MAX_SIZE_LINE_BYTES))
        if match is None:
            raise MalformedChunkError("a chunk size is malformed")
        self._chunk_remaining_bytes = int(match.group(1), 16)
        if not self._chunk_remaining_bytes:
            self._discard_trailers()
            self.finished = True

    def _read_chunk_end(self) -> None:
        while self._stream.buffered_bytes < 2:
            self._refill()
        if self._stream.take(2) != b"\r\n":
            raise MalformedChunkError("a chunk is longer than its size")

    def _discard_trailers(self) -> None:
        remaining_bytes = _MAX_TRAILER_BYTES
        while True:
            line = self._read_line(remaining_bytes)
            if not line:
                return
            remaining_bytes -= len(line)
            try:
                parse_header_lines(line.decode("latin-1") + "\r\n")
            except ProtocolError as error:
                raise MalformedChunkError("a trailer is malformed") from error

    def _read_line(self, limit_bytes: int) -> bytes:
        stream = self._stream
        while True:
            end = stream.buffer.find(b"\n", stream.position)
            held_bytes = (
                stream.buffered_bytes if end < 0 else end - stream.position
            )
            if held_bytes > limit_bytes:
                raise MalformedChunkError("a line of the body is too long")
            if end >= 0:
                line = stream.take(held_bytes + 1)
                if not line.endswith(b"\r\n"):
                    raise MalformedChunkError("a line ends in a bare LF")
                return line[:-2]
            self._refill()
