"""Strict HTTP/1.1 protocol for one caller connection."""

import secrets
import socket
import struct
import sys
import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any
from urllib.parse import unquote

import eventlet
import logbook
from eventlet import wsgi

from verbenad.caller_connection import CallerConnection
from verbenad.caller_output import CallerOutput, ResponseSlot
from verbenad.held_bytes import Holding
from verbenad.http_syntax import BARE_LINE_FEED
from verbenad.protocol_errors import BodyError, ProtocolError
from verbenad.refusal import NOT_RUN, OUTCOME_UNKNOWN, RunStatus, make_refusal
from verbenad.request_body import RequestBody
from verbenad.request_head import RequestHead, parse_request_head
from verbenad.response_writer import Framing, ResponseWriter
from verbenad.socket_stream import HEAD_RECEIVE_BYTES, SocketStream
from verbenaworks.errors import VerbenaError

if TYPE_CHECKING:
    from verbenad.http_server import HttpServer

_log = logbook.Logger("verbenad.front")
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_ZERO_LINGER = struct.pack("ii", 1, 0)
_REQUEST_FIRST_BYTES = frozenset(
    b"!#$%&'*+-.^_`|~0123456789"
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz\r"
)


class HttpProtocol(wsgi.HttpProtocol):
    """Serves the requests of one connection.

    Every malformed request ends the connection, because the start of
    the next request cannot be found reliably after it.

    :param conn_state: list of address, socket and state, from eventlet.
    :param server: eventlet's server.
    :param http_server: owner of the limits, the counters and the sets of
        connections.
    """

    def __init__(
        self, conn_state: list[Any], server: Any, http_server: "HttpServer"
    ) -> None:
        self.conn_state = conn_state
        self.client_address, self.connection = conn_state[0], conn_state[1]
        self.server = server
        self.http_server = http_server
        self.limits = http_server.limits
        self.stream = SocketStream(self.connection)
        self.output = CallerOutput(self.stream)
        self.caller = CallerConnection(self.stream)
        self._input = http_server.held_bytes.open(self.stream.shutdown)
        self.idle = False
        self.counts_as_open = True
        self._timed_out = False
        self._reset_on_close = False
        self._lingering_close = False
        # Otherwise eventlet closes connections that it considers idle,
        # although a request may be waiting in the socket buffer.
        conn_state[2] = wsgi.STATE_REQUEST
        http_server.add_connection(self)
        try:
            self.handle()
        finally:
            http_server.remove_connection(self)
            self._input.close()
            try:
                self.finish()
            finally:
                http_server.release_connection(self)
                http_server.receive_windows.forget(self.stream)

    def handle(self) -> None:
        """Serve requests until the connection ends."""
        while self._wait_for_request() and self.handle_one_request():
            pass

    def handle_one_request(self) -> bool:
        """Serve one request and return whether the connection stays open."""
        try:
            head = self._read_head()
        except ProtocolError as error:
            self._refuse_head(error)
            return False
        except OSError:
            return False
        if head is None:
            return False
        return self._serve_request(head)

    def close_if_idle(self) -> bool:
        """Close the connection if no request is waiting on it."""
        if not self.idle or self.stream.has_input():
            return False
        self.stream.shutdown()
        return True

    def cancel_requests(self) -> None:
        """Cancel the running request, because the caller disconnected."""
        self.caller.cancellation.cancel()

    def finish(self) -> None:
        """Close the connection."""
        sock = self.connection
        try:
            if self._reset_on_close:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER
                )
            elif self._lingering_close:
                self._discard_input()
        except OSError:
            pass
        finally:
            sock.close()

    def _wait_for_request(self) -> bool:
        if self.stream.buffered_bytes:
            # Yields to the event loop, so that a caller that pipelines
            # continuously cannot starve other connections.
            eventlet.sleep(0)
            return True
        self.idle = True
        self._timed_out = False
        self.http_server.idle[self] = None
        try:
            count = self.stream.refill(
                self.limits.idle_timeout_s, HEAD_RECEIVE_BYTES
            )
            return count > 0
        except TimeoutError:
            self._timed_out = True
            return False
        except OSError:
            return False
        finally:
            self.idle = False
            self.http_server.idle.pop(self, None)

    def _read_head(self) -> RequestHead | None:
        stream = self.stream
        deadline_s: float | None = None
        skipped_empty_line = False
        # Bytes of the head that have been searched for its end. Searching
        # from the start each time would take quadratic time when the head
        # arrives in single-byte segments.
        searched_bytes = 0
        while True:
            if not skipped_empty_line and stream.buffer.startswith(
                b"\r\n", stream.position
            ):
                # RFC 9112 section 2.2: an empty line before the request
                # line is ignored.
                stream.take(2)
                skipped_empty_line = True
            end = stream.buffer.find(
                b"\r\n\r\n", stream.position + max(0, searched_bytes - 3)
            )
            if end >= 0:
                block = stream.take(end + 4 - stream.position)
                self._input.close()
                return parse_request_head(block, self.limits.head)
            self._check_partial_head(searched_bytes)
            searched_bytes = stream.buffered_bytes
            self._hold_input(searched_bytes)
            now_s = time.monotonic()
            if deadline_s is None:
                deadline_s = now_s + self.limits.head_timeout_s
            try:
                if not stream.refill(deadline_s - now_s, HEAD_RECEIVE_BYTES):
                    return None
            except TimeoutError as error:
                raise ProtocolError("request-too-slow") from error

    def _hold_input(self, count: int) -> None:
        """Hold the received part of a head; refuse it if that is too much."""
        holding = self._input
        if not holding.try_grow(count - holding.held_bytes):
            raise ProtocolError("memory-full")
        if not holding.droppable:
            # Later parts are no progress; the whole head has a time limit.
            holding.set_droppable(True)

    def _check_partial_head(self, searched_bytes: int) -> None:
        stream = self.stream
        buffered_bytes = stream.buffered_bytes
        if not buffered_bytes:
            return
        limits = self.limits.head
        if buffered_bytes > limits.block_bytes:
            raise ProtocolError("headers-too-large")
        if stream.buffer[stream.position] not in _REQUEST_FIRST_BYTES:
            raise ProtocolError("malformed-request-line")
        if BARE_LINE_FEED.search(
            stream.buffer, stream.position + searched_bytes
        ):
            raise ProtocolError(
                "malformed-header", "a header line ends in a bare LF"
            )
        line_break = stream.buffer.rfind(b"\r\n", stream.position)
        if line_break < 0:
            # One byte more than the limit, for the CR of a line break whose
            # LF has not arrived.
            if buffered_bytes > limits.line_bytes + 1:
                raise ProtocolError("target-too-long")
        elif len(stream.buffer) - line_break - 2 > limits.line_bytes + 1:
            raise ProtocolError("headers-too-large")

    def _refuse_head(self, error: ProtocolError) -> None:
        self.http_server.count("refused_malformed")
        self._lingering_close = True
        slot = self.output.next_slot()
        writer = self._make_writer(slot, "GET", (1, 1), lambda: True)
        try:
            self._send_refusal(writer, error, NOT_RUN)
        finally:
            slot.end(complete=writer.finished, closes=True)

    def _send_refusal(
        self, writer: ResponseWriter, error: ProtocolError, run: RunStatus
    ) -> None:
        refusal = make_refusal(
            error.code,
            run=run,
            request_id=secrets.token_hex(8),
            message=error.message,
        )
        try:
            writer.send_refusal(refusal)
        except OSError:
            return

    def _make_writer(
        self,
        slot: ResponseSlot,
        method: str,
        version: tuple[int, int],
        decide_close: Any,
    ) -> ResponseWriter:
        return ResponseWriter(
            slot,
            method=method,
            version=version,
            timeout_s=self.limits.write_stall_s,
            min_bytes_per_s=self.limits.write_min_bytes_per_s,
            decide_close=decide_close,
        )

    def _serve_request(self, head: RequestHead) -> bool:
        http_server = self.http_server
        slot = self.output.next_slot()
        writer: ResponseWriter

        def send_continue() -> None:
            if not writer.head_sent:
                slot.send_all(_CONTINUE, self.limits.write_stall_s)

        def decide_close() -> bool:
            return (
                head.close
                or http_server.draining
                or not self._is_discardable(body)
            )

        holding = self._open_holding(lambda: body)
        body = RequestBody(
            self.stream,
            content_length=head.content_length,
            chunked=head.chunked,
            limits=self.limits.body,
            send_continue=send_continue if head.expects_continue else None,
            on_receive=(
                self._widen_receive_window if self._is_long(head) else None
            ),
            holding=holding,
        )
        writer = self._make_writer(
            slot, head.method, head.version, decide_close
        )
        self.caller = CallerConnection(self.stream)
        http_server.request_began(self)
        try:
            self._run_application(slot, writer, self._make_environ(head, body))
        finally:
            slot.end(complete=writer.finished, closes=writer.close)
            http_server.request_ended(self)
            http_server.receive_windows.end_use(self.stream)
            holding.close()
        if not writer.finished:
            return False
        if writer.close or not self._discard_body(body):
            self._lingering_close = not body.received
            return False
        return True

    def _is_long(self, head: RequestHead) -> bool:
        narrow_bytes = self.http_server.receive_windows.narrow_bytes
        return head.chunked or (head.content_length or 0) > narrow_bytes

    def _widen_receive_window(self) -> None:
        self.http_server.receive_windows.widen(self.stream, self.close_if_idle)

    def _open_holding(self, body: Callable[[], RequestBody]) -> Holding:
        """Return the holding of a request.

        If it is dropped while the body is received, the request is refused;
        afterwards, the connection is closed.
        """

        def drop() -> None:
            if body().is_prefetching:
                self.stream.shut_down_reading()
            else:
                self.stream.shutdown()

        return self.http_server.held_bytes.open(drop)

    def _run_application(
        self,
        slot: ResponseSlot,
        writer: ResponseWriter,
        environ: dict[str, Any],
    ) -> None:
        self._reset_on_close = True
        result: Iterable[bytes] | None = None
        try:
            try:
                result = self.http_server.application(
                    environ, writer.start_response
                )
                writer.write_result(result)
            finally:
                close = getattr(result, "close", None)
                if close is not None:
                    close()
        except (Exception, eventlet.Timeout) as error:
            self._handle_failure(slot, writer, error)
        if writer.finished:
            self._reset_on_close = False

    def _handle_failure(
        self,
        slot: ResponseSlot,
        writer: ResponseWriter,
        error: BaseException,
    ) -> None:
        if not isinstance(error, OSError | VerbenaError):
            _log.exception("the application raised an unexpected exception")
        if writer.head_sent:
            self.http_server.count("aborted_responses")
            # A body with Content-Length is recognizably incomplete without a
            # reset, and without a reset the caller can read what was sent.
            self._reset_on_close = writer.framing is not Framing.SIZED
            return
        writer.close = True
        self._lingering_close = True
        refusal_writer = self._make_writer(slot, "GET", (1, 1), lambda: True)
        if not isinstance(error, ProtocolError):
            error = ProtocolError("internal-error")
        self._send_refusal(refusal_writer, error, OUTCOME_UNKNOWN)
        self._reset_on_close = False

    def _is_discardable(self, body: RequestBody) -> bool:
        if body.received:
            return True
        remaining_bytes = body.remaining_bytes
        return (
            remaining_bytes is not None
            and remaining_bytes <= self.limits.discard_bytes
            and not body.waits_for_continue
            and not body.failed
        )

    def _discard_body(self, body: RequestBody) -> bool:
        if body.received:
            return True
        try:
            while body.read_some():
                pass
        except BodyError:
            return False
        return True

    def _discard_input(self) -> None:
        self.stream.take(self.stream.buffered_bytes)
        self.connection.shutdown(socket.SHUT_WR)
        deadline_s = time.monotonic() + self.limits.linger_s
        remaining_bytes = self.limits.linger_bytes
        while remaining_bytes > 0:
            data = self.stream.receive(deadline_s - time.monotonic())
            if not data:
                return
            remaining_bytes -= len(data)

    def _make_environ(
        self,
        head: RequestHead,
        body: RequestBody,
        caller: CallerConnection | None = None,
    ) -> dict[str, Any]:
        path, _, query = head.target.partition("?")
        client = self.client_address
        environ: dict[str, Any] = {
            "REQUEST_METHOD": head.method,
            "SCRIPT_NAME": "",
            "RAW_PATH_INFO": path,
            "PATH_INFO": (
                unquote(path, encoding="latin-1") if "%" in path else path
            ),
            "QUERY_STRING": query,
            "SERVER_PROTOCOL": f"HTTP/{head.version[0]}.{head.version[1]}",
            "SERVER_NAME": self.http_server.address[0],
            "SERVER_PORT": str(self.http_server.address[1]),
            "REMOTE_ADDR": client[0],
            "REMOTE_PORT": str(client[1]),
            "wsgi.version": (1, 0),
            "wsgi.url_scheme": "http",
            "wsgi.errors": sys.stderr,
            "wsgi.input": body,
            "wsgi.input_terminated": True,
            "wsgi.multithread": True,
            "wsgi.multiprocess": False,
            "wsgi.run_once": False,
            "verbena.head": head,
            "verbena.caller": caller or self.caller,
        }
        _add_headers(environ, head)
        return environ


def _add_headers(environ: dict[str, Any], head: RequestHead) -> None:
    for name, value in head.headers:
        # "X_A" and "X-A" would become the same environ key.
        if "_" in name:
            continue
        key = name.upper().replace("-", "_")
        if key not in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            key = "HTTP_" + key
        existing = environ.get(key)
        environ[key] = value if existing is None else f"{existing},{value}"
    if head.host:
        environ["HTTP_HOST"] = head.host
