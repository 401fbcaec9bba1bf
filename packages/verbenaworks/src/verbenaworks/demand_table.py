"""The owner's view of who wants how much, and the resulting division."""

import zlib
from collections import Counter
from collections.abc import Sequence
from typing import TypeVar

from verbenaworks.fair_share import fair_share
from verbenaworks.grant import WorkspaceAmount
from verbenaworks.holding_book import Holder

_Item = TypeVar("_Item")

# Indivisible units move on to the next takers at this interval, so that no
# taker is left without them for good. A unit that moves is idle until it has
# been returned and asked for: 6 s in place of 2 s raised the goodput at three
# times capacity from 0.77 to 0.79.
ROTATE_S = 6.0

# A division over this many takers costs about as much as one exchange; with
# more takers it is reused for a while.
_SMALL = 32
_REUSE_S_PER_HOLDER = 1 / 1300


class DemandTable:
    """Divides a total by the wants of the takers.

    Workspaces share by max-min fairness; the part of each workspace goes to
    takers in proportion to their demand of it. Three quarters of what remains
    are handed out as a reserve for demand that grows between two exchanges;
    the owner keeps a quarter for takers that ask for more at once.

    :param spare: the reserve that even a small demand gets.
    :param name: the budget's name. It shifts the order in which units that
        cannot be divided are handed out, so that the budgets of one service
        do not all prefer the same workspaces at the same time.
    """

    def __init__(self, spare: int, name: str = "") -> None:
        self._spare = spare
        self._offset = zlib.crc32(name.encode())
        self._wants: dict[Holder, tuple[WorkspaceAmount, ...]] = {}
        self._targets: dict[Holder, int] = {}
        self._parts: dict[Holder, dict[str, int]] = {}
        self._shares: dict[tuple[Holder, str], int] = {}
        self._turn = 0
        self._computed_at_s = float("-inf")
        self._total = -1
        self._changed = False

    def set_wants(
        self, holder: Holder, wants: Sequence[WorkspaceAmount]
    ) -> None:
        """Replace the wants of one taker."""
        wanted = tuple(want for want in wants if want.amount > 0)
        if wanted == self._wants.get(holder, ()):
            return
        if wanted:
            self._wants[holder] = wanted
        else:
            self._wants.pop(holder, None)
        self._changed = True

    def forget(self, holder: Holder) -> None:
        """Drop the wants of a taker that was not heard of."""
        self.set_wants(holder, ())

    def divide(self, now_s: float, total: int, holder: Holder) -> bool:
        """Bring the targets up to date; return whether they changed."""
        age_s = now_s - self._computed_at_s
        if total == self._total and age_s < ROTATE_S:
            if not self._changed:
                return False
            count = len(self._wants)
            known = (holder in self._targets) == (holder in self._wants)
            if known and count > _SMALL:
                reuse_s = min(1.0, count * _REUSE_S_PER_HOLDER)
                if age_s < reuse_s:
                    return False
        self._compute(now_s, total)
        return True

    def targets(self) -> dict[Holder, int]:
        """Return the amount that each taker should hold."""
        return self._targets

    def wanted(self) -> int:
        """Return what all takers want together."""
        return sum(
            want.amount for wants in self._wants.values() for want in wants
        )

    def target(self, holder: Holder) -> int:
        """Return the amount that a taker should hold."""
        return self._targets.get(holder, 0)

    def parts(self, holder: Holder) -> tuple[WorkspaceAmount, ...]:
        """Return a taker's amounts by workspace.

        Empty unless several workspaces want more than there is.
        """
        parts = self._parts.get(holder, {})
        return tuple(
            WorkspaceAmount(workspace=name, amount=amount)
            for name, amount in parts.items()
        )

    def _compute(self, now_s: float, total: int) -> None:
        self._computed_at_s = now_s
        self._total = total
        self._changed = False
        demand: dict[str, list[tuple[Holder, int]]] = {}
        turn = self._offset + int(now_s / ROTATE_S)
        order = _rotated(list(self._wants), turn)
        for holder in order:
            for want in self._wants[holder]:
                takers = demand.setdefault(want.workspace, [])
                takers.append((holder, want.amount))
        names = _rotated(sorted(demand), turn)
        totals = {
            name: sum(amount for _, amount in demand[name]) for name in names
        }
        # Units that cannot be divided go to small demands first, because
        # they ask at few budgets and large ones at all, and then to those
        # that have them: a unit that moves is idle meanwhile.
        least = total // max(1, len(names))
        before = self._shares if turn == self._turn else {}
        held: Counter[str] = Counter()
        for (_, name), amount in before.items():
            held[name] += amount
        names.sort(
            key=lambda name: (
                totals[name] > 2 * (least + 1),
                held[name] <= least,
            )
        )
        sums = [totals[name] for name in names]
        shares = fair_share(total, sums)
        scarce = sum(sums) > total
        self._targets = dict.fromkeys(order, 0)
        self._turn = turn
        self._shares = {}
        self._parts = {}
        for name, share in zip(names, shares, strict=True):
            takers = demand[name]
            if share < totals[name]:
                # The same takers keep the units that cannot be divided.
                takers.sort(
                    key=lambda taker: (
                        before.get((taker[0], name), 0)
                        <= share * taker[1] // totals[name]
                    )
                )
            wants = [amount for _, amount in takers]
            amounts = fair_share(share, wants, wants)
            for (holder, _), amount in zip(takers, amounts, strict=True):
                self._targets[holder] += amount
                self._shares[holder, name] = amount
                if scarce and len(names) > 1:
                    self._parts.setdefault(holder, {})[name] = amount
        left = total - sum(shares)
        self._add_reserve(left - left // 4, order)

    def _add_reserve(self, total: int, order: list[Holder]) -> None:
        reserves = [
            sum(want.amount for want in self._wants[holder]) // 2 + self._spare
            for holder in order
        ]
        shares = fair_share(total, reserves, reserves)
        for holder, share in zip(order, shares, strict=True):
            self._targets[holder] += share


def _rotated(items: list[_Item], by: int) -> list[_Item]:
    if not items:
        return items
    start = by % len(items)
    return items[start:] + items[:start]
