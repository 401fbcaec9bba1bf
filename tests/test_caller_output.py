"""What is written on a caller's connection behind a response that failed."""

import re
import socket
from collections.abc import Iterator

import pytest

from edge_process import (
    WAIT_S,
    BackendConnection,
    EdgeProcess,
    RawBackend,
    edge,
    raw_backend,
)

_SIZED = b"HTTP/1.1 200 OK\r\nContent-Length: 3000\r\n\r\n" + b"s" * 2000
_CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"7d0\r\n" + b"c" * 2000 + b"\r\n"
)
_WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
_FIRST = b"GET /%b HTTP/1.1\r\nHost: a\r\n\r\n"
_HOST = b"Host: a\r\n"
_LIMITS = {
    "head_timeout_s": 0.5,
    "linger_s": 0.3,
    "body": {"body_bytes": 1000, "stall_s": 0.5},
}
# What follows the first request; each is refused if it comes alone.
_REFUSED = {
    "too many fields": b"GET / HTTP/1.1\r\n"
    + _HOST
    + b"".join(b"X-%d: 1\r\n" % n for n in range(200))
    + b"\r\n",
    "long line": b"GET /" + b"x" * 40000 + b" HTTP/1.1\r\n" + _HOST + b"\r\n",
    "large head": b"GET / HTTP/1.1\r\n"
    + b"X-Note: 12345678\r\n" * 10000
    + b"\r\n",
    "no host": b"GET / HTTP/1.1\r\n\r\n",
    "two hosts": b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    "bare LF": b"GET / HTTP/1.1\nHost: a\n\n",
    "request line": b"GET /\r\n" + _HOST + b"\r\n",
    "first byte": b"\x16\x03\x01\x02\x00\r\n\r\n",
    "version": b"GET / HTTP/3.0\r\n" + _HOST + b"\r\n",
    "field name": b"GET / HTTP/1.1\r\nHo st: a\r\n\r\n",
    "length": b"GET / HTTP/1.1\r\n" + _HOST + b"Content-Length: -1\r\n\r\n",
    "lengths": b"POST / HTTP/1.1\r\n"
    + _HOST
    + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    "coding": b"POST / HTTP/1.1\r\n"
    + _HOST
    + b"Transfer-Encoding: gzip\r\n\r\n",
    "upgrade": b"GET / HTTP/1.1\r\n" + _HOST + b"Upgrade: h2c\r\n\r\n",
    "expectation": b"GET / HTTP/1.1\r\n" + _HOST + b"Expect: more\r\n\r\n",
    "slow head": b"GET / HTTP/1.1\r\nHost",
    "large body": b"POST /echo HTTP/1.1\r\n"
    + _HOST
    + b"Content-Length: 9999\r\n\r\n",
    "continue": b"POST /echo HTTP/1.1\r\n"
    + _HOST
    + b"Connection: close\r\nExpect: 100-continue\r\n"
    + b"Content-Length: 2\r\n\r\n",
    "request": b"GET /echo HTTP/1.1\r\n"
    + _HOST
    + b"Connection: close\r\n\r\n",
}
# The server reads these requests; all others end at the head.
_ANSWERED = {"continue", "request"}


def _respond(connection: BackendConnection, number: int) -> None:
    """Respond as the first path says, and break the response off."""
    head = connection.read_head()
    path = head.split()[1]
    connection.send(
        {b"/sized": _SIZED, b"/chunked": _CHUNKED, b"/whole": _WHOLE}[path]
    )


@pytest.fixture(scope="module")
def backend() -> Iterator[RawBackend]:
    """Run a backend server that breaks its responses off."""
    with raw_backend(_respond) as running:
        yield running


@pytest.fixture(scope="module")
def server(backend: RawBackend) -> Iterator[EdgeProcess]:
    """Run one HTTP server for all tests of the module."""
    with edge(
        pipelined=True, backend_port=backend.port, limits=_LIMITS
    ) as process:
        yield process


def _receive(sock: socket.socket) -> bytes:
    """Return what a caller receives until the connection ends."""
    received = b""
    sock.settimeout(WAIT_S)
    try:
        while piece := sock.recv(65536):
            received += piece
    except ConnectionResetError:
        pass
    return received


@pytest.mark.parametrize("framing", ["sized", "chunked"])
@pytest.mark.parametrize("reason", sorted(_REFUSED))
def test_nothing_follows_a_truncated_response(
    server: EdgeProcess, reason: str, framing: str
) -> None:
    """Guards against a truncated response that the next one completes."""
    with server.connect() as sock:
        sock.sendall(_FIRST % framing.encode() + _REFUSED[reason])
        received = _receive(sock)
    head, _, body = received.partition(b"\r\n\r\n")
    # The connection may be reset before the caller has read the beginning.
    if framing == "sized":
        assert not head or b"Content-Length: 3000" in head
        assert (b"s" * 2000).startswith(body)
    else:
        assert not head or b"Transfer-Encoding: chunked" in head
        assert (b"7d0\r\n" + b"c" * 2000 + b"\r\n").startswith(body)
    assert received.count(b"HTTP/1.1 ") <= 1


@pytest.mark.parametrize("reason", sorted(_REFUSED))
def test_refusal_follows_a_whole_response(
    server: EdgeProcess, reason: str
) -> None:
    """Guards against a refusal that is kept back for no reason."""
    with server.connect() as sock:
        sock.sendall(_FIRST % b"whole" + _REFUSED[reason])
        if reason == "continue":
            sock.sendall(b"ok")
        received = _receive(sock)
    statuses = re.findall(rb"HTTP/1\.1 (\d+)", received)
    assert statuses[0] == b"200"
    assert b"\r\n\r\nhelloHTTP/1.1 " in received
    refused = statuses[-1].startswith((b"4", b"5"))
    assert refused == (reason not in _ANSWERED)


@pytest.mark.parametrize("reason", sorted(set(_REFUSED) - _ANSWERED))
def test_nothing_follows_a_response_that_announces_the_close(
    server: EdgeProcess, reason: str
) -> None:
    """Guards against a response for which the caller does not wait."""
    last = b"GET /whole HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    with server.connect() as sock:
        sock.sendall(last + _REFUSED[reason])
        received = _receive(sock)
    assert received.endswith(b"\r\n\r\nhello")
    assert received.count(b"HTTP/1.1 ") == 1


def test_nothing_follows_the_last_response_of_a_planned_stop() -> None:
    """Guards against a refusal behind a response that announced the close.

    The last response waits for the one before it while the head is refused.
    """
    with edge(pipelined=True) as server, server.connect() as sock:
        sock.sendall(_FIRST % b"late")
        server.wait_for_text("running")
        server.process.terminate()
        server.wait_for_text("draining")
        sock.sendall(_FIRST % b"echo" + b"GET /\r\n\r\n")
        received = _receive(sock)
    assert re.findall(rb"HTTP/1\.1 (\d+)", received) == [b"200", b"200"]
    assert received.count(b"Connection: close") == 1
