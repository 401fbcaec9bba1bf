"""Listening socket with admission control and graceful shutdown."""

import contextlib
import errno
import socket
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet import hubs
from eventlet.greenio import GreenSocket
from eventlet.support.greenlets import getcurrent

# Errors for a lack of file descriptors or memory. Accepting works again once
# connections have been closed.
_SHORTAGE = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)
_SHORTAGE_PAUSE_S = 0.05
# Under a steady stream of new connections, the accept loop never waits and
# would otherwise block the event loop.
_ACCEPTS_PER_TURN = 16
# Length of the kernel's queue. After a stop, connections beyond this number
# must have arrived after the listener stopped.
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
    :param admit: decides about each new connection; one that is not admitted
        is left to it.
    :param make_room: called when file descriptors run out.
    """

    def __init__(
        self,
        sock: socket.socket,
        admit: Callable[[GreenSocket], bool],
        make_room: Callable[[], None],
    ) -> None:
        super().__init__(sock)
        self._admit = admit
        self._make_room = make_room
        self._closing = False
        self._left_in_queue = BACKLOG
        self._accepts = 0
        self._waiting: Any = None

    def accept(self) -> tuple[GreenSocket, Any]:
        """Return the next admitted connection.

        :raises ListenerClosedError: after :meth:`stop`, once every connection
            that the kernel had accepted was handed on.
        """
        while True:
            accepted = None
            if not self._closing or self._take_from_queue():
                accepted = self._accept_now()
            if accepted is None:
                self._wait()
                continue
            self._accepts += 1
            if self._accepts % _ACCEPTS_PER_TURN == 0:
                # The exception of stop() may arrive late, here.
                with contextlib.suppress(ListenerClosedError):
                    eventlet.sleep(0)
            client = GreenSocket(accepted[0])
            if self._admit(client):
                return client, accepted[1]

    def stop(self) -> None:
        """Stop accepting once the kernel's queue is empty."""
        self._closing = True
        if self._waiting is not None:
            hubs.get_hub().schedule_call_global(
                0, self._waiting.throw, ListenerClosedError()
            )

    def _take_from_queue(self) -> bool:
        # Without a bound, steady arrivals would keep the listener open.
        self._left_in_queue -= 1
        return self._left_in_queue >= 0

    def _accept_now(self) -> tuple[socket.socket, Any] | None:
        try:
            client, address = self.fd.accept()
        except BlockingIOError:
            return None
        except OSError as error:
            if error.errno in _SHORTAGE:
                self._make_room()
                eventlet.sleep(_SHORTAGE_PAUSE_S)
                return None
            if error.errno == errno.ECONNABORTED:
                return None
            raise
        hubs.notify_opened(client.fileno())
        return client, address

    def _wait(self) -> None:
        if self._closing:
            # Lets the handlers of the last connections start, so that the
            # server does not consider them idle.
            eventlet.sleep(0)
            # The server closes the socket only after its last request; until
            # then the kernel would go on accepting connections.
            self.close()
            raise ListenerClosedError
        self._waiting = getcurrent()
        try:
            hubs.trampoline(self.fd, read=True)
        except ListenerClosedError:
            return
        finally:
            self._waiting = None
