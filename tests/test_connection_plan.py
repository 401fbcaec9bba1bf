"""Connections per instance and target."""

from collections import Counter

import pytest

from choice_fakes import target
from verbenaworks.connection_plan import connection_plan

REGIONS = ("nairobi", "mombasa", "kisumu")


@pytest.mark.parametrize("size", [1, 11, 200, 1300, 7000])
def test_fleet_stays_within_the_limit(size: int) -> None:
    """Guards against refused connections in a large fleet."""
    targets = [target(f"t{n:02}", REGIONS[n % 3]) for n in range(17)]
    instances = {f"i{n:04}": REGIONS[n % 3] for n in range(size)}
    opened: Counter[str] = Counter()
    unserved = 0
    for instance in instances:
        plan = connection_plan(instance, instances, targets)
        opened.update(plan)
        unserved += not plan
    assert max(opened.values()) <= 360
    if size <= 1300:
        assert unserved == 0
        assert len(opened) == 17
