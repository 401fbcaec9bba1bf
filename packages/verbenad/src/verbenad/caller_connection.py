"""The caller's connection, as seen by the application."""

from verbenad.cancellation import Cancellation
from verbenad.socket_stream import SocketStream


class CallerConnection:
    """The connection of the caller whose request is running.

    The application finds it in ``environ["verbena.caller"]``.

    :param stream: the caller's connection.
    """

    __slots__ = ("cancellation", "stream")

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self.cancellation = Cancellation()

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has closed its connection."""
        return self.cancellation.cancelled
