"""Division of demand for units over targets."""

from choice_fakes import PLACE, target
from verbenaworks.unit_split import UnitSplit, region_wants

NEAR = target("near", slots=4)
FAR = target("far", "mombasa", slots=4)


def _sums(parts: dict[str, dict[str, int]]) -> dict[str, int]:
    return {name: sum(part.values()) for name, part in parts.items()}


def test_demand_spills_only_after_a_denial() -> None:
    """Guards against requesting remote units while near ones are free."""
    split = UnitSplit(PLACE)
    wants = {"w": 3}
    first = split.split(0.0, wants, (FAR, NEAR))
    assert _sums(first) == {"near": 3, "far": 0}
    split.granted(0.1, "near", {"w": 1}, first["near"])
    second = split.split(0.2, wants, (FAR, NEAR))
    assert second["far"] == {"w": 1}
    split.granted(0.3, "near", {"w": 1}, second["near"])
    split.granted(0.3, "far", {"w": 1}, second["far"])
    third = split.split(0.4, wants, (FAR, NEAR))
    assert _sums(third) == {"near": 1, "far": 2}
    split.granted(5.0, "near", {"w": 3}, {"w": 3})
    last = split.split(5.1, {"w": 2}, (FAR, NEAR))
    assert _sums(last) == {"near": 2, "far": 0}


def test_demand_without_a_grant_is_not_denied() -> None:
    """Guards against demand that moves before the owner has seen it.

    Units then moved from target to target and were idle in the meantime.
    """
    split = UnitSplit(PLACE)
    answered: dict[str, int] = {}
    for step in range(3):
        split.granted(step / 10, "near", {}, answered)
        parts = split.split(step / 10, {"w": 3}, (FAR, NEAR))
        assert _sums(parts) == {"near": 3, "far": 0}


def test_granted_units_stay_where_they_are() -> None:
    """Guards against units that move to the first target in the order."""
    split = UnitSplit(PLACE)
    targets = [target(f"t{number}", slots=4) for number in range(4)]
    first = split.split(0.0, {"w": 4}, targets)
    assert sum(_sums(first).values()) == 4
    for held in targets:
        split.granted(1.0, held.name, {}, {})
    split.granted(1.0, "t2", {"w": 4}, {"w": 4})
    assert split.split(1.1, {"w": 4}, targets)["t2"] == {"w": 4}


def test_full_region_gets_no_further_demand() -> None:
    """Guards against slots in a region that grants no region load."""
    split = UnitSplit(PLACE)
    parts = split.split(0.0, {"w": 3}, (FAR, NEAR), {"nairobi": 2})
    assert _sums(parts) == {"near": 2, "far": 1}


def test_region_load_matches_granted_slots() -> None:
    """Guards against units of region load without a slot."""
    granted = {"near": {"a": 2, "b": 1}, "far": {"a": 1}}
    assert region_wants((NEAR, FAR), granted) == {
        "nairobi": {"a": 2, "b": 1},
        "mombasa": {"a": 1},
    }


def test_excess_is_requested_per_workspace_in_the_own_region() -> None:
    """Guards against owners that cannot see a small workspace's demand."""
    split = UnitSplit(PLACE)
    parts = split.split(0.0, {"hot": 100, "small": 2}, (FAR, NEAR))
    assert parts["near"]["hot"] == 4
    assert sum(part.get("small", 0) for part in parts.values()) == 2
    assert all(amount <= 1 for amount in parts["far"].values())
