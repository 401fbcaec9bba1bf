"""One attempt to a backend server, over real sockets."""

import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from result import Err, Ok, Result

from edge_process import BackendConnection, RawBackend, raw_backend
from verbenad.attempt_failure import AttemptFailure, FailureKind
from verbenad.cancellation import Cancellation
from verbenad.field_names import FieldNames
from verbenad.forward_request import ForwardRequest
from verbenad.forwarder import Forwarder, ForwarderSettings
from verbenad.http_syntax import Headers
from verbenad.protocol_errors import ResponseTruncatedError
from verbenad.request_body import BodyLimits, RequestBody
from verbenad.socket_stream import SocketStream
from verbenad.target_address import TargetAddress
from verbenad.upstream_pool import UpstreamPool
from verbenad.upstream_response import UpstreamResponse

_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
_KEY = "k-0123456789abcdef"
Handler = Callable[[BackendConnection, int], None]


def _forwarder(*, accept_close_delimited: bool = False) -> Forwarder:
    return Forwarder(
        UpstreamPool(),
        ForwarderSettings(
            via_name="edge-1",
            accept_close_delimited_responses=accept_close_delimited,
        ),
    )


def _attempt(
    forwarder: Forwarder,
    address: TargetAddress,
    *,
    method: str = "GET",
    target: str = "/x",
    headers: Headers | None = None,
    body: RequestBody | bytes | None = None,
    idempotent: bool = True,
    wait_s: float = 20.0,
    cancellation: Cancellation | None = None,
    first_byte_timeout_s: float | None = None,
    new_connection: bool = False,
    link: Any = None,
) -> Result[UpstreamResponse, AttemptFailure]:
    return forwarder.attempt(
        ForwardRequest(
            request_id="r1",
            method=method,
            target=target,
            host="shop.example",
            headers=headers or [],
            body=body,
            idempotent=idempotent,
            cancellation=cancellation,
            link=link,
        ),
        address,
        time.monotonic() + wait_s,
        connection_limit=4,
        first_byte_timeout_s=first_byte_timeout_s,
        new_connection=new_connection,
    )


def _failure_of(
    outcome: Result[UpstreamResponse, AttemptFailure],
) -> AttemptFailure:
    match outcome:
        case Err(failure):
            return failure
        case Ok(response):
            raise AssertionError(response)


def _body(outcome: Result[UpstreamResponse, AttemptFailure]) -> bytes:
    return b"".join(outcome.unwrap().body)


def _always(response: bytes) -> Handler:
    def handle(connection: BackendConnection, number: int) -> None:
        while True:
            connection.read_request()
            connection.send(response)

    return handle


def _once(response: bytes) -> Handler:
    def handle(connection: BackendConnection, number: int) -> None:
        connection.read_request()
        connection.send(response)

    return handle


class _Recorder:
    """Keeps the heads and bodies that a backend server received."""

    def __init__(self, response: bytes = _OK) -> None:
        self.requests: list[tuple[bytes, bytes]] = []
        self._response = response

    def __call__(self, connection: BackendConnection, number: int) -> None:
        while True:
            self.requests.append(connection.read_request())
            connection.send(self._response)


@pytest.fixture
def recorder() -> _Recorder:
    """Return the handler of :func:`recording`."""
    return _Recorder()


@pytest.fixture
def recording(recorder: _Recorder) -> Iterator[RawBackend]:
    """Run a backend server that responds with 200 and keeps the requests."""
    with raw_backend(recorder) as backend:
        yield backend


