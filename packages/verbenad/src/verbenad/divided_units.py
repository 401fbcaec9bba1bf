"""Units of groups of level budgets, held by one instance.

A group is the targets of a service, or the parts of a region's load. Wants
are stated for a group and divided over its members.
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

    :param budget_name: budget of a member by the member's name.
    :param may_ask: whether units of a member are of use now.
    :param room: how many more units in a region are of use; None if that
        is not limited.
    """

    def __init__(
        self,
        *,
        loop: BudgetLoop,
        place: Location,
        now_s: Callable[[], float],
        budget_name: Callable[[str], str],
        may_ask: Callable[[TargetInfo], bool] | None = None,
        room: Callable[[str], int | None] | None = None,
    ) -> None:
        self._loop = loop
        self._place = place
        self._now_s = now_s
        self._budget_name = budget_name
        self._may_ask = may_ask
        self._room = room
        self._handles: dict[str, BudgetHandle] = {}
        self._holds: dict[tuple[str, str], list[Permit]] = {}
        self._used: Counter[str] = Counter()
        self._groups: dict[str, Sequence[TargetInfo]] = {}
        self._group_budgets: dict[str, Sequence[BudgetHandle]] = {}
        self._splits: dict[str, UnitSplit] = {}
        self._wants: dict[str, dict[str, int]] = {}
        self._shares: dict[str, Counter[str]] = {}

    def set_targets(self, service: str, targets: Sequence[TargetInfo]) -> None:
        """Set the members of a group."""
        members = [t for t in targets if not t.draining]
        self._groups[service] = members
        self._group_budgets[service] = [self._budget(t.name) for t in members]
        self._splits.setdefault(service, UnitSplit(self._place))
        self._restate(service)

    def members(self, service: str) -> Sequence[TargetInfo]:
        """Return the members of a group that may get new work."""
        return self._groups.get(service, ())

    def groups(self) -> Sequence[str]:
        """Return the names of all groups."""
        return list(self._groups)

    def held(self) -> Counter[str]:
        """Return the granted or used units by region of their members."""
        found: Counter[str] = Counter()
        now_s = self._now_s()
        for targets in self._groups.values():
            for target in targets:
                budget = self._budget(target.name)
                found[target.region] += budget.taker.held(now_s, budget.name)[
                    0
                ]
        return found

    def available(self, target: str) -> int:
        """Return the granted units that are not in use."""
        budget = self._budget(target)
        return budget.taker.available(self._now_s(), budget.name)

    def any_available(self, service: str) -> bool:
        """Return whether a member has a granted unit that is not in use."""
        now_s = self._now_s()
        for budget in self._group_budgets.get(service, ()):
            if budget.taker.available(now_s, budget.name) > 0:
                return True
        return False

    def regions_with_units(self) -> set[str]:
        """Return the regions of members of which units are granted.

        Only groups with wants are looked at, so an idle instance has no
        work with it.
        """
        now_s = self._now_s()
        found: set[str] = set()
        for service, wants in self._wants.items():
            if not wants:
                continue
            for target in self._groups.get(service, ()):
                if target.region in found:
                    continue
                budget = self._budget(target.name)
                if budget.taker.held(now_s, budget.name)[0]:
                    found.add(target.region)
        return found

    def take(self, target: str, workspace: str) -> bool:
        """Put one unit in use; false if none is available."""
        budget = self._budget(target)
        hold = budget.taker.try_acquire(self._now_s(), budget.name, workspace)
        if hold is None:
            return False
        self._holds.setdefault((target, workspace), []).append(hold)
        self._used[target] += 1
        return True

    def release(self, target: str, workspace: str) -> None:
        """Return one unit that :meth:`take` put in use."""
        hold = self._holds[target, workspace].pop()
        self._used[target] -= 1
        self._budget(target).taker.release(self._now_s(), hold)

    def share(self, service: str, workspace: str) -> float:
        """Return the units that were granted here for a workspace."""
        shares = self._shares.get(service)
        return shares[workspace] if shares else 0

    def set_demand(self, service: str, workspace: str, amount: int) -> None:
        """State how many units of a group a workspace can use."""
        wants = self._wants.setdefault(service, {})
        if wants.get(workspace, 0) == amount:
            return
        if amount > 0:
            wants[workspace] = amount
        else:
            del wants[workspace]
        self._restate(service)

    def restate(self) -> None:
        """Divide the wants anew after grants have changed."""
        for service, wants in self._wants.items():
            if wants or self._shares.get(service):
                self._restate(service)

    def _budget(self, name: str) -> BudgetHandle:
        known = self._handles.get(name)
        if known is None:
            known = budget_handle(self._loop, self._budget_name(name))
            self._handles[name] = known
        return known

    def _restate(self, service: str) -> None:
        targets = self._groups.get(service)
        if targets is None:
            return
        now_s = self._now_s()
        split = self._splits[service]
        shares: Counter[str] = Counter()
        for target in targets:
            budget = self._budget(target.name)
            granted = budget.taker.granted_by_workspace(now_s, budget.name)
            answered = budget.taker.answered_demand(budget.name)
            split.granted(now_s, target.name, granted, answered)
            shares.update(granted)
        self._shares[service] = shares
        parts = split.split(
            now_s,
            self._wants.get(service, {}),
            self._useful(targets),
            self._rooms(targets),
        )
        for target in targets:
            self._state(now_s, target.name, parts.get(target.name, {}))

    def _rooms(self, targets: Sequence[TargetInfo]) -> dict[str, int]:
        """Return the units of use in the regions where they are limited."""
        rooms: dict[str, int] = {}
        if self._room is None:
            return rooms
        for region in {target.region for target in targets}:
            room = self._room(region)
            if room is not None:
                rooms[region] = room + sum(
                    self._used[target.name]
                    for target in targets
                    if target.region == region
                )
        return rooms

    def _useful(self, targets: Sequence[TargetInfo]) -> Sequence[TargetInfo]:
        may_ask = self._may_ask
        if may_ask is None:
            return targets
        return [target for target in targets if may_ask(target)] or targets

    def _state(
        self, now_s: float, name: str, wants: Mapping[str, int]
    ) -> None:
        budget = self._budget(name)
        budget.taker.set_demand(now_s, budget.name, wants)
        self._loop.send_if_due(budget.shard)
