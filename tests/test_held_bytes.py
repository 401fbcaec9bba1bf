"""Tests of the bound on held bytes."""

from hypothesis import given
from hypothesis import strategies as st

from verbenad.held_bytes import (
    DEFAULT_MEMORY_MB,
    MEMORY_SHARE,
    MIN_IDLE_S,
    PROGRESS_BYTES,
    SMALL_HOLDING_BYTES,
    HeldBytes,
    limit_of_memory,
)

_MIB = 1 << 20
_LIMIT_BYTES = 8 * _MIB


class _Clock:
    now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


def test_large_holdings_leave_room_for_small_ones() -> None:
    """Guards against a crowd that excludes the callers of small requests."""
    owner = HeldBytes(_LIMIT_BYTES, _Clock())
    granted = [owner.open().try_grow(_MIB) for _ in range(8)]
    assert granted == [True] * 6 + [False] * 2
    assert owner.open().try_grow(SMALL_HOLDING_BYTES)
    assert not owner.open().try_grow(SMALL_HOLDING_BYTES + 1)
    assert owner.counters["refused"] == 3


def test_holding_without_progress_is_dropped_first() -> None:
    """Guards against callers that stop and keep the others out."""
    clock = _Clock()
    owner = HeldBytes(_LIMIT_BYTES, clock)
    dropped: list[int] = []
    holdings = []
    for number in range(6):
        holding = owner.open(lambda number=number: dropped.append(number))
        assert holding.try_grow(_MIB)
        holding.set_droppable(number != 0)
        holdings.append(holding)
        clock.now_s += 0.01
    clock.now_s = MIN_IDLE_S + 0.03
    holdings[1].record_progress(PROGRESS_BYTES)
    holdings[2].record_progress(PROGRESS_BYTES - 1)
    newcomer = owner.open()
    assert newcomer.try_grow(_MIB)
    assert dropped == [2]
    assert holdings[2].dropped and not holdings[2].try_grow(1)
    assert not owner.open().try_grow(2 * _MIB)


def test_large_request_does_not_drop_small_ones() -> None:
    """Guards against large requests that take the part of small ones."""
    clock = _Clock()
    owner = HeldBytes(_LIMIT_BYTES, clock)
    while (holding := owner.open()).try_grow(SMALL_HOLDING_BYTES):
        holding.set_droppable(True)
    clock.now_s = 2 * MIN_IDLE_S
    assert not owner.open().try_grow(_MIB)
    assert owner.counters["dropped"] == 0
    assert owner.open().try_grow(SMALL_HOLDING_BYTES)
    assert owner.counters["dropped"] == 1


def test_limit_follows_the_memory() -> None:
    """Guards against a limit that a small machine does not have."""
    assert limit_of_memory(100) == int(100 * MEMORY_SHARE * _MIB)
    assert limit_of_memory(0) == limit_of_memory(DEFAULT_MEMORY_MB)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                ["ask", "count", "shrink", "close", "wait", "run"]
            ),
            st.integers(0, 5),
            st.integers(0, 2 * _MIB),
        )
    )
)
def test_sum_is_the_sum_of_the_holdings(
    steps: list[tuple[str, int, int]],
) -> None:
    """Guards against bytes that are counted twice or never returned."""
    clock = _Clock()
    owner = HeldBytes(_LIMIT_BYTES, clock)
    holdings = [owner.open() for _ in range(6)]
    forced = False
    for name, number, size in steps:
        clock.now_s += MIN_IDLE_S / 3
        holding = holdings[number]
        match name:
            case "ask":
                holding.try_grow(size)
            case "count":
                holding.grow(size)
                forced = True
            case "shrink":
                holding.shrink(min(size, holding.held_bytes))
            case "close":
                holding.close()
            case _:
                holding.set_droppable(name == "wait")
        assert owner.held_bytes == sum(x.held_bytes for x in holdings)
        assert forced or owner.held_bytes <= _LIMIT_BYTES
    for holding in holdings:
        holding.close()
    assert owner.held_bytes == 0
