"""Tests of request bodies."""

import socket

import eventlet
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenad.chunked_decoder import (
    CHUNKS_PER_TURN,
    FREE_FRAMING_BYTES,
    MAX_FRAMING_RATIO,
)
from verbenad.decode_turns import DecodeTurns
from verbenad.held_bytes import HeldBytes
from verbenad.protocol_errors import (
    BodyError,
    BodyTooLargeError,
    BodyTooShortError,
    BodyTooSlowError,
    ChunksTooSmallError,
    MalformedChunkError,
    MemoryFullError,
)
from verbenad.request_body import BodyLimits, RequestBody
from verbenad.socket_stream import SocketStream


def _body(
    data: bytes,
    *,
    length: int | None = None,
    limits: BodyLimits | None = None,
    keep_open: list[socket.socket] | None = None,
    owner: HeldBytes | None = None,
) -> RequestBody:
    left, right = socket.socketpair()
    left.sendall(data)
    if keep_open is None:
        left.close()
    else:
        keep_open.append(left)
    return RequestBody(
        SocketStream(right),
        content_length=length,
        chunked=length is None,
        limits=limits or BodyLimits(),
        holding=(owner or HeldBytes()).open(),
    )


@pytest.mark.parametrize(
    ("data", "length"),
    [(b"abc", 10), (b"", 1), (b"a\r\nabc", None), (b"3\r\nabc\r\n", None)],
)
def test_short_body_raises_and_goes_on_raising(
    data: bytes, length: int | None
) -> None:
    """Guards against a truncated body that looks complete when read again."""
    body = _body(data, length=length)
    for _ in range(2):
        with pytest.raises(BodyTooShortError):
            body.read()
    assert not body.received
    assert not body.replayable


def test_body_stops_at_its_length() -> None:
    """Guards against bytes of the next request in a body."""
    body = _body(b"abcGET / HTTP/1.1\r\n", length=3)
    assert body.read() == b"abc"
    assert body.read() == b""
    assert body.read_some() == b""


def test_lines_and_sizes() -> None:
    """Guards against errors in the other read methods of WSGI."""
    body = _body(b"4\r\na\nbc\r\n3\r\n\nde\r\n0\r\n\r\n")
    assert body.readline() == b"a\n"
    assert body.read(1) == b"b"
    assert body.readline(5) == b"c\n"
    assert list(body) == [b"de"]
    assert body.received


def test_stated_length_over_the_limit_is_refused_unread() -> None:
    """Guards against reading a body that is refused anyway."""
    body = _body(b"", length=11, limits=BodyLimits(body_bytes=10))
    with pytest.raises(BodyTooLargeError):
        body.read_some()


def test_chunked_body_over_the_limit_is_refused() -> None:
    """Guards against chunked bodies without a bound."""
    data = b"8\r\n01234567\r\n" * 2 + b"0\r\n\r\n"
    body = _body(data, limits=BodyLimits(body_bytes=15))
    with pytest.raises(BodyTooLargeError):
        body.read()


def test_stalled_body_raises() -> None:
    """Guards against waiting forever for a body."""
    held: list[socket.socket] = []
    body = _body(
        b"abc", length=10, limits=BodyLimits(stall_s=0.01), keep_open=held
    )
    with pytest.raises(BodyTooSlowError):
        body.read()


def test_prefetch_keeps_the_bytes() -> None:
    """Guards against bytes lost between prefetch and read."""
    body = _body(b"0123456789", length=10)
    assert not body.prefetch(4)
    assert body.prefix == b"0123"
    assert not body.replayable
    assert body.at_start
    assert body.read() == b"0123456789"
    with pytest.raises(ValueError, match="not fully buffered"):
        body.rewind()


def test_prefetched_body_is_replayable() -> None:
    """Guards against a second attempt without its body."""
    body = _body(b"0123456789", length=10)
    assert body.prefetch(64)
    for _ in range(2):
        assert body.read() == b"0123456789"
        body.rewind()


@settings(derandomize=True, max_examples=300, database=None, deadline=None)
@given(st.binary(max_size=60), st.integers(1, 20))
def test_arbitrary_chunked_bytes_raise_only_body_errors(
    data: bytes, size: int
) -> None:
    """Guards against input that raises an unexpected error."""
    body = _body(data)
    try:
        while body.read_some(size):
            pass
    except BodyError:
        return
    assert body.received


@settings(derandomize=True, max_examples=200, database=None, deadline=None)
@given(st.lists(st.binary(min_size=1, max_size=30)), st.integers(1, 40))
def test_chunked_round_trip(chunks: list[bytes], size: int) -> None:
    """Guards against bytes lost at chunk boundaries."""
    data = b"".join(b"%x\r\n%b\r\n" % (len(c), c) for c in chunks)
    body = _body(data + b"0\r\n\r\n")
    received = b""
    while piece := body.read_some(size):
        assert len(piece) <= size
        received += piece
    assert received == b"".join(chunks)