def test_headers_to_the_backend_server(
    recorder: _Recorder, recording: RawBackend
) -> None:
    """Guards against hop-by-hop fields and forged fields passing through."""
    outcome = _attempt(
        _forwarder(),
        recording.address,
        target="/a%20b?c=d",
        headers=[
            ("Host", "other.example"),
            ("Connection", "close, X-Private"),
            ("X-Private", "1"),
            ("Keep-Alive", "timeout=5"),
            ("TE", "trailers"),
            ("Trailer", "X-T"),
            ("Proxy-Authorization", "basic"),
            ("Proxy-Connection", "close"),
            ("Upgrade", "h2c"),
            ("Expect", "100-continue"),
            ("Transfer-Encoding", "chunked"),
            ("Content-Length", "99"),
            ("Content_Length", "98"),
            ("X-Request-Id", "forged"),
            ("X-Request-Deadline-Ms", "999999999"),
            ("Via", "1.1 other"),
            ("X-Kept", "a"),
            ("x-kept", "b"),
        ],
        wait_s=20.0,
    )
    assert _body(outcome) == b"hello"
    lines = recorder.requests[0][0].decode().split("\r\n")
    deadline = [ln for ln in lines if ln.startswith("X-Request-Deadline-Ms")]
    assert len(deadline) == 1
    assert 0 < int(deadline[0].split(": ")[1]) <= 20_000
    assert sorted(set(lines) - set(deadline)) == sorted(
        [
            "GET /a%20b?c=d HTTP/1.1",
            "Host: shop.example",
            "Via: 1.1 other",
            "X-Kept: a",
            "x-kept: b",
            "X-Request-Id: r1",
            "Via: 1.1 edge-1",
        ]
    )


@pytest.mark.parametrize(
    "target",
    [
        f"/x?a=1&verbena_key={_KEY}&b=2",
        f"/x?verbena_key={_KEY}",
        f"/x?a=1;verbena_key={_KEY}",
        f"/x?%76erbena_key={_KEY}",
        f"/x?VERBENA_KEY={_KEY}",
        f"/x?a=1&verbena_key=&verbena_key={_KEY}",
        f"/x?other={_KEY}&verbena_key={_KEY}",
        f"/x?other=%6b{_KEY[1:]}&verbena_key={_KEY}",
        "/x?verbena_key=short",
    ],
)
def test_key_in_the_query_is_removed(
    recorder: _Recorder, recording: RawBackend, target: str
) -> None:
    """Guards against a backend server that sees a key in the query."""
    _body(_attempt(_forwarder(), recording.address, target=target))
    head = recorder.requests[0][0]
    assert _KEY.encode()[1:] not in head
    assert b"verbena_key" not in head.lower()
    assert (b"a=1" in head) == ("a=1" in target)
    assert (b"b=2" in head) == ("b=2" in target)


@pytest.mark.parametrize(
    "headers",
    [
        [("X-Verbena-Key", _KEY)],
        [("x-verbena-key", _KEY), ("X-VERBENA-KEY", "k-second-key-0001")],
        [("X_Verbena_Key", _KEY)],
        [("X-Verbena-Key", "k-second")],
        [("X-Verbena-Key", _KEY), ("Authorization", f"Bearer {_KEY}")],
        [("X-Verbena-Key", _KEY), ("Cookie", f"a=b; k={_KEY}")],
        [("X-Verbena-Key", _KEY), ("Referer", f"http://a/?k=%6b{_KEY[1:]}")],
        [("Connection", "X-Verbena-Key"), ("X-Verbena-Key", _KEY)],
    ],
)
def test_key_in_headers_is_removed(
    recorder: _Recorder, recording: RawBackend, headers: Headers
) -> None:
    """Guards against a backend server that sees a key in a header."""
    _body(_attempt(_forwarder(), recording.address, headers=headers))
    head = recorder.requests[0][0]
    assert _KEY.encode()[1:] not in head
    assert b"k-second" not in head


def test_key_in_the_path_is_refused(recording: RawBackend) -> None:
    """Guards against a backend server that sees a key in the path."""
    failure = _failure_of(
        _attempt(
            _forwarder(),
            recording.address,
            target=f"/x/{_KEY}",
            headers=[("X-Verbena-Key", _KEY)],
        )
    )
    assert failure.kind is FailureKind.KEY_IN_PATH
    assert not failure.may_have_run
    assert recording.accepted == 0


