"""Units of groups of concurrency budgets, held by one instance.

A group consists of the targets of a service, or of the parts of a region's
load. Demand is set for a group and divided over its members.
"""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence

from verbenad.budget_handle import BudgetHandle, budget_handle
from verbenad.budget_loop import BudgetLoop
from verbenaworks.permit import Permit
from verbenaworks.target import TargetInfo
from verbenaworks.targets_by_distance import Location
from verbenaworks.unit_split import UnitSplit


class DividedUnits:
    """Units of all groups of one kind.

    :param budget_name: returns the budget of a member, given its name.
    :param is_useful: returns whether units of a member can be used now.
    :param region_limit: returns how many more units of a region can be used;
        None if they are not limited.
    """

    def __init__(
        self,
        *,
        loop: BudgetLoop,
        place: Location,
        now_s: Callable[[], float],
        budget_name: Callable[[str], str],
        is_useful: Callable[[TargetInfo], bool] | None = None,
        region_limit: Callable[[str], int | None] | None = None,
    ) -> None:
        self._loop = loop
        self._place = place
        self._now_s = now_s
        self._budget_name = budget_name
        self._is_useful = is_useful
        self._region_limit = region_limit
        self._handles: dict[str, BudgetHandle] = {}
        self._permits: dict[tuple[str, str], list[Permit]] = {}
        self._used: Counter[str] = Counter()
        self._groups: dict[str, Sequence[TargetInfo]] = {}
        self._group_budgets: dict[str, Sequence[BudgetHandle]] = {}
        self._splits: dict[str, UnitSplit] = {}
        self._demand: dict[str, dict[str, int]] = {}
        self._granted_units: dict[str, Counter[str]] = {}

    def set_targets(self, service: str, targets: Sequence[TargetInfo]) -> None:
        """Set the members of a group."""
        members = [t for t in targets if not t.draining]
        self._groups[service] = members
        self._group_budgets[service] = [self._budget(t.name) for t in members]
        self._splits.setdefault(service, UnitSplit(self._place))
        self._update_demand(service)

    def members(self, service: str) -> Sequence[TargetInfo]:
        """Return the members of a group that may get new work."""
        return self._groups.get(service, ())

    def groups(self) -> Sequence[str]:
        """Return the names of all groups."""
        return list(self._groups)

    def held(self) -> Counter[str]:
        """Return the granted or used units by region of their members."""
        units_by_region: Counter[str] = Counter()
        now_s = self._now_s()
        for targets in self._groups.values():
            for target in targets:
                budget = self._budget(target.name)
                units_by_region[target.region] += budget.client.held(
                    now_s, budget.name
                )[0]
        return units_by_region

    def available(self, target: str) -> int:
        """Return the granted units that are not in use."""
        budget = self._budget(target)
        return budget.client.available(self._now_s(), budget.name)

    def any_available(self, service: str) -> bool:
        """Return whether a member has a granted unit that is not in use."""
        now_s = self._now_s()
        for budget in self._group_budgets.get(service, ()):
            if budget.client.available(now_s, budget.name) > 0:
                return True
        return False

    def regions_with_units(self) -> set[str]:
        """Return the regions in which units of members are granted.

        Only groups with demand are checked, so this costs an idle instance
        nothing.
        """
        now_s = self._now_s()
        regions: set[str] = set()
        for service, demand in self._demand.items():
            if not demand:
                continue
            for target in self._groups.get(service, ()):
                if target.region in regions:
                    continue
                budget = self._budget(target.name)
                if budget.client.held(now_s, budget.name)[0]:
                    regions.add(target.region)
        return regions

    def take(self, target: str, workspace: str) -> bool:
        """Acquire one unit; return false if none is available."""
        budget = self._budget(target)
        permit = budget.client.try_acquire(
            self._now_s(), budget.name, workspace
        )
        if permit is None:
            return False
        self._permits.setdefault((target, workspace), []).append(permit)
        self._used[target] += 1
        return True

    def release(self, target: str, workspace: str) -> None:
        """Release one unit that :meth:`take` acquired."""
        permit = self._permits[target, workspace].pop()
        self._used[target] -= 1
        self._budget(target).client.release(self._now_s(), permit)

    def share(self, service: str, workspace: str) -> float:
        """Return the units granted to this instance for a workspace."""
        shares = self._granted_units.get(service)
        return shares[workspace] if shares else 0

    def set_demand(self, service: str, workspace: str, amount: int) -> None:
        """Set how many units of a group a workspace can use."""
        demand = self._demand.setdefault(service, {})
        if demand.get(workspace, 0) == amount:
            return
        if amount > 0:
            demand[workspace] = amount
        else:
            del demand[workspace]
        self._update_demand(service)

    def update_demand(self) -> None:
        """Divide the demand again after grants have changed."""
        for service, demand in self._demand.items():
            if demand or self._granted_units.get(service):
                self._update_demand(service)

    def _budget(self, name: str) -> BudgetHandle:
        handle = self._handles.get(name)
        if handle is None:
            handle = budget_handle(self._loop, self._budget_name(name))
            self._handles[name] = handle
        return handle

    def _update_demand(self, service: str) -> None:
        targets = self._groups.get(service)
        if targets is None:
            return
        now_s = self._now_s()
        split = self._splits[service]
        shares: Counter[str] = Counter()
        for target in targets:
            budget = self._budget(target.name)
            granted = budget.client.granted_by_workspace(now_s, budget.name)
            answered_demand = budget.client.answered_demand(budget.name)
            split.granted(now_s, target.name, granted, answered_demand)
            shares.update(granted)
        self._granted_units[service] = shares
        demand_by_member = split.split(
            now_s,
            self._demand.get(service, {}),
            self._useful_targets(targets),
            self._region_limits(targets),
        )
        for target in targets:
            self._set_member_demand(
                now_s, target.name, demand_by_member.get(target.name, {})
            )

    def _region_limits(self, targets: Sequence[TargetInfo]) -> dict[str, int]:
        """Return the usable units of each region in which they are limited."""
        limits: dict[str, int] = {}
        if self._region_limit is None:
            return limits
        for region in {target.region for target in targets}:
            region_limit = self._region_limit(region)
            if region_limit is not None:
                limits[region] = region_limit + sum(
                    self._used[target.name]
                    for target in targets
                    if target.region == region
                )
        return limits

    def _useful_targets(
        self, targets: Sequence[TargetInfo]
    ) -> Sequence[TargetInfo]:
        is_useful = self._is_useful
        if is_useful is None:
            return targets
        return [target for target in targets if is_useful(target)] or targets

    def _set_member_demand(
        self, now_s: float, name: str, demand: Mapping[str, int]
    ) -> None:
        budget = self._budget(name)
        budget.client.set_demand(now_s, budget.name, demand)
        self._loop.send_if_due(budget.shard)
