"""Strict decoder of the chunked transfer coding (RFC 9112 section 7.1)."""

import re
from collections.abc import Callable

from verbenad.decode_turns import TURNS
from verbenad.http_syntax import parse_header_lines
from verbenad.protocol_errors import (
    ChunksTooSmallError,
    MalformedChunkError,
    ProtocolError,
)
from verbenad.socket_stream import SocketStream

# Framing, which is all except the data, is at most this long and at most this
# many times as long as the data. A chunk of one byte has 5 bytes of framing.
FREE_FRAMING_BYTES = 65536
MAX_FRAMING_RATIO = 32
# Chunks that are decoded before other connections get a turn; less than 1 ms.
CHUNKS_PER_TURN = 512
_SIZE = rb"([0-9A-Fa-f]{1,15})(?:[ \t]*;[\t\x20-\x7e\x80-\xff]*)?"
_SIZE_LINE = re.compile(_SIZE)
# The end of a chunk and of a body without trailers.
_PLAIN_END = b"\r\n0\r\n\r\n"
# The end of a chunk and the size line of the next one.
_NEXT_CHUNK = re.compile(rb"\r\n" + _SIZE + rb"\r\n")
_MAX_SIZE_LINE_BYTES = 1024
_MAX_TRAILER_BYTES = 8192


class ChunkedDecoder:
    """Reads one chunked body; trailers are checked and discarded.

    :param stream: the stream that buffers the encoded bytes.
    :param refill: waits for more bytes in the stream's buffer; raises if
        no more can arrive.
    :param limits_framing: whether framing may only be ``MAX_FRAMING_RATIO``
        times as long as the data.
    """

    __slots__ = (
        "_chunk_remaining_bytes",
        "_chunks_in_turn",
        "_data_bytes",
        "_framing_bytes",
        "_limits_framing",
        "_refill",
        "_started",
        "_stream",
        "finished",
    )

    def __init__(
        self,
        stream: SocketStream,
        refill: Callable[[], None],
        *,
        limits_framing: bool = False,
    ) -> None:
        self._stream = stream
        self._refill = refill
        self._limits_framing = limits_framing
        self._chunk_remaining_bytes = 0
        self._chunks_in_turn = 0
        self._data_bytes = 0
        self._framing_bytes = 0
        self._started = False
        self.finished = False

    def read_some(self, limit_bytes: int) -> bytes:
        """Return the next bytes of the body, or ``b""`` at its end.

        :raises MalformedChunkError: if the coding is malformed.
        :raises ChunksTooSmallError: if the framing is over the limit.
        """
        if self._chunks_in_turn >= CHUNKS_PER_TURN:
            self._chunks_in_turn = 0
            TURNS.wait()
        while not self.finished:
            if not self._chunk_remaining_bytes:
                self._next_chunk()
                continue
            if not self._stream.buffered_bytes:
                self._refill()
            data = self._take_buffered(limit_bytes)
            self._data_bytes += len(data)
            self._check_framing()
            return data
        return b""

    def _take_buffered(self, limit_bytes: int) -> bytes:
        """Decode buffered bytes without waiting; at least one byte."""
        stream = self._stream
        remaining = self._chunk_remaining_bytes
        available_bytes = min(limit_bytes, stream.buffered_bytes)
        if remaining > available_bytes:
            self._chunk_remaining_bytes -= available_bytes
            return stream.take(available_bytes)
        buffer, position = stream.buffer, stream.position
        data = bytearray()
        count = 0
        while True:
            end = position + min(remaining, limit_bytes - len(data))
            piece = buffer[position:end]
            data += piece
            position += len(piece)
            remaining -= len(piece)
            if remaining or count >= CHUNKS_PER_TURN:
                break
            head = _NEXT_CHUNK.match(buffer, position)
            # The last chunk and what cannot be decoded yet are left in the
            # buffer for the next read.
            if head is None or head.end() - position > _MAX_SIZE_LINE_BYTES:
                break
            size = int(head[1], 16)
            if not size:
                break
            count += 1
            self._framing_bytes += head.end() - position
            position = head.end()
            remaining = size
        if not remaining and buffer.startswith(_PLAIN_END, position):
            position += len(_PLAIN_END)
            self.finished = True
        self._chunks_in_turn += count
        self._chunk_remaining_bytes = remaining
        stream.take(position - stream.position)
        return bytes(data)

    def _check_framing(self) -> None:
        if (
            self._limits_framing
            and self._framing_bytes
            > FREE_FRAMING_BYTES + MAX_FRAMING_RATIO * self._data_bytes
        ):
            raise ChunksTooSmallError

    def _next_chunk(self) -> None:
        if self._started:
            self._read_chunk_end()
        self._started = True
        line = self._read_line(_MAX_SIZE_LINE_BYTES)
        match = _SIZE_LINE.fullmatch(line)
        if match is None:
            raise MalformedChunkError("a chunk size is malformed")
        self._chunks_in_turn += 1
        self._framing_bytes += len(line) + 4
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
