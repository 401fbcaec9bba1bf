"""Lookup answers at one configuration revision."""

from dataclasses import replace

from standins.compiled_changes import compile_changes
from verbenad.lookup_table import LookupTable
from verbenaworks.compiled_config import CompiledConfig
from verbenaworks.edit import Change, CreateBranch, SetValue
from verbenaworks.entry_lookup import EntryInstance

BLOCKS = 100


def _config(**fields: dict[str, object]) -> CompiledConfig:
    """Return regions a and b, whose blocks are 10.0.n.0 and 10.1.n.0."""
    changes: list[Change] = []
    for index, region in enumerate("ab"):
        changes += [
            CreateBranch(path=f"/regions/{region}"),
            CreateBranch(path=f"/sites/{region}-site"),
            SetValue(
                path=f"/sites/{region}-site", field="region", value=region
            ),
        ]
        changes += [
            SetValue(
                path="/blocks",
                field=f"10.{index}.{block}.0/24",
                value=f"{region}-site",
            )
            for block in range(BLOCKS)
        ]
    for path, values in fields.items():
        if path.startswith("/shifts"):
            changes.append(CreateBranch(path=path))
        changes += [
            SetValue(path=path, field=field, value=value)  # type: ignore[arg-type]
            for field, value in values.items()
        ]
    return compile_changes(changes)


def _table(config: CompiledConfig) -> LookupTable:
    table = LookupTable()
    table.set_config(config)
    table.set_instances(
        EntryInstance(
            name=f"{region}{number}",
            caller_address="127.0.0.1:1",
            region=region,
            failure_domain=f"{region}-1",
        )
        for region in "ab"
        for number in range(3)
    )
    return table


def _shift(step: int, state: str = "running") -> dict[str, object]:
    return {
        "from_region": "a",
        "to_region": "b",
        "cap_share": 0.25,
        "step_share": 0.1,
        "state": state,
        "step": step,
    }


def _moved(table: LookupTable, usable: str = "ab") -> int:
    """Return for how many blocks of region a the answer is in region b."""
    moved = 0
    for block in range(BLOCKS):
        answer = table.find(f"10.0.{block}.9", lambda name: name[0] in usable)
        moved += bool(answer.instances) and answer.instances[0].region == "b"
    return moved


def test_no_step_moves_more_blocks_than_the_cap() -> None:
    """Guards against a shift that exceeds its cap in lookup answers."""
    moved = [
        _moved(_table(_config(**{"/shifts/s": _shift(step)})))
        for step in (0, 1, 2, 3, 50)
    ]
    assert moved == [0, 10, 20, 25, 25]


def test_aborted_shift_moves_nothing() -> None:
    """Guards against an abort that takes no effect."""
    assert _moved(_table(_config(**{"/shifts/s": _shift(2, "aborted")}))) == 0
    assert _moved(_table(_config(**{"/shifts/s": _shift(2, "paused")}))) == 20


def test_blocks_of_a_lost_region_move_within_the_emergency_cap() -> None:
    """Guards against overload of the others when a region is lost."""
    everything = _table(_config())
    assert _moved(everything, usable="b") == BLOCKS
    capped = _config(**{"/regions/a": {"emergency_cap_share": 0.4}})
    assert _moved(_table(capped), usable="b") == 40
    assert _moved(_table(capped), usable="ab") == 0


def test_plan_of_a_shift_follows_the_blocks_and_sites() -> None:
    """Guards against a cached plan that moves blocks of an older revision."""
    first = _config(**{"/shifts/s": _shift(1)})
    table = _table(first)
    plan = table.plan_of(first.shifts["s"])
    later = _config(**{"/shifts/s": _shift(2)})
    table.set_config(replace(later, blocks=first.blocks))
    assert table.plan_of(later.shifts["s"]) is plan
    moved_site = _config(
        **{
            "/shifts/s": _shift(2),
            "/sites/b-site": {"region": "a"},
        }
    )
    table.set_config(replace(moved_site, blocks=first.blocks))
    assert _weight(table, moved_site) == 2 * BLOCKS
    fewer = first.blocks.with_changes([("10.0.0.0/24", None)]).unwrap()
    table.set_config(replace(later, blocks=fewer))
    assert _weight(table, later) == BLOCKS - 1


def _weight(table: LookupTable, config: CompiledConfig) -> int:
    plan = table.plan_of(config.shifts["s"])
    assert plan is not None
    return plan.total_weight
