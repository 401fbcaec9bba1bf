"""Units of regions' load that this instance holds.

The load of a region is divided into parts with different owners, so that only
a part of it is unavailable after the failure of an owner.
"""

from collections.abc import Callable, Mapping

from verbenad.budget_loop import BudgetLoop
from verbenad.budget_plan import region_budget_name, region_parts
from verbenad.divided_units import DividedUnits
from verbenaworks.compiled_config import CompiledConfig
from verbenaworks.target import TargetInfo
from verbenaworks.targets_by_distance import Location

# A region counts as full for the division of slots once it has granted less
# load than slots for this long, which is several round trips between regions.
REGION_FULL_DELAY_S = 0.15
# How long a region counts as full after it last granted too little load, so
# that its slots are not requested again at once.
REGION_FULL_DURATION_S = 1.0


class RegionUnits:
    """Units of the load of all regions."""

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
        self._last_demand: dict[str, int] = {}
        self._used_parts: dict[tuple[str, str], list[str]] = {}
        self._short_since_s: dict[str, float] = {}
        self._full_until_s: dict[str, float] = {}

    def set_config(self, config: CompiledConfig) -> None:
        """Apply the regions of a configuration."""
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

        Returns 1 for any number of them. The choice calls this for each
        target, and counting all parts would take longer than the choice.
        """
        return int(self._parts.any_available(target))

    def take(self, target: str, workspace: str) -> bool:
        """Acquire one unit of a region; return false if none is available."""
        for part in self._parts.members(target):
            if self._parts.available(part.name) and self._parts.take(
                part.name, workspace
            ):
                used = self._used_parts.setdefault((target, workspace), [])
                used.append(part.name)
                self._in_use[target] = self._in_use.get(target, 0) + 1
                self._set_region_demand(target)
                return True
        return False

    def release(self, target: str, workspace: str) -> None:
        """Release one unit that :meth:`take` acquired."""
        part = self._used_parts[target, workspace].pop()
        self._parts.release(part, workspace)
        self._in_use[target] -= 1

    def held(self) -> Mapping[str, int]:
        """Return the granted or used units by region."""
        return self._parts.held()

    def set_slots(self, slots: Mapping[str, int]) -> None:
        """Match the demand to the slots that this instance holds, by region.

        A request needs both a slot and a unit of the region's load.
        """
        now_s = self._now_s()
        held = self._parts.held()
        for region in self._parts.groups():
            self._slots[region] = slots.get(region, 0)
            self._set_region_demand(region)
            if self._slots[region] <= held[region]:
                self._short_since_s.pop(region, None)
                continue
            since_s = self._short_since_s.setdefault(region, now_s)
            if now_s - since_s >= REGION_FULL_DELAY_S:
                self._full_until_s[region] = now_s + REGION_FULL_DURATION_S

    def set_demand(self, service: str, workspace: str, amount: int) -> None:
        """Do nothing: the wants follow the slots."""

    def region_limit(self, region: str) -> int | None:
        """Return the free units of a region that grants too little load.

        None if the region grants as much load as slots.
        """
        if self._now_s() >= self._full_until_s.get(region, 0.0):
            return None
        return sum(
            self._parts.available(part.name)
            for part in self._parts.members(region)
        )

    def update_demand(self) -> None:
        """Update the demand after grants have changed."""
        for region in self._in_use:
            self._set_region_demand(region)
        self._parts.update_demand()

    def _set_region_demand(self, region: str) -> None:
        in_use = self._in_use.get(region, 0)
        wanted = max(in_use, self._slots.get(region, 0))
        if wanted != self._last_demand.get(region):
            self._last_demand[region] = wanted
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
