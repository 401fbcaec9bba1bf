"""A caller receives a complete response or sees a failure.

The caller side of this test has a small parser that shares no code with
the HTTP server.
"""

import contextlib
from collections.abc import Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from edge_process import (
    BackendConnection,
    EdgeProcess,
    edge,
    raw_backend,
    read_to_end,
)

_REQUEST = b"GET /x HTTP/1.%d\r\nHost: a\r\nConnection: close\r\n\r\n"


class _Script:
    """The next response of the backend server, and how the connection ends."""

    def __init__(self) -> None:
        self.pieces: list[bytes] = []
        self.reset = False

    def __call__(self, connection: BackendConnection, number: int) -> None:
        connection.read_request()
        for piece in self.pieces:
            connection.send(piece)
        if self.reset:
            connection.reset()


@pytest.fixture(scope="module")
def script() -> _Script:
    """Return the script of the backend server."""
    return _Script()


@pytest.fixture(scope="module")
def server(script: _Script) -> Iterator[EdgeProcess]:
    """Run an HTTP server with one backend server."""
    with (
        raw_backend(script) as backend,
        edge(backend_port=backend.port) as process,
    ):
        yield process


def _whole_body(response: bytes, closed_by_reset: bool) -> bytes | None:
    """Return the body if the caller must consider the response complete."""
    head, delimiter, rest = response.partition(b"\r\n\r\n")
    if not delimiter:
        return None
    fields = [line.lower() for line in head.split(b"\r\n")[1:]]
    lengths = [f for f in fields if f.startswith(b"content-length:")]
    if lengths:
        length = int(lengths[0].partition(b":")[2])
        return rest if len(rest) == length else None
    if b"transfer-encoding: chunked" not in fields:
        return None if closed_by_reset else rest
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        count = int(size, 16)
        if not count:
            return body if rest == b"\r\n" else None
        if len(rest) < count + 2:
            return None
        body, rest = body + rest[:count], rest[count + 2 :]
    return None


def _call(server: EdgeProcess, minor: int) -> tuple[bytes, bool]:
    with server.connect() as sock:
        sock.sendall(_REQUEST % minor)
        pieces = []
        try:
            while piece := sock.recv(65536):
                pieces.append(piece)
        except ConnectionResetError:
            return b"".join(pieces), True
        return b"".join(pieces), False


def _cut(data: bytes, cuts: list[int]) -> list[bytes]:
    borders = sorted({cut % (len(data) + 1) for cut in cuts})
    edges = [0, *borders, len(data)]
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


@settings(derandomize=True, max_examples=150, database=None, deadline=None)
@given(
    chunks=st.lists(st.binary(min_size=1, max_size=50), max_size=5),
    chunked=st.booleans(),
    lost=st.one_of(st.just(0), st.integers(0, 400)),
    cuts=st.lists(st.integers(0, 400), max_size=4),
    minor=st.integers(0, 1),
    reset=st.booleans(),
)
def test_caller_gets_the_whole_response_or_sees_a_failure(
    server: EdgeProcess,
    script: _Script,
    chunks: list[bytes],
    chunked: bool,
    lost: int,
    cuts: list[int],
    minor: int,
    reset: bool,
) -> None:
    """Guards against truncated responses that look complete to a caller."""
    body = b"".join(chunks)
    if chunked:
        coded = b"".join(b"%x\r\n%b\r\n" % (len(c), c) for c in chunks)
        data = b"Transfer-Encoding: chunked\r\n\r\n" + coded + b"0\r\n\r\n"
    else:
        data = b"Content-Length: %d\r\n\r\n" % len(body) + body
    data = b"HTTP/1.1 200 OK\r\n" + data
    sent = data[: max(0, len(data) - lost)]
    script.pieces = _cut(sent, cuts)
    # A reset may discard bytes of a complete response in transit.
    script.reset = reset and lost > 0
    response, closed_by_reset = _call(server, minor)
    received = _whole_body(response, closed_by_reset)
    if lost:
        assert not response.startswith(b"HTTP/1.1 200 ") or received is None
    else:
        assert response.startswith(b"HTTP/1.1 200 ")
        assert received == body


@settings(derandomize=True, max_examples=150, database=None, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.binary(max_size=20),
            st.sampled_from(
                [
                    b"HTTP/1.1 200 OK\r\n",
                    b"HTTP/1.1 100 Continue\r\n\r\n",
                    b"Content-Length: 3\r\n",
                    b"Transfer-Encoding: chunked\r\n",
                    b"\r\n",
                    b"abc",
                    b"3\r\nabc\r\n",
                    b"0\r\n\r\n",
                ]
            ),
        ),
        max_size=9,
    )
)
def test_arbitrary_responses_leave_the_server_up(
    server: EdgeProcess, script: _Script, pieces: list[bytes]
) -> None:
    """Guards against backend servers that crash or block the HTTP server."""
    script.pieces, script.reset = pieces, False
    response, _ = _call(server, 1)
    assert b"internal-error" not in response
    assert server.process.poll() is None
    script.pieces = [b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"]
    with server.connect() as sock, contextlib.suppress(OSError):
        sock.sendall(_REQUEST % 1)
        assert read_to_end(sock).endswith(b"\r\n\r\nhi")
