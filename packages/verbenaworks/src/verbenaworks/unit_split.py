"""Division of an instance's wanted units over the targets of a service.

The owners of the slots of different targets do not know of each other, so
the instance decides where it asks. It asks at the targets of its own region
first. A target that granted a workspace less than was asked counts as full
for that workspace for a while, and the rest is asked for elsewhere. In other
regions the amounts grow while they are granted and shrink when they are not:
under overload everywhere, each region then serves its own callers and little
work crosses the links. What no target grants is asked for at the targets of
the own region, so that each owner sees the demand and divides by max-min
fairness.
"""

from collections.abc import Callable, Mapping, Sequence
from hashlib import blake2b

from verbenaworks.target import TargetInfo
from verbenaworks.targets_by_distance import Location

_DENIED_S = 1.0
_ROTATE_S = 1.0
# Time between two tries at a target of another region that granted nothing.
_RETRY_FAR_S = 2.0


class UnitSplit:
    """Wants per target of one service at one instance."""

    def __init__(self, place: Location) -> None:
        self._place = place
        self._denied_until_s: dict[tuple[str, str], float] = {}
        self._limits: dict[tuple[str, str], int] = {}
        self._answered: dict[str, Mapping[str, int]] = {}
        self._granted: dict[str, Mapping[str, int]] = {}
        self._ranks: dict[str, tuple[int, int]] = {}
        self._turn = 0

    def granted(
        self,
        now_s: float,
        target: str,
        parts: Mapping[str, int],
        answered: Mapping[str, int],
    ) -> None:
        """Record a grant; less than was asked means that units are short.

        :param parts: the granted units by workspace.
        :param answered: the wants that the grant answers; the same object
            until the next answer. Wants that the owner has not seen yet say
            nothing of its units.
        """
        self._granted[target] = parts
        if answered is self._answered.get(target):
            return
        self._answered[target] = answered
        for workspace, asked in answered.items():
            key = target, workspace
            amount = parts.get(workspace, 0)
            if amount < asked:
                self._denied_until_s[key] = now_s + self._hold_s(target)
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
        """Return the units to ask for, by target and workspace.

        :param wants: wanted units by workspace.
        :param targets: the targets that may be used, without those that
            leave or are ejected.
        :param region_limits: the units to ask for in regions where more are
            of no use; what no target grants is still asked for there.
        """
        self._turn = int(now_s / _ROTATE_S)
        self._denied_until_s = {
            key: until_s
            for key, until_s in self._denied_until_s.items()
            if until_s > now_s
        }
        order = sorted(targets, key=self._rank)
        left = {w: wants[w] for w in sorted(wants) if wants[w] > 0}
        result: dict[str, dict[str, int]] = {t.name: {} for t in order}
        near = [t for t in order if t.region == self._place.region]
        far = [t for t in order if t.region != self._place.region]
        regions = dict(region_limits) if region_limits else {}
        for group in near, far:
            # Units that are held stay where they are: a unit that moves
            # is idle meanwhile.
            self._fill(group, left, result, regions, self._held)
            self._fill(group, left, result, regions, self._room)
        self._fill_excess(near or far, left, result)
        return result

    def _fill(
        self,
        targets: Sequence[TargetInfo],
        left: dict[str, int],
        result: Mapping[str, dict[str, int]],
        regions: dict[str, int],
        room: Callable[[TargetInfo, str], int],
    ) -> None:
        """Move wanted units to targets one by one, evenly over workspaces.

        :param room: how many units of a target to ask for, by workspace.
        """
        turn = 0
        rooms = {
            target.name: target.slots - sum(result[target.name].values())
            for target in targets
        }
        moved = True
        while left and moved:
            moved = False
            for target in targets:
                if rooms[target.name] <= 0:
                    continue
                if regions.get(target.region) == 0:
                    continue
                part = result[target.name]
                workspace = self._next(target, part, left, turn, room)
                if workspace is None:
                    continue
                _move(part, left, workspace)
                rooms[target.name] -= 1
                if target.region in regions:
                    regions[target.region] -= 1
                turn += 1
                moved = True

    def _next(
        self,
        target: TargetInfo,
        part: Mapping[str, int],
        left: Mapping[str, int],
        turn: int,
        room: Callable[[TargetInfo, str], int],
    ) -> str | None:
        """Return a workspace that the target may grant one more unit."""
        names = list(left)
        for offset in range(len(names)):
            workspace = names[(turn + offset) % len(names)]
            if part.get(workspace, 0) < room(target, workspace):
                return workspace
        return None

    def _fill_excess(
        self,
        targets: Sequence[TargetInfo],
        left: dict[str, int],
        result: Mapping[str, dict[str, int]],
    ) -> None:
        """Add what no target grants, up to each one's slots per workspace.

        The first target changes every second, so that a small excess tries
        all targets in turn.
        """
        first = self._turn % max(1, len(targets))
        moved = True
        while left and moved:
            moved = False
            for target in [*targets[first:], *targets[:first]]:
                part = result[target.name]
                for workspace in list(left):
                    if part.get(workspace, 0) < target.slots:
                        _move(part, left, workspace)
                        moved = True

    def _held(self, target: TargetInfo, workspace: str) -> int:
        """Return how many units the target grants to a workspace now."""
        return self._granted.get(target.name, {}).get(workspace, 0)

    def _room(self, target: TargetInfo, workspace: str) -> int:
        """Return how many units the target may grant to a workspace."""
        key = target.name, workspace
        granted = self._held(target, workspace)
        if key in self._denied_until_s:
            return granted
        usual = target.slots if target.region == self._place.region else 1
        return max(self._limits.get(key, usual), granted + 1)

    def _hold_s(self, target: str) -> float:
        """Return how long a denial counts, different for each target."""
        distance, rank = self._ranks[target]
        if distance < 2:
            return _DENIED_S
        return _RETRY_FAR_S * (1.0 + (rank % 1000) / 1000)

    def _rank(self, target: TargetInfo) -> tuple[int, int]:
        """Order by distance, and differently at each instance."""
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
    """Return the units of region load to ask for, by region and workspace.

    They match the granted slots: a unit of region load is of no use without
    a slot in the region, nor a slot without it.

    :param granted: the granted slots, by target and workspace.
    """
    wants: dict[str, dict[str, int]] = {}
    for target in targets:
        region = wants.setdefault(target.region, {})
        for workspace, amount in granted.get(target.name, {}).items():
            region[workspace] = region.get(workspace, 0) + amount
    return wants


def _move(part: dict[str, int], left: dict[str, int], workspace: str) -> None:
    part[workspace] = part.get(workspace, 0) + 1
    left[workspace] -= 1
    if left[workspace] == 0:
        del left[workspace]
