"""Runs suspects of crashes one at a time."""

from collections.abc import Iterator
from contextlib import contextmanager

import eventlet
from eventlet.semaphore import Semaphore

from verbenad.refusal_error import refusal_error


class SuspectLane:
    """Lets one suspect of this instance run at any one time.

    With one suspect in flight, a further crash tells who caused it.
    """

    def __init__(self) -> None:
        self._free = Semaphore(1)

    @contextmanager
    def enter(self, request_id: str, wait_s: float) -> Iterator[None]:
        """Wait for the lane for ``wait_s`` seconds at most.

        :raises RefusalError: if another suspect runs for all that time.
        """
        entered = False
        with eventlet.Timeout(max(wait_s, 0.001), False):
            entered = self._free.acquire()
        if not entered:
            raise refusal_error("suspect-busy", request_id, retry_after_s=1.0)
        try:
            yield
        finally:
            self._free.release()
