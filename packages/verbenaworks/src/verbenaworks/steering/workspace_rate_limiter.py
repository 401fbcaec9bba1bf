"""Keeps each workspace within its rate and burst over the whole fleet.

In any window, a workspace may send its rate times the window plus its burst.
Each instance tells the others a few times a second how many requests it has
accepted. Far below the limit, that is enough: a request is accepted on what is
known. Nearer to it, the keeper of the workspace is told of each request at
once, and tells how many all instances have accepted. Close to it, the keeper
decides. Every instance can be keeper, because all of them count.

The keeper is the first of the heard instances in the workspace's rendezvous
order. An instance whose reports are late counts as if it went on as before,
and one that is not heard as if it used an even share, so that instances that
cannot hear one another stay within the limit together.

A restarted instance does not know what the run before it had used. Workspaces
that come near their limit are marked in the platform's store, with what they
have used; the others count as if most of the limit was used evenly.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from verbenaworks.steering.admission import Admission
from verbenaworks.steering.rate_ledger import RateLedger
from verbenaworks.steering.rate_messages import RateAnswer, RateNotice
from verbenaworks.steering.rendezvous import first_by_rendezvous
from verbenaworks.steering.usage_checkpoint import (
    UsageCheckpoint,
    make_checkpoint,
)
from verbenaworks.steering.usage_window import UsageWindow
from verbenaworks.steering.workspace_spec import WorkspaceSpec
from verbenaworks.steering.workspace_usage import WorkspaceUsage

# Demand is averaged over this time.
DEMAND_WINDOW_S = 3.0
# Most of its limit that a workspace uses which is not marked.
UNMARKED_SHARE = 0.8
# Parts of the limit from which on a workspace is marked, and below which the
# mark is taken back.
MARKED_SHARE = 0.85
CALM_SHARE = 0.7
# Marks that are read this soon after the registration of the run before come
# from the same snapshot; later ones tell of the new runs.
SAME_SNAPSHOT_S = 0.1
# Smaller limits cannot be exceeded by more than the users tolerate.
MIN_MARKED_LIMIT = 25.0
# After so many periods without a report, it is late, and the instance cannot
# be heard.
LATE_PERIODS = 1.25
SILENT_PERIODS = 2.5
# What others accept is known after this many periods on average.
UNSEEN_PERIODS = 1.0
# Parts of the limit up to which reports suffice, and from which on the
# keeper decides.
REPORTED_SHARE = 0.6
DECIDED_SHARE = 0.85
# So many own requests in a period more than the fleet's mean may be chance;
# each further one is assumed to have come to every other instance too.
CHANCE_REQUESTS = 2.0
# What a keeper said is used for this long.
ANSWER_LASTS_S = 0.5
# Time for an answer to arrive.
ANSWER_TAKES_S = 0.03
# After a refusal the keeper is not asked again for this long.
REFUSED_LASTS_S = 0.05
# Demand below this is not worth reporting.
MIN_DEMAND_PER_S = 0.01


@dataclass(kw_only=True, slots=True)
class _Own:
    accepted: UsageWindow
    total: int = 0
    # Total that the others or the keeper were told.
    told: int = 0
    demand_per_s: float = 0.0
    demand_at_s: float = 0.0
    refused_until_s: float = float("-inf")


@dataclass(kw_only=True, slots=True)
class _Known:
    """What is known of a workspace's use over all instances.

    :ivar answered_at_s: when the keeper has told it.
    """

    used: float = 0.0
    demand_per_s: float = 0.0
    answered_at_s: float = float("-inf")


@dataclass(kw_only=True, slots=True)
class _Peer:
    incarnation: int
    heard_at_s: float


@dataclass(kw_only=True, slots=True)
class _Use:
    """All that is known of one workspace."""

    ledger: RateLedger
    own: _Own
    known: _Known = field(default_factory=_Known)


class WorkspaceRateLimiter:
    """This instance's part of the rates of all workspaces.

    :param instance: name of this instance.
    :param incarnation: of this instance.
    :param window_s: window in which requests are counted.
    :param period_s: time between two reports of one instance.
    """

    def __init__(
        self,
        *,
        instance: str,
        incarnation: int,
        window_s: float,
        period_s: float,
    ) -> None:
        self.set_report_period(period_s)
        self._instance = instance
        self._incarnation = incarnation
        self._window_s = window_s
        self._restarted_at_s = float("-inf")
        self._members: frozenset[str] = frozenset({instance})
        self._specs: Mapping[str, WorkspaceSpec] = {}
        self._uses: dict[str, _Use] = {}
        self._peers: dict[str, _Peer] = {}
        self._keepers: dict[str, str] = {}
        self._heard: frozenset[str] = frozenset({instance})
        self._numbers = 0
        self._marks: dict[str, UsageCheckpoint] = {}
        # Marks of the runs before, which end with their leases.
        self._marks_before: dict[str, UsageCheckpoint] = {}
        self._calm_since_s: dict[str, float] = {}

    def set_report_period(self, period_s: float) -> None:
        """Set the time between two reports of one instance."""
        self._late_s = LATE_PERIODS * period_s
        self._silent_s = SILENT_PERIODS * period_s
        self._unseen_s = UNSEEN_PERIODS * period_s

    def record_restart(self, now_s: float) -> None:
        """Enter that another run under this name ended a moment ago."""
        self._restarted_at_s = now_s
        self._marks_before.update(self._marks)

    def set_checkpoint(
        self, now_s: float, workspace: str, mark: UsageCheckpoint | None
    ) -> None:
        """Enter the mark of a workspace in the store; none if removed."""
        if mark is None:
            self._marks.pop(workspace, None)
            return
        self._marks[workspace] = mark
        if now_s - self._restarted_at_s < SAME_SNAPSHOT_S:
            self._marks_before[workspace] = mark

    def due_checkpoints(
        self, now_s: float
    ) -> dict[str, UsageCheckpoint | None]:
        """Return the marks to write, and none for those to take back."""
        due: dict[str, UsageCheckpoint | None] = {}
        for name, spec in self._specs.items():
            limit = self._limit(spec)
            if limit < MIN_MARKED_LIMIT:
                continue
            if self.coordinator_of(name) != self._instance:
                continue
            use = self._use(name)
            used = use.own.accepted.count(now_s) + use.ledger.counted(now_s)
            if used > CALM_SHARE * limit:
                self._calm_since_s.pop(name, None)
            if used > MARKED_SHARE * limit:
                due[name] = make_checkpoint(
                    use.own.accepted.ages(now_s) + use.ledger.ages(now_s)
                )
            elif used <= CALM_SHARE * limit and name in self._marks:
                since_s = self._calm_since_s.setdefault(name, now_s)
                if now_s - since_s > self._window_s:
                    due[name] = None
        return due

    def set_workspaces(
        self, now_s: float, specs: Mapping[str, WorkspaceSpec]
    ) -> None:
        """Replace the workspaces; lower limits bind at once."""
        self._specs = specs
        for name in [n for n in self._uses if n not in specs]:
            del self._uses[name]
        for name in specs:
            self._use(name)
        self._keepers.clear()
        self.refresh(now_s)

    def set_members(self, now_s: float, names: Iterable[str]) -> None:
        """Replace the instances that may use the rates."""
        self._members = frozenset({*names, self._instance})
        for name in [n for n in self._peers if n not in self._members]:
            del self._peers[name]
            for use in self._uses.values():
                use.ledger.end(name)
        self.refresh(now_s)

    def record_report(
        self,
        now_s: float,
        peer: str,
        incarnation: int,
        usage: Mapping[str, WorkspaceUsage],
    ) -> None:
        """Enter another instance's report."""
        held = self._peers.get(peer)
        if held is None or held.incarnation != incarnation:
            held = self._peers[peer] = _Peer(
                incarnation=incarnation, heard_at_s=now_s
            )
        held.heard_at_s = now_s
        for name, told in usage.items():
            use = self._uses.get(name)
            if use is not None:
                use.ledger.note(
                    now_s, peer, incarnation, told.total, told.count
                )
                use.ledger.set_demand(peer, told.demand_per_s, told.debt)

    def local_usage(self, now_s: float) -> dict[str, WorkspaceUsage]:
        """Return the report for other instances."""
        report = {}
        for name, use in self._uses.items():
            own = use.own
            own.told = own.total
            demand_per_s = self._demand(now_s, own)
            count = own.accepted.count(now_s)
            debt = self._debt(now_s, self._specs[name])
            if demand_per_s >= MIN_DEMAND_PER_S or count or debt:
                report[name] = WorkspaceUsage(
                    total=own.total,
                    count=round(count),
                    debt=round(debt, 1),
                    demand_per_s=round(demand_per_s, 2),
                )
        return report

    def refresh(self, now_s: float) -> None:
        """Compute anew who is heard and what is used; call it regularly."""
        heard = frozenset(
            name
            for name, peer in self._peers.items()
            if now_s - peer.heard_at_s <= self._silent_s
        ) | {self._instance}
        if heard != self._heard:
            self._heard = heard
            self._keepers.clear()
        for name, spec in self._specs.items():
            if spec.rate_per_s > 0:
                use = self._use(name)
                use.known.demand_per_s = self._fleet_demand(now_s, use)
                used = self._used(now_s, spec, use)
                if now_s - use.known.answered_at_s <= ANSWER_LASTS_S:
                    used = max(used, use.known.used)
                use.known.used = used

    def admit(self, now_s: float, workspace: str) -> Admission:
        """Decide on a request, and count it where it is accepted."""
        spec = self._specs.get(workspace)
        if spec is None or spec.rate_per_s <= 0:
            return Admission.ACCEPTED
        use = self._use(workspace)
        own = use.own
        own.demand_per_s = self._demand(now_s, own) + 1.0 / DEMAND_WINDOW_S
        own.demand_at_s = now_s
        limit = self._limit(spec)
        if self.coordinator_of(workspace) == self._instance:
            if self._used(now_s, spec, use) + 1.0 > limit:
                return Admission.REFUSED
            self.record_accepted(now_s, workspace)
            return Admission.ACCEPTED
        expected = use.known.used + self._unseen(now_s, use) + 1.0
        if expected > DECIDED_SHARE * limit:
            if now_s < own.refused_until_s:
                return Admission.REFUSED
            return Admission.ASK_COORDINATOR
        self.record_accepted(now_s, workspace)
        if expected > REPORTED_SHARE * limit or self._excess(use) > 0:
            return Admission.ACCEPTED_AND_NOTIFY
        return Admission.ACCEPTED

    def record_accepted(self, now_s: float, workspace: str) -> None:
        """Count an own request."""
        use = self._uses.get(workspace)
        if use is None:
            return
        use.own.accepted.add(now_s)
        use.own.total += 1
        use.known.used += 1.0

    def refund(self, now_s: float, workspace: str) -> None:
        """Return a request that did not run."""
        use = self._uses.get(workspace)
        if use is not None:
            use.own.accepted.add(now_s, -1.0)
            use.own.total -= 1
            use.known.used -= 1.0

    def coordinator_of(self, workspace: str) -> str:
        """Return the instance that decides near the limit."""
        keeper = self._keepers.get(workspace)
        if keeper is None:
            keeper = first_by_rendezvous(workspace, sorted(self._heard), 1)[0]
            self._keepers[workspace] = keeper
        return keeper

    def make_notice(
        self, now_s: float, workspace: str, *, asks: bool
    ) -> RateNotice:
        """Return what to send to the keeper."""
        own = self._use(workspace).own
        own.told = own.total
        self._numbers += 1
        return RateNotice(
            name=self._instance,
            incarnation=self._incarnation,
            number=self._numbers,
            workspace=workspace,
            total=own.total,
            count=round(own.accepted.count(now_s)),
            asks=asks,
        )

    def handle_notice(
        self, now_s: float, notice: RateNotice
    ) -> RateAnswer | None:
        """Take a notice as the keeper; none if the workspace is not known."""
        spec = self._specs.get(notice.workspace)
        if spec is None or notice.name not in self._members:
            return None
        use = self._use(notice.workspace)
        use.ledger.note(
            now_s, notice.name, notice.incarnation, notice.total, notice.count
        )
        used = self._used(now_s, spec, use)
        granted = notice.asks and used + 1.0 <= self._limit(spec)
        if granted:
            use.ledger.grant(now_s, notice.name)
            used += 1.0
        use.known.used = used
        return RateAnswer(
            number=notice.number,
            workspace=notice.workspace,
            granted=granted,
            used=round(used, 1),
        )

    def handle_answer(
        self, now_s: float, answer: RateAnswer, asked: bool
    ) -> None:
        """Take the keeper's answer.

        :param asked: whether it decides on a request.
        """
        use = self._uses.get(answer.workspace)
        if use is None:
            return
        use.known.used = answer.used
        use.known.answered_at_s = now_s
        if asked and answer.granted:
            use.own.accepted.add(now_s)
            use.own.total += 1
        elif asked:
            use.own.refused_until_s = now_s + REFUSED_LASTS_S

    def limit(self, workspace: str) -> float:
        """Return how many requests a workspace may send in a window."""
        return self._limit(self._specs[workspace])

    def retry_after_s(self, workspace: str) -> float:
        """Return the pause after which a refused request may fit.

        Requests leave the window at the rate. Of those that are refused now,
        the more come back later the more the demand exceeds it; callers
        choose a time between half of this and this.
        """
        spec = self._specs.get(workspace)
        if spec is None or spec.rate_per_s <= 0:
            return 0.0
        demand_per_s = self._use(workspace).known.demand_per_s
        excess = max(0.0, 1.0 - spec.rate_per_s / max(1.0, demand_per_s))
        one_s = 1.0 / spec.rate_per_s
        return min(self._window_s / 2, one_s + excess * self._window_s)

    def describe(self, now_s: float, workspace: str) -> str:
        """Return the figures behind a refusal."""
        spec = self._specs[workspace]
        use = self._use(workspace)
        return (
            f"limit {spec.rate_per_s:g}/s burst {spec.burst:g},"
            f" used {use.known.used:.0f} in {self._window_s:g} s,"
            f" here {use.own.accepted.count(now_s):.0f},"
            f" demand {use.known.demand_per_s:.1f}/s,"
            f" keeper {self.coordinator_of(workspace)},"
            f" heard {len(self._heard)} of {len(self._members)} instances"
        )

    def _limit(self, spec: WorkspaceSpec) -> float:
        return spec.rate_per_s * self._window_s + spec.burst

    def _used(self, now_s: float, spec: WorkspaceSpec, use: _Use) -> float:
        """Return the fleet's requests in the window, as far as known."""
        even = self._limit(spec) / len(self._members)
        used = use.own.accepted.count(now_s) + use.ledger.used(now_s)
        for member in self._late(now_s):
            expected = use.ledger.told_count_of(member)
            if member not in self._heard:
                expected = max(even, expected)
            known = use.ledger.count_of(now_s, member)
            used += max(0.0, expected - known)
        return used + self._debt(now_s, spec)

    def _late(self, now_s: float) -> list[str]:
        """Return the members whose reports are late or that are silent."""
        late = []
        for member in self._members:
            peer = self._peers.get(member)
            if member != self._instance and (
                peer is None or now_s - peer.heard_at_s > self._late_s
            ):
                late.append(member)
        return late

    def _unseen(self, now_s: float, use: _Use) -> float:
        """Return what others may have accepted since it was told."""
        others = len(self._members) - 1
        age_s = now_s - use.known.answered_at_s + ANSWER_TAKES_S
        unseen = use.known.demand_per_s * min(self._unseen_s, age_s)
        return unseen + self._excess(use) * others

    def _excess(self, use: _Use) -> float:
        """Return own requests since the last word beyond what is usual."""
        mean = use.known.demand_per_s * self._unseen_s / len(self._members)
        fresh = use.own.total - use.own.told
        return max(0.0, fresh - CHANCE_REQUESTS - 2 * mean)

    def _use(self, name: str) -> _Use:
        use = self._uses.get(name)
        if use is None:
            use = self._uses[name] = _Use(
                ledger=RateLedger(window_s=self._window_s),
                own=_Own(accepted=UsageWindow(self._window_s)),
            )
        return use

    def _debt(self, now_s: float, spec: WorkspaceSpec) -> float:
        """Return what an earlier run here may have used of the window."""
        age_s = now_s - self._restarted_at_s
        if age_s >= self._window_s:
            return 0.0
        limit = self._limit(spec)
        mark = self._marks_before.get(spec.name)
        if mark is None:
            used = limit * UNMARKED_SHARE * (1.0 - age_s / self._window_s)
        else:
            # What the mark does not tell may have been used since.
            used = mark.left_after(age_s, self._window_s)
            used += max(0.0, limit - mark.total)
        return used / len(self._members)

    def _fleet_demand(self, now_s: float, use: _Use) -> float:
        heard = use.ledger.demand_per_s(self._heard)
        return self._demand(now_s, use.own) + heard

    def _demand(self, now_s: float, own: _Own) -> float:
        elapsed_s = max(0.0, now_s - own.demand_at_s)
        return own.demand_per_s * math.exp(-elapsed_s / DEMAND_WINDOW_S)
