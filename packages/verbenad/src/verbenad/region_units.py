"""Load of regions, as units that this instance holds.

The load of a region is divided into parts with different owners, so that the
death of one owner withholds only a part of it.
"""

from collections.abc import Callable, Mapping

from verbenad.budget_loop import BudgetLoop
from verbenad.budget_plan import region_budget_name, region_parts
from verbenad.divided_units import DividedUnits
from verbenaworks.compiled_config import CompiledConfig
from verbenaworks.target import TargetInfo
from verbenaworks.targets_by_distance import Location

# Several round trips between regions; a region that granted less load than
# slots for this time counts as full for the division of slots.
DENIED_AFTER_S = 0.15
# A region counts as full for this long after it last granted too little, so
# that slots there are not asked for again at once.
FULL_S = 1.0


class RegionUnits:
    """Load of all regions."""

    def __init__(
        self,
        *,
        loop: BudgetLoop,
        place: Location,
        now_s: Callable[[], float],
    ) -> None:
        self._now_s = now_s
        self._parts = DividedUnits(
            loop=loop,
            place=place,
            now_s=now_s,
            budget_name=region_budget_name,
        )
        self._in_use: dict[str, int] = {}
        self._slots: dict[str, int] = {}
        self._stated: dict[str, int] = {}
        self._used_parts: dict[tuple[str, str], list[str]] = {}
        self._short_since_s: dict[str, float] = {}
        self._full_until_s: dict[str, float] = {}

    def set_config(self, config: CompiledConfig) -> None:
        """Take over the parts of all regions."""
        for region in config.regions:
            capacities: Mapping[str, int] = region_parts(config, region)
            self._parts.set_targets(
                region,
                [
                    _as_member(region, part, capacity)
                    for part, capacity in capacities.items()
                ],
            )

    def available(self, target: str) -> int:
        """Return whether a region has granted units that are not in use.

        It returns 1 for any number of them: the choice asks this for each
        target, and counting all parts would cost more than the choice.
        """
        return int(self._parts.any_available(target))

    def take(self, target: str, workspace: str) -> bool:
        """Put one unit of a region in use; false if none is available."""
        for part in self._parts.members(target):
            if self._parts.available(part.name) and self._parts.take(
                part.name, workspace
            ):
                used = self._used_parts.setdefault((target, workspace), [])
                used.append(part.name)
                self._in_use[target] = self._in_use.get(target, 0) + 1
                self._state(target)
                return True
        return False

    def release(self, target: str, workspace: str) -> None:
        """Return one unit that :meth:`take` put in use."""
        part = self._used_parts[target, workspace].pop()
        self._parts.release(part, workspace)
        self._in_use[target] -= 1

    def held(self) -> Mapping[str, int]:
        """Return the granted or used units by region."""
        return self._parts.held()

    def set_slots(self, slots: Mapping[str, int]) -> None:
        """State wants that match the slots held here, by region.

        A slot is of no use without a unit of its region's load, nor a unit
        without a slot.
        """
        now_s = self._now_s()
        held = self._parts.held()
        for region in self._parts.groups():
            self._slots[region] = slots.get(region, 0)
            self._state(region)
            if self._slots[region] <= held[region]:
                self._short_since_s.pop(region, None)
                continue
            since_s = self._short_since_s.setdefault(region, now_s)
            if now_s - since_s >= DENIED_AFTER_S:
                self._full_until_s[region] = now_s + FULL_S

    def set_demand(self, service: str, workspace: str, amount: int) -> None:
        """Do nothing: the wants follow the slots."""

    def room(self, region: str) -> int | None:
        """Return the free units of a region that grants too little load.

        None if the region grants as much load as slots.
        """
        if self._now_s() >= self._full_until_s.get(region, 0.0):
            return None
        return sum(
            self._parts.available(part.name)
            for part in self._parts.members(region)
        )

    def restate(self) -> None:
        """State the wants anew after grants have changed."""
        for region in self._in_use:
            self._state(region)
        self._parts.restate()

    def _state(self, region: str) -> None:
        in_use = self._in_use.get(region, 0)
        wanted = max(in_use, self._slots.get(region, 0))
        if wanted != self._stated.get(region):
            self._stated[region] = wanted
            self._parts.set_demand(region, "", wanted)


def _as_member(region: str, part: str, capacity: int) -> TargetInfo:
    return TargetInfo(
        name=part,
        service=region,
        address="",
        region=region,
        failure_domain="",
        slots=capacity,
        connections=0,
    )
