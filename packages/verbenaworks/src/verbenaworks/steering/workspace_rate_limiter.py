"""Limits each workspace to its rate and burst over the whole fleet.

In any window, a workspace may send its rate times the window plus its burst.
Each instance reports to the others a few times a second how many requests it
has accepted. Far below the limit, that is enough: a request is accepted on the
basis of these reports. Nearer to the limit, an instance notifies the
workspace's coordinator of each request at once, and the coordinator replies
with the number that all instances have accepted. Close to the limit, the
coordinator decides on each request. Every instance can be a coordinator,
because each counts the requests of all.

The coordinator is the first reachable instance in the workspace's rendezvous
order. An instance whose reports are late is assumed to use as much as before.
An unreachable instance is assumed to use at least an even share, so that the
sides of a network partition stay within the limit together.

Instances on standby do not take part in the reports. They ask a coordinator
about each of their few requests, and the coordinator reports these as its own.

A restarted instance does not know what its previous incarnation has used. For
a workspace near its limit, a usage checkpoint in the platform's store holds
what it has used. Any other workspace is assumed to have used most of its limit
at an even rate.
"""

import copy
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
from verbenaworks.steering.workspace_usage import (
    WorkspaceUsage,
    short_number,
)

# Time constant of the moving average of the demand.
DEMAND_TIME_CONSTANT_S = 3.0
# Share of its limit that a workspace without a checkpoint may have used.
MAX_SHARE_WITHOUT_CHECKPOINT = 0.8
# A checkpoint is written while the used share of the limit is above the first
# value, and removed after the share has stayed below the second one for a
# window.
CHECKPOINT_SHARE = 0.85
CHECKPOINT_REMOVAL_SHARE = 0.7
# Checkpoints that are read this soon after the registration of the previous
# incarnation come from the same snapshot; later ones describe the use of the
# new incarnations.
SAME_SNAPSHOT_S = 0.1
# Smaller limits need no checkpoint: they cannot be exceeded by more than the
# users tolerate.
MIN_LIMIT_WITH_CHECKPOINT = 25.0
# Report periods without a report after which the reports of an instance count
# as late, and after which the instance counts as unreachable.
LATE_AFTER_PERIODS = 1.25
UNREACHABLE_AFTER_PERIODS = 2.5
# Average delay, in report periods, until an instance knows what others accept.
REPORT_DELAY_PERIODS = 1.0
# Shares of the limit up to which reports suffice, and from which on the
# coordinator decides.
REPORTS_ONLY_SHARE = 0.6
COORDINATED_SHARE = 0.85
# Local requests beyond the fleet's mean that may be due to chance in a period.
# Each one above this is assumed to have come to every other instance too.
CHANCE_REQUESTS_PER_PERIOD = 2.0
# The coordinator's count is used for this long.
ANSWER_VALID_S = 0.5
# Time in which a coordinator's answer arrives.
ANSWER_DELAY_S = 0.03
# After a refusal the coordinator is not asked again for this long.
REFUSAL_VALID_S = 0.05
# Share of its limit that a workspace may use at an instance that is not
# registered: the others do not count what it accepts.
UNREGISTERED_SHARE = 0.05
# Time in which the other instances learn of a refund.
REFUND_DELAY_S = 1.0
# Demand below this is not worth reporting.
MIN_REPORTED_DEMAND_PER_S = 0.01


@dataclass(kw_only=True, slots=True)
class _LocalUse:
    accepted: UsageWindow
    total: int = 0
    # Total in the last report or notice.
    reported_total: int = 0
    demand_per_s: float = 0.0
    demand_at_s: float = 0.0
    refused_until_s: float = float("-inf")


@dataclass(kw_only=True, slots=True)
class _FleetUse:
    """What is known of a workspace's use over all instances.

    :ivar answered_at_s: when the coordinator's last answer arrived.
    """

    used: float = 0.0
    demand_per_s: float = 0.0
    answered_at_s: float = float("-inf")


@dataclass(kw_only=True, slots=True)
class _Peer:
    incarnation: int
    reported_at_s: float


@dataclass(kw_only=True, slots=True)
class _WorkspaceUse:
    """Local and fleet-wide use of one workspace's rate.

    :ivar notified_at_s: when another instance last sent a notice.
    """

    ledger: RateLedger
    local: _LocalUse
    notified_at_s: float = float("-inf")
    fleet: _FleetUse = field(default_factory=_FleetUse)


