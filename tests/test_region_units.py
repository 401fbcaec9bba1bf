"""Demand for units of regions, also when a region grants nothing."""

from random import Random

from fake_budget_loop import FakeLoop
from standins.compiled_changes import compile_changes
from verbenad.divided_units import DividedUnits
from verbenad.region_units import RegionUnits
from verbenaworks.budget_client import IDLE_S
from verbenaworks.budget_spec import Budget, ConcurrencyBudget
from verbenaworks.compiled_config import CompiledConfig
from verbenaworks.edit import CreateBranch, SetValue
from verbenaworks.target import TargetInfo
from verbenaworks.targets_by_distance import Location

_PLACE = Location(
    instance="e1",
    region="near",
    failure_domain="near-1",
    domain_delay_s=0.001,
    region_delay_s=0.01,
)


def _config() -> CompiledConfig:
    changes: list[CreateBranch | SetValue] = [CreateBranch(path="/services/s")]
    for region in ("near", "far"):
        changes.append(CreateBranch(path=f"/regions/{region}"))
        path = f"/services/s/targets/{region}"
        changes.append(CreateBranch(path=path))
        for field, value in (
            ("address", "127.0.0.1:1"),
            ("region", region),
            ("failure_domain", f"{region}-1"),
            ("slots", 100),
        ):
            changes.append(SetValue(path=path, field=field, value=value))
    return compile_changes(changes)


def test_slots_are_asked_for_elsewhere_when_a_region_grants_nothing() -> None:
    """Guards against requests that wait in vain for a full near region.

    Slots of the near region were granted but its load was not. No units of
    the far region were requested, and requests waited until their deadline.
    """
    config = _config()
    budgets: list[Budget] = [
        ConcurrencyBudget(name=f"slots/s/{name}", capacity=100)
        for name in ("near", "far")
    ]
    # The owners of the near region's load grant nothing.
    budgets += [
        ConcurrencyBudget(
            name=f"region/{region}/{part}",
            capacity=0 if region == "near" else 10,
        )
        for region in ("near", "far")
        for part in range(8)
    ]
    clock = [0.0]
    loop = FakeLoop(budgets, clock)
    regions = RegionUnits(
        loop=loop,  # type: ignore[arg-type]
        place=_PLACE,
        now_s=lambda: clock[0],
    )
    regions.set_config(config)
    slots = DividedUnits(
        loop=loop,  # type: ignore[arg-type]
        place=_PLACE,
        now_s=lambda: clock[0],
        budget_name=lambda name: f"slots/{name}",
        region_limit=regions.region_limit,
    )
    targets = [
        TargetInfo(
            name=f"s/{name}",
            service="s",
            address="127.0.0.1:1",
            region=name,
            failure_domain=f"{name}-1",
            slots=100,
            connections=10,
        )
        for name in ("near", "far")
    ]
    Random(1).shuffle(targets)
    slots.set_targets("s", targets)
    slots.set_demand("s", "w", 3)
    for _ in range(8):
        regions.update_demand()
        slots.update_demand()
        regions.set_slots(slots.held())
        loop.advance(0.25)
    assert slots.available("s/far") > 0
    assert regions.available("far") > 0
    assert slots.take("s/far", "w")
    assert regions.take("far", "w")
    regions.release("far", "w")
    slots.release("s/far", "w")


def test_an_unused_region_is_not_asked_for() -> None:
    """Guards against instances that request load forever after one request.

    Each of them exchanged ten messages a second with the owners and held
    units of every region.
    """
    loop, regions = _regions()

    def wait(duration_s: float) -> None:
        for _ in range(round(duration_s / 0.25)):
            regions.update_demand()
            loop.advance(0.25)

    for _ in range(2):
        regions.set_slots({"near": 1})
        wait(1.0)
        assert regions.take("near", "w")
        wait(30.0)
        regions.release("near", "w")
        regions.set_slots({})
        wait(2 * IDLE_S)
        assert loop.requests_in(10.0, wait) == 0


def test_region_load_is_asked_for_with_the_slots() -> None:
    """Guards against units of load held idle in regions without slots.

    Each instance held some units of each region in reserve; together, these
    were half of the capacity.
    """
    loop, regions = _regions()
    for _ in range(4):
        regions.set_slots({"near": 5})
        loop.advance(0.25)
    assert regions.held()["near"] >= 5
    assert regions.held()["far"] == 0
    assert regions.region_limit("near") is None


def _regions() -> tuple[FakeLoop, RegionUnits]:
    budgets: list[Budget] = [
        ConcurrencyBudget(name=f"region/{region}/{part}", capacity=10)
        for region in ("near", "far")
        for part in range(8)
    ]
    clock = [0.0]
    loop = FakeLoop(budgets, clock)
    regions = RegionUnits(
        loop=loop,  # type: ignore[arg-type]
        place=_PLACE,
        now_s=lambda: clock[0],
    )
    regions.set_config(_config())
    return loop, regions
