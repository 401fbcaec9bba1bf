"""Strict HTTP/1.1 towards callers, over raw sockets."""

import json
import re
from collections.abc import Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from edge_process import WAIT_S, EdgeProcess, edge, read_to_end

_LIMITS = {
    "head_timeout_s": 1.0,
    "linger_s": 0.3,
    "disconnect_check_period_s": 0.05,
    "body": {
        "body_bytes": 100_000,
        "stall_s": 0.5,
        "grace_s": 0.5,
        "min_bytes_per_s": 100_000,
    },
}
_HOST = b"Host: a\r\n"
_NEXT = b"GET /echo?next HTTP/1.1\r\nHost: a\r\n\r\n"
_CLOSE = b"Connection: close\r\n"


@pytest.fixture(scope="module")
def server() -> Iterator[EdgeProcess]:
    """Run one front for all tests of the module."""
    with edge(limits=_LIMITS) as process:
        yield process


def _status(response: bytes) -> int:
    return int(response.split(b" ", 2)[1])


def _statuses(response: bytes) -> list[bytes]:
    return re.findall(rb"HTTP/1\.1 (\d{3})", response)


def _content(response: bytes) -> dict[str, str]:
    return json.loads(response.partition(b"\r\n\r\n")[2])


def _works(server: EdgeProcess) -> None:
    response = server.exchange(
        b"POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
        + _CLOSE
        + b"\r\nhi"
    )
    assert _status(response) == 200
    assert _content(response)["body"] == "hi"


def _post(headers: bytes, body: bytes = b"") -> bytes:
    return b"POST /echo HTTP/1.1\r\n" + headers + b"\r\n" + body


