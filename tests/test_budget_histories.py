"""Histories of budgets under random faults."""

import os

import pytest

from budget_world import random_world

_SEEDS = int(os.environ.get("BUDGET_SEEDS", "160"))
_BATCH = 20


@pytest.mark.parametrize("first", range(0, _SEEDS, _BATCH))
def test_nothing_is_issued_above_a_limit(first: int) -> None:
    """Guards against granting too much under any combination of faults."""
    uses = 0
    for seed in range(first, first + _BATCH):
        world = random_world(seed)
        world.run(30.0)
        assert world.excess() == {}, f"SEED={seed}"
        uses += sum(len(of_budget) for of_budget in world.uses.values())
    # A fleet that serves no requests would pass the check above.
    assert uses > 100 * _BATCH