class WorkspaceRateLimiter:
    """Decides on the requests of all workspaces at one instance.

    :param instance: name of this instance.
    :param incarnation: incarnation of this instance.
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
        self._uses: dict[str, _WorkspaceUse] = {}
        self._peers: dict[str, _Peer] = {}
        self._coordinators: dict[str, str] = {}
        self._reachable: frozenset[str] = frozenset({instance})
        # The instances to ask; empty unless this instance is on standby.
        self._standby_coordinators: frozenset[str] = frozenset()
        self._is_registered = True
        self._last_number = 0
        self._checkpoints: dict[str, UsageCheckpoint] = {}
        # Checkpoints of previous incarnations, which expire with their leases.
        self._previous_checkpoints: dict[str, UsageCheckpoint] = {}
        self._below_since_s: dict[str, float] = {}

    def set_report_period(self, period_s: float) -> None:
        """Set the time between two reports of one instance."""
        self._late_after_s = LATE_AFTER_PERIODS * period_s
        self._unreachable_after_s = UNREACHABLE_AFTER_PERIODS * period_s
        self._report_delay_s = REPORT_DELAY_PERIODS * period_s

    def record_restart(self, now_s: float) -> None:
        """Record that the previous incarnation ended a moment ago."""
        self._restarted_at_s = now_s
        self._previous_checkpoints.update(self._checkpoints)

    def set_checkpoint(
        self, now_s: float, workspace: str, checkpoint: UsageCheckpoint | None
    ) -> None:
        """Record a workspace's checkpoint in the store; none if removed."""
        if checkpoint is None:
            self._checkpoints.pop(workspace, None)
            return
        self._checkpoints[workspace] = checkpoint
        if now_s - self._restarted_at_s < SAME_SNAPSHOT_S:
            self._previous_checkpoints[workspace] = checkpoint

    def due_checkpoints(
        self, now_s: float
    ) -> dict[str, UsageCheckpoint | None]:
        """Return the checkpoints to write, and none for those to remove."""
        due: dict[str, UsageCheckpoint | None] = {}
        for name, spec in self._specs.items():
            limit = self._limit(spec)
            if limit < MIN_LIMIT_WITH_CHECKPOINT:
                continue
            if self.coordinator_of(name) != self._instance:
                continue
            use = self._workspace_use(name)
            used = use.local.accepted.count(now_s) + use.ledger.counted(now_s)
            if used > CHECKPOINT_REMOVAL_SHARE * limit:
                self._below_since_s.pop(name, None)
            if used > CHECKPOINT_SHARE * limit:
                due[name] = make_checkpoint(
                    use.local.accepted.ages(now_s) + use.ledger.ages(now_s)
                )
            elif (
                used <= CHECKPOINT_REMOVAL_SHARE * limit
                and name in self._checkpoints
            ):
                since_s = self._below_since_s.setdefault(name, now_s)
                if now_s - since_s > self._window_s:
                    due[name] = None
        return due

    def set_workspaces(
        self, now_s: float, specs: Mapping[str, WorkspaceSpec]
    ) -> None:
        """Replace the workspaces; lower limits take effect at once."""
        self._specs = specs
        for name in [n for n in self._uses if n not in specs]:
            del self._uses[name]
        for name in specs:
            self._workspace_use(name)
        self._coordinators.clear()
        self.refresh(now_s)

    def set_members(self, now_s: float, names: Iterable[str]) -> None:
        """Replace the instances that may accept requests."""
        self._members = frozenset({*names, self._instance})
        for name in [n for n in self._peers if n not in self._members]:
            del self._peers[name]
            for use in self._uses.values():
                use.ledger.end_incarnation(name)
        self.refresh(now_s)

    def set_standby(self, active: frozenset[str]) -> None:
        """Set the instances that this one asks while it is on standby.

        :param active: the active instances; empty if this one is active too.
        """
        if active != self._standby_coordinators:
            self._standby_coordinators = active
            self._coordinators.clear()

    def set_registered(self, is_registered: bool) -> None:
        """Set whether the others count this instance.

        While they do not, they have a coordinator without it. It does not
        coordinate then, and accepts few requests of a workspace.
        """
        if is_registered != self._is_registered:
            self._is_registered = is_registered
            self._coordinators.clear()

    def record_report(
        self,
        now_s: float,
        peer: str,
        incarnation: int,
        usage: Mapping[str, WorkspaceUsage],
    ) -> None:
        """Record another instance's report."""
        peer_state = self._peers.get(peer)
        if peer_state is None or peer_state.incarnation != incarnation:
            peer_state = self._peers[peer] = _Peer(
                incarnation=incarnation, reported_at_s=now_s
            )
        peer_state.reported_at_s = now_s
        for name, reported in usage.items():
            use = self._uses.get(name)
            if use is not None:
                use.ledger.record_total(
                    now_s,
                    peer,
                    incarnation,
                    reported.total,
                    reported.count,
                    trims_window=self._trims_windows(now_s),
                )
                use.ledger.set_demand(
                    peer,
                    demand_per_s=reported.demand_per_s,
                    debt=reported.debt,
                    unlisted=reported.unlisted,
                )

    def local_usage(
        self, now_s: float, changed_since_s: float = float("-inf")
    ) -> dict[str, WorkspaceUsage]:
        """Return the usage report for the other instances.

        Unused workspaces are left out. The reported totals are remembered.

        :param changed_since_s: leave out workspaces without a request since
            this time too.
        """
        report = {}
        for name, use in self._uses.items():
            local = use.local
            if max(local.demand_at_s, use.notified_at_s) < changed_since_s:
                continue
            local.reported_total = local.total
            demand_per_s = self._demand(now_s, local)
            count = local.accepted.count(now_s)
            debt = self._previous_use(now_s, self._specs[name])
            unlisted = use.ledger.unlisted(now_s, self._members)
            if (
                demand_per_s >= MIN_REPORTED_DEMAND_PER_S
                or count
                or debt
                or unlisted
            ):
                report[name] = WorkspaceUsage(
                    total=local.total,
                    count=round(count),
                    debt=short_number(round(debt, 1)),
                    demand_per_s=short_number(round(demand_per_s, 2)),
                    unlisted=short_number(unlisted),
                )
        return report

    def refresh(self, now_s: float) -> None:
        """Update the reachable instances and the use; call it regularly."""
        reachable = frozenset(
            name
            for name, peer in self._peers.items()
            if now_s - peer.reported_at_s <= self._unreachable_after_s
        ) | {self._instance}
        if reachable != self._reachable:
            self._reachable = reachable
            self._coordinators.clear()
        for name, spec in self._specs.items():
            if spec.rate_per_s > 0:
                use = self._workspace_use(name)
                use.fleet.demand_per_s = self._fleet_demand(now_s, use)
                used = self._used(now_s, spec, use)
                if now_s - use.fleet.answered_at_s <= ANSWER_VALID_S:
                    used = max(used, use.fleet.used)
                use.fleet.used = used

    def trial(self, workspace: str) -> "WorkspaceRateLimiter":
        """Return a copy to decide on one workspace; it counts nothing here."""
        trial = copy.copy(self)
        trial._coordinators = dict(self._coordinators)
        trial._uses = {
            workspace: copy.deepcopy(self._workspace_use(workspace))
        }
        return trial

    def admit(self, now_s: float, workspace: str) -> Admission:
        """Decide on a request, and count it if it is accepted."""
        spec = self._specs.get(workspace)
        if spec is None or spec.rate_per_s <= 0:
            return Admission.ACCEPTED
        use = self._workspace_use(workspace)
        local = use.local
        local.demand_per_s = (
            self._demand(now_s, local) + 1.0 / DEMAND_TIME_CONSTANT_S
        )
        local.demand_at_s = now_s
        if self._is_unknown_to_others:
            return self._admit_unregistered(now_s, workspace, spec)
        if self._standby_coordinators:
            return Admission.ASK_COORDINATOR
        limit = self._limit(spec)
        if self.coordinator_of(workspace) == self._instance:
            if self._used(now_s, spec, use) + 1.0 > limit:
                return Admission.REFUSED
            self.record_accepted(now_s, workspace)
            return Admission.ACCEPTED
        expected = use.fleet.used + self._unreported(now_s, use) + 1.0
        if expected > COORDINATED_SHARE * limit:
            if now_s < local.refused_until_s:
                return Admission.REFUSED
            return Admission.ASK_COORDINATOR
        self.record_accepted(now_s, workspace)
        if (
            expected > REPORTS_ONLY_SHARE * limit
            or self._excess_requests(use) > 0
        ):
            return Admission.ACCEPTED_AND_NOTIFY
        return Admission.ACCEPTED

    @property
    def _is_unknown_to_others(self) -> bool:
        return not self._is_registered and len(self._members) > 1

    def _admit_unregistered(
        self, now_s: float, workspace: str, spec: WorkspaceSpec
    ) -> Admission:
        """Decide without a coordinator, which would not answer."""
        use = self._workspace_use(workspace)
        limit = self._limit(spec)
        accepted = use.local.accepted.count(now_s) + 1.0
        used = self._used(now_s, spec, use) + 1.0
        if accepted > max(1.0, UNREGISTERED_SHARE * limit) or used > limit:
            return Admission.REFUSED
        self.record_accepted(now_s, workspace)
        return Admission.ACCEPTED

    def record_accepted(self, now_s: float, workspace: str) -> None:
        """Count a request that was accepted here."""
        use = self._uses.get(workspace)
        if use is None:
            return
        use.local.accepted.add(now_s)
        use.local.total += 1
        use.fleet.used += 1.0

    def refund(
        self, now_s: float, workspace: str, charged_at_s: float
    ) -> None:
        """Stop counting an accepted request that did not run.

        One that is about to leave the window is left in it: the others may
        learn of the refund only after that.
        """
        use = self._uses.get(workspace)
        refundable_s = self._window_s - REFUND_DELAY_S
        if use is not None and now_s - charged_at_s < refundable_s:
            use.local.accepted.subtract(now_s)
            use.local.total -= 1
            use.fleet.used -= 1.0

    def coordinator_of(self, workspace: str) -> str:
        """Return the instance that decides near the workspace's limit."""
        coordinator = self._coordinators.get(workspace)
        if coordinator is None:
            names = self._standby_coordinators or self._reachable
            if self._is_unknown_to_others:
                others = self._members - {self._instance}
                names = (self._reachable & others) or others
            coordinator = first_by_rendezvous(workspace, sorted(names), 1)[0]
            self._coordinators[workspace] = coordinator
        return coordinator

    def make_notice(
        self, now_s: float, workspace: str, *, asks: bool
    ) -> RateNotice:
        """Return the notice to send to the coordinator.

        :param asks: whether to ask it for a decision on one more request.
        """
        local = self._workspace_use(workspace).local
        local.reported_total = local.total
        self._last_number += 1
        return RateNotice(
            name=self._instance,
            incarnation=self._incarnation,
            number=self._last_number,
            workspace=workspace,
            total=local.total,
            count=round(local.accepted.count(now_s)),
            asks=asks,
        )

    def handle_notice(
        self, now_s: float, notice: RateNotice
    ) -> RateAnswer | None:
        """Return the coordinator's answer to a notice.

        The sender is registered, but may be on standby. There is no answer if
        the workspace is not known.
        """
        spec = self._specs.get(notice.workspace)
        if spec is None:
            return None
        use = self._workspace_use(notice.workspace)
        use.notified_at_s = now_s
        use.ledger.record_total(
            now_s,
            notice.name,
            notice.incarnation,
            notice.total,
            notice.count,
            trims_window=self._trims_windows(now_s),
        )
        used = self._used(now_s, spec, use)
        granted = notice.asks and used + 1.0 <= self._limit(spec)
        if granted:
            use.ledger.record_grant(now_s, notice.name)
            used += 1.0
        use.fleet.used = used
        return RateAnswer(
            number=notice.number,
            workspace=notice.workspace,
            granted=granted,
            used=round(used, 1),
        )

    def handle_answer(
        self, now_s: float, answer: RateAnswer, asked: bool
    ) -> None:
        """Record the coordinator's answer.

        :param asked: whether the notice asked for a decision on a request.
        """
        use = self._uses.get(answer.workspace)
        if use is None:
            return
        use.fleet.used = answer.used
        use.fleet.answered_at_s = now_s
        if asked and answer.granted:
            use.local.accepted.add(now_s)
            use.local.total += 1
        elif asked:
            use.local.refused_until_s = now_s + REFUSAL_VALID_S

    def limit(self, workspace: str) -> float:
        """Return how many requests a workspace may send in one window."""
        return self._limit(self._specs[workspace])

    def retry_after_s(self, workspace: str) -> float:
        """Return the pause after which a refused request may be accepted.

        Requests leave the window at the workspace's rate. The more the demand
        exceeds the rate, the larger the share of the refused requests that
        should come back later. Callers wait for a random time between half of
        this pause and all of it.
        """
        spec = self._specs.get(workspace)
        if spec is None or spec.rate_per_s <= 0:
            return 0.0
        demand_per_s = self._workspace_use(workspace).fleet.demand_per_s
        excess = max(0.0, 1.0 - spec.rate_per_s / max(1.0, demand_per_s))
        one_s = 1.0 / spec.rate_per_s
        return min(self._window_s / 2, one_s + excess * self._window_s)

    def describe(self, now_s: float, workspace: str) -> str:
        """Return the figures behind a refusal, for people."""
        spec = self._specs[workspace]
        use = self._workspace_use(workspace)
        return (
            f"limit {spec.rate_per_s:g}/s burst {spec.burst:g},"
            f" used {use.fleet.used:.0f} in {self._window_s:g} s,"
            f" here {use.local.accepted.count(now_s):.0f},"
            f" demand {use.fleet.demand_per_s:.1f}/s,"
            f" coordinator {self.coordinator_of(workspace)},"
            f" reachable {len(self._reachable)} of"
            f" {len(self._members)} instances"
        )

    def _limit(self, spec: WorkspaceSpec) -> float:
        return spec.rate_per_s * self._window_s + spec.burst

    def _used(
        self, now_s: float, spec: WorkspaceSpec, use: _WorkspaceUse
    ) -> float:
        """Return the estimated requests of the fleet in the window."""
        even_share = self._limit(spec) / len(self._members)
        used = use.local.accepted.count(now_s) + use.ledger.used(now_s)
        for member in self._late_members(now_s):
            expected = use.ledger.reported_count_of(member)
            if member not in self._reachable:
                expected = max(even_share, expected)
            known = use.ledger.count_of(now_s, member)
            used += max(0.0, expected - known)
        used += self._previous_use(now_s, spec)
        return max(used, self._use_since_checkpoint(now_s, spec, use))

    def _use_since_checkpoint(
        self, now_s: float, spec: WorkspaceSpec, use: _WorkspaceUse
    ) -> float:
        """Return the least use of the fleet after a restart; 0 if unknown.

        The instances that were restarted may have accepted more than an even
        share of what the checkpoint counts.
        """
        checkpoint = self._previous_checkpoints.get(spec.name)
        age_s = now_s - self._restarted_at_s
        if checkpoint is None or age_s >= self._window_s:
            return 0.0
        return (
            checkpoint.remaining_after(age_s, self._window_s)
            + use.local.accepted.count(now_s)
            + use.ledger.accepted_since_heard()
        )

    def _late_members(self, now_s: float) -> list[str]:
        """Return the members whose reports are late or missing."""
        late = []
        for member in self._members:
            peer = self._peers.get(member)
            if member != self._instance and (
                peer is None or now_s - peer.reported_at_s > self._late_after_s
            ):
                late.append(member)
        return late

    def _unreported(self, now_s: float, use: _WorkspaceUse) -> float:
        """Return what others may have accepted without a report so far."""
        others = len(self._members) - 1
        age_s = now_s - use.fleet.answered_at_s + ANSWER_DELAY_S
        unreported = use.fleet.demand_per_s * min(self._report_delay_s, age_s)
        return unreported + self._excess_requests(use) * others

    def _excess_requests(self, use: _WorkspaceUse) -> float:
        """Return the unreported local requests beyond the expected number."""
        mean = (
            use.fleet.demand_per_s * self._report_delay_s / len(self._members)
        )
        new_requests = use.local.total - use.local.reported_total
        return max(0.0, new_requests - CHANCE_REQUESTS_PER_PERIOD - 2 * mean)

    def _workspace_use(self, name: str) -> _WorkspaceUse:
        use = self._uses.get(name)
        if use is None:
            use = self._uses[name] = _WorkspaceUse(
                ledger=RateLedger(window_s=self._window_s),
                local=_LocalUse(accepted=UsageWindow(self._window_s)),
            )
        return use

    def _previous_use(self, now_s: float, spec: WorkspaceSpec) -> float:
        """Return this instance's share of unknown earlier use.

        After a restart, the previous incarnation may still have requests in
        the window.
        """
        age_s = now_s - self._restarted_at_s
        if age_s >= self._window_s:
            return 0.0
        limit = self._limit(spec)
        checkpoint = self._previous_checkpoints.get(spec.name)
        if checkpoint is None:
            used = (
                limit
                * MAX_SHARE_WITHOUT_CHECKPOINT
                * (1.0 - age_s / self._window_s)
            )
        else:
            # What the checkpoint does not count may have been used since.
            used = checkpoint.remaining_after(age_s, self._window_s)
            used += max(0.0, limit - checkpoint.total)
        return used / len(self._members)

    def _trims_windows(self, now_s: float) -> bool:
        """Whether reports may lower the counts of other instances.

        After a restart, the use of previous incarnations is only estimated.
        Requests that count for too long make up for what the estimate misses.
        """
        return now_s - self._restarted_at_s >= self._window_s

    def _fleet_demand(self, now_s: float, use: _WorkspaceUse) -> float:
        peers_per_s = use.ledger.demand_per_s(self._reachable)
        return self._demand(now_s, use.local) + peers_per_s

    def _demand(self, now_s: float, local: _LocalUse) -> float:
        elapsed_s = max(0.0, now_s - local.demand_at_s)
        return local.demand_per_s * math.exp(
            -elapsed_s / DEMAND_TIME_CONSTANT_S
        )
