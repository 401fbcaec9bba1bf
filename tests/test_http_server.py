"""Tests of the HTTP server and the forwarder in a separate process."""

import contextlib
import json
import re
import socket
import threading
import time

import pytest

from edge_process import (
    WAIT_S,
    BackendConnection,
    EdgeProcess,
    edge,
    raw_backend,
    read_to_end,
)

_GET = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
_LAST = b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
_MIB = 1 << 20
_TRANSFER_BYTES = 200 * _MIB


def _content(response: bytes) -> dict[str, str]:
    return json.loads(response.partition(b"\r\n\r\n")[2])


def _hello(connection: BackendConnection, number: int) -> None:
    while True:
        connection.read_request()
        connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")


def _wait_for_count(server: EdgeProcess, part: str, name: str) -> None:
    deadline_s = time.monotonic() + WAIT_S
    while not server.state()[part].get(name):
        assert time.monotonic() < deadline_s, f"{part}.{name} stayed 0"
        time.sleep(0.02)


def test_request_is_forwarded_on_pooled_connections() -> None:
    """Guards against a new connection for each request."""
    with raw_backend(_hello) as backend:
        with edge(backend_port=backend.port) as server:
            response = server.exchange(_GET * 4 + _LAST)
            assert response.count(b"\r\n\r\nhello") == 5
        assert backend.accepted == 1


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello",
    ],
)
@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_truncated_response_is_a_visible_failure(
    head: bytes, version: bytes
) -> None:
    """Guards against truncated responses that look complete to the caller."""
    got_head = threading.Event()

    def handle(connection: BackendConnection, number: int) -> None:
        connection.read_request()
        connection.send(head)
        got_head.wait(WAIT_S)

    with (
        raw_backend(handle) as backend,
        edge(backend_port=backend.port) as server,
        server.connect() as sock,
    ):
        sock.sendall(b"GET /x HTTP/" + version + b"\r\nHost: a\r\n\r\n")
        response = b""
        while b"hello" not in response:
            response += sock.recv(65536)
        got_head.set()
        reset = False
        try:
            while data := sock.recv(65536):
                response += data
        except ConnectionResetError:
            reset = True
    assert not response.endswith(b"0\r\n\r\n")
    if b"Content-Length" not in response:
        assert reset, "the truncated response looks complete"


@pytest.mark.parametrize("prefetch", [False, True])
@pytest.mark.parametrize("chunked", [False, True])
def test_short_body_is_never_whole_at_the_backend_server(
    prefetch: bool, chunked: bool
) -> None:
    """Guards against a backend server that runs a truncated request."""
    received = threading.Event()
    whole: list[bytes] = []

    def handle(connection: BackendConnection, number: int) -> None:
        try:
            whole.append(connection.read_request()[1])
        finally:
            received.set()

    if chunked:
        body = b"Transfer-Encoding: chunked\r\n\r\n5\r\norder\r\n"
    else:
        body = b"Content-Length: 10\r\n\r\norder"
    with (
        raw_backend(handle) as backend,
        edge(backend_port=backend.port, prefetch=prefetch) as server,
    ):
        response = server.exchange(
            b"POST /x HTTP/1.1\r\nHost: a\r\n" + body, half_close=True
        )
        if prefetch:
            assert backend.accepted == 0
        else:
            assert received.wait(WAIT_S)
        assert b"200 OK" not in response
        assert whole == []


def test_upload_streams_and_early_answer_is_passed_on() -> None:
    """Guards against an early response that is lost during an upload."""

    def handle(connection: BackendConnection, number: int) -> None:
        connection.read_head()
        connection.send(
            b"HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nbig"
        )
        connection.wait_for_close()

    with (
        raw_backend(handle) as backend,
        edge(backend_port=backend.port) as server,
        server.connect() as sock,
    ):
        sock.sendall(
            b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n"
            + b"x" * 200_000
        )
        response = b""
        while not response.endswith(b"big"):
            # The response may come only once the next piece is sent.
            sock.settimeout(0.05)
            try:
                response += sock.recv(65536)
            except TimeoutError:
                sock.sendall(b"x" * 70_000)
    assert response.startswith(b"HTTP/1.1 413 ")
    assert b"Connection: close" in response


