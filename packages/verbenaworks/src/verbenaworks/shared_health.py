"""Health of all targets at one instance, based on shared probe results.

Each target is probed by a few instances, its probers, which report changes to
all others. An instance acts at once on a report that a target is leaving. It
acts on a report that a target fails only after a local probe has failed too,
because the fault may be in the prober's network. It probes a target itself
while none of the target's probers is reachable.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random

from verbenaworks.health_messages import (
    HealthMessage,
    HealthNews,
    HealthTaken,
    LoadBatch,
    SharedLoad,
)
from verbenaworks.health_sender import (
    MAX_DIRECT_MEMBERS,
    HealthSender,
    SendHealthMessage,
    health_from_code,
)
from verbenaworks.load_report import Health, LoadReport
from verbenaworks.load_sender import LoadSender
from verbenaworks.member import Member, MemberState
from verbenaworks.probe_assignment import ProbeAssignment
from verbenaworks.target import TargetInfo

# With two of three probers left, a change is detected within this time. The
# probe's response, the report to all instances and one local probe must fit in
# the rest of the 3 s within which all instances must react.
PROBE_PERIOD_S = 1.5
# One missing response may be the network's fault. Together with the local
# probe of the instance that acts on the report, a target is excluded after
# three missing responses.
LOST_PROBES_TO_FAIL = 2
_RETRY_DELAY_S = 0.3
# The membership replaces a failed member in about 2.6 s, plus the time to
# spread the update.
PROBER_TIMEOUT_S = 4.0
# Messages of some kind arrive several times a second in a fleet of any size.
# An instance that receives none is partitioned from all others. It cannot wait
# for the membership, which detects one failed member in each probe period.
ISOLATION_TIMEOUT_S = 1.0
# If this many members of a small fleet are suspected at once, this instance
# and a few others may be partitioned from the rest. The membership then takes
# up to 4 s to suspect all probers of a target; local probes bridge that time.
_MIN_SUSPECTS_IN_PARTITION = 2
# A longer time between two ticks shows that the process was paused, so missing
# messages prove nothing.
_PAUSE_THRESHOLD_S = 0.4
# A prober is unreachable only after this many batches of load reports are
# missing.
_MISSED_BATCHES = 3.0
_HEALTH_PROBES_PER_LOAD_READ = 2
_FIRST_PROBE_SPREAD_S = 0.2
# After a reported failure, the local probes of all instances are spread over
# this time. Each takes about 6 ms of the target's time.
_CHECK_SPREAD_PER_MEMBER_S = 0.005
_MAX_CHECK_SPREAD_S = 1.0
# Rate at which all instances that are not probers of a failing target together
# repeat their probes of it.
_RECHECKS_PER_S = 10.0
_MIN_RECHECK_PERIOD_S = 5.0
_ISOLATION_CHECK_PERIOD_S = 0.5
_FAILING = frozenset({Health.FAILING, Health.NO_ANSWER})


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbeTarget:
    """Probe a target now.

    :ivar reason: "duty", "check" or "alone", for the metrics.
    """

    target: str
    with_load: bool
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class EffectiveHealth:
    """The health of a target that the choice of targets must use."""

    target: str
    asked_s: float
    health: Health


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReceived:
    """A load report received from another instance."""

    target: str
    measured_s: float
    report: LoadReport


HealthAction = ProbeTarget | SendHealthMessage | EffectiveHealth | LoadReceived


@dataclass(frozen=True, kw_only=True, slots=True)
class _HealthReport:
    incarnation: int
    seq: int
    health: Health
    received_s: float


@dataclass(kw_only=True, slots=True)
class _TargetState:
    info: TargetInfo
    in_use: bool
    probers: tuple[Member, ...] = ()
    reports: dict[str, _HealthReport] = field(default_factory=dict)
    local_health: Health = Health.OK
    last_probe_s: float = 0.0
    lost_probes: int = 0
    effective: Health = Health.OK
    effective_asked_s: float = 0.0
    next_probe_s: float | None = None
    is_check_requested: bool = False
    probe_count: int = 0
    reason: str = ""


class SharedHealth:
    """Health of all targets at one instance.

    :param own_address: bus address of this instance.
    :param incarnation: identifies this process; a restart has a higher one.
    :param last_received_s: when the last message of each address arrived,
        kept up to date by the caller.
    """

    def __init__(
        self,
        own_address: str,
        incarnation: int,
        last_received_s: Mapping[str, float],
        now_s: float,
        rng: Random,
    ) -> None:
        self._own_address = own_address
        self._last_received_s = last_received_s
        self._is_isolated = False
        self._may_be_partitioned = False
        self._ticked_at_s = now_s
        self._resumed_at_s = now_s
        self._rng = rng
        self._sender = HealthSender(own_address, incarnation, rng)
        self._load_sender = LoadSender(rng)
        self._assignment = ProbeAssignment()
        self._members: dict[str, Member] = {}
        self._known_since_s: dict[str, float] = {}
        self._records: dict[str, _TargetState] = {}
        self._scheduled: dict[str, _TargetState] = {}
        self._acks: dict[
            tuple[str, int, tuple[tuple[str, int], ...]], set[str]
        ]
        self._acks = defaultdict(set)
        self._next_isolation_check_s = now_s
        self._actions: list[HealthAction] = []
        self.malformed = 0

    @property
    def unacknowledged(self) -> int:
        """Return how many acknowledgements of local changes are missing."""
        return self._sender.pending

    def count_probed_targets(self, reason: str) -> int:
        """Return the number of targets that are probed for this reason."""
        return sum(
            record.reason == reason for record in self._records.values()
        )

    def set_members(self, now_s: float, members: Iterable[Member]) -> None:
        """Replace the known members, which include this instance."""
        members = tuple(members)
        self._members = {
            member.bus_address: member
            for member in members
            if member.is_running and member.bus_address
        }
        others = {
            address: member
            for address, member in self._members.items()
            if address != self._own_address
        }
        self._known_since_s = {
            address: self._known_since_s.get(address, now_s)
            for address in others
        }
        suspects = sum(m.state is MemberState.SUSPECT for m in others.values())
        self._may_be_partitioned = (
            suspects >= _MIN_SUSPECTS_IN_PARTITION
            and len(others) <= MAX_DIRECT_MEMBERS
        )
        self._sender.set_members(now_s, others)
        self._load_sender.set_members(others)
        self._assignment.set_members(members)
        for record in self._records.values():
            record.probers = self._assignment.probers(record.info)
            if record.reports:
                self._remove_stale_ok_reports(record)
        self._schedule_all(now_s)

    def set_targets(
        self,
        now_s: float,
        targets: Sequence[TargetInfo],
        in_use: Collection[str],
    ) -> None:
        """Replace all targets.

        :param in_use: names of the targets to which this instance may send
            requests. It probes the others only as one of their probers.
        """
        previous = self._records
        self._records = {}
        for info in targets:
            record = previous.get(info.name) or _TargetState(
                info=info, in_use=False
            )
            record.info = info
            record.in_use = info.name in in_use
            record.probers = self._assignment.probers(info)
            self._records[info.name] = record
        for removed in previous.keys() - self._records.keys():
            self._scheduled.pop(removed, None)
            self._sender.cancel(removed)
        self._schedule_all(now_s)

    def tick(self, now_s: float) -> list[HealthAction]:
        """Run everything that is due; called about every 0.1 s."""
        if now_s >= self._ticked_at_s + _PAUSE_THRESHOLD_S:
            self._resumed_at_s = now_s
        self._ticked_at_s = now_s
        if now_s >= self._next_isolation_check_s:
            self._check_isolation(now_s)
        for record in list(self._scheduled.values()):
            if record.next_probe_s is None or now_s < record.next_probe_s:
                continue
            self._probe(now_s, record)
        self._flush_acks()
        self._actions += self._sender.tick(now_s)
        self._actions += self._load_sender.tick(now_s)
        return self._drain_actions()

    def request_check(self, now_s: float, target: str) -> None:
        """Schedule an additional probe of a target."""
        record = self._records.get(target)
        if record is not None and not record.reason:
            record.is_check_requested = True
            self._schedule(now_s, record)

    def on_probe_result(
        self, now_s: float, asked_s: float, target: str, health: Health
    ) -> list[HealthAction]:
        """Handle the result of a local probe that was sent at ``asked_s``."""
        record = self._records.get(target)
        if record is None or asked_s < record.last_probe_s:
            return []
        record.last_probe_s = asked_s
        if self._record_local_result(record, health):
            record.reports = {
                address: report
                for address, report in record.reports.items()
                if not self._is_orphaned(record, address, report)
                or report.received_s >= asked_s
            }
            self._share_result(now_s, record)
            self._update_effective_health(record, asked_s)
        elif record.next_probe_s is not None:
            record.next_probe_s = min(
                record.next_probe_s, now_s + _RETRY_DELAY_S
            )
        self._schedule(now_s, record)
        return self._drain_actions()

    def on_load_report(
        self, asked_s: float, target: str, report: LoadReport
    ) -> None:
        """Handle a load report that was requested at ``asked_s``."""
        record = self._records.get(target)
        if record is not None and record.reason == "duty":
            domain = record.info.failure_domain
            self._load_sender.add_report(target, domain, asked_s, report)

    def on_message(
        self, now_s: float, sender: str, message: HealthMessage
    ) -> list[HealthAction]:
        """Handle a message from the instance at the address ``sender``."""
        match message:
            case HealthNews():
                self._on_health_changes(now_s, sender, message)
            case HealthTaken():
                self._on_acknowledgement(message)
            case LoadBatch(loads=loads):
                for load in loads:
                    self._on_load(now_s, load)
        return self._drain_actions()

    # Probes.

    def _check_isolation(self, now_s: float) -> None:
        self._next_isolation_check_s = now_s + _ISOLATION_CHECK_PERIOD_S
        last_contact_s = max(
            (self._last_contact_s(address) for address in self._known_since_s),
            default=now_s,
        )
        was_isolated = self._is_isolated
        self._is_isolated = now_s - last_contact_s > ISOLATION_TIMEOUT_S
        if (
            self._is_isolated != was_isolated
            or len(self._members) <= MAX_DIRECT_MEMBERS
        ):
            self._schedule_all(now_s)

    def _last_contact_s(self, address: str) -> float:
        return max(
            self._last_received_s.get(address, 0.0),
            self._known_since_s[address],
            self._resumed_at_s,
        )

    def _schedule_all(self, now_s: float) -> None:
        for record in self._records.values():
            self._schedule(now_s, record)

    def _schedule(self, now_s: float, record: _TargetState) -> None:
        """Decide whether and when to probe the target next."""
        reason = self._probe_reason(now_s, record)
        if reason == record.reason:
            return
        if record.reason in ("duty", "alone") and reason not in (
            "duty",
            "alone",
        ):
            self._sender.retire(record.info.name)
        record.reason = reason
        if not reason:
            record.next_probe_s = None
            self._scheduled.pop(record.info.name, None)
            record.lost_probes = 0
            return
        spread_s = _FIRST_PROBE_SPREAD_S
        if reason != "duty":
            spread_s = self._check_spread_s()
        first_s = now_s + spread_s * self._rng.random()
        if record.next_probe_s is not None:
            first_s = min(first_s, record.next_probe_s)
        record.next_probe_s = first_s
        self._scheduled[record.info.name] = record

    def _probe_reason(self, now_s: float, record: _TargetState) -> str:
        if any(m.bus_address == self._own_address for m in record.probers):
            return "duty"
        if not record.in_use:
            return ""
        if not any(self._is_reachable(now_s, m) for m in record.probers):
            return "alone"
        if record.is_check_requested or record.local_health is not Health.OK:
            return "check"
        for address, report in record.reports.items():
            if report.health is Health.OK:
                continue
            if report.health in _FAILING or self._is_orphaned(
                record, address, report
            ):
                return "check"
        return ""

    def _is_reachable(self, now_s: float, member: Member) -> bool:
        if self._is_isolated or self._may_be_partitioned:
            return False
        if member.state is not MemberState.ALIVE:
            return False
        if len(self._members) > MAX_DIRECT_MEMBERS:
            # In a large fleet, batches reach only some members, so only the
            # membership detects failed probers.
            return True
        limit_s = max(
            PROBER_TIMEOUT_S, _MISSED_BATCHES * self._load_sender.period_s()
        )
        return now_s - self._last_contact_s(member.bus_address) <= limit_s

    def _check_spread_s(self) -> float:
        return min(
            _MAX_CHECK_SPREAD_S,
            _CHECK_SPREAD_PER_MEMBER_S * len(self._members),
        )

    def _probe(self, now_s: float, record: _TargetState) -> None:
        period_s = PROBE_PERIOD_S
        if record.reason == "check":
            period_s = max(
                _MIN_RECHECK_PERIOD_S, len(self._members) / _RECHECKS_PER_S
            )
        record.next_probe_s = now_s + period_s
        record.is_check_requested = False
        with_load = (
            record.reason == "alone" or self._reads_load(record)
        ) and record.probe_count % _HEALTH_PROBES_PER_LOAD_READ == 0
        record.probe_count += 1
        self._actions.append(
            ProbeTarget(
                target=record.info.name,
                with_load=with_load,
                reason=record.reason or "check",
            )
        )

    def _reads_load(self, record: _TargetState) -> bool:
        """Return whether this instance is the prober that reads the load."""
        for member in record.probers:
            if member.state is MemberState.ALIVE:
                return member.bus_address == self._own_address
        return False

    def _record_local_result(
        self, record: _TargetState, health: Health
    ) -> bool:
        """Record a local result; return whether it is conclusive."""
        if health is not Health.NO_ANSWER:
            record.lost_probes = 0
            if (
                health is Health.FAILING
                and record.local_health is Health.LEAVING
            ):
                # A server that shuts down may answer with errors.
                return True
            record.local_health = health
            return True
        record.lost_probes += 1
        confirms = record.reason == "check" and self._is_reported_failing(
            record
        )
        if record.lost_probes < LOST_PROBES_TO_FAIL and not confirms:
            return False
        if record.local_health is not Health.LEAVING:
            record.local_health = Health.NO_ANSWER
        return True

    def _is_reported_failing(self, record: _TargetState) -> bool:
        return any(
            report.health in _FAILING for report in record.reports.values()
        )

    def _share_result(self, now_s: float, record: _TargetState) -> None:
        """Report to all others if the local result changed."""
        name = record.info.name
        last = self._sender.last_reported(name)
        if record.local_health is last and (
            last is Health.OK or not self._sender.is_retired(name)
        ):
            return
        if record.reason == "alone":
            # All instances may have to probe for themselves at once. They
            # detect failures, but some may miss the signal that the target is
            # leaving, so it must be reported.
            if Health.LEAVING not in (record.local_health, last):
                return
        elif record.reason != "duty":
            return
        self._sender.report_change(now_s, name, record.local_health)

    # Reports of others.

    def _on_health_changes(
        self, now_s: float, sender: str, message: HealthNews
    ) -> None:
        if message.origin == self._own_address:
            return
        # Changes of unknown targets are not acknowledged, so they are sent
        # again: the configuration with the target may arrive later here.
        known = [c for c in message.changes if c.target in self._records]
        for change in known:
            health = health_from_code(change.health)
            if health is None:
                self.malformed += 1
                continue
            self._record_report(
                now_s,
                message.origin,
                change.target,
                _HealthReport(
                    incarnation=message.incarnation,
                    seq=change.seq,
                    health=health,
                    received_s=now_s,
                ),
            )
        if known:
            self._actions.append(
                SendHealthMessage(
                    address=sender,
                    message=HealthTaken(
                        origin=message.origin,
                        incarnation=message.incarnation,
                        taken=tuple((c.target, c.seq) for c in known),
                        takers=(self._own_address,),
                    ),
                )
            )
        for address in message.pass_to:
            if address in self._members and address != self._own_address:
                self._actions.append(
                    SendHealthMessage(
                        address=address,
                        message=HealthNews(
                            origin=message.origin,
                            incarnation=message.incarnation,
                            changes=message.changes,
                        ),
                    )
                )

    def _record_report(
        self, now_s: float, origin: str, target: str, report: _HealthReport
    ) -> None:
        record = self._records[target]
        known = record.reports.get(origin)
        if known is not None and (report.incarnation, report.seq) <= (
            known.incarnation,
            known.seq,
        ):
            return
        record.reports[origin] = report
        if (
            report.health is Health.OK
            and record.reason != "duty"
            and not any(
                other.health is not Health.OK
                for other in record.reports.values()
            )
        ):
            # The probers check the target more often than this instance does.
            record.local_health = Health.OK
        self._schedule(now_s, record)
        if report.health in _FAILING and record.next_probe_s is not None:
            # The next probe of a check in progress may be far ahead.
            first_s = now_s + self._check_spread_s() * self._rng.random()
            record.next_probe_s = min(record.next_probe_s, first_s)
        self._update_effective_health(record, None)

    def _remove_stale_ok_reports(self, record: _TargetState) -> None:
        """Remove OK reports of removed instances, to bound the memory."""
        record.reports = {
            address: report
            for address, report in record.reports.items()
            if report.health is not Health.OK or address in self._members
        }

    def _on_acknowledgement(self, message: HealthTaken) -> None:
        if message.origin == self._own_address:
            self._sender.on_acknowledgement(message)
            return
        key = message.origin, message.incarnation, message.taken
        self._acks[key].update(message.takers)

    def _flush_acks(self) -> None:
        """Forward the collected acknowledgements to their origins."""
        for (origin, incarnation, taken), takers in self._acks.items():
            if origin not in self._members:
                continue
            self._actions.append(
                SendHealthMessage(
                    address=origin,
                    message=HealthTaken(
                        origin=origin,
                        incarnation=incarnation,
                        taken=taken,
                        takers=tuple(sorted(takers)),
                    ),
                )
            )
        self._acks.clear()

    def _on_load(self, now_s: float, load: SharedLoad) -> None:
        if load.target not in self._records or load.age_ms < 0:
            return
        self._actions.append(
            LoadReceived(
                target=load.target,
                measured_s=now_s - load.age_ms / 1000,
                report=LoadReport(
                    in_flight=load.in_flight, queued=load.queued
                ),
            )
        )

    # Effective health.

    def _update_effective_health(
        self, record: _TargetState, asked_s: float | None
    ) -> None:
        """Update the effective health, and emit it if it must be used.

        :param asked_s: send time of the local probe that caused the update,
            or None for a report of another instance. Such a report must not
            override a refusal that this instance received from the target
            after the prober's probe.
        """
        healths = {report.health for report in record.reports.values()}
        if Health.LEAVING in healths or record.local_health is Health.LEAVING:
            effective = Health.LEAVING
        elif record.local_health in _FAILING:
            effective = Health.FAILING
        else:
            effective = Health.OK
        if asked_s is not None:
            record.effective_asked_s = asked_s
        elif effective is record.effective:
            return
        if effective is record.effective and effective is not Health.OK:
            return
        record.effective = effective
        self._actions.append(
            EffectiveHealth(
                target=record.info.name,
                asked_s=record.effective_asked_s,
                health=effective,
            )
        )

    def _is_orphaned(
        self, record: _TargetState, address: str, report: _HealthReport
    ) -> bool:
        """Return whether the reporting process no longer probes the target."""
        return not any(
            member.bus_address == address
            and member.incarnation <= report.incarnation
            for member in record.probers
        )

    def _drain_actions(self) -> list[HealthAction]:
        actions, self._actions = self._actions, []
        return actions
