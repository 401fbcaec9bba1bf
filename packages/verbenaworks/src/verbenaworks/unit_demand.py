"""How many units an instance should hold for one service.

The number follows the offered load (arrival rate times service time) instead
of the current number of requests. A unit that moves between instances is
idle in the meantime, so following every variation would lose more units than
it gains. A reserve that grows with the square root of the offered load covers
the variation.
"""

from math import ceil, exp, sqrt

_RATE_TIME_CONSTANT_S = 3.0
# Multiplies the square root of the offered load. 0.5 to 1.5 behave much alike;
# a larger factor leaves units idle near capacity.
_RESERVE_FACTOR = 0.5
# The load of a small workspace varies more in relation to its mean. This
# factor gives it more of the total than in proportion to its load.
_SMALL_WORKSPACE_FACTOR = 0.3
# Time in which the units should drain a backlog.
_BACKLOG_DRAIN_S = 1.0
# An instance keeps one unit for this long after its last request.
_KEEP_ONE_UNIT_S = 30.0
# A smaller offered load counts as none.
_MIN_OFFERED_LOAD = 0.01


class _Demand:
    __slots__ = ("busy", "rate_per_s", "waiting")

    def __init__(self) -> None:
        self.rate_per_s = 0.0
        self.waiting = 0
        self.busy = 0


class UnitDemand:
    """Demand for units by workspace."""

    def __init__(self) -> None:
        self._demands: dict[str, _Demand] = {}
        self._decayed_at_s = 0.0
        self._last_arrival_s = float("-inf")
        self._total = 0

    def record_arrival(self, now_s: float, workspace: str) -> None:
        """Record the arrival of a request."""
        self._decay(now_s)
        self._last_arrival_s = now_s
        demand = self._demands.setdefault(workspace, _Demand())
        demand.rate_per_s += 1.0 / _RATE_TIME_CONSTANT_S

    def set_requests(self, workspace: str, in_use: int, waiting: int) -> None:
        """Record the running and waiting requests of a workspace."""
        demand = self._demands.setdefault(workspace, _Demand())
        demand.waiting = waiting
        demand.busy = in_use + waiting

    def units(
        self, now_s: float, service_time_s: float | None
    ) -> dict[str, int]:
        """Return the units to request; zero for idle workspaces.

        :param service_time_s: how long a request usually uses a unit, if
            known.
        """
        self._decay(now_s)
        loads = {
            workspace: self._offered_load(demand, service_time_s)
            for workspace, demand in self._demands.items()
        }
        offered_load = sum(loads.values())
        if offered_load < _MIN_OFFERED_LOAD:
            offered_load = 0.0
        wanted = offered_load + _RESERVE_FACTOR * sqrt(offered_load)
        if now_s - self._last_arrival_s < _KEEP_ONE_UNIT_S:
            wanted = max(wanted, 1.0)
        # A change of less than a unit is not worth moving one.
        if not self._total - 1.0 <= wanted <= self._total:
            self._total = ceil(wanted)
        shares = {
            w: n + _SMALL_WORKSPACE_FACTOR * sqrt(n) for w, n in loads.items()
        }
        units = _divide_by_largest_remainder(self._total, shares)
        for workspace, amount in units.items():
            demand = self._demands[workspace]
            if (
                amount == 0
                and demand.busy == 0
                and loads[workspace] < _MIN_OFFERED_LOAD
            ):
                del self._demands[workspace]
        return units

    def _offered_load(
        self, demand: _Demand, service_time_s: float | None
    ) -> float:
        if service_time_s is None:
            return float(demand.busy)
        backlog = demand.waiting * service_time_s / _BACKLOG_DRAIN_S
        return demand.rate_per_s * service_time_s + backlog

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._decayed_at_s
        if elapsed_s <= 0:
            return
        self._decayed_at_s = now_s
        decay_factor = exp(-elapsed_s / _RATE_TIME_CONSTANT_S)
        for demand in self._demands.values():
            demand.rate_per_s *= decay_factor


def _divide_by_largest_remainder(
    total: int, loads: dict[str, float]
) -> dict[str, int]:
    """Divide ``total`` in proportion to the loads by largest remainder."""
    load_sum = sum(loads.values())
    if not loads:
        return {}
    if load_sum <= 0.0:
        first = min(loads)
        return {w: total if w == first else 0 for w in loads}
    exact_amounts = {w: total * load / load_sum for w, load in loads.items()}
    parts = {w: int(amount) for w, amount in exact_amounts.items()}
    remaining = total - sum(parts.values())
    for workspace in sorted(
        exact_amounts, key=lambda w: (parts[w] - exact_amounts[w], w)
    ):
        if remaining <= 0:
            break
        parts[workspace] += 1
        remaining -= 1
    return parts
