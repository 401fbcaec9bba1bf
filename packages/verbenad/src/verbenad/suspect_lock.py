"""Runs requests that are suspected of causing crashes one at a time."""

from collections.abc import Iterator
from contextlib import contextmanager

import eventlet
from eventlet.semaphore import Semaphore

from verbenad.refusal_error import refusal_error


class SuspectLock:
    """Lets this instance run one suspect request at a time.

    If a backend server then crashes again, its cause is certain.
    """

    def __init__(self) -> None:
        self._semaphore = Semaphore(1)

    @contextmanager
    def acquire(self, request_id: str, wait_s: float) -> Iterator[None]:
        """Hold the lock; wait for it for at most ``wait_s`` seconds.

        :raises RefusalError: if another suspect holds it for all that time.
        """
        acquired = False
        with eventlet.Timeout(max(wait_s, 0.001), False):
            acquired = self._semaphore.acquire()
        if not acquired:
            raise refusal_error("suspect-busy", request_id, retry_after_s=1.0)
        try:
            yield
        finally:
            self._semaphore.release()