def test_headers_of_the_response() -> None:
    """Guards against hop-by-hop fields and forged run states in responses."""
    response = (
        b"HTTP/1.1 201 Made\r\nConnection: X-Private\r\nX-Private: 1\r\n"
        b"Keep-Alive: timeout=5\r\nX-Verbena-Run: not run\r\nX-Not-Run: 1\r\n"
        b"X-Kept: a\r\nContent-Length: 2\r\n\r\nhi"
    )
    with raw_backend(_always(response)) as backend:
        outcome = _attempt(_forwarder(), backend.address).unwrap()
    assert outcome.status_line == "201 Made"
    assert outcome.headers == [
        ("X-Kept", "a"),
        ("Content-Length", "2"),
        ("Via", "1.1 edge-1"),
    ]


@pytest.mark.parametrize(
    ("method", "response"),
    [
        ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"),
        ("HEAD", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
        ("GET", b"HTTP/1.1 204 No Content\r\n\r\n"),
        ("GET", b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"),
    ],
)
def test_responses_without_a_body(method: str, response: bytes) -> None:
    """Guards against waiting for a body that never comes."""
    forwarder = _forwarder()
    with raw_backend(_always(response)) as backend:
        for _ in range(2):
            outcome = _attempt(forwarder, backend.address, method=method)
            assert _body(outcome) == b""
        assert backend.accepted == 1


def test_interim_responses_are_skipped() -> None:
    """Guards against an interim response that is taken for the final one."""
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
    with raw_backend(_always(interim * 3 + _OK)) as backend:
        assert _body(_attempt(_forwarder(), backend.address)) == b"hello"


_BAD_RESPONSES = {
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
    b"Content-Length: 6\r\n\r\nhello",
    "a signed length": b"HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\nhello",
    "both length headers": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "an unknown coding": b"HTTP/1.1 200 OK\r\n"
    b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "a folded header": b"HTTP/1.1 200 OK\r\nX: a\r\n b\r\n"
    b"Content-Length: 0\r\n\r\n",
    "a space before the colon": b"HTTP/1.1 200 OK\r\n"
    b"Content-Length : 0\r\n\r\n",
    "a malformed status": b"HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
    "a status above 599": b"HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n",
    "a status below 100": b"HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n",
    "another protocol": b"SSH-2.0-x\r\n\r\n",
    "a switch of protocols": b"HTTP/1.1 101 Switching\r\n\r\n",
    "no length": b"HTTP/1.1 200 OK\r\n\r\nhello",
    "an endless head": b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 20000,
    "endless interim responses": b"HTTP/1.1 100 Continue\r\n\r\n" * 20 + _OK,
}


@pytest.mark.parametrize("name", _BAD_RESPONSES)
def test_malformed_response_is_refused(name: str) -> None:
    """Guards against responses whose end two parsers place differently."""
    forwarder = _forwarder()
    with raw_backend(_once(_BAD_RESPONSES[name])) as backend:
        failure = _failure_of(_attempt(forwarder, backend.address))
    assert failure.kind is FailureKind.MALFORMED_ANSWER
    assert failure.may_have_run
    assert forwarder.pool.total(backend.address) == 0


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"5\r\nhello\r\nzz\r\n",
    ],
)
def test_truncated_response_raises(response: bytes) -> None:
    """Guards against a truncated response that is taken for a whole one."""
    forwarder = _forwarder()
    with raw_backend(_once(response)) as backend:
        outcome = _attempt(forwarder, backend.address)
        with pytest.raises(ResponseTruncatedError):
            _body(outcome)
        assert forwarder.pool.total(backend.address) == 0


def test_reset_in_a_close_delimited_response_raises() -> None:
    """Guards against a crash that looks like the end of a response."""
    head_read = threading.Event()

    def handle(connection: BackendConnection, number: int) -> None:
        connection.read_request()
        connection.send(b"HTTP/1.1 200 OK\r\n\r\nhello")
        head_read.wait(20.0)
        if number == 1:
            connection.reset()

    forwarder = _forwarder(accept_close_delimited=True)
    with raw_backend(handle) as backend:
        outcome = _attempt(forwarder, backend.address)
        assert outcome.is_ok()
        head_read.set()
        with pytest.raises(ResponseTruncatedError):
            _body(outcome)
        assert _body(_attempt(forwarder, backend.address)) == b"hello"


