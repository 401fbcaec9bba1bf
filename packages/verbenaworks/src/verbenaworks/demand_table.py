"""Demand of all clients for one quantity, and its division among them."""

import zlib
from collections import Counter
from collections.abc import Sequence
from typing import TypeVar

from verbenaworks.allocation_table import ClientKey
from verbenaworks.fair_share import fair_share
from verbenaworks.grant import WorkspaceAmount

_Item = TypeVar("_Item")

# Units that cannot be divided evenly move to other clients at this interval,
# so that no client goes without them forever. A unit that moves is idle until
# it has been returned and requested: 6 s instead of 2 s raised the goodput at
# three times the capacity from 0.77 to 0.79.
ROTATION_INTERVAL_S = 6.0

# A division among this many clients costs about as much CPU time as handling
# one request. With more clients, a result is reused for a while.
_MAX_CLIENTS_WITHOUT_REUSE = 32
_REUSE_S_PER_CLIENT = 1 / 1300


class DemandTable:
    """Divides a total among clients by their demand.

    Workspaces share by max-min fairness; the share of each workspace goes to
    clients in proportion to their demand for it. Three quarters of what
    remains are granted as a reserve for demand that grows between two
    requests; the owner keeps a quarter for clients that request more early.

    :param min_reserve: the reserve that even a small demand gets.
    :param name: the budget's name. It offsets the order in which units that
        cannot be divided evenly are granted, so that the budgets of one
        service do not all prefer the same workspaces at the same time.
    """

    def __init__(self, min_reserve: int, name: str = "") -> None:
        self._min_reserve = min_reserve
        self._rotation_offset = zlib.crc32(name.encode())
        self._demand: dict[ClientKey, tuple[WorkspaceAmount, ...]] = {}
        self._targets: dict[ClientKey, int] = {}
        self._workspace_amounts: dict[ClientKey, dict[str, int]] = {}
        self._shares: dict[tuple[ClientKey, str], int] = {}
        self._rotation = 0
        self._computed_at_s = float("-inf")
        self._total = -1
        self._changed = False

    def set_demand(
        self, client: ClientKey, items: Sequence[WorkspaceAmount]
    ) -> None:
        """Replace the demand of one client."""
        demand = tuple(item for item in items if item.amount > 0)
        if demand == self._demand.get(client, ()):
            return
        if demand:
            self._demand[client] = demand
        else:
            self._demand.pop(client, None)
        self._changed = True

    def forget(self, client: ClientKey) -> None:
        """Remove the demand of a client whose grants have expired."""
        self.set_demand(client, ())

    def divide(self, now_s: float, total: int, client: ClientKey) -> bool:
        """Bring the targets up to date; return whether they changed."""
        age_s = now_s - self._computed_at_s
        if total == self._total and age_s < ROTATION_INTERVAL_S:
            if not self._changed:
                return False
            count = len(self._demand)
            known = (client in self._targets) == (client in self._demand)
            if known and count > _MAX_CLIENTS_WITHOUT_REUSE:
                reuse_s = min(1.0, count * _REUSE_S_PER_CLIENT)
                if age_s < reuse_s:
                    return False
        self._compute(now_s, total)
        return True

    def targets(self) -> dict[ClientKey, int]:
        """Return the amount that each client should hold."""
        return self._targets

    def total_demand(self) -> int:
        """Return the sum of all demand."""
        return sum(
            item.amount for items in self._demand.values() for item in items
        )

    def target(self, client: ClientKey) -> int:
        """Return the amount that a client should hold."""
        return self._targets.get(client, 0)

    def workspace_amounts(
        self, client: ClientKey
    ) -> tuple[WorkspaceAmount, ...]:
        """Return a client's amounts by workspace.

        Empty unless several workspaces together demand more than the total.
        """
        workspace_amounts = self._workspace_amounts.get(client, {})
        return tuple(
            WorkspaceAmount(workspace=name, amount=amount)
            for name, amount in workspace_amounts.items()
        )

    def _compute(self, now_s: float, total: int) -> None:
        self._computed_at_s = now_s
        self._total = total
        self._changed = False
        demand_by_workspace: dict[str, list[tuple[ClientKey, int]]] = {}
        rotation = self._rotation_offset + int(now_s / ROTATION_INTERVAL_S)
        order = _rotated(list(self._demand), rotation)
        for client in order:
            for item in self._demand[client]:
                clients = demand_by_workspace.setdefault(item.workspace, [])
                clients.append((client, item.amount))
        names = _rotated(sorted(demand_by_workspace), rotation)
        totals = {
            name: sum(amount for _, amount in demand_by_workspace[name])
            for name in names
        }
        # Units that cannot be divided evenly go to small workspaces first,
        # because these request units from few budgets and large ones from
        # all. They go next to workspaces that already hold them, because a
        # unit that moves is idle in the meantime.
        even_share = total // max(1, len(names))
        previous_shares = self._shares if rotation == self._rotation else {}
        held: Counter[str] = Counter()
        for (_, name), amount in previous_shares.items():
            held[name] += amount
        names.sort(
            key=lambda name: (
                totals[name] > 2 * (even_share + 1),
                held[name] <= even_share,
            )
        )
        demands = [totals[name] for name in names]
        shares = fair_share(total, demands)
        scarce = sum(demands) > total
        self._targets = dict.fromkeys(order, 0)
        self._rotation = rotation
        self._shares = {}
        self._workspace_amounts = {}
        for name, share in zip(names, shares, strict=True):
            clients = demand_by_workspace[name]
            if share < totals[name]:
                # Clients that hold an undivided unit keep it.
                clients.sort(
                    key=lambda client_demand: (
                        previous_shares.get((client_demand[0], name), 0)
                        <= share * client_demand[1] // totals[name]
                    )
                )
            client_demands = [amount for _, amount in clients]
            amounts = fair_share(share, client_demands, client_demands)
            for (client, _), amount in zip(clients, amounts, strict=True):
                self._targets[client] += amount
                self._shares[client, name] = amount
                if scarce and len(names) > 1:
                    self._workspace_amounts.setdefault(client, {})[name] = (
                        amount
                    )
        remaining = total - sum(shares)
        self._add_reserve(remaining - remaining // 4, order)

    def _add_reserve(self, total: int, order: list[ClientKey]) -> None:
        reserves = [
            sum(item.amount for item in self._demand[client]) // 2
            + self._min_reserve
            for client in order
        ]
        shares = fair_share(total, reserves, reserves)
        for client, share in zip(order, shares, strict=True):
            self._targets[client] += share


def _rotated(items: list[_Item], offset: int) -> list[_Item]:
    if not items:
        return items
    start = offset % len(items)
    return items[start:] + items[:start]