@pytest.mark.parametrize("size", [3, 300_000])
def test_trailers_do_not_reach_the_backend_server(size: int) -> None:
    """Guards against forwarding trailers, which may contain the key."""
    requests: list[tuple[bytes, bytes]] = []

    def handle(connection: BackendConnection, number: int) -> None:
        requests.append(connection.read_request())
        connection.send(b"HTTP/1.1 204 No Content\r\n\r\n")

    with (
        raw_backend(handle) as backend,
        edge(backend_port=backend.port) as server,
    ):
        response = server.exchange(
            b"POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            b"Transfer-Encoding: chunked\r\nTrailer: X-Verbena-Key\r\n\r\n"
            b"%x;ext=1\r\n%b\r\n0\r\nX-Verbena-Key: k-0123456789abcd\r\n\r\n"
            % (size, b"y" * size)
        )
    assert response.startswith(b"HTTP/1.1 204 ")
    [(head, body)] = requests
    assert b"Trailer" not in head
    if b"Transfer-Encoding: chunked" in head:
        body = re.sub(rb"[0-9a-f]+\r\n(y+)\r\n", rb"\1", body)
        assert body.endswith(b"0\r\n\r\n")
        body = body.removesuffix(b"0\r\n\r\n")
    assert body == b"y" * size


def test_closed_caller_cancels_the_attempt() -> None:
    """Guards against backend servers that work for disconnected callers."""
    arrived, closed = threading.Event(), threading.Event()

    def handle(connection: BackendConnection, number: int) -> None:
        connection.read_request()
        arrived.set()
        connection.wait_for_close()
        closed.set()

    with (
        raw_backend(handle) as backend,
        edge(
            backend_port=backend.port,
            limits={"disconnect_check_period_s": 0.02},
        ) as server,
    ):
        with server.connect() as sock:
            sock.sendall(_GET)
            assert arrived.wait(WAIT_S)
        assert closed.wait(WAIT_S)
        _wait_for_count(server, "forwarder", "caller_gone")


def test_closed_caller_stops_a_download() -> None:
    """Guards against downloads that continue for disconnected callers."""
    closed = threading.Event()

    def handle(connection: BackendConnection, number: int) -> None:
        connection.read_request()
        connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n")
        connection.send(b"\r\n")
        try:
            while True:
                connection.send(b"x" * 65536)
        finally:
            closed.set()

    with (
        raw_backend(handle) as backend,
        edge(backend_port=backend.port) as server,
    ):
        with server.connect() as sock:
            sock.sendall(_GET)
            sock.recv(65536)
        assert closed.wait(WAIT_S)