def test_connection_with_unread_bytes_is_not_reused() -> None:
    """Guards against bytes of one response that open the next one."""
    forwarder = _forwarder()
    with raw_backend(_always(_OK + _OK)) as backend:
        for _ in range(3):
            assert _body(_attempt(forwarder, backend.address)) == b"hello"
        assert backend.accepted == 3


def test_body_closed_early_gives_the_connection_up() -> None:
    """Guards against the rest of a response that opens the next one."""

    def handle(connection: BackendConnection, number: int) -> None:
        connection.read_request()
        if number == 1:
            # Nothing of the body has arrived when the reader gives up.
            connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
            connection.wait_for_close()
        connection.send(_OK)

    forwarder = _forwarder()
    with raw_backend(handle) as backend:
        _attempt(forwarder, backend.address).unwrap().body.close()
        assert forwarder.pool.total(backend.address) == 0
        assert _body(_attempt(forwarder, backend.address)) == b"hello"


def test_refused_connection_did_not_run() -> None:
    """Guards against a needless "outcome unknown" status."""
    with raw_backend(_always(_OK)) as backend:
        pass
    failure = _failure_of(_attempt(_forwarder(), backend.address))
    assert failure.kind is FailureKind.CONNECT_FAILED
    assert not failure.may_have_run


@pytest.mark.parametrize("reset", [False, True])
def test_close_before_the_response_may_have_run(reset: bool) -> None:
    """Guards against "not run" for a request that a crash cut off."""

    def handle(connection: BackendConnection, number: int) -> None:
        connection.read_request()
        if reset:
            connection.reset()

    with raw_backend(handle) as backend:
        failure = _failure_of(
            _attempt(
                _forwarder(),
                backend.address,
                method="POST",
                body=b"order",
                idempotent=False,
            )
        )
    assert failure.kind is FailureKind.CLOSED
    assert failure.may_have_run
    assert failure.looks_like_crash
    assert not failure.reused


def test_deadline_before_the_response_may_have_run() -> None:
    """Guards against waiting past the deadline, and against "not run"."""

    def handle(connection: BackendConnection, number: int) -> None:
        connection.read_request()
        connection.wait_for_close()

    with raw_backend(handle) as backend:
        failure = _failure_of(
            _attempt(_forwarder(), backend.address, wait_s=0.1)
        )
    assert failure.kind is FailureKind.DEADLINE
    assert failure.may_have_run
    assert not failure.looks_like_crash


def test_passed_deadline_sends_nothing(recording: RawBackend) -> None:
    """Guards against running a request that nobody waits for."""
    failure = _failure_of(
        _attempt(_forwarder(), recording.address, wait_s=-1.0)
    )
    assert failure.kind is FailureKind.DEADLINE
    assert not failure.may_have_run
    assert recording.accepted == 0


def test_backend_server_that_says_not_run() -> None:
    """Guards against "outcome unknown" where the request was refused."""
    response = (
        b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nRetry-After: 2\r\n"
        b"Content-Length: 4\r\n\r\nbusy"
    )
    forwarder = _forwarder()
    with raw_backend(_always(response)) as backend:
        for _ in range(2):
            failure = _failure_of(_attempt(forwarder, backend.address))
            assert failure.refused_not_run
            assert not failure.may_have_run
            assert failure.retry_after_s == 2.0
        assert backend.accepted == 1


def test_503_without_the_mark_is_a_response() -> None:
    """Guards against "not run" for a response that does not state it."""
    response = b"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy"
    with raw_backend(_always(response)) as backend:
        outcome = _attempt(_forwarder(), backend.address)
        assert outcome.unwrap().status == 503
        assert _body(outcome) == b"busy"


def _silent_when_reused(connection: BackendConnection, number: int) -> None:
    connection.read_request()
    connection.send(_OK)
    connection.wait_for_close()


