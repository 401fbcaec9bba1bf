"""Load patterns replayed against server selection in virtual time."""

from functools import cache

import pytest

from steering_model import (
    PAUSE_PERIOD_S,
    SteeringModel,
    burst,
    constant,
    pause_in_turn,
)
from steering_model_types import ModelResult, ModelSize

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


@pytest.mark.parametrize("load", [0.3, 0.5])
def test_pauses_of_a_third_of_the_servers_are_kept(load: float) -> None:
    """Guards against requests that go to servers which want a pause.

    Each third of the servers asks for a pause in turn.
    """
    kept, ignored = (
        SteeringModel(
            per_s=constant(load * CAPACITY_PER_S), heeds_pauses=heeds_pauses
        )
        for heeds_pauses in (True, False)
    )
    for model in (kept, ignored):
        pause_in_turn(model, LENGTH_S)
        model.run(LENGTH_S)
    # At most one request in flight of each instance at each server.
    pauses = (LENGTH_S - PAUSE_PERIOD_S) / PAUSE_PERIOD_S
    servers, instances = 16, 10
    assert kept.result.sent_in_pauses <= pauses * instances * (servers / 3 + 1)
    assert kept.result.sent_in_pauses < 0.5 * ignored.result.sent_in_pauses


def test_leaving_server_gets_nothing_and_nothing_is_lost() -> None:
    """Guards against load that stays with a server which leaves."""
    model = SteeringModel(per_s=constant(0.5 * CAPACITY_PER_S))
    for number in range(4):
        model.at(6.0, lambda n=number: model.announce_leaving(n))
    result = model.run(LENGTH_S)
    assert result.useful_per_s(8.0, LENGTH_S) >= 0.9 * result.useful_per_s(
        4.0, 6.0
    )
