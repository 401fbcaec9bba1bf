"""Load of regions, as units that this instance holds.

The load of a region is divided into parts with different owners, so that the
death of one owner withholds only a part of it.
"""

from collections.abc import Callable, Mapping

from verbenad.budget_loop import BudgetLoop
from verbenad.budget_plan import region_budget_name, region_parts
from verbenad.divided_units import DividedUnits
from verbenaworks.budget_taker import IDLE_S
from verbenaworks.compiled_config import CompiledConfig
from verbenaworks.near_table import Place
from verbenaworks.target import TargetInfo

# Units asked for beyond those in use, so that a request seldom waits.
RESERVE = 4
# An instance keeps one unit of its own region for as long as it keeps a slot
# (see unit_demand), since neither is of use without the other.
KEEP_ONE_S = 30.0
# Several round trips between regions; a region that granted nothing in this
# time counts as full for the division of slots.
DENIED_AFTER_S = 0.15


class RegionUnits:
    """Load of all regions."""

    def __init__(
        self,
        *,
        loop: BudgetLoop,
        place: Place,
        now_s: Callable[[], float],
    ) -> None:
        self._now_s = now_s
        self._own_region = place.region
        self._parts = DividedUnits(
            loop=loop,
            place=place,
            now_s=now_s,
            budget_name=region_budget_name,
        )
        self._in_use: dict[str, int] = {}
        self._stated: dict[str, int] = {}
        self._used_parts: dict[tuple[str, str], list[str]] = {}
        self._short_since_s: dict[str, float] = {}
        # Regions asked for since the last restatement, and when earlier ones
        # were; reading the clock for each question would cost more.
        self._asked: set[str] = set()
        self._asked_at_s: dict[str, float] = {}

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
        self._asked.add(target)
        for part in self._parts.members(target):
            if self._parts.available(part.name) > 0:
                self._short_since_s.pop(target, None)
                return 1
        self._short_since_s.setdefault(target, self._now_s())
        self._state(target)
        return 0

    def take(self, target: str, workspace: str) -> bool:
        """Put one unit of a region in use; false if none is available."""
        self._asked.add(target)
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

    def want(self, service: str, workspace: str, amount: int) -> None:
        """Do nothing: the wants follow the units in use."""

    def is_full(self, region: str) -> bool:
        """Return whether a region has granted nothing for some time."""
        since_s = self._short_since_s.get(region)
        return (
            since_s is not None
            and self._now_s() - since_s >= DENIED_AFTER_S
            and self.available(region) == 0
        )

    def restate(self) -> None:
        """State the wants anew after grants have changed.

        A region that nobody uses is not asked for any more, the own one
        after a while.
        """
        now_s = self._now_s()
        for region in list(self._stated):
            if region in self._asked or self._in_use.get(region, 0):
                self._asked_at_s[region] = now_s
            unused_s = now_s - self._asked_at_s[region]
            if unused_s < IDLE_S:
                self._state(region)
            elif region == self._own_region and unused_s < KEEP_ONE_S:
                self._set_want(region, 1)
            else:
                self._set_want(region, 0)
                del self._stated[region]
        self._asked.clear()
        self._parts.restate()

    def _set_want(self, region: str, amount: int) -> None:
        if self._stated[region] != amount:
            self._short_since_s.pop(region, None)
            self._stated[region] = amount
            self._parts.want(region, "", amount)

    def _state(self, region: str) -> None:
        """State the wants when they have changed by more than a little.

        Each statement divides the wants over all parts, which costs as much
        as the choice of a target.
        """
        in_use = self._in_use.get(region, 0)
        stated = self._stated.get(region, 0)
        if in_use + RESERVE // 2 <= stated <= 2 * (in_use + RESERVE):
            return
        self._stated[region] = in_use + max(RESERVE, in_use // 2)
        self._parts.want(region, "", self._stated[region])


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
