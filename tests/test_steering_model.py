"""Load patterns replayed against server selection in virtual time."""

from functools import cache

import pytest

from steering_model import (
    ModelResult,
    ModelSize,
    SteeringModel,
    burst,
    constant,
)

CAPACITY_PER_S = ModelSize().capacity_per_s
LENGTH_S = 12.0
WARM_FROM_S = 4.0


@cache
def _run(load: float, *, baseline: bool = False) -> ModelResult:
    model = SteeringModel(
        per_s=constant(load * CAPACITY_PER_S), baseline=baseline
    )
    return model.run(LENGTH_S)


def _useful_per_s(load: float) -> float:
    return _run(load).useful_per_s(WARM_FROM_S, LENGTH_S)


def test_useful_responses_do_not_collapse_under_overload() -> None:
    """Guards against queues that make every response late.

    The users require, at five times the capacity, at least 95% of the largest
    number of useful responses that any load reaches.
    """
    most = max(_useful_per_s(load) for load in (0.8, 1.0, 2.0, 3.0))
    assert _useful_per_s(5.0) >= 0.95 * most


def test_service_is_normal_soon_after_a_burst() -> None:
    """Guards against a standing queue that outlives its cause.

    Five seconds after the load has fallen, responses are as useful as before.
    """
    low = 0.6 * CAPACITY_PER_S
    model = SteeringModel(per_s=burst(low, 4 * CAPACITY_PER_S, 8.0, 12.0))
    result = model.run(22.0)
    before = result.useful_per_s(5.0, 8.0)
    assert result.useful_per_s(17.0, 22.0) >= 0.95 * before


@pytest.mark.parametrize("load", [1.0, 2.0])
def test_placement_serves_more_than_the_baseline(load: float) -> None:
    """Guards against placement that is worse than the simple baseline."""
    actual, baseline = _run(load), _run(load, baseline=True)
    assert actual.useful > baseline.useful


def test_slow_server_is_avoided() -> None:
    """Guards against a slow server that delays all requests of its keys."""
    model = SteeringModel(
        per_s=constant(0.4 * CAPACITY_PER_S), slow_server=True
    )
    result = model.run(LENGTH_S)
    # One in sixteen requests would be late if none moved away.
    late_per_s = 0.4 * CAPACITY_PER_S - result.useful_per_s(
        WARM_FROM_S, LENGTH_S
    )
    assert late_per_s <= 0.4 * CAPACITY_PER_S / 16
