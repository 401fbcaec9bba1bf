"""Blocks that a traffic shift moves at each step."""

from fractions import Fraction

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenaworks.shift_plan import ShiftPlan, ShiftSpec


def _plan(
    weights: list[int], cap: float, step: float, name: str = "s"
) -> ShiftPlan:
    spec = ShiftSpec(
        name=name,
        from_region="a",
        to_region="b",
        cap_share=cap,
        step_share=step,
    )
    return ShiftPlan(spec, enumerate(weights))


_share = st.floats(0.001, 1.0)


@settings(derandomize=True, max_examples=300, database=None)
@given(
    st.lists(st.integers(1, 1000), max_size=60),
    _share,
    _share,
    st.integers(0, 40),
    st.integers(0, 40),
)
def test_no_mix_of_steps_exceeds_the_cap(
    weights: list[int], cap: float, step: float, one: int, other: int
) -> None:
    """Guards against a cap that holds for each step but not for two mixed."""
    plan = _plan(weights, cap, step)
    moved = [
        start
        for start in range(len(weights))
        if plan.is_moved(start, one) or plan.is_moved(start, other)
    ]
    weight = sum(weights[start] for start in moved)
    assert weight <= Fraction(cap) * sum(weights)
    assert weight == plan.moved_weight(max(one, other))


@settings(derandomize=True, max_examples=100, database=None)
@given(st.lists(st.integers(1, 9), min_size=1, max_size=40), _share, _share)
def test_moved_blocks_stay_moved(
    weights: list[int], cap: float, step: float
) -> None:
    """Guards against a step that moves blocks back and forth."""
    plan = _plan(weights, cap, step)
    for start in range(len(weights)):
        states = [plan.is_moved(start, k) for k in range(20)]
        assert states == sorted(states)


def test_order_of_blocks_does_not_matter() -> None:
    """Guards against instances that move different blocks."""
    spec = _plan([], 0.5, 0.1).spec
    blocks = [(start, 1 + start % 3) for start in range(100)]
    one, other = ShiftPlan(spec, blocks), ShiftPlan(spec, reversed(blocks))
    for start, _ in blocks:
        assert one.is_moved(start, 3) == other.is_moved(start, 3)


def test_last_step_reaches_the_cap() -> None:
    """Guards against a shift that never ends or ends short of its cap."""
    plan = _plan([1] * 1000, 0.25, 0.1)
    assert plan.last_step() == 3
    assert plan.moved_weight(3) == 250
    assert plan.moved_weight(2) == 200
