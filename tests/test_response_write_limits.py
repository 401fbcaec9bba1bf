"""Time limits of the writes of a response that is passed on."""

import math
from collections.abc import Iterator

import pytest

from verbenad.request_head import HeadLimits
from verbenad.response_head import ResponseHead, parse_response_head
from verbenad.response_writer import ResponseWriter
from verbenad.socket_stream import SocketStream
from verbenad.steering.notifying_stream import NotifyingStream
from verbenad.upstream_response import ResponseBody

STALL_S = 30.0
MIN_BYTES_PER_S = 1024
PIECE = b"x" * 10240


class _Clock:
    """A clock that is set by hand."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


class _Slot:
    """Records the limits of each write.

    :param wait_s: time that passes until it is the turn of the response.
    """

    def __init__(self, clock: _Clock, wait_s: float = 0.0) -> None:
        self.limits: list[tuple[float, int | None]] = []
        self._clock = clock
        self._wait_s = wait_s

    def wait_for_turn(self) -> None:
        self._clock.now_s += self._wait_s
        self._wait_s = 0.0

    def send_all(
        self, data: bytes, timeout_s: float, min_bytes_per_s: int | None
    ) -> None:
        self.limits.append((timeout_s, min_bytes_per_s))


class _Body:
    """A body that must be passed on by a time."""

    def __init__(self, clock: _Clock, end_s: float) -> None:
        self._clock = clock
        self._end_s = end_s

    def __iter__(self) -> Iterator[bytes]:
        yield PIECE

    def time_left_s(self) -> float:
        return self._end_s - self._clock.now_s


def _limits(slot: _Slot, result: object) -> tuple[float, int | None]:
    """Return the limits of the write of the first piece."""
    writer = ResponseWriter(
        slot,  # type: ignore[arg-type]
        method="GET",
        version=(1, 0),
        timeout_s=STALL_S,
        min_bytes_per_s=MIN_BYTES_PER_S,
        decide_close=lambda: True,
    )
    writer.start_response("200 OK", [])
    writer.write_result(result)  # type: ignore[arg-type]
    return slot.limits[0]


def test_write_ends_with_the_time_of_the_body() -> None:
    """Guards against a write that goes on after the request's deadline."""
    clock = _Clock()
    stream = NotifyingStream(_Body(clock, clock.now_s + 2.0), lambda: None)
    assert _limits(_Slot(clock), stream) == (2.0, None)


def test_write_limits_count_from_the_turn_of_the_response() -> None:
    """Guards against a wait for earlier responses that is not counted."""
    clock = _Clock()
    body = _Body(clock, clock.now_s + 2.0)
    assert _limits(_Slot(clock, wait_s=1.5), body) == (0.5, None)


@pytest.mark.parametrize("left_s", [STALL_S + 0.001, 33.0, 39.9, 1000.0])
def test_write_under_a_late_end_keeps_the_limits_on_the_caller(
    left_s: float,
) -> None:
    """Guards against a slower caller than the limits allow, or a later end.

    The total time of a write is the stall time and the time that its bytes
    take at the minimum rate.
    """
    clock = _Clock()
    timeout_s, rate = _limits(_Slot(clock), _Body(clock, clock.now_s + left_s))
    assert timeout_s == STALL_S
    assert rate is not None
    assert rate >= MIN_BYTES_PER_S
    assert timeout_s + len(PIECE) / rate <= left_s


@pytest.mark.parametrize("result", [[PIECE], (PIECE for _ in range(1))])
def test_result_without_an_end_keeps_the_limits_on_the_caller(
    result: object,
) -> None:
    """Guards against other limits for responses that are not passed on."""
    slot = _Slot(_Clock())
    assert _limits(slot, result) == (STALL_S, MIN_BYTES_PER_S)


def _head(text: bytes) -> ResponseHead:
    limits = HeadLimits(line_bytes=1000, block_bytes=1000, header_count=10)
    return parse_response_head(text + b"\r\n", "GET", limits)


def test_body_that_was_read_has_no_end() -> None:
    """Guards against cutting a response whose body is here completely."""
    clock = _Clock()
    stream = SocketStream(None)
    stream.buffer = b"whole"
    body = ResponseBody(
        stream,
        _head(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"),
        stall_s=STALL_S,
        now_s=clock,
        on_end=lambda _read_to_end: None,
    )
    body.limit_until(clock.now_s + 1.0)
    assert body.time_left_s() == 1.0
    assert body.read_some() == b"whole"
    clock.now_s += 5.0
    assert body.time_left_s() == math.inf
