"""Estimate of demand."""

import random

from verbenaworks.demand_meter import DemandMeter


def test_random_variation_is_averaged() -> None:
    """Guards against allocations that move because of random variation."""
    rng = random.Random(3)
    meter = DemandMeter()
    now_s = 0.0
    estimates = []
    for second in range(1, 120):
        while now_s < second:
            meter.add(now_s, 1)
            now_s += rng.expovariate(20.0)
        estimates.append(meter.per_s(second))
    steps = zip(estimates[20:], estimates[21:], strict=False)
    # One second's count alone has a standard deviation of 4.5.
    assert sum(abs(b - a) for a, b in steps) / len(estimates) < 2.0


def test_change_is_followed_within_a_second() -> None:
    """Guards against callers that wait for a slow average after they moved."""
    meter = DemandMeter()
    for tick in range(1000):
        meter.add(tick / 100, 1)
        if tick % 100 == 0:
            meter.per_s(tick / 100)
    assert 95 < meter.per_s(10.0) < 105
    assert meter.per_s(11.1) == 0
    meter.add(20.0, 30)
    assert meter.per_s(20.1) > 100


def test_small_demand_survives_a_gap() -> None:
    """Guards against a small demand that loses its grant by chance.

    A second without a call set the estimate to zero. The owner then granted
    the bucket's depth to other clients, and calls were refused until it got
    some back.
    """
    meter = DemandMeter()
    for tick in range(100):
        meter.add(tick / 4, 1)
        meter.per_s(tick / 4)
    assert 2.5 < meter.per_s(24.75 + 1.2) < 4.5
    assert meter.per_s(24.75 + 2.1) == 0
