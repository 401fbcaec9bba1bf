"""HTTP/1.1 connection whose pipelined requests run concurrently."""

from collections.abc import Callable
from typing import Any

import eventlet
import logbook
from eventlet.event import Event
from eventlet.hubs import get_hub
from eventlet.support.greenlets import getcurrent

from verbenad.caller_connection import CallerConnection
from verbenad.http_protocol import HttpProtocol
from verbenad.protocol_errors import ProtocolError
from verbenad.request_body import RequestBody
from verbenad.request_head import RequestHead
from verbenad.response_writer import Framing, ResponseWriter
from verbenad.socket_stream import SocketStream
from verbenaworks.errors import VerbenaError

_log = logbook.Logger("verbenad.front")
# Concurrent requests of one connection. Further requests are not read, so
# that the caller can safely send them elsewhere.
MAX_RUNNING = 16


class _Turn:
    """A caller's stream on which a response waits for the ones before it.

    :param before: the request before this one; None for the first.
    """

    __slots__ = ("_before", "_stream", "caller", "done", "failed", "last")

    def __init__(self, stream: SocketStream, before: "_Turn | None") -> None:
        self._stream = stream
        self._before = before
        self.caller = CallerConnection(stream)
        self.done = Event()
        self.failed = False
        self.last = True
        if before is not None:
            before.last = False

    def await_turn(self) -> None:
        """Wait until all responses before this one are written.

        :raises ConnectionResetError: if one of them was aborted.
        """
        before, self._before = self._before, None
        if before is None:
            return
        before.done.wait()
        if before.failed:
            self.failed = True
            raise ConnectionResetError("an earlier response was aborted")

    def send_all(
        self,
        data: bytes,
        timeout_s: float | None,
        min_bytes_per_s: int | None = None,
    ) -> None:
        """Send all bytes in turn."""
        self.await_turn()
        self._stream.send_all(data, timeout_s, min_bytes_per_s)


class _StopReadingError(Exception):
    """Ends the wait for further requests, which would not be served."""


class PipelinedProtocol(HttpProtocol):
    """Reads ahead and runs requests without a body concurrently.

    Reading ahead also detects at once that the caller has disconnected.
    """

    def __init__(
        self, conn_state: list[Any], server: Any, http_server: Any
    ) -> None:
        self._turns: list[_Turn] = []
        self._broken = False
        # Set once a response or a request announces the close.
        self._last_announced = False
        self._reader: Any = None
        super().__init__(conn_state, server, http_server)

    def handle(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while self._wait_for_request() and self._next():
                pass
        finally:
            if not self._last_announced or self._broken:
                self.cancel_requests()
            self._wait_for_turns(0)
            self.http_server.request_ended(self)

    def close_if_idle(self) -> bool:
        """Close the connection if no request is waiting or running."""
        return not self._turns and super().close_if_idle()

    def cancel_requests(self) -> None:
        """Cancel all running requests, because the caller disconnected."""
        super().cancel_requests()
        for turn in list(self._turns):
            turn.caller.cancellation.cancel()

    def _wait_for_request(self) -> bool:
        while not self._last_announced:
            self._reader = getcurrent()
            try:
                if super()._wait_for_request():
                    return True
            except _StopReadingError:
                return False
            finally:
                self._reader = None
            if not self._timed_out or not self._turns:
                return False
        return False

    def _stop_reading(self) -> None:
        self._last_announced = True
        if self._reader is not None:
            reader, self._reader = self._reader, None
            get_hub().schedule_call_global(
                0, reader.throw, _StopReadingError()
            )

    def _next(self) -> bool:
        try:
            head = self._read_head()
        except ProtocolError as error:
            self._wait_for_turns(0)
            self._refuse_head(error)
            return False
        except OSError:
            return False
        if head is None:
            return False
        if head.chunked or head.content_length or head.expects_continue:
            self._wait_for_turns(0)
            if self._broken or self._last_announced:
                return False
            return self._serve(head)
        return self._start(head)

    def _start(self, head: RequestHead) -> bool:
        self._wait_for_turns(MAX_RUNNING - 1)
        if self._broken or self._last_announced:
            return False
        turn = _Turn(self.stream, self._turns[-1] if self._turns else None)
        self._turns.append(turn)
        self.http_server.request_began(self)
        if head.close:
            self._last_announced = True
        eventlet.spawn_n(self._serve_turn, head, turn)
        return not self._last_announced

    def _wait_for_turns(self, limit: int) -> None:
        while len(self._turns) > limit:
            self._turns[0].done.wait()

    def _serve_turn(self, head: RequestHead, turn: _Turn) -> None:
        body = RequestBody(
            self.stream,
            content_length=head.content_length,
            chunked=False,
            limits=self.limits.body,
        )

        def decide_close() -> bool:
            closes = turn.last and (head.close or self.http_server.draining)
            if closes:
                self._stop_reading()
            return closes

        writer = self._turn_writer(turn, head, decide_close)
        try:
            self._run_turn(
                turn, writer, self._environ(head, body, turn.caller)
            )
        finally:
            self._end_turn(turn, writer)

    def _turn_writer(
        self,
        turn: _Turn,
        head: RequestHead,
        decide_close: Callable[[], bool],
    ) -> ResponseWriter:
        return ResponseWriter(
            turn,  # type: ignore[arg-type]
            method=head.method,
            version=head.version,
            timeout_s=self.limits.write_stall_s,
            min_bytes_per_s=self.limits.write_min_bytes_per_s,
            decide_close=decide_close,
        )

    def _run_turn(
        self, turn: _Turn, writer: ResponseWriter, environ: dict[str, Any]
    ) -> None:
        result = None
        try:
            result = self.http_server.application(
                environ, writer.start_response
            )
            writer.write_result(result)
        except (OSError, VerbenaError):
            turn.failed = True
        except Exception:
            _log.exception("the application failed on a request")
            turn.failed = True
        finally:
            close = getattr(result, "close", None)
            if close is not None:
                close()

    def _end_turn(self, turn: _Turn, writer: ResponseWriter) -> None:
        try:
            turn.await_turn()
        except OSError:
            turn.failed = True
        turn.failed = turn.failed or not writer.finished
        self._turns.remove(turn)
        if not self._turns:
            self.http_server.request_ended(self)
        if turn.failed:
            self._broken = True
            # A truncated chunked response must not look complete.
            self._reset = writer.framing is not Framing.SIZED
            self._stop_reading()
        elif writer.close:
            self._linger = True
        turn.done.send(None)
