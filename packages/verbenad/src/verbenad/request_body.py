"""Request bodies received from callers."""

import math
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from eventlet import wsgi

from verbenad.chunked_decoder import ChunkedDecoder
from verbenad.held_bytes import HeldBytes, Holding
from verbenad.protocol_errors import (
    BodyTooLargeError,
    BodyTooShortError,
    BodyTooSlowError,
    MemoryFullError,
)
from verbenad.socket_stream import RECEIVE_BYTES, SocketStream


@dataclass(frozen=True, kw_only=True, slots=True)
class BodyLimits:
    """Limits on one body.

    :param body_bytes: largest body.
    :param stall_s: longest wait for more bytes.
    :param grace_s: time spent waiting for the sender before the minimum
        rate applies.
    :param min_bytes_per_s: minimum rate over the time spent waiting for the
        sender; time during which the application does not read is excluded.
    """

    body_bytes: int = 1 << 30
    stall_s: float = 10.0
    grace_s: float = 10.0
    min_bytes_per_s: int = 1024


class RequestBody(wsgi.Input):
    """Reads a request body.

    Every read of an incomplete or invalid body raises a ``BodyError``.

    ``b""`` is returned only at the verified end of the body.

    :param stream: the caller's connection.
    :param content_length: value of Content-Length; none means no body unless
        chunked.
    :param chunked: whether the body is in chunked coding.
    :param limits: limits on the body.
    :param send_continue: called once before the first wait for the sender.
    :param on_receive: called once before the first wait for the sender, if
        any.
    :param holding: the bytes held for the request; by default, without a
        limit.
    """

    def __init__(
        self,
        stream: SocketStream,
        *,
        content_length: int | None,
        chunked: bool,
        limits: BodyLimits,
        send_continue: Callable[[], None] | None = None,
        on_receive: Callable[[], None] | None = None,
        holding: Holding | None = None,
    ) -> None:
        self.holding = holding or HeldBytes().open()
        self.content_length = content_length
        self.chunked_input = chunked
        self._stream = stream
        self._limits = limits
        self._send_continue = send_continue
        self._on_receive = on_receive
        self._end_s = math.inf
        self._decoder = (
            ChunkedDecoder(stream, self._refill, limits_framing=True)
            if chunked
            else None
        )
        self._remaining_bytes = content_length or 0
        self._read_bytes = 0
        self._waited_s = 0.0
        self._received_bytes = 0
        self._prefix = b""
        self._prefix_position = 0
        self._held_prefix_bytes = 0
        self.failed = False
        # Whether the body is received before the request can run.
        self.is_prefetching = False

    @property
    def exists(self) -> bool:
        """Whether the request has a body, even an empty one."""
        return self.chunked_input or self.content_length is not None

    @property
    def received(self) -> bool:
        """Whether the complete body has been received."""
        if self._decoder is not None:
            return self._decoder.finished
        return not self._remaining_bytes

    @property
    def waits_for_continue(self) -> bool:
        """Whether the caller still waits for ``100 Continue``."""
        return self._send_continue is not None

    @property
    def remaining_bytes(self) -> int | None:
        """Bytes that have not been read yet; none if not known."""
        return None if self._decoder is not None else self._remaining_bytes

    @property
    def replayable(self) -> bool:
        """Whether :meth:`rewind` can return to the first byte."""
        return self.received and self._read_bytes == len(self._prefix)

    @property
    def at_start(self) -> bool:
        """Whether the next read returns the first byte."""
        return self._prefix_position == 0 and self._read_bytes == len(
            self._prefix
        )

    @property
    def can_send_from_start(self) -> bool:
        """Whether an attempt can still send the body from its first byte."""
        return self.at_start or self.replayable

    @property
    def prefix(self) -> bytes:
        """The buffered first bytes of the body."""
        return self._prefix

    def limit_time(self, left_s: float) -> None:
        """Set the time that is left to receive the body.

        Later waits raise ``BodyTooSlowError``; what was received can be read.
        """
        self._end_s = time.monotonic() + left_s

    def prefetch(self, limit_bytes: int) -> bool:
        """Buffer up to ``limit_bytes``; return whether the body is complete.

        Bytes are received only once the holding was granted them. While the
        caller sends, the holding may be dropped.

        :raises BodyError: if the body cannot be read.
        :raises ValueError: if a part of it has already been read.
        """
        self._check_at_start()
        self._check_size()
        self.is_prefetching = True
        self.holding.set_droppable(True)
        granted_bytes = 0
        # Small pieces in a list would take many times their size.
        collected = bytearray(self._prefix)
        try:
            while len(collected) < limit_bytes and not self.received:
                granted_bytes += self._ask(
                    limit_bytes, granted_bytes - len(collected)
                )
                piece = self._read_stream(limit_bytes - len(collected))
                collected += piece
                self.holding.record_progress(len(piece))
            self._check_end(limit_bytes)
        finally:
            self.is_prefetching = False
            self.holding.set_droppable(False)
            self.holding.shrink(granted_bytes - len(collected))
        self._prefix = bytes(collected)
        self._held_prefix_bytes = len(collected)
        return self.received

    def release(self) -> None:
        """Return the bytes of a body that is not sent again."""
        if self.received:
            self._drop_prefix()
            self._read_bytes = 0

    def hold_first_piece(self) -> None:
        """Buffer the first bytes, without consuming them.

        :raises BodyError: if the body cannot be read.
        :raises ValueError: if a part of it has already been read.
        """
        self._check_at_start()
        if not self._prefix:
            self._prefix = self._read_stream(RECEIVE_BYTES)

    def rewind(self) -> None:
        """Return to the first byte.

        :raises ValueError: if the body is not replayable.
        """
        if not self.replayable:
            raise ValueError("the body is not fully buffered")
        self._prefix_position = 0

    def read_some(self, limit_bytes: int = RECEIVE_BYTES) -> bytes:
        """Return the next bytes, or ``b""`` at the end of the body.

        :raises BodyError: if the body cannot be read.
        """
        if self._prefix_position < len(self._prefix):
            start = self._prefix_position
            self._prefix_position = min(start + limit_bytes, len(self._prefix))
            return self._prefix[start : self._prefix_position]
        data = self._read_stream(limit_bytes)
        if data and self._held_prefix_bytes:
            # A body that is longer than its buffered part is not sent again.
            self._drop_prefix()
        return data

    def read(self, length: int | None = None) -> bytes:
        """Return ``length`` bytes, or fewer at the end of the body.

        :raises BodyError: if the body cannot be read.
        """
        remaining = None if length is None or length < 0 else length
        pieces: list[bytes] = []
        while remaining is None or remaining > 0:
            piece = self.read_some(
                RECEIVE_BYTES
                if remaining is None
                else min(remaining, RECEIVE_BYTES)
            )
            if not piece:
                break
            pieces.append(piece)
            if remaining is not None:
                remaining -= len(piece)
        return b"".join(pieces)

    def readline(self, size: int | None = None) -> bytes:
        """Return one line of the body."""
        limit = -1 if size is None else size
        line = bytearray()
        while limit < 0 or len(line) < limit:
            piece = self.read_some(1)
            line += piece
            if not piece or piece == b"\n":
                break
        return bytes(line)

    def readlines(self, hint: int | None = None) -> list[bytes]:
        """Return lines of the body, up to ``hint`` bytes."""
        lines: list[bytes] = []
        collected_bytes = 0
        for line in iter(self.readline, b""):
            lines.append(line)
            collected_bytes += len(line)
            if hint and collected_bytes >= hint:
                break
        return lines

    def __iter__(self) -> Iterator[bytes]:
        return iter(self.readline, b"")

    def _drop_prefix(self) -> None:
        self.holding.shrink(self._held_prefix_bytes)
        self._held_prefix_bytes = 0
        self._prefix = b""
        self._prefix_position = 0

    def _ask(self, limit_bytes: int, spare_bytes: int) -> int:
        """Ask for the bytes of the next piece; return how many are granted.

        A body of known length is granted as a whole, so that bodies which are
        received at the same time do not prevent each other from ending.
        """
        if self._decoder is None:
            wanted_bytes = min(self._remaining_bytes, limit_bytes)
        else:
            wanted_bytes = RECEIVE_BYTES
        if spare_bytes >= min(wanted_bytes, RECEIVE_BYTES):
            return 0
        if not self.holding.try_grow(wanted_bytes - spare_bytes):
            self.failed = True
            raise MemoryFullError
        return wanted_bytes - spare_bytes

    def _check_end(self, limit_bytes: int) -> None:
        # A longer body is not within the limit; without a check here, it would
        # be sent to a backend server before that is known.
        if self._limits.body_bytes > limit_bytes or self.received:
            return
        if self._read_stream(1):
            raise BodyTooLargeError

    def _check_at_start(self) -> None:
        if not self.at_start:
            raise ValueError("a part of the body was read already")

    def _read_stream(self, limit_bytes: int) -> bytes:
        if self.received:
            return b""
        try:
            data = self._next_bytes(limit_bytes)
        except Exception:
            self.failed = True
            raise
        self._read_bytes += len(data)
        return data

    def _next_bytes(self, limit_bytes: int) -> bytes:
        self._check_size()
        if self._decoder is not None:
            data = self._decoder.read_some(limit_bytes)
            if self._read_bytes + len(data) > self._limits.body_bytes:
                raise BodyTooLargeError
            return data
        if not self._stream.buffered_bytes:
            self._refill()
        data = self._stream.take(min(limit_bytes, self._remaining_bytes))
        self._remaining_bytes -= len(data)
        return data

    def _check_size(self) -> None:
        if (self.content_length or 0) > self._limits.body_bytes:
            self.failed = True
            raise BodyTooLargeError

    def _refill(self) -> None:
        if self._on_receive is not None:
            on_receive, self._on_receive = self._on_receive, None
            on_receive()
        if self._send_continue is not None:
            send, self._send_continue = self._send_continue, None
            send()
        started_s = time.monotonic()
        try:
            count = self._stream.refill(
                min(self._limits.stall_s, self._end_s - started_s)
            )
        except TimeoutError as error:
            raise BodyTooSlowError from error
        except OSError as error:
            raise BodyTooShortError from error
        if self.holding.dropped:
            raise MemoryFullError
        if not count:
            raise BodyTooShortError
        self._waited_s += time.monotonic() - started_s
        self._received_bytes += count
        limits = self._limits
        if (
            self._waited_s > limits.grace_s
            and self._received_bytes < self._waited_s * limits.min_bytes_per_s
        ):
            raise BodyTooSlowError
