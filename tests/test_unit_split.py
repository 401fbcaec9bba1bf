"""Division of wanted units over targets."""

from choice_fakes import PLACE, target
from verbenaworks.unit_split import UnitSplit, region_wants

NEAR = target("near", slots=4)
FAR = target("far", "mombasa", slots=4)


def _sums(parts: dict[str, dict[str, int]]) -> dict[str, int]:
    return {name: sum(part.values()) for name, part in parts.items()}


def test_spill_follows_denied_units_only() -> None:
    """Guards against remote units asked for while near ones are free."""
    split = UnitSplit(PLACE)
    wants = {"w": 3}
    first = split.split(0.0, wants, (FAR, NEAR))
    assert _sums(first) == {"near": 3, "far": 0}
    split.granted(0.1, "near", {"w": 1})
    second = split.split(0.2, wants, (FAR, NEAR))
    assert second["far"] == {"w": 1}
    split.granted(0.3, "near", {"w": 1})
    split.granted(0.3, "far", {"w": 1})
    third = split.split(0.4, wants, (FAR, NEAR))
    assert _sums(third) == {"near": 1, "far": 2}
    split.granted(5.0, "near", {"w": 3})
    last = split.split(5.1, {"w": 2}, (FAR, NEAR))
    assert _sums(last) == {"near": 2, "far": 0}


def test_region_load_matches_granted_slots() -> None:
    """Guards against units of region load without a slot."""
    granted = {"near": {"a": 2, "b": 1}, "far": {"a": 1}}
    assert region_wants((NEAR, FAR), granted) == {
        "nairobi": {"a": 2, "b": 1},
        "mombasa": {"a": 1},
    }


def test_excess_is_asked_for_per_workspace_and_near() -> None:
    """Guards against owners that cannot see a small workspace's demand."""
    split = UnitSplit(PLACE)
    parts = split.split(0.0, {"hot": 100, "small": 2}, (FAR, NEAR))
    assert parts["near"]["hot"] == 4
    assert sum(part.get("small", 0) for part in parts.values()) == 2
    assert all(amount <= 1 for amount in parts["far"].values())
