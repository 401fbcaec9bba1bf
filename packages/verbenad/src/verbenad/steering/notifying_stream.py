"""A stream that tells when it ends."""

import math
from collections.abc import Callable, Iterable, Iterator


class NotifyingStream:
    """Streams a long body and calls ``on_end`` once when it is closed."""

    def __init__(
        self, pieces: Iterable[bytes], on_end: Callable[[], None]
    ) -> None:
        self._pieces = pieces
        self._on_end: Callable[[], None] | None = on_end

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._pieces)

    def time_left_s(self) -> float:
        """Return the time left to pass the body on."""
        time_left_s = getattr(self._pieces, "time_left_s", None)
        return math.inf if time_left_s is None else time_left_s()

    def close(self) -> None:
        """End the stream."""
        close = getattr(self._pieces, "close", None)
        if close is not None:
            close()
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end()
