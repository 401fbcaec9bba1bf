"""One attempt to run a request on a backend server."""

import contextlib
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
    answer_headers,
    request_headers,
    sent_keys,
    target_without_key,
)
from verbenad.http_syntax import values_of
from verbenad.protocol_errors import (
    BodyError,
    MalformedResponseError,
    ResponseTruncatedError,
)
from verbenad.request_body import RequestBody
from verbenad.request_head import HeadLimits
from verbenad.response_head import ResponseHead, parse_answer_head
from verbenad.target_address import TargetAddress
from verbenad.upstream_connection import UpstreamConnection
from verbenad.upstream_pool import ConnectFailure, UpstreamPool
from verbenad.upstream_response import AnswerBody, UpstreamResponse

_MAX_INTERIM_ANSWERS = 16
# After a failed send, the answer that explains it has normally arrived.
_EARLY_ANSWER_S = 0.5
_REFUSAL_BODY_BYTES = 65536
# A backend server that has dropped an idle connection resets the next request
# within a round trip between regions; later resets have other causes.
_IDLE_RESET_S = 0.06


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwarderSettings:
    """Settings of the forwarder.

    :param via_name: name of this entry instance in the Via field.
    :param answer_stall_s: longest wait for the next byte of a body.
    :param names: header fields between the instance and backend servers.
    :param accept_close_delimited_responses: whether to pass on answers that
        end with the connection. A crash of the backend server may look like
        the end of such an answer, so promise 5 does not hold for them.
    """

    via_name: str = "verbenad"
    answer_stall_s: float = 30.0
    names: FieldNames = OWN_FIELDS
    accept_close_delimited_responses: bool = False
    answer_head: HeadLimits = field(
        default_factory=lambda: HeadLimits(
            line_bytes=16384, block_bytes=65536, header_count=200
        )
    )


class _FailureError(Exception):
    """Ends an attempt."""

    def __init__(self, failed: AttemptFailure) -> None:
        super().__init__(failed.message)
        self.failed = failed


class Forwarder:
    """Runs single attempts; whether to try again is the caller's decision.

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
        self.written = names.reserved_names
        self.key_header = names.key.lower()

    def attempt(
        self,
        request: ForwardRequest,
        target_address: TargetAddress,
        deadline_s: float,
        *,
        connection_limit: int,
        silent_after_s: float | None = None,
        new_connection: bool = False,
    ) -> Result[UpstreamResponse, AttemptFailure]:
        """Send the request once and return the answer's head.

        :param deadline_s: monotonic time by which the head must arrive.
        :param connection_limit: most connections to the target.
        :param silent_after_s: longest wait for the first byte on a reused
            connection; applies to idempotent requests.
        :param new_connection: use a new connection.
        """
        attempt = _Attempt(self, request, deadline_s, silent_after_s)
        try:
            return Ok(
                attempt.run(target_address, connection_limit, new_connection)
            )
        except _FailureError as failure:
            self.counters[failure.failed.kind.name.lower()] += 1
            return Err(failure.failed)

    def now_s(self) -> float:
        """Return the monotonic time."""
        return self._now_s()

    @property
    def via(self) -> str:
        """Return the value of this instance's Via field."""
        return self._via


