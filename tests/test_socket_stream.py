"""Tests of buffered reading and writing on one socket."""

import socket
import struct
import threading
import time

import eventlet
import pytest

from verbenad.socket_stream import SocketStream


class _EndlessSocket:
    """A green socket that always has data."""

    class _Raw:
        def recv(self, count: int) -> bytes:
            return b"x"

    fd = _Raw()


def test_fast_transfer_lets_others_run() -> None:
    """Guards against one upload that blocks all other connections."""
    turns: list[int] = []

    def other() -> None:
        while True:
            turns.append(1)
            eventlet.sleep(0)

    thread = eventlet.spawn(other)
    stream = SocketStream(_EndlessSocket())
    for _ in range(100):
        assert stream.receive(1.0) == b"x"
    thread.kill()
    assert len(turns) >= 10


def test_take_never_returns_a_byte_twice() -> None:
    """Guards against lost or duplicated bytes between buffers."""
    left, right = socket.socketpair()
    with left, right:
        stream = SocketStream(right)
        left.sendall(b"0123456789")
        assert stream.refill(1.0) == 10
        assert stream.take(3) == b"012"
        left.sendall(b"abc")
        assert stream.refill(1.0) == 3
        assert stream.take(4) == b"3456"
        assert stream.take(100) == b"789abc"
        assert stream.take(100) == b""
        assert stream.buffered_bytes == 0


def test_has_input_sees_data_and_the_end() -> None:
    """Guards against reusing a connection that the peer has closed."""
    left, right = socket.socketpair()
    with left, right:
        stream = SocketStream(right)
        assert not stream.has_input()
        left.sendall(b"x")
        assert stream.has_input()
        assert stream.receive(1.0) == b"x"
        assert not stream.has_input()
        left.close()
        assert stream.has_input()


@pytest.mark.parametrize("min_bytes_per_s", [None, 1 << 24])
def test_slow_reader_ends_a_send(min_bytes_per_s: int | None) -> None:
    """Guards against a peer that receives slowly but never stalls."""
    left, right = socket.socketpair()
    failed = threading.Event()

    def read_slowly() -> None:
        while not failed.is_set():
            left.recv(65536)
            time.sleep(0.02)

    reader = threading.Thread(target=read_slowly)
    with left, right:
        reader.start()
        stream = SocketStream(right)
        # The reader needs over 10 s and never waits long for one byte.
        with pytest.raises(TimeoutError):
            stream.send_all(b"x" * (32 << 20), 0.3, min_bytes_per_s)
        failed.set()
        reader.join()


def test_reset_that_a_send_reported_is_no_end() -> None:
    """Guards against a cut response that looks whole.

    A failed send uses up the kernel's report of the reset.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        own = socket.create_connection(listener.getsockname())
        peer, _ = listener.accept()
    with own:
        stream = SocketStream(own)
        peer.sendall(b"a part")
        peer.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        peer.close()
        with pytest.raises(OSError):
            stream.send_all(b"x", 1.0)
        assert stream.receive(1.0) == b"a part"
        with pytest.raises(ConnectionResetError):
            stream.receive(1.0)
