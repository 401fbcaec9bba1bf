"""Limits that hold over the fleet without messages."""

import pytest

from verbenaworks.steering.cold_start_limiter import ColdStartLimiter
from verbenaworks.steering.config_freshness import ConfigFreshness
from verbenaworks.steering.fleet_retry_budget import FleetRetryBudget

COLD_PER_S = 7.6
# The users' bound on requests to a cold server in one second.
COLD_BOUND = COLD_PER_S * 1.5 + 5


@pytest.mark.parametrize("count", [1, 2, 11, 70])
def test_cold_server_is_spared(count: int) -> None:
    """Guards against the sum of all instances crashing a cold server."""
    names = [f"i{n}" for n in range(count)]
    fleet = [ColdStartLimiter(name) for name in names]
    for allowance in fleet:
        allowance.set_instances(names)
    sent: list[float] = []
    for step in range(600):
        now_s = step / 100
        for allowance in fleet:
            while allowance.has(now_s, "s", COLD_PER_S):
                allowance.take(now_s, "s", COLD_PER_S)
                sent.append(now_s)
    for start in range(500):
        begin_s = start / 100
        inside = [t for t in sent if begin_s <= t < begin_s + 1.0]
        assert len(inside) <= COLD_BOUND
    # It still gets most of what it bears, or it would never warm up.
    assert len(sent) >= 0.8 * 6 * COLD_PER_S


def test_instances_that_disagree_still_spare_a_cold_server() -> None:
    """Guards against a member list that one instance has not heard of."""
    names = [f"i{n}" for n in range(11)]
    fleet = [ColdStartLimiter(name) for name in names]
    for number, allowance in enumerate(fleet):
        missing = names[number % 3]
        allowance.set_instances(n for n in names if n != missing)
    sent = 0
    for step in range(100):
        for allowance in fleet:
            if allowance.has(step / 100, "s", COLD_PER_S):
                allowance.take(step / 100, "s", COLD_PER_S)
                sent += 1
    assert sent <= COLD_BOUND


@pytest.mark.parametrize("count", [1, 11, 70])
def test_repeats_stay_within_the_fleets_budget(count: int) -> None:
    """Guards against a storm of repeats when servers fail."""
    fleet = [
        FleetRetryBudget(ratio=0.2, slack=60, window_s=10.0)
        for _ in range(count)
    ]
    repeats = requests = 0
    for allowance in fleet:
        allowance.set_instances(count)
    for step in range(100):
        for allowance in fleet:
            now_s = step / 10
            allowance.record_request(now_s, "stock")
            requests += 1
            for _ in range(3):
                repeats += allowance.try_acquire(now_s, "stock")
    assert repeats <= 0.2 * requests + 60
    assert repeats > 0.1 * requests


def test_repeats_of_one_service_do_not_use_anothers_budget() -> None:
    """Guards against one failing service that stops repeats of all."""
    allowance = FleetRetryBudget(ratio=0.2, slack=60, window_s=10.0)
    while allowance.try_acquire(0.0, "stock"):
        pass
    assert allowance.try_acquire(0.0, "orders")


def test_keys_stop_before_the_bound() -> None:
    """Guards against a withdrawn key at an instance without the store.

    A document that is acknowledged right after a proof, delivered a second
    late by the store, must still bind within the bound.
    """
    confirmation = ConfigFreshness(5.0)
    assert not confirmation.is_valid(0.0)
    confirmation.confirm(10.0)
    assert confirmation.is_valid(13.0)
    assert not confirmation.is_valid(10.0 + 5.0 - 1.0)


def test_older_proof_changes_nothing() -> None:
    """Guards against an answer that arrives out of order."""
    confirmation = ConfigFreshness(5.0)
    confirmation.confirm(10.0)
    confirmation.confirm(5.0)
    assert confirmation.age_s(11.0) == 1.0