def test_silent_reused_connection_is_reported() -> None:
    """Guards against waiting until the deadline on a dead connection."""
    forwarder = _forwarder()
    with raw_backend(_silent_when_reused) as backend:
        assert _body(_attempt(forwarder, backend.address)) == b"hello"
        failure = _failure_of(
            _attempt(forwarder, backend.address, first_byte_timeout_s=0.1)
        )
        assert failure.silent
        assert failure.reused
        assert failure.may_have_run
        again = _attempt(
            forwarder,
            backend.address,
            first_byte_timeout_s=0.1,
            new_connection=True,
        )
        assert _body(again) == b"hello"


def test_bounded_wait_does_not_apply_to_new_connections() -> None:
    """Guards against giving up on a request that takes its time."""

    def handle(connection: BackendConnection, number: int) -> None:
        connection.read_request()
        time.sleep(0.3)
        connection.send(_OK)

    with raw_backend(handle) as backend:
        outcome = _attempt(
            _forwarder(), backend.address, first_byte_timeout_s=0.05
        )
        assert _body(outcome) == b"hello"


def test_cancel_closes_the_connection() -> None:
    """Guards against backend servers that work for callers who left."""
    arrived, closed = threading.Event(), threading.Event()

    def handle(connection: BackendConnection, number: int) -> None:
        connection.read_request()
        arrived.set()
        connection.wait_for_close()
        closed.set()

    cancellation = Cancellation()
    with raw_backend(handle) as backend:

        def cancel() -> None:
            arrived.wait(20.0)
            cancellation.cancel()

        canceller = threading.Thread(target=cancel)
        canceller.start()
        failure = _failure_of(
            _attempt(_forwarder(), backend.address, cancellation=cancellation)
        )
        canceller.join()
        assert closed.wait(20.0)
    assert failure.kind is FailureKind.CALLER_GONE
    assert failure.may_have_run
    assert not failure.looks_like_crash


def test_cancelled_request_is_not_sent(recording: RawBackend) -> None:
    """Guards against running a request whose caller has left."""
    cancellation = Cancellation()
    cancellation.cancel()
    failure = _failure_of(
        _attempt(_forwarder(), recording.address, cancellation=cancellation)
    )
    assert failure.kind is FailureKind.CALLER_GONE
    assert not failure.may_have_run
    assert recording.accepted == 0


def test_body_is_sent_with_its_length(
    recorder: _Recorder, recording: RawBackend
) -> None:
    """Guards against bodies that change on the way."""
    for body in (b"", b"x" * 100_000):
        _body(
            _attempt(
                _forwarder(),
                recording.address,
                method="POST",
                body=body,
                idempotent=False,
            )
        )
        head, received = recorder.requests[-1]
        assert f"Content-Length: {len(body)}".encode() in head
        assert received == body


def test_line_break_in_a_header_sends_nothing(recording: RawBackend) -> None:
    """Guards against requests smuggled through a header value."""
    with pytest.raises(ValueError, match="line break"):
        _attempt(
            _forwarder(),
            recording.address,
            headers=[("X-A", "b\r\nX-Verbena-Key: c")],
        )


def _streamed(data: bytes, *, chunked: bool) -> RequestBody:
    left, right = socket.socketpair()
    with left:
        left.sendall(data)
    return RequestBody(
        SocketStream(right),
        content_length=None if chunked else len(data),
        chunked=chunked,
        limits=BodyLimits(),
    )


def test_body_is_kept_when_no_connection_opens(
    recorder: _Recorder, recording: RawBackend
) -> None:
    """Guards against a second attempt that sends the rest of a body only."""
    body = _streamed(b"y" * 100_000, chunked=False)
    forwarder = _forwarder()
    with raw_backend(_always(_OK)) as closed:
        pass
    first = _attempt(forwarder, closed.address, method="PUT", body=body)
    assert not _failure_of(first).may_have_run
    second = _attempt(forwarder, recording.address, method="PUT", body=body)
    assert _body(second) == b"hello"
    assert recorder.requests[0][1] == b"y" * 100_000


def test_body_that_was_read_is_not_sent_again(
    recorder: _Recorder, recording: RawBackend
) -> None:
    """Guards against a second attempt without the body's start."""
    body = _streamed(b"y" * 100_000, chunked=False)
    _body(_attempt(_forwarder(), recording.address, method="PUT", body=body))
    with pytest.raises(ValueError, match="read already"):
        _attempt(_forwarder(), recording.address, method="PUT", body=body)
    assert len(recorder.requests) == 1