_MALFORMED = {
    "two differing lengths": (
        _post(_HOST + b"Content-Length: 3\r\nContent-Length: 6\r\n", b"abc"),
        400,
        "malformed-length",
    ),
    "the same length twice": (
        _post(_HOST + b"Content-Length: 3\r\nContent-Length: 3\r\n", b"abc"),
        400,
        "malformed-length",
    ),
    "a list of lengths": (
        _post(_HOST + b"Content-Length: 3, 3\r\n", b"abc"),
        400,
        "malformed-length",
    ),
    "a signed length": (
        _post(_HOST + b"Content-Length: +3\r\n", b"abc"),
        400,
        "malformed-length",
    ),
    "a negative length": (
        _post(_HOST + b"Content-Length: -3\r\n", b"abc"),
        400,
        "malformed-length",
    ),
    "a length with an underscore": (
        _post(_HOST + b"Content-Length: 1_0\r\n", b"abc"),
        400,
        "malformed-length",
    ),
    "an empty length": (
        _post(_HOST + b"Content-Length:\r\n", b"abc"),
        400,
        "malformed-length",
    ),
    "an enormous length": (
        _post(_HOST + b"Content-Length: " + b"9" * 40 + b"\r\n"),
        400,
        "malformed-length",
    ),
    "an unknown transfer coding": (
        _post(_HOST + b"Transfer-Encoding: xchunked\r\n", b"0\r\n\r\n"),
        501,
        "unknown-transfer-coding",
    ),
    "two transfer codings": (
        _post(_HOST + b"Transfer-Encoding: gzip, chunked\r\n", b"0\r\n\r\n"),
        501,
        "unknown-transfer-coding",
    ),
    "two transfer coding lines": (
        _post(
            _HOST
            + b"Transfer-Encoding: chunked\r\n"
            + b"Transfer-Encoding: identity\r\n",
            b"0\r\n\r\n",
        ),
        501,
        "unknown-transfer-coding",
    ),
    "a transfer coding in HTTP/1.0": (
        b"POST /echo HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        501,
        "unknown-transfer-coding",
    ),
    "both length headers": (
        _post(
            _HOST + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            b"0\r\n\r\n",
        ),
        400,
        "ambiguous-length",
    ),
    "a space before the colon": (
        _post(_HOST + b"Content-Length : 3\r\n", b"abc"),
        400,
        "malformed-header",
    ),
    "a tab before the colon": (
        _post(_HOST + b"Transfer-Encoding\t: chunked\r\n", b"0\r\n\r\n"),
        400,
        "malformed-header",
    ),
    "a folded header": (
        _post(_HOST + b"X-A: b\r\n c\r\n"),
        400,
        "malformed-header",
    ),
    "a folded first header": (
        _post(b" X-A: b\r\n" + _HOST),
        400,
        "malformed-header",
    ),
    "bare LF after a header": (
        _post(b"Host: a\nX-A: b\r\n"),
        400,
        "malformed-header",
    ),
    "bare LF everywhere": (
        b"GET /echo HTTP/1.1\nHost: a\n\n",
        400,
        "malformed-header",
    ),
    "bare CR in a value": (
        _post(_HOST + b"X-A: b\rX-B: c\r\n"),
        400,
        "malformed-header",
    ),
    "NUL in a value": (
        _post(_HOST + b"X-A: b\0c\r\n"),
        400,
        "malformed-header",
    ),
    "a control character in a name": (
        _post(_HOST + b"X-\x01A: b\r\n"),
        400,
        "malformed-header",
    ),
    "a separator in a name": (
        _post(_HOST + b"X(A): b\r\n"),
        400,
        "malformed-header",
    ),
    "a header without a colon": (
        _post(_HOST + b"X-A\r\n"),
        400,
        "malformed-header",
    ),
    "an empty name": (_post(_HOST + b": b\r\n"), 400, "malformed-header"),
    "no Host": (_post(b""), 400, "malformed-host"),
    "two Hosts": (_post(_HOST + b"host: b\r\n"), 400, "malformed-host"),
    "an empty Host": (_post(b"Host:\r\n"), 400, "malformed-host"),
    "a Host with a path": (_post(b"Host: a/b\r\n"), 400, "malformed-host"),
    "a Host with user data": (
        _post(b"Host: u@a\r\n"),
        400,
        "malformed-host",
    ),
    "an oversized header": (
        _post(_HOST + b"X-A: " + b"b" * 9000 + b"\r\n"),
        431,
        "headers-too-large",
    ),
    "an oversized block": (
        _post(_HOST + (b"X-A: " + b"b" * 999 + b"\r\n") * 40),
        431,
        "headers-too-large",
    ),
    "too many headers": (
        _post(_HOST + b"X-A: b\r\n" * 101),
        431,
        "headers-too-large",
    ),
    "an oversized target": (
        b"GET /" + b"a" * 9000 + b" HTTP/1.1\r\n" + _HOST + b"\r\n",
        414,
        "target-too-long",
    ),
    "an endless target": (b"GET /" + b"a" * 20000, 414, "target-too-long"),
    "an endless header": (
        b"GET / HTTP/1.1\r\nX-A: " + b"a" * 20000,
        431,
        "headers-too-large",
    ),
    "a space in the target": (
        b"GET /a b HTTP/1.1\r\n" + _HOST + b"\r\n",
        400,
        "malformed-request-line",
    ),
    "two spaces in the request line": (
        b"GET  / HTTP/1.1\r\n" + _HOST + b"\r\n",
        400,
        "malformed-request-line",
    ),
    "a control character in the target": (
        b"GET /\x01 HTTP/1.1\r\n" + _HOST + b"\r\n",
        400,
        "malformed-request-line",
    ),
    "a non-ASCII target": (
        b"GET /\xc3\xa9 HTTP/1.1\r\n" + _HOST + b"\r\n",
        400,
        "malformed-request-line",
    ),
    "a fragment in the target": (
        b"GET /#a HTTP/1.1\r\n" + _HOST + b"\r\n",
        400,
        "malformed-target",
    ),
    "a malformed escape in the target": (
        b"GET /%zz HTTP/1.1\r\n" + _HOST + b"\r\n",
        400,
        "malformed-target",
    ),
    "a relative target": (
        b"GET echo HTTP/1.1\r\n" + _HOST + b"\r\n",
        400,
        "malformed-target",
    ),
    "an asterisk without OPTIONS": (
        b"GET * HTTP/1.1\r\n" + _HOST + b"\r\n",
        400,
        "malformed-target",
    ),
    "an absolute target with user data": (
        b"GET http://u:p@a/ HTTP/1.1\r\n" + _HOST + b"\r\n",
        400,
        "malformed-target",
    ),
    "a method with a separator": (
        b"G(T / HTTP/1.1\r\n" + _HOST + b"\r\n",
        400,
        "malformed-request-line",
    ),
    "no version": (b"GET /\r\n\r\n", 400, "malformed-request-line"),
    "a lower-case version": (
        b"GET / http/1.1\r\n" + _HOST + b"\r\n",
        400,
        "malformed-request-line",
    ),
    "HTTP/2.0": (
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        505,
        "unsupported-version",
    ),
    "a TLS greeting": (
        b"\x16\x03\x01\x02\x00\x01\x00",
        400,
        "malformed-request-line",
    ),
    "CONNECT": (
        b"CONNECT a:80 HTTP/1.1\r\n" + _HOST + b"\r\n",
        501,
        "connect-not-supported",
    ),
    "an upgrade": (
        _post(_HOST + b"Connection: Upgrade\r\nUpgrade: websocket\r\n"),
        501,
        "upgrade-not-supported",
    ),
    "an unknown expectation": (
        _post(_HOST + b"Expect: 200-ok\r\nContent-Length: 3\r\n", b"abc"),
        417,
        "unsupported-expectation",
    ),
}


