"""Division of wanted units when a region grants nothing."""

from random import Random

from result import Ok

from verbenad.divided_units import DividedUnits
from verbenad.region_units import RegionUnits
from verbenaworks.budget_owner import BudgetOwner
from verbenaworks.budget_spec import Budget, LevelBudget
from verbenaworks.budget_taker import BudgetTaker
from verbenaworks.compiled_config import CompiledConfig, compile_config
from verbenaworks.config_document import ConfigDocument
from verbenaworks.control_record import SHARDS
from verbenaworks.edit import CreateBranch, Edit, SetValue
from verbenaworks.near_table import Place
from verbenaworks.target import TargetInfo


class _Lease:
    epoch = 1

    def is_valid(self, now_s: float) -> bool:
        return True


class _Loop:
    """Takers whose owners answer at once."""

    def __init__(self, budgets: list[Budget], now_s: list[float]) -> None:
        self._now_s = now_s
        self._takers = []
        self._owners = []
        for shard in range(SHARDS):
            taker = BudgetTaker(shard=shard, taker="e1", incarnation=1)
            taker.configure(0.0, budgets)
            taker.owner_changed(1)
            owner = BudgetOwner(
                shard=shard, lease=_Lease(), started_at_s=-1e6, wait_s=0.0
            )
            owner.configure(0.0, budgets)
            self._takers.append(taker)
            self._owners.append(owner)

    def taker_of(self, shard: int) -> BudgetTaker:
        return self._takers[shard]

    def kick(self, shard: int) -> None:
        """Do nothing: the test exchanges when it advances the time."""

    def advance(self, duration_s: float) -> None:
        self._now_s[0] += duration_s
        now_s = self._now_s[0]
        for taker, owner in zip(self._takers, self._owners, strict=True):
            for _ in range(4):
                request = taker.next_request(now_s)
                reply = request and owner.handle(now_s, request)
                if reply:
                    taker.accept(now_s, reply)


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
    edit = Edit(
        edit_id="e", operator="o", read_revision=0, changes=tuple(changes)
    )
    match ConfigDocument().apply_edit(edit):
        case Ok(document):
            return compile_config(document)
        case other:
            raise AssertionError(other)


def test_slots_are_asked_for_elsewhere_when_a_region_grants_nothing() -> None:
    """Guards against requests that wait in vain for a full near region.

    Slots of the near region were granted while its load was not, so nothing
    was asked for in the far region and requests waited to their deadline.
    """
    config = _config()
    budgets: list[Budget] = [
        LevelBudget(name=f"slots/s/{name}", capacity=100)
        for name in ("near", "far")
    ]
    # The owners of the near region's load issue nothing.
    budgets += [
        LevelBudget(
            name=f"region/{region}/{part}",
            capacity=0 if region == "near" else 10,
        )
        for region in ("near", "far")
        for part in range(8)
    ]
    clock = [0.0]
    loop = _Loop(budgets, clock)
    place = Place(
        instance="e1",
        region="near",
        failure_domain="near-1",
        domain_delay_s=0.001,
        region_delay_s=0.01,
    )
    regions = RegionUnits(
        loop=loop,  # type: ignore[arg-type]
        place=place,
        now_s=lambda: clock[0],
    )
    regions.set_config(config)
    slots = DividedUnits(
        loop=loop,  # type: ignore[arg-type]
        place=place,
        now_s=lambda: clock[0],
        budget_name=lambda name: f"slots/{name}",
        room=regions.room,
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
    slots.want("s", "w", 3)
    for _ in range(8):
        regions.restate()
        slots.restate()
        regions.set_slots(slots.held())
        loop.advance(0.25)
    assert slots.available("s/far") > 0
    assert regions.available("far") > 0
    assert slots.take("s/far", "w")
    assert regions.take("far", "w")
    regions.release("far", "w")
    slots.release("s/far", "w")


def test_region_load_is_asked_for_with_the_slots() -> None:
    """Guards against load that is held idle where there are no slots.

    Each instance held some units of each region in reserve, together half
    of the capacity.
    """
    budgets: list[Budget] = [
        LevelBudget(name=f"region/{region}/{part}", capacity=10)
        for region in ("near", "far")
        for part in range(8)
    ]
    clock = [0.0]
    loop = _Loop(budgets, clock)
    regions = RegionUnits(
        loop=loop,  # type: ignore[arg-type]
        place=Place(
            instance="e1",
            region="near",
            failure_domain="near-1",
            domain_delay_s=0.001,
            region_delay_s=0.01,
        ),
        now_s=lambda: clock[0],
    )
    regions.set_config(_config())
    for _ in range(4):
        regions.set_slots({"near": 5})
        loop.advance(0.25)
    assert regions.held()["near"] >= 5
    assert regions.held()["far"] == 0
    assert regions.room("near") is None
