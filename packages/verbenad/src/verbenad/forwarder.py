"""Sends a request to a backend server once."""

import functools
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from verbenad.attempt_failure import AttemptFailure, FailureKind
from verbenad.field_names import OWN_FIELDS, FieldNames
from verbenad.forward_request import ForwardRequest
from verbenad.forwarded_headers import (
    KeyInPathError,
    request_headers,
    response_headers,
    sent_keys,
    target_without_key,
)
from verbenad.http_syntax import encode_field_value, values_of
from verbenad.protocol_errors import (
    BodyError,
    MalformedResponseError,
    ResponseTruncatedError,
)
from verbenad.receive_windows import RESPONSE_BYTES
from verbenad.request_body import RequestBody
from verbenad.request_head import HeadLimits
from verbenad.response_head import ResponseHead, parse_response_head
from verbenad.socket_stream import HEAD_RECEIVE_BYTES
from verbenad.target_address import TargetAddress
from verbenad.upstream_connection import UpstreamConnection
from verbenad.upstream_pool import ConnectFailure, UpstreamPool
from verbenad.upstream_response import ResponseBody, UpstreamResponse

_MAX_INTERIM_RESPONSES = 16
# A longer response to another request is not worth reading to its end.
_MAX_SKIPPED_BODY_BYTES = 1 << 20
# When a send fails, the response that explains why has usually arrived.
_EARLY_RESPONSE_TIMEOUT_S = 0.5
_MAX_REFUSAL_BODY_BYTES = 65536
# Two round trips between regions. A new connection costs less than waiting
# longer for the rest of a body.
_DRAIN_TIMEOUT_S = 0.1
# A backend server that closed an idle connection resets the next request
# within one round trip between regions. Later resets have other causes.
_MAX_IDLE_RESET_DELAY_S = 0.06


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwarderSettings:
    """Settings of the forwarder.

    :param via_name: name of this entry instance in the Via header.
    :param response_stall_s: timeout for the next bytes of a response body.
    :param names: names of the headers used between the instance and backend
        servers.
    :param accept_close_delimited_responses: whether to accept responses whose
        body ends when the connection closes. A crash of the backend server
        can look like the end of such a body, so callers may take a truncated
        response for a complete one.
    :param response_head_limits: limits on the head of a response.
    """

    via_name: str = "verbenad"
    response_stall_s: float = 30.0
    names: FieldNames = OWN_FIELDS
    accept_close_delimited_responses: bool = False
    response_head_limits: HeadLimits = field(
        default_factory=lambda: HeadLimits(
            line_bytes=16384, block_bytes=65536, header_count=200
        )
    )