@pytest.mark.parametrize("name", _MALFORMED)
def test_malformed_head_is_refused(server: EdgeProcess, name: str) -> None:
    """Guards against input that two parsers read in different ways."""
    data, status, code = _MALFORMED[name]
    response = server.exchange(data + _NEXT)
    assert _status(response) == status
    assert _content(response)["code"] == code
    assert _content(response)["run"] == "not run"
    assert b"X-Verbena-Run: not run\r\n" in response
    assert len(_statuses(response)) == 1, "the rest became a request"
    _works(server)


_BAD_CHUNKS = {
    "not a number": b"zz\r\nabc\r\n0\r\n\r\n",
    "a sign": b"+3\r\nabc\r\n0\r\n\r\n",
    "a prefix": b"0x3\r\nabc\r\n0\r\n\r\n",
    "an underscore": b"0_3\r\nabc\r\n0\r\n\r\n",
    "an empty size": b"\r\nabc\r\n0\r\n\r\n",
    "a leading space": b" 3\r\nabc\r\n0\r\n\r\n",
    "an enormous size": b"f" * 20 + b"\r\nabc\r\n0\r\n\r\n",
    "a negative size": b"-1\r\nabc\r\n0\r\n\r\n",
    "a bare LF after the size": b"3\nabc\r\n0\r\n\r\n",
    "a chunk longer than its size": b"3\r\nabcd\r\n0\r\n\r\n",
    "a bare LF after the data": b"3\r\nabc\n0\r\n\r\n",
    "a control character in an extension": b"3;\x01\r\nabc\r\n0\r\n\r\n",
    "an endless extension": b"3;" + b"a" * 3000,
    "a malformed trailer": b"3\r\nabc\r\n0\r\nX A: b\r\n\r\n",
    "a folded trailer": b"3\r\nabc\r\n0\r\nX: b\r\n c\r\n\r\n",
    "endless trailers": b"3\r\nabc\r\n0\r\n" + b"X-A: b\r\n" * 2000,
}


@pytest.mark.parametrize("name", _BAD_CHUNKS)
def test_malformed_chunk_is_refused(server: EdgeProcess, name: str) -> None:
    """Guards against tracebacks to callers and against a body cut wrongly."""
    response = server.exchange(
        _post(_HOST + b"Transfer-Encoding: chunked\r\n", _BAD_CHUNKS[name])
        + _NEXT
    )
    assert _status(response) == 400
    assert _content(response)["code"] == "malformed-chunk"
    assert b"Traceback" not in response
    assert b".py" not in response
    assert len(_statuses(response)) == 1
    _works(server)


def test_chunked_body_with_extensions_and_trailers(
    server: EdgeProcess,
) -> None:
    """Guards against valid chunked bodies being refused."""
    response = server.exchange(
        _post(
            _HOST + b"Transfer-Encoding: Chunked\r\n" + _CLOSE,
            b'3;a="b"\r\nabc\r\nA\r\n0123456789\r\n0\r\nX-T: 1\r\n\r\n',
        )
    )
    assert _content(response)["body"] == "abc0123456789"


@pytest.mark.parametrize(
    "data",
    [
        _post(_HOST + b"Content-Length: 10\r\n", b"abc"),
        _post(_HOST + b"Transfer-Encoding: chunked\r\n", b"a\r\nabc"),
        _post(_HOST + b"Transfer-Encoding: chunked\r\n", b"3\r\nabc\r\n"),
        _post(_HOST + b"Transfer-Encoding: chunked\r\n", b"3\r\nabc\r\n0\r\n"),
    ],
)
def test_short_body_never_reaches_the_application(
    server: EdgeProcess, data: bytes
) -> None:
    """Guards against a cut-off order being run as a whole one."""
    before = server.state()["bodies"]
    response = server.exchange(data, half_close=True)
    assert _status(response) == 400
    assert _content(response)["code"] == "body-too-short"
    assert server.state()["bodies"] == before