class _Attempt:
    """State of one attempt."""

    __slots__ = (
        "_answered",
        "_deadline_s",
        "_forwarder",
        "_request",
        "_silent_after_s",
        "_ended",
        "_sent_whole",
        "_started_s",
    )

    def __init__(
        self,
        forwarder: Forwarder,
        request: ForwardRequest,
        deadline_s: float,
        silent_after_s: float | None,
    ) -> None:
        self._forwarder = forwarder
        self._request = request
        self._deadline_s = deadline_s
        self._silent_after_s = silent_after_s
        self._sent_whole = False
        self._answered = False
        self._ended = False
        self._started_s = 0.0

    def run(
        self, address: TargetAddress, limit: int, fresh: bool
    ) -> UpstreamResponse:
        request = self._request
        self._check_cancelled()
        lines = self._head_lines()
        body = self._prepare_body()
        self._charge_request(_held_bytes(body), may_have_run=False)
        connection = self._connect(address, limit, fresh)
        connection.stream.sent_any = False
        self._started_s = self._forwarder.now_s()
        if request.cancellation is not None:
            request.cancellation.on_cancel(connection.stream.shutdown)
        try:
            head = self._exchange(connection, body, lines)
            return self._answer(connection, head)
        except (OSError, MalformedResponseError) as error:
            raise self._failure(connection, error) from error
        finally:
            if not self._answered:
                self._end(connection, False, False)

    def _prepare_body(self) -> RequestBody | bytes | None:
        """Wait for the body's start, so that a connection is not held up.

        A body that fails here has not run, and one that is held stays whole
        for the next attempt if this one cannot connect.
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
        # The length of a body that is held whole is known even if the
        # caller sent it in chunks.
        return body.prefix if body.replayable else body

    def _connect(
        self, address: TargetAddress, limit: int, fresh: bool
    ) -> UpstreamConnection:
        left_s = self._left_s()
        if left_s <= 0:
            raise self._fail(FailureKind.DEADLINE, "the deadline has passed")
        acquired = self._forwarder.pool.acquire(
            address,
            limit=limit,
            idempotent=self._request.idempotent,
            timeout_s=left_s,
            fresh=fresh,
        )
        match acquired:
            case Ok(connection):
                return connection
            case Err(ConnectFailure.LIMIT as failure):
                kind = FailureKind.CONNECTION_LIMIT
            case Err(failure):
                kind = FailureKind.CONNECT_FAILED
        raise self._fail(kind, failure.value)

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
        connection.stream.send_all(head + piece, self._left_s())
        if isinstance(body, RequestBody):
            early = self._send_rest(connection, body, chunked)
            if early is not None:
                return early
        self._sent_whole = True
        return self._read_final_head(connection)

    def _send_rest(
        self,
        connection: UpstreamConnection,
        body: RequestBody,
        chunked: bool,
    ) -> ResponseHead | None:
        """Send the rest; returns the head of an answer that came before."""
        stream = connection.stream
        while True:
            if stream.has_input():
                head = self._read_head(connection, self._left_s())
                if head.status >= 200:
                    return head
                continue
            try:
                piece = body.read_some()
            except BodyError as error:
                raise self._body_failure(error, may_have_run=True) from error
            self._charge_request(len(piece), may_have_run=True)
            try:
                if chunked:
                    stream.send_all(_chunk(piece), self._left_s())
                elif piece:
                    stream.send_all(piece, self._left_s())
            except TimeoutError:
                raise
            except OSError:
                return self._answer_after_reset(connection)
            if not piece:
                return None

    def _answer_after_reset(
        self, connection: UpstreamConnection
    ) -> ResponseHead:
        head = self._read_head(
            connection, min(_EARLY_ANSWER_S, self._left_s())
        )
        if head.status < 200:
            raise ConnectionResetError
        return head

    def _read_final_head(self, connection: UpstreamConnection) -> ResponseHead:
        for _ in range(_MAX_INTERIM_ANSWERS):
            head = self._read_head(connection, self._first_byte_s(connection))
            if head.status < 200:
                continue
            if self._is_own(head):
                return head
            self._skip_answer(connection, head)
        raise MalformedResponseError("the answer has too many interim heads")

    def _is_own(self, head: ResponseHead) -> bool:
        """Whether the answer belongs to this request.

        :raises MalformedResponseError: if a success does not say so.
        """
        names = self._forwarder.settings.names
        if not names.echoes_request_id:
            return True
        ids = values_of(head.headers, names.request_id.lower())
        if ids:
            return ids == [self._request.request_id]
        if head.status < 300:
            raise MalformedResponseError("the answer names no request")
        return True

    def _skip_answer(
        self, connection: UpstreamConnection, head: ResponseHead
    ) -> None:
        """Read past a late answer to an earlier request."""
        self._forwarder.counters["foreign_answers"] += 1
        if not head.sized:
            raise MalformedResponseError("a foreign answer states no length")
        body = AnswerBody(
            connection.stream,
            head,
            stall_s=self._left_s(),
            on_end=lambda complete: None,
        )
        while body.read_some():
            pass

    def _first_byte_s(self, connection: UpstreamConnection) -> float:
        left_s = self._left_s()
        if self._bounded_wait(connection):
            return min(left_s, self._silent_after_s or left_s)
        return left_s

    def _bounded_wait(self, connection: UpstreamConnection) -> bool:
        return (
            connection.reused
            and self._request.idempotent
            and self._silent_after_s is not None
        )

    def _read_head(
        self, connection: UpstreamConnection, first_byte_s: float
    ) -> ResponseHead:
        stream = connection.stream
        wait_s = first_byte_s
        limits = self._forwarder.settings.answer_head
        while True:
            end = stream.buffer.find(b"\r\n\r\n", stream.position)
            if end >= 0:
                block = stream.take(end + 4 - stream.position)
                head = parse_answer_head(block, self._request.method, limits)
                if head.status == 101:
                    raise MalformedResponseError(
                        "the answer switches protocols"
                    )
                return head
            if stream.buffered_bytes > limits.block_bytes:
                raise MalformedResponseError(
                    "the head of the answer is too long"
                )
            if not stream.refill(wait_s):
                raise ConnectionResetError("closed before an answer")
            wait_s = self._left_s()

    def _answer(
        self, connection: UpstreamConnection, head: ResponseHead
    ) -> UpstreamResponse:
        settings = self._forwarder.settings
        if not head.sized and not settings.accept_close_delimited_responses:
            raise MalformedResponseError("the answer states no length")
        keep = head.keep_alive and head.sized and self._sent_whole
        body = AnswerBody(
            connection.stream,
            head,
            stall_s=settings.answer_stall_s,
            on_end=functools.partial(self._end, connection, keep),
            charge=self._charge_answer if self._request.link else None,
        )
        if self._says_not_run(head):
            raise self._refused(body, head)
        if not self._is_sealed(head):
            raise MalformedResponseError("the answer has no seal")
        headers = answer_headers(head.headers, head.connection_fields)
        if head.status == 204:
            headers = [
                item for item in headers if item[0].lower() != "content-length"
            ]
        if settings.names.adds_via:
            headers.append(("Via", self._forwarder.via))
        self._answered = True
        return UpstreamResponse(
            status=head.status,
            reason=head.reason,
            headers=headers,
            body=body,
            reused=connection.reused,
            length=head.length,
        )

    def _says_not_run(self, head: ResponseHead) -> bool:
        names = self._forwarder.settings.names
        if head.status == 421 and names.expected_server is not None:
            return True
        if head.status != 503 and names is OWN_FIELDS:
            return False
        return "1" in values_of(head.headers, names.not_run.lower())

    def _is_sealed(self, head: ResponseHead) -> bool:
        seal = self._forwarder.settings.names.seal
        if seal is None or head.status >= 300:
            return True
        return bool(values_of(head.headers, seal.lower()))

    def _charge_request(self, size_bytes: int, *, may_have_run: bool) -> None:
        """Wait for the link before a part of the request's body is sent."""
        link = self._request.link
        if link is None or link.send(size_bytes, self._deadline_s):
            return
        self._check_cancelled(may_have_run=may_have_run)
        raise self._fail(
            FailureKind.LINK_FULL,
            "the link had no room for the request's body",
            may_have_run=may_have_run,
        )

    def _charge_answer(self, size_bytes: int, begun: bool) -> None:
        """Wait for the link before a part of the answer is passed on.

        The deadline is for the start of the answer; afterwards, a part may
        take as long as the backend server may take to send it.
        """
        link = self._request.link
        until_s = self._deadline_s
        if begun:
            stall_s = self._forwarder.settings.answer_stall_s
            until_s = self._forwarder.now_s() + stall_s
        if link is not None and not link.receive(size_bytes, until_s):
            raise ResponseTruncatedError(
                "the link had no room for the answer in time"
            )

    def _refused(self, body: AnswerBody, head: ResponseHead) -> _FailureError:
        # Reading a short body to its end keeps the connection.
        if 0 < (head.length or 0) <= _REFUSAL_BODY_BYTES:
            with contextlib.suppress(ResponseTruncatedError):
                while body.read_some():
                    pass
        kind = FailureKind.REFUSED_NOT_RUN
        if head.status == 421:
            kind = FailureKind.MISDIRECTED
        return _FailureError(
            AttemptFailure(
                kind=kind,
                may_have_run=False,
                message="the backend server refused without running it",
                retry_after_s=_retry_after_s(head),
            )
        )

    def _end(
        self, connection: UpstreamConnection, keep: bool, complete: bool
    ) -> None:
        if self._ended:
            return
        self._ended = True
        cancellation = self._request.cancellation
        if cancellation is not None:
            cancellation.on_cancel(None)
        if keep and complete:
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
            raise self._fail(
                FailureKind.KEY_IN_PATH, "the path contains the key"
            ) from None
        lines = [
            f"{request.method} {target} HTTP/1.1",
            f"Host: {request.host}",
        ]
        for name, value in request_headers(
            request.headers, keys, self._forwarder.written
        ):
            lines.append(f"{name}: {value}")
        lines.append(f"{names.request_id}: {request.request_id}")
        if names.expected_server is not None and request.server_id:
            lines.append(f"{names.expected_server}: {request.server_id}")
        if names.workspace is not None and request.workspace:
            lines.append(f"{names.workspace}: {request.workspace}")
        if names.adds_via:
            lines.append(f"Via: {self._forwarder.via}")
        return lines

    def _encode_head(
        self,
        lines: list[str],
        body: RequestBody | bytes | None,
        chunked: bool,
    ) -> bytes:
        left_s = self._left_s()
        if self._request.work_until_s is not None:
            left_s = self._request.work_until_s - self._forwarder.now_s()
        left_ms = max(1, int(left_s * 1000))
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

    def _left_s(self) -> float:
        return self._deadline_s - self._forwarder.now_s()

    def _check_cancelled(self, *, may_have_run: bool = False) -> None:
        cancellation = self._request.cancellation
        if cancellation is not None and cancellation.cancelled:
            raise self._fail(
                FailureKind.CALLER_GONE,
                "the caller has gone",
                may_have_run=may_have_run,
            )

    def _fail(
        self, kind: FailureKind, message: str, *, may_have_run: bool = False
    ) -> _FailureError:
        return _FailureError(
            AttemptFailure(
                kind=kind, may_have_run=may_have_run, message=message
            )
        )

    def _body_failure(
        self, error: BodyError, *, may_have_run: bool
    ) -> _FailureError:
        return _FailureError(
            AttemptFailure(
                kind=FailureKind.BODY,
                may_have_run=may_have_run,
                message=error.message,
                body_error=error,
            )
        )

    def _failure(
        self, connection: UpstreamConnection, error: Exception
    ) -> _FailureError:
        sent = connection.stream.sent_any
        cancellation = self._request.cancellation
        crash = reset_when_idle = False
        if cancellation is not None and cancellation.cancelled:
            kind = FailureKind.CALLER_GONE
            message = "the caller has gone"
        elif isinstance(error, MalformedResponseError):
            kind = FailureKind.MALFORMED_ANSWER
            message = error.message
        elif not isinstance(error, TimeoutError):
            kind = FailureKind.CLOSED
            crash = sent
            reset_when_idle = self._is_idle_reset(connection)
            message = "the connection was closed before an answer"
        elif self._bounded_wait(connection) and self._left_s() > 0:
            kind = FailureKind.SILENT
            message = "the reused connection gave no first byte in time"
        else:
            kind = FailureKind.DEADLINE
            message = "the deadline passed before an answer"
        return _FailureError(
            AttemptFailure(
                kind=kind,
                may_have_run=sent,
                looks_like_crash=crash,
                reused=connection.reused,
                reset_when_idle=reset_when_idle,
                message=message,
            )
        )

    def _is_idle_reset(self, connection: UpstreamConnection) -> bool:
        took_s = self._forwarder.now_s() - self._started_s
        if not connection.reused or took_s >= _IDLE_RESET_S:
            return False
        self._forwarder.pool.record_idle_reset(connection)
        return True


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _held_bytes(body: RequestBody | bytes | None) -> int:
    """Return the length of the body's first part, which is held already."""
    if isinstance(body, RequestBody):
        return len(body.prefix)
    return len(body or b"")


def _retry_after_s(head: ResponseHead) -> float | None:
    for name, value in head.headers:
        if name.lower() == "retry-after" and value.isdecimal():
            return float(value[:6])
    return None
