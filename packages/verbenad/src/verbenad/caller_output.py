"""What may still be written on a caller's connection."""

from eventlet.event import Event

from verbenad.socket_stream import SocketStream


class OutputClosedError(ConnectionResetError):
    """No further response may be written on the connection."""

    def __init__(self) -> None:
        super().__init__("the last response of the connection was written")


class CallerOutput:
    """Orders the responses on a caller's connection.

    All bytes to a caller pass through its slots. Once a response has ended
    early, or has announced that the connection closes, nothing more is
    written: the caller would take it for a part of that response, or for a
    response that it did not ask for.

    :ivar closed: whether nothing more may be written.
    """

    __slots__ = ("_last_slot", "_stream", "closed")

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._last_slot: ResponseSlot | None = None
        self.closed = False

    def next_slot(self) -> "ResponseSlot":
        """Return the slot of the next response, in the order of requests.

        Each slot must be ended, whether or not it was written to.
        """
        slot = ResponseSlot(self, self._last_slot)
        self._last_slot = slot
        return slot

    def is_last(self, slot: "ResponseSlot") -> bool:
        """Whether no slot follows yet."""
        return self._last_slot is slot

    def send_all(
        self,
        data: bytes,
        timeout_s: float | None,
        min_bytes_per_s: int | None,
    ) -> None:
        """Send bytes of the slot whose turn it is."""
        if self.closed:
            raise OutputClosedError
        try:
            self._stream.send_all(data, timeout_s, min_bytes_per_s)
        except BaseException:
            # It is not known how much was sent.
            self.closed = True
            raise


class ResponseSlot:
    """The place of one response among those of its connection.

    :param previous: slot of the response before it; none for the first.
    :ivar written: whether any byte may have been sent.
    """

    __slots__ = ("_done", "_output", "_previous", "written")

    def __init__(
        self, output: CallerOutput, previous: "ResponseSlot | None"
    ) -> None:
        self._output = output
        self._previous = previous
        self._done = Event()
        self.written = False

    @property
    def is_last(self) -> bool:
        """Whether no response follows yet."""
        return self._output.is_last(self)

    def wait(self) -> None:
        """Wait until the slot is ended."""
        self._done.wait()

    def wait_for_turn(self) -> None:
        """Wait until the earlier responses are ended."""
        previous, self._previous = self._previous, None
        if previous is not None:
            previous.wait()

    def send_all(
        self,
        data: bytes,
        timeout_s: float | None,
        min_bytes_per_s: int | None = None,
    ) -> None:
        """Send all bytes after the earlier responses.

        :raises OutputClosedError: if one of them was the last that may be
            written.
        :raises OSError: if the connection is closed or too slow.
        """
        self.wait_for_turn()
        if not self._output.closed:
            self.written = True
        self._output.send_all(data, timeout_s, min_bytes_per_s)

    def end(self, *, complete: bool, closes: bool) -> None:
        """End the response after the earlier ones.

        :param complete: whether it was written as a whole.
        :param closes: whether it announced that the connection closes.
        """
        self.wait_for_turn()
        if closes or not complete:
            self._output.closed = True
        self._done.send(None)