@pytest.mark.parametrize(
    "data",
    [
        _post(_HOST + b"Content-Length: 100001\r\n"),
        _post(
            _HOST + b"Transfer-Encoding: chunked\r\n",
            b"4000\r\n" + b"a" * 16384 + b"\r\n",
        )
        + b"".join([b"4000\r\n" + b"a" * 16384 + b"\r\n"] * 7),
    ],
)
def test_body_over_the_limit_is_refused(
    server: EdgeProcess, data: bytes
) -> None:
    """Guards against bodies that exhaust memory or a backend server."""
    response = server.exchange(data)
    assert _status(response) == 413
    assert _content(response)["code"] == "body-too-large"
    _works(server)


def test_slow_head_is_refused(server: EdgeProcess) -> None:
    """Guards against callers that hold connections with a trickle."""
    with server.connect() as sock:
        sock.sendall(b"GET /echo HTTP/1.1\r\n")
        # Each byte alone arrives well within any single wait.
        sock.settimeout(0.1)
        response = b""
        for _ in range(int(WAIT_S / 0.1)):
            try:
                response = sock.recv(65536)
                break
            except TimeoutError:
                sock.sendall(b"X")
    assert _status(response) == 408
    assert _content(response)["code"] == "request-too-slow"


def test_stalled_body_is_refused(server: EdgeProcess) -> None:
    """Guards against a body that stops while its connection stays open."""
    response = server.exchange(
        _post(_HOST + b"Content-Length: 10\r\n", b"abc")
    )
    assert _status(response) == 408


def test_body_below_the_minimum_rate_is_refused(server: EdgeProcess) -> None:
    """Guards against a body that trickles for ever."""
    with server.connect() as sock:
        sock.sendall(_post(_HOST + b"Content-Length: 90000\r\n"))
        sock.settimeout(0.1)
        response = b""
        for _ in range(int(WAIT_S / 0.1)):
            try:
                response = sock.recv(65536)
                break
            except TimeoutError:
                sock.sendall(b"X")
    assert _status(response) == 408


def test_http_1_0(server: EdgeProcess) -> None:
    """Guards against chunked coding or an open connection in HTTP/1.0."""
    response = server.exchange(b"GET /echo HTTP/1.0\r\n\r\n")
    assert _status(response) == 200
    assert b"Transfer-Encoding" not in response
    assert b"Connection: close" in response


def test_absolute_target_replaces_the_host(server: EdgeProcess) -> None:
    """Guards against routing by a Host that the target contradicts."""
    response = server.exchange(
        b"GET http://b:81/echo?q HTTP/1.1\r\n" + _HOST + _CLOSE + b"\r\n"
    )
    assert _content(response)["host"] == "b:81"
    assert _content(response)["target"] == "/echo?q"


def test_leading_empty_line_is_ignored(server: EdgeProcess) -> None:
    """Guards against refusing callers that end a body with CRLF."""
    response = server.exchange(
        b"\r\nGET /echo HTTP/1.1\r\n" + _HOST + _CLOSE + b"\r\n"
    )
    assert _status(response) == 200


def test_pipelined_requests_are_answered_in_order(
    server: EdgeProcess,
) -> None:
    """Guards against responses that are lost or swapped."""
    data = b"".join(
        b"POST /echo?%d HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
        b"%b\r\n%d" % (number, _CLOSE if number == 8 else b"", number)
        for number in range(9)
    )
    response = server.exchange(data)
    assert re.findall(rb'"/echo\?(\d)"', response) == [
        b"%d" % number for number in range(9)
    ]
    assert re.findall(rb'"body": "(\d)"', response) == [
        b"%d" % number for number in range(9)
    ]


def test_continue_is_sent_when_the_body_is_wanted(
    server: EdgeProcess,
) -> None:
    """Guards against callers that wait for 100 Continue for ever."""
    with server.connect() as sock:
        sock.sendall(
            _post(
                _HOST
                + b"Expect: 100-continue\r\nContent-Length: 2\r\n"
                + _CLOSE
            )
        )
        assert sock.recv(25) == b"HTTP/1.1 100 Continue\r\n\r\n"
        sock.sendall(b"hi")
        assert _content(read_to_end(sock))["body"] == "hi"


