"""Counts the bytes of a response that is streamed to its caller."""

from collections.abc import Iterator

from verbenad.held_bytes import Holding
from verbenad.response_stream import ResponseStream
from verbenad.socket_stream import RECEIVE_BYTES


class HeldResponse:
    """A WSGI result whose holding may be dropped while the caller receives.

    :param stream: the body of the response.
    :param holding: the bytes held for the request.
    """

    def __init__(self, stream: ResponseStream, holding: Holding) -> None:
        self._stream = stream
        self._holding = holding
        # The server has run the request, so that it is not refused any more.
        holding.grow(RECEIVE_BYTES)

    def __iter__(self) -> Iterator[bytes]:
        for piece in self._stream:
            self._holding.set_droppable(True)
            yield piece
            # While the server has to send, the caller is not to blame.
            self._holding.set_droppable(False)

    def close(self) -> None:
        """End the attempt if the response was not read completely."""
        self._stream.close()
