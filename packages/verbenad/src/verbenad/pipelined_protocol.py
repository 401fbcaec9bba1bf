"""HTTP/1.1 protocol that runs pipelined requests concurrently."""

from typing import Any

import eventlet
import logbook

from verbenad.caller_connection import CallerConnection
from verbenad.caller_output import ResponseSlot
from verbenad.http_protocol import HttpProtocol
from verbenad.interruptible_wait import (
    InterruptibleWait,
    WaitInterruptedError,
)
from verbenad.protocol_errors import ProtocolError
from verbenad.request_body import RequestBody
from verbenad.request_head import RequestHead
from verbenad.response_writer import Framing, ResponseWriter
from verbenad.socket_stream import SocketStream
from verbenaworks.errors import VerbenaError

_log = logbook.Logger("verbenad.front")
# Further requests of the connection are not read, so that the caller can send
# them again elsewhere.
MAX_CONCURRENT_REQUESTS = 16


class _PendingResponse:
    """A response that waits until the earlier responses are sent.

    :param slot: its place on the connection.
    """

    __slots__ = ("caller", "failed", "slot")

    def __init__(self, slot: ResponseSlot, stream: SocketStream) -> None:
        self.slot = slot
        self.caller = CallerConnection(stream)
        self.failed = False


class PipelinedProtocol(HttpProtocol):
    """Reads ahead and runs requests without a body concurrently.

    Reading ahead also detects at once that the caller has disconnected.
    """

    def __init__(
        self, conn_state: list[Any], server: Any, http_server: Any
    ) -> None:
        self._pending: list[_PendingResponse] = []
        self._failed = False
        # Set once a response or a request announces that the connection
        # closes, or a response fails.
        self._closing = False
        self._request_wait = InterruptibleWait()
        super().__init__(conn_state, server, http_server)

    def handle(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while self._wait_for_request() and self._handle_next():
                pass
        finally:
            if not self._closing or self._failed:
                self.cancel_requests()
            self._wait_for_pending(0)
            self.http_server.request_ended(self)

    def close_if_idle(self) -> bool:
        """Close the connection if no request is waiting or running."""
        return not self._pending and super().close_if_idle()

    def cancel_requests(self) -> None:
        """Cancel all running requests, because the caller disconnected."""
        super().cancel_requests()
        for pending in list(self._pending):
            pending.caller.cancellation.cancel()

    def _wait_for_request(self) -> bool:
        while not self._closing:
            try:
                if self._request_wait.run(super()._wait_for_request):
                    return True
            except WaitInterruptedError:
                return False
            if not self._timed_out or not self._pending:
                return False
        return False

    def _stop_reading(self) -> None:
        self._closing = True
        self._request_wait.interrupt()

    def _handle_next(self) -> bool:
        try:
            head = self._read_head()
        except ProtocolError as error:
            self._wait_for_pending(0)
            self._refuse_head(error)
            return False
        except OSError:
            return False
        if head is None:
            return False
        if head.chunked or head.content_length or head.expects_continue:
            self._wait_for_pending(0)
            if self._failed or self._closing:
                return False
            return self._serve_request(head)
        return self._start_request(head)

    def _start_request(self, head: RequestHead) -> bool:
        # Responses that wait for earlier ones hold memory.
        is_short = self.http_server.held_bytes.is_short
        self._wait_for_pending(0 if is_short else MAX_CONCURRENT_REQUESTS - 1)
        if self._failed or self._closing:
            return False
        pending = _PendingResponse(self.output.next_slot(), self.stream)
        self._pending.append(pending)
        self.http_server.request_began(self)
        if head.close:
            self._closing = True
        eventlet.spawn_n(self._serve_pending, head, pending)
        return not self._closing

    def _wait_for_pending(self, max_pending: int) -> None:
        while len(self._pending) > max_pending:
            self._pending[0].slot.wait()

    def _serve_pending(
        self, head: RequestHead, pending: _PendingResponse
    ) -> None:
        holding = self._open_holding(lambda: body)
        body = RequestBody(
            self.stream,
            content_length=head.content_length,
            chunked=False,
            limits=self.limits.body,
            holding=holding,
        )

        def decide_close() -> bool:
            closes = pending.slot.is_last and (
                head.close or self.http_server.draining
            )
            if closes:
                self._stop_reading()
            return closes

        writer = self._make_writer(
            pending.slot, head.method, head.version, decide_close
        )
        try:
            self._run_pending(
                pending, writer, self._make_environ(head, body, pending.caller)
            )
        finally:
            holding.close()
            self._finish_pending(pending, writer)

    def _run_pending(
        self,
        pending: _PendingResponse,
        writer: ResponseWriter,
        environ: dict[str, Any],
    ) -> None:
        result = None
        try:
            result = self.http_server.application(
                environ, writer.start_response
            )
            writer.write_result(result)
        except (OSError, VerbenaError):
            pending.failed = True
        except Exception:
            _log.exception("the application raised an unexpected exception")
            pending.failed = True
        finally:
            close = getattr(result, "close", None)
            if close is not None:
                close()

    def _finish_pending(
        self, pending: _PendingResponse, writer: ResponseWriter
    ) -> None:
        slot = pending.slot
        failed = pending.failed or not writer.finished
        slot.end(complete=not failed, closes=writer.close)
        self._pending.remove(pending)
        if not self._pending:
            self.http_server.request_ended(self)
        if failed:
            self._failed = True
            if slot.written:
                # A truncated response without Content-Length must not look
                # complete; the reset shows the failure.
                self._reset_on_close = writer.framing is not Framing.SIZED
            self._stop_reading()
        elif writer.close:
            self._lingering_close = True
