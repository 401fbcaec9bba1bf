"""The checker of budget histories finds known faults."""

from budget_checker import (
    Held,
    Limit,
    Use,
    concurrency_excess,
    held_excess,
    rate_excess,
)

_RATE = [Limit(at_s=0.0, rate_per_s=10, burst=5)]


def test_burst_and_rate_are_allowed() -> None:
    """Guards against a checker that rejects correct histories."""
    uses = [Use(at_s=1.0, amount=5)]
    uses += [Use(at_s=1.0 + k / 8, amount=1) for k in range(1, 9)]
    assert rate_excess(_RATE, uses) <= 0


def test_one_token_too_many_in_a_short_window() -> None:
    """Guards against a checker that checks only the whole run."""
    uses = [Use(at_s=50.0, amount=5), Use(at_s=50.0625, amount=1)]
    assert rate_excess(_RATE, uses) > 0


def test_slow_excess_over_a_long_window() -> None:
    """Guards against a checker that checks only short windows."""
    uses = [Use(at_s=k * 0.0625, amount=1) for k in range(200)]
    assert rate_excess(_RATE, uses) > 0


def test_burst_of_a_later_limit_does_not_count_earlier() -> None:
    """Guards against a raised burst that allows earlier spending."""
    limits = [
        Limit(at_s=0.0, rate_per_s=1, burst=1),
        Limit(at_s=10.0, rate_per_s=1, burst=9),
    ]
    assert rate_excess(limits, [Use(at_s=9.0, amount=5)]) > 0
    assert rate_excess(limits, [Use(at_s=11.0, amount=5)]) <= 0


def test_lowered_limit_allows_earlier_grants_until_they_expire() -> None:
    """Guards against dropping the old limit too early, or keeping it."""
    limits = [
        Limit(at_s=0.0, rate_per_s=10, burst=5),
        Limit(at_s=10.0, rate_per_s=0, burst=0),
    ]
    assert rate_excess(limits, [Use(at_s=17.0, amount=5)]) <= 0
    assert rate_excess(limits, [Use(at_s=19.0, amount=1)]) > 0


def test_concurrency_is_checked_at_each_moment() -> None:
    """Guards against a checker that checks only the mean or the end."""
    limits = [Limit(at_s=0.0, capacity=2)]
    uses = [
        Use(at_s=1.0, amount=2),
        Use(at_s=2.0, amount=-1),
        Use(at_s=2.0, amount=1),
    ]
    assert concurrency_excess(limits, uses, 0.0) == 0
    uses += [Use(at_s=2.5, amount=1), Use(at_s=2.5001, amount=-1)]
    assert concurrency_excess(limits, uses, 0.0) == 1


def test_lowered_capacity_lingers_with_the_units_in_use() -> None:
    """Guards against a capacity decrease that is never enforced."""
    limits = [Limit(at_s=0.0, capacity=3), Limit(at_s=10.0, capacity=1)]
    uses = [Use(at_s=9.0, amount=3), Use(at_s=18.5, amount=-1)]
    assert concurrency_excess(limits, uses, 1.0) == 0
    uses.append(Use(at_s=20.0, amount=1))
    assert concurrency_excess(limits, uses, 1.0) == 2


def test_amounts_granted_twice_are_found_before_they_are_spent() -> None:
    """Guards against a checker that finds an excess only once it is spent."""
    assert held_excess(_RATE, [Held(at_s=9, amount=10_000, depth=5)], 0) == 0
    assert held_excess(_RATE, [Held(at_s=9, amount=10_001, depth=5)], 0) == 1
    assert held_excess(_RATE, [Held(at_s=9, amount=9_000, depth=6)], 0) == 1
    concurrency = [Limit(at_s=0.0, capacity=2)]
    assert held_excess(concurrency, [Held(at_s=9, amount=3, depth=0)], 0) == 1
