"""Estimate of one server's capacity from its response times."""

import math
from random import Random

import pytest

from verbenaworks.steering.capacity_estimate import (
    MIN_SAMPLES,
    CapacityEstimate,
)
from verbenaworks.steering.server_capacity import ServerCapacity

SLOTS = 6
CONFIGURED = (float(SLOTS), 1.0)


def _observe(
    estimate: CapacityEstimate,
    random: Random,
    from_s: float,
    to_s: float,
    *,
    factor: float = 1.0,
    knee: int = SLOTS,
    deviation: float = 0.15,
    uncached_share: float = 0.0,
) -> None:
    """Observe about one response per second."""
    now_s = from_s
    while (now_s := now_s + random.expovariate(1.0)) < to_s:
        # Up to half as many wait as run.
        load = random.randint(1, SLOTS + 3)
        ratio = factor * max(1.0, load / knee)
        if random.random() < uncached_share:
            ratio *= 3.2
        ratio *= math.exp(random.gauss(0.0, deviation))
        estimate.observe(now_s, load, ratio, 1.0)


def _values(capacity: ServerCapacity) -> tuple[float, float]:
    return capacity.usable_slots, capacity.time_factor


@pytest.mark.parametrize("uncached_share", [0.0, 0.1])
def test_noise_is_no_difference(uncached_share: float) -> None:
    """Guards against learned values for servers that are as configured.

    Times vary by 30%, and some objects are not cached against expectation.
    """
    random = Random(4)
    differing = set()
    for number in range(60):
        estimate = CapacityEstimate(SLOTS)
        for second in range(0, 40, 5):
            _observe(
                estimate,
                random,
                second,
                second + 5,
                deviation=0.3,
                uncached_share=uncached_share,
            )
            if _values(estimate.capacity(second + 5)) != CONFIGURED:
                differing.add(number)
    assert len(differing) <= 1


def test_few_samples_show_nothing() -> None:
    """Guards against values from a few slow responses."""
    estimate = CapacityEstimate(SLOTS)
    for number in range(MIN_SAMPLES - 1):
        estimate.observe(float(number), 1, 3.0, 1.0)
    assert _values(estimate.capacity(7.0)) == CONFIGURED


@pytest.mark.parametrize("factor", [0.5, 2.0, 3.0])
def test_speed_is_learned_and_followed(factor: float) -> None:
    """Guards against a speed that is missed, or kept after it has changed."""
    estimate, random = CapacityEstimate(SLOTS), Random(2)
    _observe(estimate, random, 0.0, 15.0, factor=factor)
    usable_slots, time_factor = _values(estimate.capacity(15.0))
    assert usable_slots == SLOTS
    assert time_factor == pytest.approx(factor, rel=0.2)
    _observe(estimate, random, 15.0, 32.0)
    assert _values(estimate.capacity(32.0)) == CONFIGURED


def test_knee_at_half_of_the_slots_is_learned_and_followed() -> None:
    """Guards against a server that is filled beyond its usable slots."""
    estimate, random = CapacityEstimate(SLOTS), Random(2)
    _observe(estimate, random, 0.0, 40.0, knee=3)
    usable_slots, time_factor = _values(estimate.capacity(40.0))
    assert usable_slots == pytest.approx(3.0, abs=0.5)
    assert time_factor == 1.0
    _observe(estimate, random, 40.0, 70.0)
    assert _values(estimate.capacity(70.0)) == CONFIGURED


def test_old_knowledge_returns_to_the_configured_values() -> None:
    """Guards against a server that is avoided for ever on old evidence."""
    estimate, random = CapacityEstimate(SLOTS), Random(2)
    _observe(estimate, random, 0.0, 15.0, factor=2.0)
    factors = [
        estimate.capacity(15.0 + age_s).time_factor for age_s in (0, 10, 90)
    ]
    assert factors[0] > factors[1] > factors[2] == 1.0


def test_clock_step_back_forgets() -> None:
    """Guards against samples that never become old after a clock step."""
    estimate = CapacityEstimate(SLOTS)
    _observe(estimate, Random(2), 1000.0, 1015.0, factor=2.0)
    assert _values(estimate.capacity(100.0)) == CONFIGURED
    assert estimate.count(100.0) == 0
    _observe(estimate, Random(2), 100.0, 115.0, factor=2.0)
    assert estimate.capacity(115.0).time_factor > 1.5