def test_graceful_close_finishes_running_requests() -> None:
    """Guards against a shutdown that interrupts a request."""
    with edge() as server, server.connect() as busy, server.connect() as idle:
        idle.sendall(b"GET /echo HTTP/1.1\r\nHost: a\r\n\r\n")
        assert idle.recv(65536).startswith(b"HTTP/1.1 200 ")
        busy.sendall(b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
        server.wait_for_text("running")
        assert server.stop() == {"finished": True}
        response = read_to_end(busy)
        assert response.endswith(b"\r\n\r\nfinished")
        assert b"Connection: close" in response
        assert idle.recv(1) == b""
        with pytest.raises(OSError):
            socket.create_connection(("127.0.0.1", server.port), 1.0)


def test_no_connection_is_accepted_while_closing() -> None:
    """Guards against connections to an instance that is shutting down."""
    with edge() as server, server.connect() as busy:
        busy.sendall(b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
        server.wait_for_text("running")
        server.process.terminate()
        deadline_s = time.monotonic() + WAIT_S
        refused = False
        while not refused and time.monotonic() < deadline_s:
            # The kernel resets a connection that arrives between the last
            # accept call and the closing of the socket; the next one must be
            # refused.
            with contextlib.suppress(ConnectionResetError):
                try:
                    server.connect().close()
                except ConnectionRefusedError:
                    refused = True
        assert refused
        busy.sendall(b"x")
        assert read_to_end(busy).endswith(b"finished")


def test_close_limit_cuts_requests_off() -> None:
    """Guards against a shutdown that a stuck request blocks forever."""

    def handle(connection: BackendConnection, number: int) -> None:
        connection.read_request()
        arrived.set()
        connection.wait_for_close()

    arrived = threading.Event()
    with (
        raw_backend(handle) as backend,
        edge(backend_port=backend.port, close_limit_s=0.2) as server,
        server.connect() as sock,
    ):
        sock.sendall(_GET)
        assert arrived.wait(WAIT_S)
        assert server.stop() == {"finished": False}
        assert b"200 OK" not in read_to_end(sock)


def test_connection_limit_evicts_idle_connections_first() -> None:
    """Guards against idle connections that prevent new ones."""
    with edge(limits={"max_connections": 2}) as server:
        idle = [server.connect() for _ in range(2)]
        for sock in idle:
            sock.sendall(b"GET /echo HTTP/1.1\r\nHost: a\r\n\r\n")
            assert sock.recv(65536).startswith(b"HTTP/1.1 200 ")
        with server.connect() as sock:
            sock.sendall(b"GET /echo HTTP/1.1\r\nHost: a\r\n\r\n")
            assert sock.recv(65536).startswith(b"HTTP/1.1 200 ")
        assert idle[0].recv(1) == b"", "the longest idle one is closed"
        for sock in idle:
            sock.close()


def test_connection_limit_refuses_when_all_are_busy() -> None:
    """Guards against an unbounded number of connections."""
    arrived = threading.Event()

    def handle(connection: BackendConnection, number: int) -> None:
        connection.read_request()
        arrived.set()
        connection.wait_for_close()

    with (
        raw_backend(handle) as backend,
        edge(
            backend_port=backend.port, limits={"max_connections": 1}
        ) as server,
        server.connect() as busy,
    ):
        busy.sendall(_GET)
        assert arrived.wait(WAIT_S)
        response = server.exchange(_GET)
        assert response.startswith(b"HTTP/1.1 503 ")
        assert _content(response)["code"] == "too-many-connections"
        assert _content(response)["run"] == "not run"
        assert b"Retry-After: 1\r\n" in response


def test_running_out_of_file_descriptors_passes() -> None:
    """Guards against a listener that stops when file descriptors run out."""
    with edge(open_files=40) as server:
        idle = [server.connect() for _ in range(60)]
        for sock in idle:
            sock.close()
        response = server.exchange(
            b"GET /echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        )
        assert response.startswith(b"HTTP/1.1 200 ")
        assert server.process.poll() is None


def test_no_eventlet_notice_in_the_output() -> None:
    """Guards against deprecation notices in the output for operators."""
    with edge() as server:
        server.stop()
        assert server.errors == ""


def test_large_upload_in_bounded_memory() -> None:
    """Guards against buffering whole request bodies in memory."""
    received: list[int] = []

    def handle(connection: BackendConnection, number: int) -> None:
        while True:
            head = connection.read_head()
            count = len(connection.buffer)
            connection.buffer = b""
            length = re.search(rb"Content-Length: (\d+)", head)
            wanted = int(length.group(1)) if length else 0
            while count < wanted:
                count += len(connection.sock.recv(_MIB))
            received.append(count)
            connection.send(b"HTTP/1.1 204 No Content\r\n\r\n")

    with (
        raw_backend(handle) as backend,
        edge(backend_port=backend.port) as server,
    ):
        server.exchange(_LAST)
        before_kb = server.state()["resident_kb"]
        with server.connect() as sock:
            sock.sendall(
                b"PUT /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                b"Content-Length: %d\r\n\r\n" % _TRANSFER_BYTES
            )
            piece = b"x" * _MIB
            for _ in range(200):
                sock.sendall(piece)
            assert read_to_end(sock).startswith(b"HTTP/1.1 204 ")
        growth_kb = server.state()["peak_kb"] - before_kb
    assert received[-1] == _TRANSFER_BYTES
    assert growth_kb <= 16 * 1024


@pytest.mark.parametrize("chunked", [False, True])
def test_large_download_in_bounded_memory(chunked: bool) -> None:
    """Guards against buffering whole responses in memory."""

    def handle(connection: BackendConnection, number: int) -> None:
        connection.read_request()
        piece = b"x" * _MIB
        if chunked:
            connection.send(b"HTTP/1.1 200 OK\r\n")
            connection.send(b"Transfer-Encoding: chunked\r\n\r\n")
            piece = b"100000\r\n" + piece + b"\r\n"
        else:
            connection.send(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
                % _TRANSFER_BYTES
            )
        for _ in range(200):
            connection.send(piece)
        if chunked:
            connection.send(b"0\r\n\r\n")

    with (
        raw_backend(handle) as backend,
        edge(backend_port=backend.port) as server,
    ):
        server.exchange(
            b"GET /echo HTTP/1.1\r\nHost: a\r\n\r\n", half_close=True
        )
        before_kb = server.state()["resident_kb"]
        count = 0
        with server.connect() as sock:
            sock.sendall(_LAST)
            while data := sock.recv(_MIB):
                count += data.count(b"x")
        growth_kb = server.state()["peak_kb"] - before_kb
    assert count >= _TRANSFER_BYTES
    assert growth_kb <= 16 * 1024
