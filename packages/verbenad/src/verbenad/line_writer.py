"""Writes log lines without ever blocking the event loop."""

import os
import select
import stat

from eventlet.patcher import original

_poll = original("select").poll
# A writable pipe takes this much without blocking (PIPE_BUF).
_PIECE_BYTES = 4096


class LineWriter:
    """Buffers whole lines and writes what the file accepts without blocking.

    When a reader of standard output stalls, lines beyond the buffer are
    dropped and counted; serving requests goes on.

    :param descriptor: file descriptor to write to.
    :param buffer_bytes: most bytes to hold.
    :param flush_bytes: held bytes that start a write.
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
        self._held = bytearray()
        self._next_flush_bytes = flush_bytes
        mode = os.fstat(descriptor).st_mode
        self._poll = None if stat.S_ISREG(mode) else _poll()
        if self._poll is not None:
            self._poll.register(descriptor, select.POLLOUT)

    def write(self, line: bytes) -> None:
        """Add one line, without its line break."""
        if len(self._held) + len(line) >= self._buffer_bytes:
            self.dropped_lines += 1
            return
        self._held += line
        self._held += b"\n"
        if len(self._held) >= self._next_flush_bytes:
            self.flush()
            self._next_flush_bytes = len(self._held) + self._flush_bytes

    def flush(self) -> None:
        """Write what the file takes now; call it regularly and at the end."""
        while self._held:
            piece = self._held
            if self._poll is not None:
                if not self._is_writable():
                    return
                piece = self._held[:_PIECE_BYTES]
            try:
                written = os.write(self._descriptor, piece)
            except OSError:
                # The reader closed the file, so nobody can be notified.
                self._held.clear()
                return
            del self._held[:written]

    def _is_writable(self) -> bool:
        assert self._poll is not None
        return bool(self._poll.poll(0))
