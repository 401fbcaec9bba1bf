"""Listening socket with admission control and graceful shutdown."""

import contextlib
import errno
import functools
import socket
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet import hubs
from eventlet.greenio import GreenSocket

from verbenad.interruptible_wait import (
    InterruptibleWait,
    WaitInterruptedError,
)

# Out of file descriptors or memory: accepting works again once connections
# have closed.
_RESOURCE_ERRNOS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)
_RESOURCE_RETRY_DELAY_S = 0.05
# Under a continuous stream of new connections, the accept loop would otherwise
# never yield to the event loop.
_MAX_ACCEPTS_PER_YIELD = 16
# Length of the kernel's accept queue, in connections. After a stop, any
# connection beyond this number arrived after the stop.
BACKLOG = 1024


class ListenerClosedError(OSError):
    """The listener stopped accepting.

    Eventlet's accept loop ends quietly on this error number.
    """

    def __init__(self) -> None:
        super().__init__(errno.ESHUTDOWN, "the listener stopped accepting")


class Listener(GreenSocket):
    """Accepts connections for eventlet's server.

    :param sock: a listening socket of the operating system.
    :param admit: decides whether to serve a new connection; it must close the
        connections that it does not admit.
    :param free_descriptor: called when file descriptors run out.
    """

    def __init__(
        self,
        sock: socket.socket,
        admit: Callable[[GreenSocket], bool],
        free_descriptor: Callable[[], None],
    ) -> None:
        super().__init__(sock)
        self._admit = admit
        self._free_descriptor = free_descriptor
        self._closing = False
        self._remaining_accepts = BACKLOG
        self._accepts = 0
        self._connection_wait = InterruptibleWait()

    def accept(self) -> tuple[GreenSocket, Any]:
        """Return the next admitted connection.

        :raises ListenerClosedError: after :meth:`stop`, once every connection
            that the kernel had accepted was handed on.
        """
        while True:
            accepted = None
            if not self._closing or self._claim_queued_accept():
                accepted = self._accept_now()
            if accepted is None:
                self._wait_for_connection()
                continue
            self._accepts += 1
            if self._accepts % _MAX_ACCEPTS_PER_YIELD == 0:
                eventlet.sleep(0)
            client = GreenSocket(accepted[0])
            if self._admit(client):
                return client, accepted[1]

    def stop(self) -> None:
        """Stop accepting once the kernel's queue is empty."""
        self._closing = True
        self._connection_wait.interrupt()

    def _claim_queued_accept(self) -> bool:
        # Without a bound, steady arrivals would keep the listener open.
        self._remaining_accepts -= 1
        return self._remaining_accepts >= 0

    def _accept_now(self) -> tuple[socket.socket, Any] | None:
        try:
            client, address = self.fd.accept()
        except BlockingIOError:
            return None
        except OSError as error:
            if error.errno in _RESOURCE_ERRNOS:
                self._free_descriptor()
                eventlet.sleep(_RESOURCE_RETRY_DELAY_S)
                return None
            if error.errno == errno.ECONNABORTED:
                return None
            raise
        hubs.notify_opened(client.fileno())
        return client, address

    def _wait_for_connection(self) -> None:
        if self._closing:
            # Lets the handlers of the last connections start, so that the
            # server does not consider them idle.
            eventlet.sleep(0)
            # The server closes the socket only after its last request; until
            # then the kernel would go on accepting connections.
            self.close()
            raise ListenerClosedError
        # After an interruption, accept() calls this again.
        with contextlib.suppress(WaitInterruptedError):
            self._connection_wait.run(
                functools.partial(hubs.trampoline, self.fd, read=True)
            )
