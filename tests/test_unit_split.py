"""Division of wanted units over targets."""

from choice_fakes import PLACE, target
from verbenaworks.unit_split import UnitSplit

NEAR = target("near", slots=4)
FAR = target("far", "mombasa", slots=4)


def _sums(parts: dict[str, dict[str, int]]) -> dict[str, int]:
    return {name: sum(part.values()) for name, part in parts.items()}


def test_spill_follows_denied_units_only() -> None:
    """Guards against remote units asked for while near ones are free."""
    split = UnitSplit(PLACE)
    wants = {"w": 3}
    first = split.split(0.0, wants, (FAR, NEAR), {})
    assert _sums(first) == {"near": 3, "far": 0}
    split.granted(0.1, "near", 1)
    second = split.split(0.2, wants, (FAR, NEAR), {"near": 1})
    assert _sums(second) == {"near": 1, "far": 2}
    third = split.split(5.0, wants, (FAR, NEAR), {"near": 1, "far": 2})
    assert _sums(third) == {"near": 3, "far": 0}


def test_excess_is_asked_for_everywhere_per_workspace() -> None:
    """Guards against owners that cannot see a small workspace's demand."""
    split = UnitSplit(PLACE)
    parts = split.split(0.0, {"hot": 100, "small": 2}, (FAR, NEAR), {})
    asked = {w for part in parts.values() for w in part}
    assert asked == {"hot", "small"}
    assert all(part["hot"] == 4 for part in parts.values())
    assert sum(part.get("small", 0) for part in parts.values()) == 2