class _AttemptError(Exception):
    """Ends an attempt; carries the reason."""

    def __init__(self, failure: AttemptFailure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class Forwarder:
    """Makes single attempts; its user decides whether to retry.

    :param pool: connections to backend servers.
    :param now_s: monotonic clock.
    """

    def __init__(
        self,
        pool: UpstreamPool,
        settings: ForwarderSettings | None = None,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self.pool = pool
        self.settings = settings or ForwarderSettings()
        self.counters: Counter[str] = Counter()
        self._now_s = now_s
        self._via = f"1.1 {self.settings.via_name}"
        names = self.settings.names
        self.reserved_names = names.reserved_names
        self.key_header = names.key.lower()

    def attempt(
        self,
        request: ForwardRequest,
        target_address: TargetAddress,
        deadline_s: float,
        *,
        connection_limit: int,
        first_byte_timeout_s: float | None = None,
        new_connection: bool = False,
    ) -> Result[UpstreamResponse, AttemptFailure]:
        """Send the request once and return the response.

        The head of the response has arrived; its body is still to be read.

        :param deadline_s: monotonic time by which the head must arrive.
        :param connection_limit: maximum number of connections to the target.
        :param first_byte_timeout_s: timeout for the first byte of the
            response to an idempotent request on a reused connection.
        :param new_connection: do not reuse a connection.
        """
        attempt = _Attempt(self, request, deadline_s, first_byte_timeout_s)
        try:
            return Ok(
                attempt.run(target_address, connection_limit, new_connection)
            )
        except _AttemptError as error:
            self.counters[error.failure.kind.name.lower()] += 1
            return Err(error.failure)

    def now_s(self) -> float:
        """Return the monotonic time."""
        return self._now_s()

    @property
    def via(self) -> str:
        """Return the value of this instance's Via header."""
        return self._via


class _Attempt:
    """State of one attempt."""

    __slots__ = (
        "_connection_returned",
        "_deadline_s",
        "_first_byte_timeout_s",
        "_forwarder",
        "_request",
        "_request_sent",
        "_response_returned",
        "_start_bytes",
        "_started_s",
    )

    def __init__(
        self,
        forwarder: Forwarder,
        request: ForwardRequest,
        deadline_s: float,
        first_byte_timeout_s: float | None,
    ) -> None:
        self._forwarder = forwarder
        self._request = request
        self._deadline_s = deadline_s
        self._first_byte_timeout_s = first_byte_timeout_s
        self._request_sent = False
        self._response_returned = False
        self._connection_returned = False
        self._started_s = 0.0
        # Bytes that the connection had sent and received before.
        self._start_bytes = (0, 0)

    def run(
        self,
        address: TargetAddress,
        connection_limit: int,
        new_connection: bool,
    ) -> UpstreamResponse:
        request = self._request
        self._check_cancelled()
        lines = self._head_lines()
        body = self._prepare_body()
        self._charge_request(_buffered_bytes(body), may_have_run=False)
        connection = self._connect(address, connection_limit, new_connection)
        stream = connection.stream
        self._start_bytes = (stream.sent_bytes, stream.received_bytes)
        try:
            connection.stream.sent_any = False
            self._check_permission()
            self._started_s = self._forwarder.now_s()
            if request.cancellation is not None:
                request.cancellation.on_cancel(connection.stream.shutdown)
            head = self._exchange(connection, body, lines)
            return self._make_response(connection, head)
        except (OSError, MalformedResponseError) as error:
            raise self._classify_error(connection, error) from error
        finally:
            if not self._response_returned:
                self._return_connection(connection, False, False)

    def _prepare_body(self) -> RequestBody | bytes | None:
        """Wait for the start of the body before a connection is acquired.

        If the body cannot be read, the request has not run. If no connection
        can be opened, the next attempt can still send the whole body.
        """
        body = self._request.body
        if not isinstance(body, RequestBody):
            return body
        if not body.exists:
            return None
        try:
            if body.replayable:
                body.rewind()
            else:
                body.hold_first_piece()
        except BodyError as error:
            raise self._body_failure(error, may_have_run=False) from error
        # The length of a completely buffered body is known even if the
        # caller used chunked coding.
        return body.prefix if body.replayable else body

    def _connect(
        self,
        address: TargetAddress,
        connection_limit: int,
        new_connection: bool,
    ) -> UpstreamConnection:
        time_left_s = self._time_left_s()
        if time_left_s <= 0:
            raise self._make_failure(
                FailureKind.DEADLINE, "the deadline has passed"
            )
        acquired = self._forwarder.pool.acquire(
            address,
            connection_limit=connection_limit,
            idempotent=self._request.idempotent,
            timeout_s=time_left_s,
            new_connection=new_connection,
            deadline_s=self._deadline_s,
        )
        match acquired:
            case Ok(connection):
                return connection
            case Err(ConnectFailure.LIMIT as failure):
                kind = FailureKind.CONNECTION_LIMIT
            case Err(failure):
                kind = FailureKind.CONNECT_FAILED
        raise self._make_failure(kind, failure.value)

    def _exchange(
        self,
        connection: UpstreamConnection,
        body: RequestBody | bytes | None,
        lines: list[str],
    ) -> ResponseHead:
        chunked = isinstance(body, RequestBody) and body.chunked_input
        head = self._encode_head(lines, body, chunked)
        first = body.read_some() if isinstance(body, RequestBody) else body
        piece = _chunk(first) if chunked and first else first or b""
        connection.stream.send_all(head + piece, self._time_left_s())
        if isinstance(body, RequestBody):
            early_head = self._send_rest(connection, body, chunked)
            if early_head is not None:
                return early_head
        self._request_sent = True
        return self._read_final_head(connection)

    def _send_rest(
        self,
        connection: UpstreamConnection,
        body: RequestBody,
        chunked: bool,
    ) -> ResponseHead | None:
        """Send the rest of the body.

        Return the head of a response that arrives before the end of the
        body, otherwise None.
        """
        stream = connection.stream
        other_responses = 0
        while True:
            if stream.has_input():
                head = self._read_own_head(connection, self._time_left_s())
                if head is not None:
                    return head
                other_responses += 1
                if other_responses > _MAX_INTERIM_RESPONSES:
                    raise MalformedResponseError(
                        "too many interim or unrelated responses came first"
                    )
                continue
            try:
                piece = body.read_some()
            except BodyError as error:
                raise self._body_failure(error, may_have_run=True) from error
            self._charge_request(len(piece), may_have_run=True)
            try:
                if chunked:
                    stream.send_all(_chunk(piece), self._time_left_s())
                elif piece:
                    stream.send_all(piece, self._time_left_s())
            except TimeoutError:
                raise
            except OSError:
                return self._read_head_after_reset(connection)
            if not piece:
                return None

    def _read_head_after_reset(
        self, connection: UpstreamConnection
    ) -> ResponseHead:
        for _ in range(_MAX_INTERIM_RESPONSES):
            head = self._read_own_head(
                connection,
                min(_EARLY_RESPONSE_TIMEOUT_S, self._time_left_s()),
            )
            if head is not None:
                return head
        raise ConnectionResetError("reset before a response")

    def _read_own_head(
        self, connection: UpstreamConnection, first_byte_timeout_s: float
    ) -> ResponseHead | None:
        """Read the next head; None unless it is the response's own."""
        head = self._read_head(connection, first_byte_timeout_s)
        if head.status < 200:
            return None
        if self._matches_request(connection, head):
            return head
        self._skip_response(connection, head)
        return None

    def _read_final_head(self, connection: UpstreamConnection) -> ResponseHead:
        for _ in range(_MAX_INTERIM_RESPONSES):
            head = self._read_own_head(
                connection, self._next_byte_timeout_s(connection)
            )
            if head is not None:
                return head
        raise MalformedResponseError(
            "too many interim or unrelated responses came first"
        )

    def _matches_request(
        self, connection: UpstreamConnection, head: ResponseHead
    ) -> bool:
        """Return whether the response belongs to this request.

        :raises MalformedResponseError: if a response without a request id is
            successful, or may belong to an earlier request.
        """
        names = self._forwarder.settings.names
        if not names.echoes_request_id:
            return True
        ids = values_of(head.headers, names.request_id.lower())
        if ids:
            return ids == [self._request.request_id]
        if head.status < 300 or connection.reused:
            raise MalformedResponseError("the response has no request id")
        return True

    def _skip_response(
        self, connection: UpstreamConnection, head: ResponseHead
    ) -> None:
        """Discard a late response to an earlier request."""
        self._forwarder.counters["foreign_answers"] += 1
        if not head.is_self_delimiting:
            raise MalformedResponseError(
                "a response to another request has no length"
            )
        body = ResponseBody(
            connection.stream,
            head,
            stall_s=self._forwarder.settings.response_stall_s,
            now_s=self._forwarder.now_s,
            on_end=lambda _read_to_end: None,
        )
        if not body.drain(
            limit_bytes=_MAX_SKIPPED_BODY_BYTES,
            timeout_s=self._time_left_s(),
        ):
            if self._time_left_s() <= 0:
                raise TimeoutError("no time left to skip a response")
            raise MalformedResponseError(
                "a response to another request did not end"
            )

    def _next_byte_timeout_s(self, connection: UpstreamConnection) -> float:
        time_left_s = self._time_left_s()
        if self._limits_first_byte(connection):
            return min(time_left_s, self._first_byte_timeout_s or time_left_s)
        return time_left_s

    def _limits_first_byte(self, connection: UpstreamConnection) -> bool:
        return (
            connection.reused
            and self._request.idempotent
            and self._first_byte_timeout_s is not None
        )

    def _read_head(
        self, connection: UpstreamConnection, first_byte_timeout_s: float
    ) -> ResponseHead:
        stream = connection.stream
        timeout_s = first_byte_timeout_s
        limits = self._forwarder.settings.response_head_limits
        while True:
            end = stream.buffer.find(b"\r\n\r\n", stream.position)
            if end >= 0:
                block = stream.take(end + 4 - stream.position)
                head = parse_response_head(block, self._request.method, limits)
                if head.status == 101:
                    raise MalformedResponseError(
                        "the response switches protocols"
                    )
                return head
            if stream.buffered_bytes > limits.block_bytes:
                raise MalformedResponseError(
                    "the head of the response is too long"
                )
            if not stream.refill(timeout_s, HEAD_RECEIVE_BYTES):
                raise ConnectionResetError("closed before a response")
            timeout_s = self._time_left_s()

    def _make_response(
        self, connection: UpstreamConnection, head: ResponseHead
    ) -> UpstreamResponse:
        settings = self._forwarder.settings
        if (
            not head.is_self_delimiting
            and not settings.accept_close_delimited_responses
        ):
            raise MalformedResponseError("the response has no length")
        if (
            not head.is_self_delimiting
            and not self._request_sent
            and head.status < 300
        ):
            # A backend server that ends the connection before it has read
            # the request has usually failed, and its response may be cut.
            raise MalformedResponseError(
                "the response has no length and came before the end of the"
                " request"
            )
        can_reuse = (
            head.keep_alive and head.is_self_delimiting and self._request_sent
        )
        if head.length is None or head.length > RESPONSE_BYTES:
            self._forwarder.pool.receive_long(connection)
        body = ResponseBody(
            connection.stream,
            head,
            stall_s=settings.response_stall_s,
            now_s=self._forwarder.now_s,
            on_end=functools.partial(
                self._return_connection, connection, can_reuse
            ),
            charge=self._charge_response if self._request.link else None,
        )
        if self._reports_not_run(head):
            raise self._read_refusal(body, head)
        if not self._has_seal(head):
            raise MalformedResponseError("the response has no seal")
        headers = response_headers(head.headers, head.connection_fields)
        if head.status == 204:
            headers = [
                item for item in headers if item[0].lower() != "content-length"
            ]
        if settings.names.adds_via:
            headers.append(("Via", self._forwarder.via))
        self._response_returned = True
        return UpstreamResponse(
            status=head.status,
            reason=head.reason,
            headers=headers,
            body=body,
            reused=connection.reused,
            length=head.length,
        )

    def _reports_not_run(self, head: ResponseHead) -> bool:
        names = self._forwarder.settings.names
        if head.status == 421 and names.expected_server is not None:
            return True
        if head.status != 503 and names is OWN_FIELDS:
            return False
        return "1" in values_of(head.headers, names.not_run.lower())

    def _has_seal(self, head: ResponseHead) -> bool:
        seal = self._forwarder.settings.names.seal
        if seal is None or head.status >= 300:
            return True
        return bool(values_of(head.headers, seal.lower()))

    def _charge_request(self, size_bytes: int, *, may_have_run: bool) -> None:
        """Wait until the link admits the next bytes of the request body."""
        link = self._request.link
        if link is None or link.send(size_bytes, self._deadline_s):
            return
        self._check_cancelled(may_have_run=may_have_run)
        raise self._make_failure(
            FailureKind.LINK_FULL,
            "the link did not admit the request body in time",
            may_have_run=may_have_run,
        )

    def _charge_response(self, size_bytes: int, head_sent: bool) -> None:
        """Wait until the link admits the next bytes of the response body.

        The deadline applies until the head is passed on. After that, the
        wait has the same timeout as a read from the backend server.
        """
        link = self._request.link
        deadline_s = self._deadline_s
        if head_sent:
            stall_s = self._forwarder.settings.response_stall_s
            deadline_s = self._forwarder.now_s() + stall_s
        if link is not None and not link.receive(size_bytes, deadline_s):
            raise ResponseTruncatedError(
                "the link did not admit the response in time"
            )

    def _read_refusal(
        self, body: ResponseBody, head: ResponseHead
    ) -> _AttemptError:
        # The head tells all that matters. The body is only read so that the
        # connection can be reused.
        is_short = (head.length or 0) <= _MAX_REFUSAL_BODY_BYTES
        if not head.is_self_delimiting or not is_short:
            body.close()
        elif not body.drain(
            limit_bytes=_MAX_REFUSAL_BODY_BYTES,
            timeout_s=min(_DRAIN_TIMEOUT_S, self._time_left_s()),
        ):
            self._forwarder.counters["undrained_refusals"] += 1
        kind = FailureKind.REFUSED_NOT_RUN
        if head.status == 421:
            kind = FailureKind.MISDIRECTED
        return _AttemptError(
            AttemptFailure(
                kind=kind,
                may_have_run=False,
                message="the backend server refused without running it",
                retry_after_s=_retry_after_s(head),
                status=head.status,
                headers=head.headers,
            )
        )

    def _return_connection(
        self,
        connection: UpstreamConnection,
        can_reuse: bool,
        read_to_end: bool,
    ) -> None:
        if self._connection_returned:
            return
        self._connection_returned = True
        cancellation = self._request.cancellation
        if cancellation is not None:
            cancellation.on_cancel(None)
        if self._request.on_traffic is not None:
            stream = connection.stream
            self._request.on_traffic(
                stream.sent_bytes - self._start_bytes[0],
                stream.received_bytes - self._start_bytes[1],
            )
        if can_reuse and read_to_end:
            self._forwarder.pool.release(connection)
        else:
            self._forwarder.pool.discard(connection)

    def _head_lines(self) -> list[str]:
        request = self._request
        names = self._forwarder.settings.names
        in_query = names.key_parameter is not None
        keys = sent_keys(
            request.headers,
            request.target,
            self._forwarder.key_header,
            in_query=in_query,
        )
        target = request.target
        try:
            if in_query:
                target = target_without_key(target, keys)
        except KeyInPathError:
            raise self._make_failure(
                FailureKind.KEY_IN_PATH, "the path contains the caller's key"
            ) from None
        lines = [
            f"{request.method} {target} HTTP/1.1",
            f"Host: {request.host}",
        ]
        for name, value in request_headers(
            request.headers, keys, self._forwarder.reserved_names
        ):
            lines.append(f"{name}: {value}")
        lines.append(f"{names.request_id}: {request.request_id}")
        if names.expected_server is not None and request.server_id:
            lines.append(f"{names.expected_server}: {request.server_id}")
        if names.workspace is not None and request.workspace:
            lines.append(f"{names.workspace}: {self._workspace_value()}")
        if names.adds_via:
            lines.append(f"Via: {self._forwarder.via}")
        return lines

    def _workspace_value(self) -> str:
        try:
            return encode_field_value(self._request.workspace)
        except ValueError as error:
            raise self._make_failure(
                FailureKind.UNSENDABLE_NAME, str(error)
            ) from error

    def _encode_head(
        self,
        lines: list[str],
        body: RequestBody | bytes | None,
        chunked: bool,
    ) -> bytes:
        time_left_s = self._time_left_s()
        if self._request.work_until_s is not None:
            time_left_s = self._request.work_until_s - self._forwarder.now_s()
        left_ms = max(1, int(time_left_s * 1000))
        name = self._forwarder.settings.names.deadline_ms
        lines.append(f"{name}: {left_ms}")
        if chunked:
            lines.append("Transfer-Encoding: chunked")
        elif isinstance(body, bytes):
            lines.append(f"Content-Length: {len(body)}")
        elif body is not None:
            lines.append(f"Content-Length: {body.content_length}")
        text = "\r\n".join(lines)
        if text.count("\n") != len(lines) - 1:
            raise ValueError("a request header has a line break")
        return text.encode("latin-1") + b"\r\n\r\n"

    def _time_left_s(self) -> float:
        return self._deadline_s - self._forwarder.now_s()

    def _check_cancelled(self, *, may_have_run: bool = False) -> None:
        cancellation = self._request.cancellation
        if cancellation is not None and cancellation.cancelled:
            raise self._make_failure(
                FailureKind.CALLER_GONE,
                "the caller disconnected",
                may_have_run=may_have_run,
            )

    def _check_permission(self) -> None:
        """Check that the request may be sent; the process may have slept."""
        until_s = self._request.permitted_until_s
        if until_s is None or self._forwarder.now_s() <= until_s:
            return
        raise self._make_failure(
            FailureKind.PERMISSION_EXPIRED,
            "the configuration was not confirmed in time",
        )

    def _make_failure(
        self, kind: FailureKind, message: str, *, may_have_run: bool = False
    ) -> _AttemptError:
        return _AttemptError(
            AttemptFailure(
                kind=kind, may_have_run=may_have_run, message=message
            )
        )

    def _body_failure(
        self, error: BodyError, *, may_have_run: bool
    ) -> _AttemptError:
        return _AttemptError(
            AttemptFailure(
                kind=FailureKind.BODY,
                may_have_run=may_have_run,
                message=error.message,
                body_error=error,
            )
        )

    def _classify_error(
        self, connection: UpstreamConnection, error: Exception
    ) -> _AttemptError:
        any_sent = connection.stream.sent_any
        cancellation = self._request.cancellation
        looks_like_crash = reset_when_idle = False
        if cancellation is not None and cancellation.cancelled:
            kind = FailureKind.CALLER_GONE
            message = "the caller disconnected"
        elif isinstance(error, MalformedResponseError):
            kind = FailureKind.MALFORMED_ANSWER
            message = error.message
        elif not isinstance(error, TimeoutError):
            kind = FailureKind.CLOSED
            looks_like_crash = any_sent
            reset_when_idle = self._is_idle_reset(connection)
            message = "the connection was closed before a response"
        elif self._limits_first_byte(connection) and self._time_left_s() > 0:
            kind = FailureKind.SILENT
            message = "no byte arrived on the reused connection in time"
        else:
            kind = FailureKind.DEADLINE
            message = "the deadline passed before a response"
        return _AttemptError(
            AttemptFailure(
                kind=kind,
                may_have_run=any_sent,
                looks_like_crash=looks_like_crash,
                reused=connection.reused,
                reset_when_idle=reset_when_idle,
                message=message,
            )
        )

    def _is_idle_reset(self, connection: UpstreamConnection) -> bool:
        elapsed_s = self._forwarder.now_s() - self._started_s
        if not connection.reused or elapsed_s >= _MAX_IDLE_RESET_DELAY_S:
            return False
        self._forwarder.pool.record_idle_reset(connection)
        return True


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _buffered_bytes(body: RequestBody | bytes | None) -> int:
    """Return how many bytes of the body are buffered already."""
    if isinstance(body, RequestBody):
        return len(body.prefix)
    return len(body or b"")


def _retry_after_s(head: ResponseHead) -> float | None:
    for name, value in head.headers:
        if name.lower() == "retry-after" and value.isdecimal():
            return float(value[:6])
    return None
