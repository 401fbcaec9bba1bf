"""Bound on the bytes that connections have received and not read."""

from collections.abc import Callable

from verbenad.socket_stream import SocketStream

# Receive buffer of a connection on which a long body arrives. The kernel
# doubles the value for its own use, and queues at most the doubled one.
WIDE_BYTES = 64 << 10
# With smaller buffers, a head takes several round trips.
MIN_NARROW_BYTES = 4 << 10
MAX_NARROW_BYTES = 32 << 10
# Responses arrive with at most this until their length is known.
RESPONSE_BYTES = 16 << 10
KERNEL_FACTOR = 2


class ReceiveWindows:
    """Widens the receive buffers of a limited number of connections.

    Each connection starts with a narrow buffer, so that the sum over all of
    them is bounded whatever their peers send. While a body is received, its
    connection gets a wide one if one is left; otherwise the body arrives in
    smaller parts. The peer may use a wide buffer until the connection closes,
    because a window that was offered cannot be taken back. If none is left,
    the connection is closed that has been without a body for the longest time.

    :param narrow_bytes: receive buffer of an accepted connection.
    :param max_wide: most connections with a wide buffer.
    """

    def __init__(
        self, *, narrow_bytes: int = MAX_NARROW_BYTES, max_wide: int = 1 << 62
    ) -> None:
        self.narrow_bytes = narrow_bytes
        self._max_wide = max_wide
        # What closes each connection if it is idle, and returns whether.
        self._in_use: dict[SocketStream, Callable[[], bool]] = {}
        # Ordered: the first one has been unused for the longest time.
        self._unused: dict[SocketStream, Callable[[], bool]] = {}

    @property
    def wide_count(self) -> int:
        """Number of connections with a wide buffer."""
        return len(self._in_use) + len(self._unused)

    def widen(
        self, stream: SocketStream, close_if_idle: Callable[[], bool]
    ) -> None:
        """Widen the buffer of a connection on which a body arrives.

        :param close_if_idle: closes the connection if it is idle, and returns
            whether it did.
        """
        if stream in self._in_use:
            return
        if self._unused.pop(stream, None) is None:
            if self.wide_count >= self._max_wide and not self._close_one():
                return
            stream.set_receive_buffer(WIDE_BYTES)
        self._in_use[stream] = close_if_idle

    def end_use(self, stream: SocketStream) -> None:
        """Record that no body arrives on a connection any more."""
        close_if_idle = self._in_use.pop(stream, None)
        if close_if_idle is not None:
            self._unused[stream] = close_if_idle

    def forget(self, stream: SocketStream) -> None:
        """Forget a connection that is closed."""
        self._in_use.pop(stream, None)
        self._unused.pop(stream, None)

    def _close_one(self) -> bool:
        for stream, close_if_idle in list(self._unused.items()):
            if close_if_idle():
                self.forget(stream)
                return True
        return False


def head_windows() -> ReceiveWindows:
    """Return the windows of a server whose requests have no long bodies."""
    return ReceiveWindows(narrow_bytes=MIN_NARROW_BYTES, max_wide=0)
