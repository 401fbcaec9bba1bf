"""HTTP server for callers."""

import functools
import secrets
import select
import socket
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

import eventlet
import logbook
from eventlet import wsgi
from eventlet.event import Event
from eventlet.greenio import GreenSocket
from eventlet.patcher import original

from verbenad.caller_output import CallerOutput
from verbenad.held_bytes import HeldBytes
from verbenad.http_protocol import HttpProtocol
from verbenad.http_server_limits import HttpServerLimits
from verbenad.listener import BACKLOG, Listener
from verbenad.pipelined_protocol import PipelinedProtocol
from verbenad.receive_windows import ReceiveWindows
from verbenad.refusal import NOT_RUN, make_refusal
from verbenad.response_writer import ResponseWriter
from verbenad.socket_stream import SocketStream

Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]

_log = logbook.Logger("verbenad.front")
# Connections over the limit that are sent a refusal at the same time; others
# are closed without a response.
_MAX_CONCURRENT_REFUSALS = 32
_REFUSAL_TIMEOUT_S = 0.5
_ABORT_TIMEOUT_S = 1.0
# Greenlets beyond the connection limit, for handlers of connections that are
# still closing.
_EXTRA_HANDLERS = 256
# Connections over the limit, instead of others whose requests were dropped: a
# share of the limit, and the most.
_CLOSING_SHARE = 0.1
_MAX_CLOSING_CONNECTIONS = 200
# Eventlet's replacement of the module lacks poll.
_poll = original("select").poll
_DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class HttpServer:
    """Serves a WSGI application to callers.

    Beside the standard keys, the application's ``environ`` holds
    ``verbena.head`` (:class:`~verbenad.request_head.RequestHead`) and
    ``verbena.caller``
    (:class:`~verbenad.caller_connection.CallerConnection`); its
    ``wsgi.input`` is a :class:`~verbenad.request_body.RequestBody`. An
    exception raised while the result is iterated aborts the response, so that
    the caller notices the failure.

    :param application: the WSGI application.
    :param host: IP address to listen on.
    :param port: port to listen on; 0 lets the system choose.
    :param pipelined: whether requests without a body that wait on one
        connection run at the same time; responses keep their order.
    :param held_bytes: bounds what is held for callers; by default, nothing
        does.
    :param receive_windows: bounds what callers send before it is read.
    """

    def __init__(
        self,
        application: Application,
        *,
        host: str,
        port: int,
        limits: HttpServerLimits | None = None,
        pipelined: bool = False,
        held_bytes: HeldBytes | None = None,
        receive_windows: ReceiveWindows | None = None,
    ) -> None:
        self.held_bytes = held_bytes or HeldBytes()
        self.receive_windows = receive_windows or ReceiveWindows()
        self.application = application
        self._protocol = PipelinedProtocol if pipelined else HttpProtocol
        self.limits = limits or HttpServerLimits()
        self.draining = False
        self.connections: set[HttpProtocol] = set()
        self.running: set[HttpProtocol] = set()
        # Ordered: the first one has been idle for the longest time.
        self.idle: dict[HttpProtocol, None] = {}
        self.counters: Counter[str] = Counter()
        self._running_refusals = 0
        # Counted at admission, because the handler that adds the connection
        # to the set starts later.
        self._open_connections = 0
        self._listener = Listener(
            _listen(host, port, self.receive_windows.narrow_bytes),
            self._admit,
            self._close_longest_idle,
        )
        self.address: tuple[str, int] = self._listener.getsockname()[:2]
        self._server: Any = None
        self._watcher: Any = None
        # The watcher waits for this event while no request is running.
        self._running_event: Event | None = None

    def start(self) -> None:
        """Start accepting connections."""
        self._server = eventlet.spawn(self._serve)
        if self.limits.disconnect_check_period_s is not None:
            self._caller_check = eventlet.spawn(
                self._check_callers_periodically,
                self.limits.disconnect_check_period_s,
            )

    def drain(self) -> None:
        """Close each connection after its current or next response."""
        self.draining = True

    def close(self, limit_s: float | None = None) -> bool:
        """Stop accepting and wait until the running requests are finished.

        :param limit_s: time after which the remaining connections are
            aborted.
        :return: whether every request was finished.
        """
        self.drain()
        self._listener.stop()
        finished = True
        with eventlet.Timeout(limit_s, False):
            self._wait_until_closed()
        if self.connections:
            finished = not self.running
            self.abort()
            with eventlet.Timeout(_ABORT_TIMEOUT_S, False):
                self._server.wait()
        if self._caller_check is not None:
            self._caller_check.kill()
        return finished

    def abort(self) -> None:
        """Close all connections and cancel their requests."""
        for connection in list(self.connections):
            connection.stream.shutdown()
            connection.cancel_requests()

    def add_connection(self, connection: HttpProtocol) -> None:
        """Register an open connection."""
        self.connections.add(connection)

    def remove_connection(self, connection: HttpProtocol) -> None:
        """Remove a connection on which nothing more is served."""
        self.connections.discard(connection)

    def release_connection(self, connection: HttpProtocol) -> None:
        """Stop to count a connection as open; repeated calls do nothing."""
        if connection.counts_as_open:
            connection.counts_as_open = False
            self._open_connections -= 1

    def request_began(self, connection: HttpProtocol) -> None:
        """Record that a connection has a running request."""
        self.running.add(connection)
        event, self._running_event = self._running_event, None
        if event is not None:
            event.send(None)

    def request_ended(self, connection: HttpProtocol) -> None:
        """Record that a connection has no running request."""
        self.running.discard(connection)

    def count(self, event: str) -> None:
        """Count an event."""
        self.counters[event] += 1

    def _serve(self) -> None:
        wsgi.server(
            self._listener,
            self.application,
            protocol=functools.partial(self._protocol, http_server=self),
            custom_pool=eventlet.GreenPool(
                self.limits.max_connections + _EXTRA_HANDLERS
            ),
            log_output=False,
            debug=False,
        )

    def _wait_until_closed(self) -> None:
        while True:
            for connection in list(self.idle):
                connection.close_if_idle()
            if self._server.dead and not self.connections:
                return
            eventlet.sleep(0.01)

    def _admit(self, client: GreenSocket) -> bool:
        if self._has_room():
            self._open_connections += 1
            self.count("accepted_connections")
            return True
        self.count("refused_connections")
        if self._running_refusals < _MAX_CONCURRENT_REFUSALS:
            self._running_refusals += 1
            eventlet.spawn_n(self._refuse, client)
        else:
            client.close()
        return False

    def _has_room(self) -> bool:
        """Whether a connection can be admitted; may close another for it."""
        max_connections = self.limits.max_connections
        if self._open_connections >= max_connections:
            self._close_longest_idle()
        if self._open_connections < max_connections:
            return True
        # A connection whose request is dropped closes only after its refusal.
        closing_connections = min(
            _MAX_CLOSING_CONNECTIONS, int(max_connections * _CLOSING_SHARE)
        )
        return (
            self._open_connections < max_connections + closing_connections
            and self.held_bytes.drop_stalled()
        )

    def _close_longest_idle(self) -> None:
        for connection in list(self.idle):
            if connection.close_if_idle():
                # At once, to make room; the handler does so only after this
                # call.
                self.remove_connection(connection)
                self.release_connection(connection)
                self.idle.pop(connection, None)
                self.count("evicted_connections")
                return

    def _refuse(self, client: GreenSocket) -> None:
        stream = SocketStream(client)
        refusal = make_refusal(
            "too-many-connections",
            run=NOT_RUN,
            request_id=secrets.token_hex(8),
            retry_after_s=1.0,
        )
        writer = ResponseWriter(
            CallerOutput(stream).next_slot(),
            method="GET",
            version=(1, 1),
            timeout_s=_REFUSAL_TIMEOUT_S,
            min_bytes_per_s=self.limits.write_min_bytes_per_s,
            decide_close=lambda: True,
        )
        try:
            writer.send_refusal(refusal)
            client.shutdown(socket.SHUT_WR)
            # Closing with unread input would reset the connection before the
            # caller has read the refusal.
            with eventlet.Timeout(_REFUSAL_TIMEOUT_S, False):
                while stream.receive(_REFUSAL_TIMEOUT_S):
                    pass
        except OSError:
            pass
        finally:
            self._running_refusals -= 1
            client.close()

    def _check_callers_periodically(self, period_s: float) -> None:
        while True:
            if not self.running:
                self._running_event = Event()
                self._running_event.wait()
            eventlet.sleep(period_s)
            try:
                self._cancel_disconnected()
            except Exception:
                _log.exception("the check for disconnected callers failed")

    def _cancel_disconnected(self) -> None:
        by_descriptor = {
            connection.connection.fileno(): connection
            for connection in self.running
        }
        by_descriptor.pop(-1, None)
        poll = _poll()
        for descriptor in by_descriptor:
            poll.register(descriptor, select.POLLRDHUP)
        for descriptor, events in poll.poll(0):
            if events & _DISCONNECT_EVENTS:
                self.count("gone_callers")
                by_descriptor[descriptor].cancel_requests()


def _listen(host: str, port: int, receive_bytes: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock: socket.socket = original("socket").socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit the options.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.bind((host, port))
    sock.listen(BACKLOG)
    return sock
