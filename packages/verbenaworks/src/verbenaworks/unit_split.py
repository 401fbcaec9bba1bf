"""Division of an instance's demand for units over the targets of a service.

The owners of the slots of different targets do not know of each other, so the
instance decides which targets to request units of. It starts with the targets
of its own region. A target that granted a workspace less than requested
counts as full for that workspace for a while, and the rest is requested of
other targets. In other regions the requested amounts grow while they are
granted and shrink when they are not. Under overload everywhere, each region
then serves its own callers and little work crosses the links. Demand that no
target meets is requested of the targets of the instance's own region, so that
each owner sees the demand and divides by max-min fairness.
"""

from collections.abc import Callable, Mapping, Sequence
from hashlib import blake2b

from verbenaworks.target import TargetInfo
from verbenaworks.targets_by_distance import Location

_DENIAL_TTL_S = 1.0
_ROTATION_INTERVAL_S = 1.0
# Time between requests to a target of another region that granted nothing.
_REMOTE_RETRY_S = 2.0


class UnitSplit:
    """Demand per target of one service at one instance."""

    def __init__(self, place: Location) -> None:
        self._place = place
        self._denied_until_s: dict[tuple[str, str], float] = {}
        self._limits: dict[tuple[str, str], int] = {}
        self._answered: dict[str, Mapping[str, int]] = {}
        self._granted: dict[str, Mapping[str, int]] = {}
        self._ranks: dict[str, tuple[int, int]] = {}
        self._rotation = 0

    def granted(
        self,
        now_s: float,
        target: str,
        parts: Mapping[str, int],
        answered: Mapping[str, int],
    ) -> None:
        """Record a grant; less than requested means that units are short.

        :param parts: the granted units by workspace.
        :param answered: the demand that the grant answers; the same object
            until the next grant. Demand that the owner has not seen yet does
            not show whether units are short.
        """
        self._granted[target] = parts
        if answered is self._answered.get(target):
            return
        self._answered[target] = answered
        for workspace, asked in answered.items():
            key = target, workspace
            amount = parts.get(workspace, 0)
            if amount < asked:
                self._denied_until_s[key] = now_s + self._denial_ttl_s(target)
                self._limits[key] = amount + 1
            elif key in self._limits:
                self._limits[key] = max(self._limits[key], 2 * asked)
            elif self._ranks[target][0] == 2:
                self._limits[key] = 2 * asked

    def split(
        self,
        now_s: float,
        wants: Mapping[str, int],
        targets: Sequence[TargetInfo],
        region_limits: Mapping[str, int] | None = None,
    ) -> dict[str, dict[str, int]]:
        """Return the units to request, by target and workspace.

        :param wants: demand by workspace.
        :param targets: the usable targets, without those that are leaving
            or ejected.
        :param region_limits: the most units that are of use in a region.
            Demand that no target meets is requested without regard to them.
        """
        self._rotation = int(now_s / _ROTATION_INTERVAL_S)
        self._denied_until_s = {
            key: until_s
            for key, until_s in self._denied_until_s.items()
            if until_s > now_s
        }
        order = sorted(targets, key=self._rank)
        remaining = {w: wants[w] for w in sorted(wants) if wants[w] > 0}
        result: dict[str, dict[str, int]] = {t.name: {} for t in order}
        local = [t for t in order if t.region == self._place.region]
        remote = [t for t in order if t.region != self._place.region]
        region_remaining = dict(region_limits) if region_limits else {}
        for group in local, remote:
            # Granted units are requested first where they are, because a
            # unit that moves is idle in the meantime.
            self._fill(
                group, remaining, result, region_remaining, self._granted_units
            )
            self._fill(
                group, remaining, result, region_remaining, self._max_units
            )
        self._fill_excess(local or remote, remaining, result)
        return result

    def _fill(
        self,
        targets: Sequence[TargetInfo],
        remaining: dict[str, int],
        result: Mapping[str, dict[str, int]],
        region_remaining: dict[str, int],
        max_units: Callable[[TargetInfo, str], int],
    ) -> None:
        """Assign units to targets one by one, evenly over workspaces.

        :param max_units: most units of a target to request for a workspace.
        """
        next_workspace_index = 0
        target_rooms = {
            target.name: target.slots - sum(result[target.name].values())
            for target in targets
        }
        is_assigned = True
        while remaining and is_assigned:
            is_assigned = False
            for target in targets:
                if target_rooms[target.name] <= 0:
                    continue
                if region_remaining.get(target.region) == 0:
                    continue
                assigned = result[target.name]
                workspace = self._next_workspace(
                    target,
                    assigned,
                    remaining,
                    next_workspace_index,
                    max_units,
                )
                if workspace is None:
                    continue
                _assign_unit(assigned, remaining, workspace)
                target_rooms[target.name] -= 1
                if target.region in region_remaining:
                    region_remaining[target.region] -= 1
                next_workspace_index += 1
                is_assigned = True

    def _next_workspace(
        self,
        target: TargetInfo,
        assigned: Mapping[str, int],
        remaining: Mapping[str, int],
        next_workspace_index: int,
        max_units: Callable[[TargetInfo, str], int],
    ) -> str | None:
        """Return a workspace to which the target may grant one more unit."""
        names = list(remaining)
        for offset in range(len(names)):
            workspace = names[(next_workspace_index + offset) % len(names)]
            if assigned.get(workspace, 0) < max_units(target, workspace):
                return workspace
        return None

    def _fill_excess(
        self,
        targets: Sequence[TargetInfo],
        remaining: dict[str, int],
        result: Mapping[str, dict[str, int]],
    ) -> None:
        """Assign demand that no target meets, up to a target's slots.

        The first target changes every second, so that a small excess is
        requested of all targets in turn.
        """
        first = self._rotation % max(1, len(targets))
        is_assigned = True
        while remaining and is_assigned:
            is_assigned = False
            for target in [*targets[first:], *targets[:first]]:
                assigned = result[target.name]
                for workspace in list(remaining):
                    if assigned.get(workspace, 0) < target.slots:
                        _assign_unit(assigned, remaining, workspace)
                        is_assigned = True

    def _granted_units(self, target: TargetInfo, workspace: str) -> int:
        """Return how many units the target currently grants to a workspace."""
        return self._granted.get(target.name, {}).get(workspace, 0)

    def _max_units(self, target: TargetInfo, workspace: str) -> int:
        """Return how many units the target may grant to a workspace."""
        key = target.name, workspace
        granted = self._granted_units(target, workspace)
        if key in self._denied_until_s:
            return granted
        default_limit = (
            target.slots if target.region == self._place.region else 1
        )
        return max(self._limits.get(key, default_limit), granted + 1)

    def _denial_ttl_s(self, target: str) -> float:
        """Return how long a denial counts; it differs between targets."""
        distance, rank = self._ranks[target]
        if distance < 2:
            return _DENIAL_TTL_S
        return _REMOTE_RETRY_S * (1.0 + (rank % 1000) / 1000)

    def _rank(self, target: TargetInfo) -> tuple[int, int]:
        """Return a sort key: the distance, then an order of this instance."""
        rank = self._ranks.get(target.name)
        if rank is None:
            place = self._place
            distance = 2
            if target.region == place.region:
                distance = int(target.failure_domain != place.failure_domain)
            name = f"{place.instance}/{target.name}".encode()
            digest = blake2b(name, digest_size=8).digest()
            rank = distance, int.from_bytes(digest)
            self._ranks[target.name] = rank
        return rank


def region_wants(
    targets: Sequence[TargetInfo],
    granted: Mapping[str, Mapping[str, int]],
) -> dict[str, dict[str, int]]:
    """Return the units of region load to request, by region and workspace.

    They match the granted slots, because a unit of region load is of no use
    without a slot in the region, and a slot is of no use without it.

    :param granted: the granted slots, by target and workspace.
    """
    wants: dict[str, dict[str, int]] = {}
    for target in targets:
        region = wants.setdefault(target.region, {})
        for workspace, amount in granted.get(target.name, {}).items():
            region[workspace] = region.get(workspace, 0) + amount
    return wants


def _assign_unit(
    assigned: dict[str, int], remaining: dict[str, int], workspace: str
) -> None:
    assigned[workspace] = assigned.get(workspace, 0) + 1
    remaining[workspace] -= 1
    if remaining[workspace] == 0:
        del remaining[workspace]
