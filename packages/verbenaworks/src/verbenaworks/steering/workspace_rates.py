"""Keeps each workspace within its rate and burst over the whole fleet.

In any window, a workspace may send its rate times the window plus its burst.
Instances tell one another how many requests they have accepted in the window
that ends now. What is left of the limit is divided by demand, and each
instance accepts no more than its part until it hears of the others again.

An instance that is not heard counts as if it used an even share, so that
instances that cannot hear one another stay within the limit together. A
restarted instance counts as if it had used an even share before.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from verbenaworks.steering.usage_window import UsageWindow
from verbenaworks.steering.workspace_spec import WorkspaceSpec
from verbenaworks.steering.workspace_usage import WorkspaceUsage

# Demand is averaged over this time.
DEMAND_WINDOW_S = 2.0
# Part of the even share of demand that every instance is assumed to have, so
# that the first requests of a workspace there are not refused.
FLOOR_SHARE = 0.5
# A report that is older stands for an instance that cannot be heard.
SILENT_S = 1.5
# Demand below this is not worth reporting.
MIN_DEMAND_PER_S = 0.01


@dataclass(kw_only=True, slots=True)
class _Own:
    accepted: UsageWindow
    credit: float = 0.0
    demand_per_s: float = 0.0
    demand_at_s: float = 0.0


@dataclass(kw_only=True, slots=True)
class _Peer:
    incarnation: int
    heard_at_s: float
    usage: Mapping[str, WorkspaceUsage]


@dataclass(kw_only=True, slots=True)
class _Ended:
    """What an instance had accepted when it was last heard."""

    ended_at_s: float
    usage: Mapping[str, WorkspaceUsage] = field(default_factory=dict)


class WorkspaceRates:
    """This instance's part of the rates of all workspaces.

    :param instance: name of this instance.
    :param window_s: window in which requests are counted.
    :param now_s: time at which the instance starts.
    """

    def __init__(
        self, *, instance: str, window_s: float, now_s: float
    ) -> None:
        self._instance = instance
        self._window_s = window_s
        self._started_at_s = now_s
        self._members: frozenset[str] = frozenset({instance})
        self._specs: Mapping[str, WorkspaceSpec] = {}
        self._own: dict[str, _Own] = {}
        self._peers: dict[str, _Peer] = {}
        self._ended: list[_Ended] = []

    def set_workspaces(
        self, now_s: float, specs: Mapping[str, WorkspaceSpec]
    ) -> None:
        """Replace the workspaces; lower limits bind at once."""
        self._specs = specs
        for name in [n for n in self._own if n not in specs]:
            del self._own[name]
        for name in specs:
            self._use(name)
        self.divide(now_s)

    def set_members(self, now_s: float, names: Iterable[str]) -> None:
        """Replace the registered instances."""
        self._members = frozenset({*names, self._instance})
        for name in [n for n in self._peers if n not in self._members]:
            self._end(now_s, self._peers.pop(name))
        self.divide(now_s)

    def heard(
        self,
        now_s: float,
        peer: str,
        incarnation: int,
        usage: Mapping[str, WorkspaceUsage],
    ) -> None:
        """Enter another instance's report."""
        held = self._peers.get(peer)
        if held is not None and held.incarnation != incarnation:
            self._end(now_s, held)
        self._peers[peer] = _Peer(
            incarnation=incarnation, heard_at_s=now_s, usage=usage
        )

    def own_usage(self, now_s: float) -> dict[str, WorkspaceUsage]:
        """Return the report for other instances."""
        report = {}
        for name, own in self._own.items():
            demand_per_s = self._demand(now_s, own)
            count = own.accepted.count(now_s)
            if demand_per_s >= MIN_DEMAND_PER_S or count:
                report[name] = WorkspaceUsage(
                    count=count,
                    demand_per_s=round(demand_per_s, 1),
                    credit=round(own.credit, 1),
                )
        return report

    def divide(self, now_s: float) -> None:
        """Compute this instance's credits anew; call it regularly."""
        self._ended = [
            ended
            for ended in self._ended
            if now_s - ended.ended_at_s < self._window_s
        ]
        for name, spec in self._specs.items():
            own = self._use(name)
            limit = self._limit(spec)
            left = limit - self._used(now_s, name, spec, own)
            share = self._share(now_s, name, spec, own)
            own.credit = max(0.0, left) * share

    def take(self, now_s: float, workspace: str) -> bool:
        """Accept one request; false if it is over this instance's part."""
        spec = self._specs.get(workspace)
        if spec is None or spec.rate_per_s <= 0:
            return True
        own = self._use(workspace)
        own.demand_per_s = self._demand(now_s, own) + 1.0 / DEMAND_WINDOW_S
        own.demand_at_s = now_s
        if own.credit < 1.0:
            return False
        own.credit -= 1.0
        own.accepted.add(now_s)
        return True

    def give_back(self, now_s: float, workspace: str) -> None:
        """Return a request that did not run."""
        own = self._own.get(workspace)
        if own is not None:
            own.accepted.add(now_s, -1.0)
            own.credit += 1.0

    def retry_after_s(self, now_s: float, workspace: str) -> float:
        """Return the time until this instance's part has room."""
        spec = self._specs.get(workspace)
        if spec is None or spec.rate_per_s <= 0:
            return 0.0
        own = self._use(workspace)
        share = self._share(now_s, workspace, spec, own)
        return min(self._window_s, 1.0 / (share * spec.rate_per_s))

    def describe(self, now_s: float, workspace: str) -> str:
        """Return the figures behind a refusal."""
        spec = self._specs[workspace]
        own = self._use(workspace)
        return (
            f"limit {spec.rate_per_s:g}/s burst {spec.burst:g},"
            f" used {self._used(now_s, workspace, spec, own):.0f} in"
            f" {self._window_s:g} s, here {own.accepted.count(now_s):.0f},"
            f" demand here {self._demand(now_s, own):.1f}/s,"
            f" instances {len(self._members)}"
        )

    def _limit(self, spec: WorkspaceSpec) -> float:
        return spec.rate_per_s * self._window_s + spec.burst

    def _used(
        self, now_s: float, name: str, spec: WorkspaceSpec, own: _Own
    ) -> float:
        """Return what the fleet has probably accepted in the window."""
        even = self._limit(spec) / len(self._members)
        used = own.accepted.count(now_s)
        age_s = now_s - self._started_at_s
        used += even * max(0.0, 1.0 - age_s / self._window_s)
        for member in self._members:
            if member != self._instance:
                used += self._used_by(now_s, name, member, even)
        for ended in self._ended:
            usage = ended.usage.get(name)
            if usage is not None:
                gone = (now_s - ended.ended_at_s) / self._window_s
                used += usage.count * max(0.0, 1.0 - gone)
        return used

    def _used_by(
        self, now_s: float, name: str, member: str, even: float
    ) -> float:
        peer = self._peers.get(member)
        if peer is None:
            return even
        usage = peer.usage.get(name)
        age_s = now_s - peer.heard_at_s
        if age_s > SILENT_S:
            return max(even, usage.count if usage else 0.0)
        if usage is None:
            return 0.0
        growth_per_s = usage.demand_per_s - usage.count / self._window_s
        return usage.count + min(usage.credit, max(0.0, growth_per_s) * age_s)

    def _share(
        self, now_s: float, name: str, spec: WorkspaceSpec, own: _Own
    ) -> float:
        count = len(self._members)
        floor = FLOOR_SHARE * spec.rate_per_s / count
        weight = floor + min(self._demand(now_s, own), spec.rate_per_s)
        total = weight
        for member in self._members:
            if member == self._instance:
                continue
            peer = self._peers.get(member)
            usage = peer.usage.get(name) if peer else None
            demand_per_s = usage.demand_per_s if usage else 0.0
            total += floor + min(demand_per_s, spec.rate_per_s)
        return weight / total if total > 0 else 1.0 / count

    def _use(self, name: str) -> _Own:
        own = self._own.get(name)
        if own is None:
            own = self._own[name] = _Own(accepted=UsageWindow(self._window_s))
        return own

    def _end(self, now_s: float, peer: _Peer) -> None:
        self._ended.append(_Ended(ended_at_s=now_s, usage=peer.usage))

    def _demand(self, now_s: float, own: _Own) -> float:
        elapsed_s = max(0.0, now_s - own.demand_at_s)
        return own.demand_per_s * math.exp(-elapsed_s / DEMAND_WINDOW_S)
