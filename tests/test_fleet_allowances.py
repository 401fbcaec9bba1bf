"""Limits that hold for the whole fleet without messages."""

from collections.abc import Iterable

import pytest

from steering_factories import server
from verbenaworks.steering.cold_start_limiter import ColdStartLimiter
from verbenaworks.steering.config_freshness import ConfigFreshness
from verbenaworks.steering.fleet_retry_budget import FleetRetryBudget
from verbenaworks.steering.server_senders import ServerSenders

COLD_REQUESTS_PER_S = 7.6
# Most requests to a cold server in one second that the users allow.
MAX_COLD_REQUESTS = COLD_REQUESTS_PER_S * 1.5 + 5
SERVER = server("s")


def _limiter(name: str, instances: Iterable[str]) -> ColdStartLimiter:
    senders = ServerSenders(name, SERVER.region)
    senders.set_instances(dict.fromkeys(instances, SERVER.region))
    return ColdStartLimiter(senders)


@pytest.mark.parametrize("count", [1, 2, 11, 70])
def test_cold_server_gets_what_it_can_handle(count: int) -> None:
    """Guards against a fleet whose requests together crash a cold server."""
    names = [f"i{n}" for n in range(count)]
    fleet = [_limiter(name, names) for name in names]
    sent: list[float] = []
    for step in range(600):
        now_s = step / 100
        for limiter in fleet:
            while limiter.allows(now_s, SERVER, COLD_REQUESTS_PER_S):
                limiter.record_request(now_s, SERVER, COLD_REQUESTS_PER_S)
                sent.append(now_s)
    for start in range(500):
        begin_s = start / 100
        inside = [t for t in sent if begin_s <= t < begin_s + 1.0]
        assert len(inside) <= MAX_COLD_REQUESTS
    # It still gets most of what it can handle, so that it warms up.
    assert len(sent) >= 0.8 * 6 * COLD_REQUESTS_PER_S


def test_limit_of_a_cold_server_holds_with_differing_member_lists() -> None:
    """Guards against crashing a cold server while member lists differ."""
    names = [f"i{n}" for n in range(11)]
    fleet = [
        _limiter(name, [n for n in names if n != names[number % 3]])
        for number, name in enumerate(names)
    ]
    sent = 0
    for step in range(100):
        for limiter in fleet:
            if limiter.allows(step / 100, SERVER, COLD_REQUESTS_PER_S):
                limiter.record_request(step / 100, SERVER, COLD_REQUESTS_PER_S)
                sent += 1
    assert sent <= MAX_COLD_REQUESTS


@pytest.mark.parametrize("count", [1, 11, 70])
def test_retries_stay_within_the_fleets_budget(count: int) -> None:
    """Guards against a storm of retries when servers fail."""
    fleet = [
        FleetRetryBudget(ratio=0.2, slack=60, window_s=10.0)
        for _ in range(count)
    ]
    retries = requests = 0
    for budget in fleet:
        budget.set_instances(count)
    for step in range(100):
        for budget in fleet:
            now_s = step / 10
            budget.record_request(now_s, "stock")
            requests += 1
            for _ in range(3):
                retries += budget.try_acquire(now_s, "stock")
    assert retries <= 0.2 * requests + 60
    assert retries > 0.1 * requests


def test_services_have_separate_retry_budgets() -> None:
    """Guards against a failing service that stops the retries of all."""
    budget = FleetRetryBudget(ratio=0.2, slack=60, window_s=10.0)
    while budget.try_acquire(0.0, "stock"):
        pass
    assert budget.try_acquire(0.0, "orders")


def test_revoked_keys_stop_in_time() -> None:
    """Guards against a revoked key at an instance without the store.

    A document may be acknowledged right after a confirmation, and the store
    may deliver it a second late. It must still be in force in time.
    """
    freshness = ConfigFreshness(5.0)
    assert not freshness.is_valid(0.0)
    freshness.confirm(10.0)
    assert freshness.is_valid(13.0)
    assert not freshness.is_valid(10.0 + 5.0 - 1.0)


def test_older_confirmation_is_ignored() -> None:
    """Guards against a response that arrives out of order."""
    freshness = ConfigFreshness(5.0)
    freshness.confirm(10.0)
    freshness.confirm(5.0)
    assert freshness.age_s(11.0) == 1.0
