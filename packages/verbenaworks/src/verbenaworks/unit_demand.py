"""How many units an instance should hold for one service.

The amount follows the offered load, that is the rate of arrivals times the
service time, and not the number of requests at the moment: each unit that
moves between instances is idle meanwhile, so amounts that follow every
variation cost more units than they bring. A reserve that grows with the
square root of the offered load covers the variation.
"""

from math import ceil, exp, sqrt

_MEMORY_S = 3.0
# Trials with 0.5 to 1.5 differ little; more idles units near capacity.
_RESERVE = 0.5
# Small workspaces vary more in relation to their load. This gives them more
# of the total than their part of the load.
_SMALL = 0.3
# Time in which a backlog should be worked off.
_BACKLOG_S = 1.0
# An instance without requests keeps one unit for this long.
_KEEP_ONE_S = 30.0
# Less offered load than this is none.
_IDLE = 0.01


class _Demand:
    __slots__ = ("busy", "rate_per_s", "waiting")

    def __init__(self) -> None:
        self.rate_per_s = 0.0
        self.waiting = 0
        self.busy = 0


class UnitDemand:
    """Wanted units per workspace."""

    def __init__(self) -> None:
        self._demands: dict[str, _Demand] = {}
        self._at_s = 0.0
        self._arrived_s = float("-inf")
        self._total = 0

    def arrived(self, now_s: float, workspace: str) -> None:
        """Count the arrival of a request."""
        self._age(now_s)
        self._arrived_s = now_s
        demand = self._demands.setdefault(workspace, _Demand())
        demand.rate_per_s += 1.0 / _MEMORY_S

    def set_busy(self, workspace: str, in_use: int, waiting: int) -> None:
        """Record the requests of a workspace that run and that wait."""
        demand = self._demands.setdefault(workspace, _Demand())
        demand.waiting = waiting
        demand.busy = in_use + waiting

    def amounts(self, now_s: float, hold_s: float | None) -> dict[str, int]:
        """Return the units to ask for; zero for idle workspaces.

        :param hold_s: the usual time that a request holds a unit, if known.
        """
        self._age(now_s)
        loads = {
            workspace: self._load(demand, hold_s)
            for workspace, demand in self._demands.items()
        }
        offered = sum(loads.values())
        if offered < _IDLE:
            offered = 0.0
        wanted = offered + _RESERVE * sqrt(offered)
        if now_s - self._arrived_s < _KEEP_ONE_S:
            wanted = max(wanted, 1.0)
        # A change of less than a unit is not worth a move.
        if not self._total - 1.0 <= wanted <= self._total:
            self._total = ceil(wanted)
        shares = {w: n + _SMALL * sqrt(n) for w, n in loads.items()}
        amounts = _whole_parts(self._total, shares)
        for workspace, amount in amounts.items():
            demand = self._demands[workspace]
            if amount == 0 and demand.busy == 0 and loads[workspace] < _IDLE:
                del self._demands[workspace]
        return amounts

    def _load(self, demand: _Demand, hold_s: float | None) -> float:
        if hold_s is None:
            return float(demand.busy)
        backlog = demand.waiting * hold_s / _BACKLOG_S
        return demand.rate_per_s * hold_s + backlog

    def _age(self, now_s: float) -> None:
        elapsed_s = now_s - self._at_s
        if elapsed_s <= 0:
            return
        self._at_s = now_s
        kept = exp(-elapsed_s / _MEMORY_S)
        for demand in self._demands.values():
            demand.rate_per_s *= kept


def _whole_parts(total: int, loads: dict[str, float]) -> dict[str, int]:
    """Divide ``total`` in proportion to the loads by largest remainder."""
    sum_of_loads = sum(loads.values())
    if not loads:
        return {}
    if sum_of_loads <= 0.0:
        first = min(loads)
        return {w: total if w == first else 0 for w in loads}
    exact = {w: total * load / sum_of_loads for w, load in loads.items()}
    parts = {w: int(amount) for w, amount in exact.items()}
    rest = total - sum(parts.values())
    for workspace in sorted(exact, key=lambda w: (parts[w] - exact[w], w)):
        if rest <= 0:
            break
        parts[workspace] += 1
        rest -= 1
    return parts
