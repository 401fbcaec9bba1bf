"""Keeps each workspace within its rate and burst over the whole fleet.

In any window, a workspace may send its rate times the window plus its burst.
Each instance tells the others how many requests it has accepted in the window
that ends now and its credit: how many more it may accept. What neither counts
nor credits use up is divided by demand; an instance whose credit is above its
part gives the excess up first, and the others take it when they hear of that.

An instance that is not heard counts as if it used an even share, so that
instances that cannot hear one another stay within the limit together. A
restarted instance counts as if it had used an even share before.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from verbenaworks.steering.usage_window import UsageWindow
from verbenaworks.steering.workspace_spec import WorkspaceSpec
from verbenaworks.steering.workspace_usage import WorkspaceUsage

# Demand is averaged over this time.
DEMAND_WINDOW_S = 3.0
# Part of the even share of demand that every instance is assumed to have, so
# that the first requests of a workspace there are not refused.
FLOOR_SHARE = 1.0
# So long after a restart nothing is known of the demand.
UNKNOWN_DEMAND_S = 0.5
# Part of its limit that a workspace uses which does not exceed its rate.
USUAL_SHARE = 0.6
# An instance of which so many reports in a row are missing cannot be heard.
SILENT_PERIODS = 2.5
# Demand below this is not worth reporting.
MIN_DEMAND_PER_S = 0.01
_NO_USAGE = WorkspaceUsage(count=0.0, demand_per_s=0.0, credit=0.0)


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
    """What a run had used when it was last heard, by workspace."""

    ended_at_s: float
    used: Mapping[str, float]


class WorkspaceRates:
    """This instance's part of the rates of all workspaces.

    :param instance: name of this instance.
    :param window_s: window in which requests are counted.
    :param period_s: time between two reports of one instance.
    """

    def __init__(
        self, *, instance: str, window_s: float, period_s: float
    ) -> None:
        self.set_period(period_s)
        self._instance = instance
        self._window_s = window_s
        self._restarted_at_s = float("-inf")
        self._members: frozenset[str] = frozenset({instance})
        self._specs: Mapping[str, WorkspaceSpec] = {}
        self._own: dict[str, _Own] = {}
        self._peers: dict[str, _Peer] = {}
        self._ended: list[_Ended] = []

    def set_period(self, period_s: float) -> None:
        """Set the time between two reports of one instance."""
        self._silent_s = SILENT_PERIODS * period_s

    def restarted(self, now_s: float) -> None:
        """Enter that another run under this name ended a moment ago."""
        self._restarted_at_s = now_s

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
            # The new run counts an even share itself.
            self._end(now_s, held, counted_share=1.0)
        self._peers[peer] = _Peer(
            incarnation=incarnation, heard_at_s=now_s, usage=usage
        )

    def own_usage(self, now_s: float) -> dict[str, WorkspaceUsage]:
        """Return the report for other instances."""
        report = {}
        for name, own in self._own.items():
            demand_per_s = self._demand(now_s, own)
            count = own.accepted.count(now_s)
            count += self._debt(now_s, self._specs[name])
            if demand_per_s >= MIN_DEMAND_PER_S or count or own.credit:
                report[name] = WorkspaceUsage(
                    count=round(count, 1),
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
            if spec.rate_per_s > 0:
                self._divide(now_s, name, spec)

    def _divide(self, now_s: float, name: str, spec: WorkspaceSpec) -> None:
        own = self._use(name)
        counted, credits = self._used(now_s, name, spec, own)
        left = max(0.0, self._limit(spec) - counted)
        free = left - credits - own.credit
        weight = self._weight(spec, self._demand(now_s, own))
        peers = [
            (self._weight(spec, usage.demand_per_s), usage.credit)
            for usage in self._usages(now_s, name)
        ]
        total = weight + sum(held for held, _ in peers)
        part = left * weight / total
        if free < 0:
            # Credits that were taken at the same time are too many.
            own.credit += free * weight / total
        elif own.credit < part:
            missing = part - own.credit
            others = sum(
                max(0.0, left * held / total - credit)
                for held, credit in peers
            )
            own.credit += min(missing, free * missing / (missing + others))
        own.credit = max(0.0, min(own.credit, part))

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
        # The requests that fill the window leave it at about this rate.
        even_per_s = spec.rate_per_s / len(self._members)
        return min(self._window_s / 2, 1.0 / even_per_s)

    def describe(self, now_s: float, workspace: str) -> str:
        """Return the figures behind a refusal."""
        spec = self._specs[workspace]
        own = self._use(workspace)
        counted, credits = self._used(now_s, workspace, spec, own)
        return (
            f"limit {spec.rate_per_s:g}/s burst {spec.burst:g},"
            f" used {counted:.0f} in {self._window_s:g} s,"
            f" here {own.accepted.count(now_s):.0f},"
            f" credits of others {credits:.0f},"
            f" demand here {self._demand(now_s, own):.1f}/s,"
            f" instances {len(self._members)}"
        )

    def _limit(self, spec: WorkspaceSpec) -> float:
        return spec.rate_per_s * self._window_s + spec.burst

    def _used(
        self, now_s: float, name: str, spec: WorkspaceSpec, own: _Own
    ) -> tuple[float, float]:
        """Return the fleet's count in the window and the others' credits."""
        even = self._limit(spec) / len(self._members)
        counted = own.accepted.count(now_s) + self._debt(now_s, spec)
        is_hot = self._is_hot(now_s, spec)
        credits = 0.0
        for member in self._members:
            if member == self._instance:
                continue
            peer = self._peers.get(member)
            usage = peer.usage.get(name) if peer else None
            if peer is None or now_s - peer.heard_at_s > self._silent_s:
                known = usage.count + usage.credit if usage else 0.0
                counted += max(even, known)
            elif usage is not None:
                counted += usage.count
                credits += usage.credit
        for ended in self._ended:
            age_s = now_s - ended.ended_at_s
            left = self._left_share(age_s, is_hot)
            counted += ended.used.get(name, 0.0) * left
        return counted, credits

    def _weight(self, spec: WorkspaceSpec, demand_per_s: float) -> float:
        floor = FLOOR_SHARE * spec.rate_per_s / len(self._members)
        return floor + min(demand_per_s, spec.rate_per_s)

    def _usages(self, now_s: float, name: str) -> list[WorkspaceUsage]:
        """Return the reports of the instances that are heard."""
        usages = []
        for peer in self._peers.values():
            if now_s - peer.heard_at_s <= self._silent_s:
                usages.append(peer.usage.get(name, _NO_USAGE))
        return usages

    def _use(self, name: str) -> _Own:
        own = self._own.get(name)
        if own is None:
            own = self._own[name] = _Own(accepted=UsageWindow(self._window_s))
        return own

    def _debt(self, now_s: float, spec: WorkspaceSpec) -> float:
        """Return what an earlier run may have used of the window."""
        age_s = now_s - self._restarted_at_s
        if age_s >= self._window_s:
            return 0.0
        even = self._limit(spec) / len(self._members)
        return even * self._left_share(age_s, self._is_hot(now_s, spec))

    def _left_share(self, age_s: float, is_hot: bool) -> float:
        """Return how much of what was used ``age_s`` ago still counts.

        A workspace within its rate uses it evenly. One that sends more may
        have used all of it in the last moment.
        """
        if age_s >= self._window_s:
            return 0.0
        if is_hot:
            return 1.0
        return USUAL_SHARE * (1.0 - age_s / self._window_s)

    def _is_hot(self, now_s: float, spec: WorkspaceSpec) -> bool:
        if now_s - self._restarted_at_s < UNKNOWN_DEMAND_S:
            return True
        demand_per_s = self._demand(now_s, self._use(spec.name))
        for usage in self._usages(now_s, spec.name):
            demand_per_s += usage.demand_per_s
        return demand_per_s > spec.rate_per_s

    def _end(
        self, now_s: float, peer: _Peer, counted_share: float = 0.0
    ) -> None:
        """Remember what a run has used.

        :param counted_share: even shares that are counted elsewhere.
        """
        used = {}
        for name, usage in peer.usage.items():
            spec = self._specs.get(name)
            if spec is None:
                continue
            even = self._limit(spec) / len(self._members)
            left = usage.count + usage.credit - counted_share * even
            if left > 0:
                used[name] = left
        self._ended.append(_Ended(ended_at_s=now_s, used=used))

    def _demand(self, now_s: float, own: _Own) -> float:
        elapsed_s = max(0.0, now_s - own.demand_at_s)
        return own.demand_per_s * math.exp(-elapsed_s / DEMAND_WINDOW_S)
