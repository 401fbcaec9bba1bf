"""Writes log lines without ever blocking the event loop."""

import os
import select
import stat

from eventlet.patcher import original

_poll = original("select").poll
# A writable pipe takes this much without blocking (PIPE_BUF).
_MAX_PIPE_WRITE_BYTES = 4096
# Line separators that JSON allows in strings, as UTF-8, and their escapes.
_SEPARATOR_ESCAPES = {
    "\x85".encode(): rb"\u0085",
    "\u2028".encode(): rb"\u2028",
    "\u2029".encode(): rb"\u2029",
}


class LineWriter:
    """Buffers whole lines and writes what the file accepts without blocking.

    When a reader of standard output stalls, lines beyond the buffer are
    dropped and counted; serving requests goes on.

    :param descriptor: file descriptor to write to.
    :param buffer_bytes: largest size of the buffer.
    :param flush_bytes: size of the buffer at which a write starts.
    """

    def __init__(
        self,
        descriptor: int,
        *,
        buffer_bytes: int = 1 << 20,
        flush_bytes: int = 16384,
    ) -> None:
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._buffer_bytes = buffer_bytes
        self._flush_bytes = flush_bytes
        self._buffer = bytearray()
        self._next_flush_bytes = flush_bytes
        mode = os.fstat(descriptor).st_mode
        self._poll = None if stat.S_ISREG(mode) else _poll()
        if self._poll is not None:
            self._poll.register(descriptor, select.POLLOUT)

    def write(self, line: bytes) -> None:
        """Add one line of JSON, without its line break."""
        if not line.isascii():
            line = _escape_separators(line)
        if len(self._buffer) + len(line) >= self._buffer_bytes:
            self.dropped_lines += 1
            return
        self._buffer += line
        self._buffer += b"\n"
        if len(self._buffer) >= self._next_flush_bytes:
            self.flush()
            self._next_flush_bytes = len(self._buffer) + self._flush_bytes

    def flush(self) -> None:
        """Write what the file accepts now; call it regularly and at exit."""
        while self._buffer:
            chunk = self._buffer
            if self._poll is not None:
                if not self._is_writable():
                    return
                chunk = self._buffer[:_MAX_PIPE_WRITE_BYTES]
            try:
                written = os.write(self._descriptor, chunk)
            except OSError:
                # The reader closed the pipe, so the error cannot be logged.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _is_writable(self) -> bool:
        assert self._poll is not None
        return bool(self._poll.poll(0))


def _escape_separators(line: bytes) -> bytes:
    for separator, escape in _SEPARATOR_ESCAPES.items():
        line = line.replace(separator, escape)
    return line
