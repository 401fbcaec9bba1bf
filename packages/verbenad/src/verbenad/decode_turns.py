"""Turns of the bodies whose decoding takes much time."""

import eventlet
from eventlet.semaphore import Semaphore


class DecodeTurns:
    """Lets only one body continue in each pass of the event loop.

    If each body only yielded, one pass of the loop would take as long as a
    turn of all of them together, and other connections would wait for it.
    """

    def __init__(self) -> None:
        self._semaphore = Semaphore()

    def wait(self) -> None:
        """Wait for the next turn, and for one pass of the event loop."""
        with self._semaphore:
            eventlet.sleep(0)


# All bodies share the one thread of the process.
TURNS = DecodeTurns()
