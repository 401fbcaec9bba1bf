"""Receive buffers of connections, and the division of the memory."""

import pytest

from verbenad.held_bytes import HeldBytes
from verbenad.memory_shares import divide_memory
from verbenad.receive_windows import (
    KERNEL_FACTOR,
    MAX_NARROW_BYTES,
    MIN_NARROW_BYTES,
    WIDE_BYTES,
    ReceiveWindows,
)

_MIB = 1 << 20


class FakeStream:
    """A connection whose receive buffer is recorded.

    :ivar idle: whether the connection may be closed.
    """

    def __init__(self) -> None:
        self.receive_bytes = 0
        self.idle = False
        self.closed = False

    def set_receive_buffer(self, size: int) -> None:
        """Record the size."""
        self.receive_bytes = size

    def close_if_idle(self) -> bool:
        """Close the connection if it is idle, and return whether."""
        self.closed = self.closed or self.idle
        return self.closed


def _widened(windows: ReceiveWindows) -> FakeStream:
    stream = FakeStream()
    windows.widen(stream, stream.close_if_idle)
    return stream


def test_wide_buffers_are_limited() -> None:
    """Guards against a sum of buffers that grows with the crowd."""
    windows = ReceiveWindows(max_wide=2)
    streams = [_widened(windows) for _ in range(3)]
    sizes = [stream.receive_bytes for stream in streams]
    assert sizes == [WIDE_BYTES, WIDE_BYTES, 0]
    assert windows.wide_count == 2


def test_idle_connection_gives_way() -> None:
    """Guards against buffers that stay with callers who are done."""
    windows = ReceiveWindows(max_wide=2)
    busy, idle = _widened(windows), _widened(windows)
    windows.end_use(busy)
    windows.end_use(idle)
    idle.idle = True
    assert _widened(windows).receive_bytes == WIDE_BYTES
    assert idle.closed
    assert not busy.closed
    assert windows.wide_count == 2


def test_connection_keeps_its_buffer_for_the_next_body() -> None:
    """Guards against a connection that counts twice or gives way in use."""
    windows = ReceiveWindows(max_wide=1)
    stream = _widened(windows)
    windows.end_use(stream)
    windows.widen(stream, stream.close_if_idle)
    stream.idle = True
    assert _widened(windows).receive_bytes == 0
    assert not stream.closed
    windows.forget(stream)
    assert windows.wide_count == 0
    assert _widened(windows).receive_bytes == WIDE_BYTES


@pytest.mark.parametrize("memory_mb", [100, 200, 300, 552, 24_000])
@pytest.mark.parametrize("max_connections", [100, 2650, 9825, 1_000_000])
def test_parts_stay_within_the_memory(
    memory_mb: int, max_connections: int
) -> None:
    """Guards against parts that add up to more than the machine has."""
    shares = divide_memory(memory_mb, max_connections)
    wide_bytes = shares.max_wide * WIDE_BYTES * KERNEL_FACTOR
    narrow_bytes = shares.connections * shares.narrow_bytes * KERNEL_FACTOR
    assert 0 < shares.connections <= max_connections
    assert MIN_NARROW_BYTES <= shares.narrow_bytes <= MAX_NARROW_BYTES
    assert shares.held_bytes + wide_bytes + narrow_bytes < memory_mb * _MIB / 2


def test_stalled_holding_is_dropped_for_a_connection() -> None:
    """Guards against callers that keep all connections by stalling."""
    now_s = 100.0
    held = HeldBytes(_MIB, now_s=lambda: now_s)
    dropped: list[str] = []
    for name in ("first", "second"):
        holding = held.open(lambda name=name: dropped.append(name))
        assert holding.try_grow(1000)
        holding.set_droppable(True)
        now_s += 0.7
    assert held.drop_stalled()
    assert dropped == ["first"]
    assert not held.drop_stalled()
    now_s += 1.0
    assert held.drop_stalled()
    assert held.held_bytes == 0