def test_no_continue_when_the_body_is_not_read(server: EdgeProcess) -> None:
    """Guards against reading the unsent body as the next request."""
    response = server.exchange(
        b"POST /ignore HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
        b"Content-Length: 3\r\n\r\n"
    )
    assert _status(response) == 200
    assert b"100 Continue" not in response
    assert b"Connection: close" in response


def test_short_unread_body_keeps_the_connection(server: EdgeProcess) -> None:
    """Guards against reading an unread body as the next request."""
    response = server.exchange(
        b"POST /ignore HTTP/1.1\r\nHost: a\r\nContent-Length: 30\r\n\r\n"
        + b"GET /echo HTTP/1.1\r\nHost: a\r\n"[:30].ljust(30, b"x")
        + b"GET /echo?last HTTP/1.1\r\nHost: a\r\n"
        + _CLOSE
        + b"\r\n"
    )
    assert response.count(b"HTTP/1.1 200 OK") == 2
    assert b'"/echo?last"' in response


def test_head_response_has_no_body(server: EdgeProcess) -> None:
    """Guards against a body that the next response would be read from."""
    response = server.exchange(
        b"HEAD /echo HTTP/1.1\r\n" + _HOST + _CLOSE + b"\r\n"
    )
    assert _status(response) == 200
    assert response.endswith(b"\r\n\r\n")


def test_application_failure_shows_no_details(server: EdgeProcess) -> None:
    """Guards against tracebacks to callers."""
    response = server.exchange(b"GET /broken HTTP/1.1\r\n" + _HOST + b"\r\n")
    assert _status(response) == 500
    assert _content(response)["code"] == "internal-error"
    assert _content(response)["run"] == "outcome unknown"
    assert b"secret detail" not in response


def test_header_injection_is_refused(server: EdgeProcess) -> None:
    """Guards against response headers that carry a line break."""
    response = server.exchange(b"GET /injected HTTP/1.1\r\n" + _HOST + b"\r\n")
    assert _status(response) == 500
    assert b"X-Other" not in response


@pytest.mark.parametrize("path", [b"sized_failure", b"short"])
def test_failed_sized_response_ends_short(
    server: EdgeProcess, path: bytes
) -> None:
    """Guards against a truncated response that looks complete."""
    response = server.exchange(
        b"GET /" + path + b" HTTP/1.1\r\n" + _HOST + b"\r\n"
    )
    assert b"Content-Length: 100\r\n" in response
    assert response.endswith(b"\r\n\r\npartial")


def test_failed_chunked_response_has_no_end(server: EdgeProcess) -> None:
    """Guards against a truncated response that ends like a whole one."""
    response = server.exchange(
        b"GET /chunked_failure HTTP/1.1\r\n" + _HOST + b"\r\n"
    )
    assert not response.endswith(b"0\r\n\r\n")


def test_failed_unsized_response_is_reset(server: EdgeProcess) -> None:
    """Guards against a truncated response to HTTP/1.0 that looks whole."""
    with server.connect() as sock:
        sock.sendall(b"GET /chunked_failure HTTP/1.0\r\n\r\n")
        with pytest.raises(ConnectionResetError):
            while sock.recv(65536):
                pass


@settings(derandomize=True, max_examples=120, database=None, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.binary(max_size=40),
            st.sampled_from(
                [
                    b"POST /echo HTTP/1.1\r\n",
                    b"GET / HTTP/1.1\r\n",
                    b"Host: a\r\n",
                    b"\r\n",
                    b"Content-Length: 4\r\n",
                    b"Transfer-Encoding: chunked\r\n",
                    b"4\r\nabcd\r\n",
                    b"0\r\n\r\n",
                ]
            ),
        ),
        max_size=12,
    )
)
def test_arbitrary_bytes_leave_the_server_up(
    server: EdgeProcess, pieces: list[bytes]
) -> None:
    """Guards against input that ends the process or wedges the server."""
    server.exchange(b"".join(pieces), half_close=True)
    assert server.process.poll() is None
    _works(server)


def test_idle_connection_is_closed() -> None:
    """Guards against connections that are held without requests."""
    with (
        edge(limits={"idle_timeout_s": 0.2}) as server,
        server.connect() as sock,
    ):
        assert sock.recv(1) == b""