def test_longest_framing_is_accepted_and_longer_is_refused() -> None:
    """Guards against extensions that cost far more than the body."""
    accepted = b"1;%b\r\nb\r\n" % (b"x" * (MAX_FRAMING_RATIO - 6))
    chunks = 3 * FREE_FRAMING_BYTES // len(accepted)
    assert _body(accepted * chunks + b"0\r\n\r\n").read() == b"b" * chunks
    refused = b"1;%b\r\nb\r\n" % (b"x" * 900)
    with pytest.raises(ChunksTooSmallError):
        _body(refused * (2 * FREE_FRAMING_BYTES // len(refused))).read()


@pytest.mark.parametrize("data", [b"1\r\nbX\r\n", b"1\r\nb\r\nX", b"1\r\nb\n"])
def test_malformed_chunk_after_others_is_refused(data: bytes) -> None:
    """Guards against a fast path that accepts more than the strict one."""
    body = _body(b"1\r\na\r\n" * 20 + data + b"1\r\nb\r\n0\r\n\r\n")
    with pytest.raises(MalformedChunkError):
        body.read()


def test_small_chunks_let_others_run() -> None:
    """Guards against a body that holds up all other connections."""
    passes = 0

    def count() -> None:
        nonlocal passes
        while True:
            passes += 1
            eventlet.sleep(0)

    counter = eventlet.spawn(count)
    chunks = 8 * CHUNKS_PER_TURN
    try:
        body = _body(b"1\r\nb\r\n" * chunks + b"0\r\n\r\n")
        assert body.read() == b"b" * chunks
    finally:
        counter.kill()
    assert passes >= 7


def test_bodies_of_small_chunks_take_turns() -> None:
    """Guards against a pass of the loop that decodes a part of each body."""
    turns = DecodeTurns()
    passes = 0
    taken: list[int] = []

    def count() -> None:
        nonlocal passes
        while True:
            passes += 1
            eventlet.sleep(0)

    def take_turns() -> None:
        for _ in range(3):
            turns.wait()
            taken.append(passes)

    counter = eventlet.spawn(count)
    try:
        bodies = [eventlet.spawn(take_turns) for _ in range(4)]
        for body in bodies:
            body.wait()
    finally:
        counter.kill()
    assert len(taken) == 12
    assert taken[-1] - taken[0] >= 11


@pytest.mark.parametrize("length", [1000, None])
def test_body_is_held_until_it_is_released(length: int | None) -> None:
    """Guards against bytes that are never returned."""
    owner = HeldBytes()
    data = (
        b"b" * 1000 if length else b"3e8\r\n" + b"b" * 1000 + b"\r\n0\r\n\r\n"
    )
    body = _body(data, length=length, owner=owner)
    assert body.prefetch(2000)
    assert owner.held_bytes == 1000
    assert body.read() == b"b" * 1000
    body.rewind()
    assert owner.held_bytes == 1000
    body.release()
    assert owner.held_bytes == 0
    assert body.received


def test_body_that_is_streamed_is_not_held() -> None:
    """Guards against callers that stall after the buffered part."""
    owner = HeldBytes()
    body = _body(b"b" * 1000, length=1000, owner=owner)
    assert not body.prefetch(600)
    assert owner.held_bytes == 600
    assert body.read(700) == b"b" * 700
    assert owner.held_bytes == 0
    assert not body.at_start and not body.can_send_from_start
    assert body.read() == b"b" * 300


@pytest.mark.parametrize("length", [1000, None])
def test_body_without_room_is_not_received(length: int | None) -> None:
    """Guards against a body that is read before its bytes are granted."""
    owner = HeldBytes(999)
    body = _body(b"3e8\r\n" + b"b" * 1000, length=length, owner=owner)
    with pytest.raises(MemoryFullError):
        body.prefetch(2000)
    assert owner.held_bytes == 0
    assert body.failed


def test_body_of_exactly_the_limit_is_read_to_its_end() -> None:
    """Guards against a body over the limit that is sent to a server."""
    limits = BodyLimits(body_bytes=10)
    body = _body(b"a\r\n" + b"b" * 10 + b"\r\n0\r\n\r\n", limits=limits)
    assert body.prefetch(10)
    assert body.replayable
    body = _body(b"a\r\n" + b"b" * 10 + b"\r\n1\r\nb\r\n", limits=limits)
    with pytest.raises(BodyTooLargeError):
        body.prefetch(10)


def test_whole_chunked_body_is_known_to_be_whole() -> None:
    """Guards against a second attempt that is lost for want of the end."""
    body = _body(b"5\r\nbytes\r\n3\r\nend\r\n0\r\n\r\n")
    body.hold_first_piece()
    assert body.replayable
    assert body.read() == b"bytesend"
    body.rewind()
    assert body.read() == b"bytesend"
