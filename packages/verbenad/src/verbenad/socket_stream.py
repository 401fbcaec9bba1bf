"""Buffered reading and writing on one socket.

Eventlet's socket turns a connection reset into an end of stream. A
response that ends with the stream would then look complete after a crash.
Therefore this class calls the operating system's socket and waits on the
event loop itself.
"""

import socket
import time
from typing import Any

import eventlet
from eventlet.hubs import trampoline

RECEIVE_BYTES = 65536
# While a head is awaited, so that a connection holds little besides it.
HEAD_RECEIVE_BYTES = 16384
# A fast transfer always has data ready. Without a yield it would block all
# other connections until it ends.
_MAX_RECEIVES_PER_YIELD = 8


class SocketStream:
    """Reads and writes one socket; works on green and on plain sockets."""

    __slots__ = (
        "_green",
        "_raw",
        "_receives",
        "_send_failed",
        "buffer",
        "is_shut_down",
        "position",
        "received_bytes",
        "sent_any",
        "sent_bytes",
        "sock",
    )

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        raw = getattr(sock, "fd", None)
        self._green = raw is not None
        self._raw = sock if raw is None else raw
        self._receives = 0
        self._send_failed = False
        self.buffer = b""
        self.position = 0
        self.sent_any = False
        # Over the life of the connection.
        self.sent_bytes = 0
        self.received_bytes = 0
        # Whether this side ended the connection.
        self.is_shut_down = False

    @property
    def buffered_bytes(self) -> int:
        """The number of received bytes that have not been read yet."""
        return len(self.buffer) - self.position

    def receive(
        self, timeout_s: float | None, limit_bytes: int = RECEIVE_BYTES
    ) -> bytes:
        """Return the next bytes, or ``b""`` at the end of the stream.

        :raises TimeoutError: if nothing arrives in time.
        :raises OSError: if the connection was reset.
        """
        if timeout_s is not None and timeout_s <= 0:
            raise TimeoutError("no time left to receive")
        data = self._receive(timeout_s, limit_bytes)
        if not data and self._send_failed:
            # The kernel reports a reset once. A send has used up the report,
            # so that the reset looks like a regular end of stream here.
            raise ConnectionResetError("reset while data was being sent")
        return data

    def _receive(self, timeout_s: float | None, limit_bytes: int) -> bytes:
        if not self._green:
            self._raw.settimeout(timeout_s)
            return self._raw.recv(limit_bytes)
        self._receives += 1
        if self._receives > _MAX_RECEIVES_PER_YIELD:
            self._receives = 0
            eventlet.sleep(0)
        while True:
            try:
                return self._raw.recv(limit_bytes)
            except BlockingIOError:
                pass
            self._receives = 0
            trampoline(
                self._raw,
                read=True,
                timeout=timeout_s,
                timeout_exc=TimeoutError,
            )

    def refill(
        self, timeout_s: float | None, limit_bytes: int = RECEIVE_BYTES
    ) -> int:
        """Receive into the buffer and return the number of new bytes.

        Zero means the end of the stream.
        """
        data = self.receive(timeout_s, limit_bytes)
        self.received_bytes += len(data)
        if self.position >= len(self.buffer):
            self.buffer = data
        else:
            self.buffer = self.buffer[self.position :] + data
        self.position = 0
        return len(data)

    def take(self, limit_bytes: int) -> bytes:
        """Return up to ``limit_bytes`` received bytes without waiting."""
        start = self.position
        end = start + limit_bytes
        if end >= len(self.buffer):
            data = self.buffer[start:] if start else self.buffer
            self.buffer = b""
            self.position = 0
            return data
        self.position = end
        return self.buffer[start:end]

    def send_all(
        self,
        data: bytes,
        timeout_s: float | None,
        min_bytes_per_s: int | None = None,
    ) -> None:
        """Send all bytes.

        :param timeout_s: time for all bytes; with a minimum rate, the
            longest wait until the peer accepts more.
        :param min_bytes_per_s: minimum rate; extends the total time by the
            time that the bytes take at this rate.
        :raises TimeoutError: if the peer is too slow.
        :raises OSError: if the connection is closed or reset.
        """
        if timeout_s is not None and timeout_s <= 0:
            raise TimeoutError("no time left to send")
        sent = self._send(data, timeout_s)
        self.sent_any = True
        self.sent_bytes += sent
        if sent == len(data):
            return
        rest = memoryview(data)[sent:]
        if timeout_s is None:
            while rest:
                rest = self._send_some(rest, None)
            return
        end_s = time.monotonic() + timeout_s
        if min_bytes_per_s is not None:
            end_s += len(rest) / min_bytes_per_s
        while rest:
            left_s = min(timeout_s, end_s - time.monotonic())
            if left_s <= 0:
                raise TimeoutError("the peer receives the data too slowly")
            rest = self._send_some(rest, left_s)

    def _send_some(
        self, rest: memoryview, timeout_s: float | None
    ) -> memoryview:
        sent = self._send(rest, timeout_s)
        self.sent_bytes += sent
        return rest[sent:]

    def _send(self, data: bytes | memoryview, timeout_s: float | None) -> int:
        try:
            return self._send_once(data, timeout_s)
        except TimeoutError:
            raise
        except OSError:
            self._send_failed = True
            raise

    def _send_once(
        self, data: bytes | memoryview, timeout_s: float | None
    ) -> int:
        if not self._green:
            self._raw.settimeout(timeout_s)
            return self._raw.send(data)
        while True:
            try:
                return self._raw.send(data)
            except BlockingIOError:
                pass
            trampoline(
                self._raw,
                write=True,
                timeout=timeout_s,
                timeout_exc=TimeoutError,
            )

    def has_input(self) -> bool:
        """Return whether data, an end of stream or an error is waiting."""
        if self.position < len(self.buffer):
            return True
        if not self._green:
            self._raw.settimeout(0)
        try:
            self._raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def set_receive_buffer(self, size: int) -> None:
        """Set the size of the kernel's receive buffer, in bytes."""
        try:
            self._raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        except OSError:
            # The connection was closed.
            return

    def shut_down_reading(self) -> None:
        """End the input; wakes a greenlet that waits for it."""
        try:
            self._raw.shutdown(socket.SHUT_RD)
        except OSError:
            return

    def shutdown(self) -> None:
        """Shut down both directions; wakes greenlets waiting on the socket."""
        self.is_shut_down = True
        try:
            self._raw.shutdown(socket.SHUT_RDWR)
        except OSError:
            return
