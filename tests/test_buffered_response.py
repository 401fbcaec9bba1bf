"""Tests of responses that are buffered within the granted bytes."""

from typing import Any

from verbenad.held_bytes import MIN_IDLE_S, HeldBytes
from verbenad.socket_stream import RECEIVE_BYTES
from verbenad.steering.buffered_response import (
    MAX_BUFFERED_BYTES,
    BufferedResponse,
    buffer_response,
)


class _Body:
    """A response body that counts its reads."""

    def __init__(self, *pieces: bytes) -> None:
        self._pieces = list(pieces)
        self.reads = 0

    def limit_until(self, deadline_s: float) -> None:
        """Accept any deadline."""

    def read_some(self) -> bytes:
        self.reads += 1
        return self._pieces.pop(0) if self._pieces else b""


class _Response:
    status = 200
    status_line = "200 OK"
    headers: list[tuple[str, str]] = []

    def __init__(self, body: _Body) -> None:
        self.body = body


def _buffer(body: _Body, holding: Any) -> BufferedResponse:
    response: Any = _Response(body)
    return buffer_response(
        response, buffered_by_s=1.0, end_s=2.0, holding=holding
    )


def test_short_response_holds_its_length() -> None:
    """Guards against responses that hold more or less than they take."""
    owner = HeldBytes()
    response = _buffer(_Body(b"a" * 10, b"b" * 20), owner.open())
    assert list(response.pieces) == [b"a" * 10 + b"b" * 20]
    assert owner.held_bytes == 30


def test_response_without_room_is_not_read_ahead() -> None:
    """Guards against responses that are buffered beyond the limit."""
    owner = HeldBytes(RECEIVE_BYTES - 1)
    body = _Body(b"a" * 10, b"b" * 20)
    response = _buffer(body, owner.open())
    assert body.reads == 0
    assert b"".join(response.pieces) == b"a" * 10 + b"b" * 20


def test_long_response_holds_no_more_than_its_buffer() -> None:
    """Guards against a stalled caller that cannot be dropped."""
    now_s = 0.0
    owner = HeldBytes(4 * MAX_BUFFERED_BYTES, lambda: now_s)
    dropped: list[bool] = []
    holding = owner.open(lambda: dropped.append(True))
    pieces = iter(_buffer(_Body(*[b"a" * 40_000] * 5), holding).pieces)
    assert owner.held_bytes == 80_000
    for _ in range(3):
        next(pieces)
    assert owner.held_bytes == RECEIVE_BYTES
    newcomer = owner.open()
    assert not newcomer.try_grow(3 * MAX_BUFFERED_BYTES + 1)
    now_s = MIN_IDLE_S
    assert newcomer.try_grow(3 * MAX_BUFFERED_BYTES)
    assert not dropped
    assert owner.open().try_grow(RECEIVE_BYTES)
    assert dropped
