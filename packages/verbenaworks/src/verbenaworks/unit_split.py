"""Division of an instance's wanted units over the targets of a service.

The owners of the slots of different targets do not know of each other, so
the instance decides where it asks. It asks at the nearest targets first. A
target that granted less than was asked counts as full for a while, and the
rest is asked for at the next ones. What no target grants is asked for at all
of them, so that each owner sees the demand and divides by max-min fairness.
"""

from collections.abc import Mapping, Sequence
from hashlib import blake2b

from verbenaworks.near_table import Place
from verbenaworks.target import TargetInfo

_DENIED_S = 1.0


class UnitSplit:
    """Wants per target of one service at one instance."""

    def __init__(self, place: Place) -> None:
        self._place = place
        self._denied_until_s: dict[str, float] = {}
        self._asked: dict[str, int] = {}

    def granted(self, now_s: float, target: str, amount: int) -> None:
        """Record a grant; less than was asked means that units are short."""
        if amount < self._asked.get(target, 0):
            self._denied_until_s[target] = now_s + _DENIED_S

    def split(
        self,
        now_s: float,
        wants: Mapping[str, int],
        targets: Sequence[TargetInfo],
        granted: Mapping[str, int],
    ) -> dict[str, dict[str, int]]:
        """Return the units to ask for, by target and workspace.

        :param wants: wanted units by workspace.
        :param targets: the targets that may be used, without those that
            leave or are ejected.
        :param granted: units granted now, by target.
        """
        order = sorted(targets, key=self._rank)
        left = {w: amount for w, amount in wants.items() if amount > 0}
        result: dict[str, dict[str, int]] = {t.name: {} for t in order}
        for target in order:
            room = target.slots
            if now_s < self._denied_until_s.get(target.name, 0.0):
                room = min(room, granted.get(target.name, 0))
            _fill(result[target.name], left, room)
        self._ask_everywhere(order, left, result)
        self._asked = {
            name: sum(part.values()) for name, part in result.items()
        }
        return result

    def _ask_everywhere(
        self,
        order: Sequence[TargetInfo],
        left: dict[str, int],
        result: dict[str, dict[str, int]],
    ) -> None:
        """Add what no target grants, evenly and up to each one's slots."""
        while left:
            before = sum(left.values())
            for target in order:
                part = result[target.name]
                for workspace in list(left):
                    if part.get(workspace, 0) < target.slots:
                        _move(part, left, workspace, 1)
            if sum(left.values()) == before:
                return

    def _rank(self, target: TargetInfo) -> tuple[int, bytes]:
        """Order by distance, and differently at each instance."""
        place = self._place
        distance = 2
        if target.region == place.region:
            distance = int(target.failure_domain != place.failure_domain)
        name = f"{place.instance}/{target.name}".encode()
        return distance, blake2b(name, digest_size=8).digest()


def _fill(part: dict[str, int], left: dict[str, int], room: int) -> None:
    """Move up to ``room`` units to a target, evenly over workspaces."""
    while room > 0 and left:
        for workspace in sorted(left):
            if room == 0:
                return
            _move(part, left, workspace, 1)
            room -= 1


def _move(
    part: dict[str, int], left: dict[str, int], workspace: str, amount: int
) -> None:
    part[workspace] = part.get(workspace, 0) + amount
    left[workspace] -= amount
    if left[workspace] == 0:
        del left[workspace]