def test_body_that_is_held_whole_is_sent_again(
    recorder: _Recorder, recording: RawBackend
) -> None:
    """Guards against a repeated request with an empty body."""
    body = _streamed(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", chunked=True)
    assert body.prefetch(65536)
    for _ in range(2):
        outcome = _attempt(
            _forwarder(), recording.address, method="PUT", body=body
        )
        assert _body(outcome) == b"hello"
    assert [sent for _, sent in recorder.requests] == [b"abcde"] * 2


class _Link:
    """Has room for a number of bytes in each direction."""

    def __init__(self, send: int = 10**9, receive: int = 10**9) -> None:
        self.left = {"send": send, "receive": receive}
        self.charged = {"send": 0, "receive": 0}

    def send(self, size_bytes: int, until_s: float) -> bool:
        return self._charge("send", size_bytes)

    def receive(self, size_bytes: int, until_s: float) -> bool:
        return self._charge("receive", size_bytes)

    def _charge(self, way: str, size_bytes: int) -> bool:
        if self.left[way] < size_bytes:
            return False
        self.left[way] -= size_bytes
        self.charged[way] += size_bytes
        return True


def test_bodies_are_charged_to_the_link_once(
    recorder: _Recorder, recording: RawBackend
) -> None:
    """Guards against bytes between regions that are free or paid twice."""
    for chunked in (False, True):
        data = b"y" * 200_000
        if chunked:
            data = b"30d40\r\n%b\r\n0\r\n\r\n" % data
        link = _Link()
        outcome = _attempt(
            _forwarder(),
            recording.address,
            method="PUT",
            body=_streamed(data, chunked=chunked),
            link=link,
        )
        assert _body(outcome) == b"hello"
        assert link.charged == {"send": 200_000, "receive": 5}
    sent = [body.count(b"y") for _, body in recorder.requests]
    assert sent == [200_000] * 2


def test_link_without_room_for_the_first_byte(
    recorder: _Recorder, recording: RawBackend
) -> None:
    """Guards against "outcome unknown" for a request that was not sent."""
    failure = _failure_of(
        _attempt(
            _forwarder(),
            recording.address,
            method="PUT",
            body=_streamed(b"y" * 100, chunked=False),
            link=_Link(send=99),
        )
    )
    assert failure.kind is FailureKind.LINK_FULL
    assert not failure.may_have_run
    assert not recorder.requests


def test_link_that_gets_full_within_a_request(recording: RawBackend) -> None:
    """Guards against "not run" for a request that was sent in part."""
    failure = _failure_of(
        _attempt(
            _forwarder(),
            recording.address,
            method="PUT",
            body=_streamed(b"y" * 150_000, chunked=False),
            link=_Link(send=100_000),
        )
    )
    assert failure.kind is FailureKind.LINK_FULL
    assert failure.may_have_run


def test_link_that_gets_full_within_a_response() -> None:
    """Guards against a cut-off response that looks complete."""
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + bytes(
        200_000
    )
    with raw_backend(_always(response)) as backend:
        outcome = _attempt(
            _forwarder(), backend.address, link=_Link(receive=100_000)
        )
        with pytest.raises(ResponseTruncatedError, match="link"):
            _body(outcome)


def test_response_without_an_id_on_a_used_connection() -> None:
    """Guards against an error response that belongs to an earlier request."""

    def handle(connection: BackendConnection, number: int) -> None:
        connection.read_request()
        connection.send(
            b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n"
        )
        connection.read_request()
        connection.send(b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")

    names = FieldNames(request_id="Request-Id", echoes_request_id=True)
    forwarder = Forwarder(UpstreamPool(), ForwarderSettings(names=names))
    with raw_backend(handle) as backend:
        assert _body(_attempt(forwarder, backend.address)) == b""
        failure = _failure_of(_attempt(forwarder, backend.address))
    assert failure.kind is FailureKind.MALFORMED_ANSWER
