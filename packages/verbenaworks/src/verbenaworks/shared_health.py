"""What an instance knows of the health of targets, shared by their probers.

Each target is probed by a few instances, which tell all others what changes.
An instance acts at once on a report that a target is leaving. It acts on a
report that a target fails only after an own probe failed too, because the
fault may be in the prober's network. It probes a target itself while none of
the target's probers is heard.
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
    health_of,
)
from verbenaworks.load_report import Health, LoadReport
from verbenaworks.load_sender import LoadSender
from verbenaworks.member import Member, MemberState
from verbenaworks.probe_assignment import ProbeAssignment
from verbenaworks.target import TargetInfo

# With two of three probers left, a sign is seen within this time; the answer,
# its way to all and one own probe must fit in the rest of 3 s.
PROBE_PERIOD_S = 1.5
# One lost answer may be the network's fault. With the own probe of the
# instance that acts on them, three lost answers take a target out.
LOST_PROBES = 2
_RETRY_S = 0.3
# Membership replaces a member in about 2.6 s plus the way of the news.
SILENCE_S = 4.0
# Messages of some kind arrive several times a second at any fleet's size. An
# instance that hears from nobody is cut off and cannot wait for membership,
# which finds one lost member in each of its periods.
ISOLATION_TIMEOUT_S = 1.0
# So many members suspected at once in a small fleet may mean that this
# instance and a few others are cut off together. Membership takes up to 4 s
# to suspect all probers of a target then; own probes bridge that time.
_SUSPECTS_IN_DOUBT = 2
# A longer time between two ticks means that the process was paused; silence
# then proves nothing.
_PAUSE_S = 0.4
# So many batches of load reports must be missed before silence is assumed.
_SILENT_BATCHES = 3.0
_HEALTH_PROBES_PER_LOAD = 2
_FIRST_PROBE_SPREAD_S = 0.2
# Own probes of all instances after a shared failure are spread over this
# time: each takes a target about 6 ms.
_CHECK_SPREAD_PER_MEMBER_S = 0.005
_LONGEST_CHECK_SPREAD_S = 1.0
# Instances that are no probers repeat the probe of a failing target, all of
# them together at this rate.
_RECHECKS_PER_S = 10.0
_LEAST_RECHECK_S = 5.0
_REVIEW_PERIOD_S = 0.5
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
    """What the choice of target is to take as the target's health."""

    target: str
    asked_s: float
    health: Health


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReceived:
    """A load report of another instance."""

    target: str
    measured_s: float
    report: LoadReport


HealthAction = ProbeTarget | SendHealthMessage | EffectiveHealth | LoadReceived


@dataclass(frozen=True, kw_only=True, slots=True)
class _HealthReport:
    incarnation: int
    seq: int
    health: Health
    heard_s: float


@dataclass(kw_only=True, slots=True)
class _Record:
    info: TargetInfo
    in_use: bool
    probers: tuple[Member, ...] = ()
    reports: dict[str, _HealthReport] = field(default_factory=dict)
    own: Health = Health.OK
    own_asked_s: float = 0.0
    lost: int = 0
    judged: Health = Health.OK
    judged_asked_s: float = 0.0
    next_probe_s: float | None = None
    is_check_wanted: bool = False
    probes: int = 0
    why: str = ""


class SharedHealth:
    """Health of all targets at one instance.

    :param own: bus address of this instance.
    :param incarnation: identifies this run; a restart has a higher one.
    :param last_received_s: when each address last sent anything, kept up to
        date by the caller.
    """

    def __init__(
        self,
        own: str,
        incarnation: int,
        last_received_s: Mapping[str, float],
        now_s: float,
        rng: Random,
    ) -> None:
        self._own = own
        self._heard_at_s = last_received_s
        self._is_isolated = False
        self._is_in_doubt = False
        self._ticked_at_s = now_s
        self._awake_since_s = now_s
        self._rng = rng
        self._sender = HealthSender(own, incarnation, rng)
        self._loads = LoadSender(rng)
        self._assignment = ProbeAssignment()
        self._members: dict[str, Member] = {}
        self._known_since_s: dict[str, float] = {}
        self._records: dict[str, _Record] = {}
        self._scheduled: dict[str, _Record] = {}
        self._acks: dict[
            tuple[str, int, tuple[tuple[str, int], ...]], set[str]
        ]
        self._acks = defaultdict(set)
        self._next_review_s = now_s
        self._actions: list[HealthAction] = []
        self.malformed = 0

    @property
    def unacknowledged(self) -> int:
        """Return how many acknowledgements of own changes are missing."""
        return self._sender.pending

    def count_probed_targets(self, why: str) -> int:
        """Return the number of targets that are probed for a reason."""
        return sum(record.why == why for record in self._records.values())

    def set_members(self, now_s: float, members: Iterable[Member]) -> None:
        """Take over all known members, this instance included."""
        members = tuple(members)
        self._members = {
            member.bus_address: member
            for member in members
            if member.is_running and member.bus_address
        }
        others = {
            address: member
            for address, member in self._members.items()
            if address != self._own
        }
        self._known_since_s = {
            address: self._known_since_s.get(address, now_s)
            for address in others
        }
        suspects = sum(m.state is MemberState.SUSPECT for m in others.values())
        self._is_in_doubt = (
            suspects >= _SUSPECTS_IN_DOUBT
            and len(others) <= MAX_DIRECT_MEMBERS
        )
        self._sender.set_members(now_s, others)
        self._loads.set_members(others)
        self._assignment.set_members(members)
        for record in self._records.values():
            record.probers = self._assignment.probers(record.info)
            if record.reports:
                self._forget_ok_reports(record)
        self._review(now_s)

    def set_targets(
        self,
        now_s: float,
        targets: Sequence[TargetInfo],
        in_use: Collection[str],
    ) -> None:
        """Take over all targets and the names of those that are used here.

        Own probes besides the duty go only to targets in use.
        """
        old = self._records
        self._records = {}
        for info in targets:
            record = old.get(info.name) or _Record(info=info, in_use=False)
            record.info = info
            record.in_use = info.name in in_use
            record.probers = self._assignment.probers(info)
            self._records[info.name] = record
        for gone in old.keys() - self._records.keys():
            self._scheduled.pop(gone, None)
            self._sender.drop(gone)
        self._review(now_s)

    def tick(self, now_s: float) -> list[HealthAction]:
        """Do what is due; called about every 0.1 s."""
        if now_s >= self._ticked_at_s + _PAUSE_S:
            self._awake_since_s = now_s
        self._ticked_at_s = now_s
        if now_s >= self._next_review_s:
            self._review_silence(now_s)
        for record in list(self._scheduled.values()):
            if record.next_probe_s is None or now_s < record.next_probe_s:
                continue
            self._probe(now_s, record)
        self._flush_acks()
        self._actions += self._sender.tick(now_s)
        self._actions += self._loads.tick(now_s)
        return self._take()

    def request_check(self, now_s: float, target: str) -> None:
        """Probe a target in addition, for a reason of the caller's."""
        record = self._records.get(target)
        if record is not None and not record.why:
            record.is_check_wanted = True
            self._schedule(now_s, record)

    def on_probe_result(
        self, now_s: float, asked_s: float, target: str, health: Health
    ) -> list[HealthAction]:
        """Take the result of an own probe that was sent at ``asked_s``."""
        record = self._records.get(target)
        if record is None or asked_s < record.own_asked_s:
            return []
        record.own_asked_s = asked_s
        if self._note_own(record, health):
            record.reports = {
                address: report
                for address, report in record.reports.items()
                if not self._is_orphan(record, address, report)
                or report.heard_s >= asked_s
            }
            self._share(now_s, record)
            self._judge(record, asked_s)
        elif record.next_probe_s is not None:
            record.next_probe_s = min(record.next_probe_s, now_s + _RETRY_S)
        self._schedule(now_s, record)
        return self._take()

    def on_load_report(
        self, asked_s: float, target: str, report: LoadReport
    ) -> None:
        """Take a load report that was asked for at ``asked_s``."""
        record = self._records.get(target)
        if record is not None and record.why == "duty":
            domain = record.info.failure_domain
            self._loads.report(target, domain, asked_s, report)

    def on_message(
        self, now_s: float, sender: str, message: HealthMessage
    ) -> list[HealthAction]:
        """Take a message from the instance at the address ``sender``."""
        match message:
            case HealthNews():
                self._on_news(now_s, sender, message)
            case HealthTaken():
                self._on_taken(message)
            case LoadBatch(loads=loads):
                for load in loads:
                    self._on_load(now_s, load)
        return self._take()

    # Probes.

    def _review_silence(self, now_s: float) -> None:
        self._next_review_s = now_s + _REVIEW_PERIOD_S
        heard_s = max(
            (self._last_heard_s(address) for address in self._known_since_s),
            default=now_s,
        )
        was_isolated = self._is_isolated
        self._is_isolated = now_s - heard_s > ISOLATION_TIMEOUT_S
        if (
            self._is_isolated != was_isolated
            or len(self._members) <= MAX_DIRECT_MEMBERS
        ):
            self._review(now_s)

    def _last_heard_s(self, address: str) -> float:
        return max(
            self._heard_at_s.get(address, 0.0),
            self._known_since_s[address],
            self._awake_since_s,
        )

    def _review(self, now_s: float) -> None:
        for record in self._records.values():
            self._schedule(now_s, record)

    def _schedule(self, now_s: float, record: _Record) -> None:
        """Decide whether and when the target is probed next."""
        why = self._reason(now_s, record)
        if why == record.why:
            return
        if record.why in ("duty", "alone") and why not in ("duty", "alone"):
            self._sender.retire(record.info.name)
        record.why = why
        if not why:
            record.next_probe_s = None
            self._scheduled.pop(record.info.name, None)
            record.lost = 0
            return
        spread_s = _FIRST_PROBE_SPREAD_S
        if why != "duty":
            spread_s = self._check_spread_s()
        first_s = now_s + spread_s * self._rng.random()
        if record.next_probe_s is not None:
            first_s = min(first_s, record.next_probe_s)
        record.next_probe_s = first_s
        self._scheduled[record.info.name] = record

    def _reason(self, now_s: float, record: _Record) -> str:
        if any(m.bus_address == self._own for m in record.probers):
            return "duty"
        if not record.in_use:
            return ""
        if not any(self._is_heard(now_s, m) for m in record.probers):
            return "alone"
        if record.is_check_wanted or record.own is not Health.OK:
            return "check"
        for address, report in record.reports.items():
            if report.health is Health.OK:
                continue
            if report.health in _FAILING or self._is_orphan(
                record, address, report
            ):
                return "check"
        return ""

    def _is_heard(self, now_s: float, member: Member) -> bool:
        if self._is_isolated or self._is_in_doubt:
            return False
        if member.state is not MemberState.ALIVE:
            return False
        if len(self._members) > MAX_DIRECT_MEMBERS:
            # Batches do not reach all; membership's probes stand for them.
            return True
        limit_s = max(SILENCE_S, _SILENT_BATCHES * self._loads.period_s())
        return now_s - self._last_heard_s(member.bus_address) <= limit_s

    def _check_spread_s(self) -> float:
        return min(
            _LONGEST_CHECK_SPREAD_S,
            _CHECK_SPREAD_PER_MEMBER_S * len(self._members),
        )

    def _probe(self, now_s: float, record: _Record) -> None:
        period_s = PROBE_PERIOD_S
        if record.why == "check":
            period_s = max(
                _LEAST_RECHECK_S, len(self._members) / _RECHECKS_PER_S
            )
        record.next_probe_s = now_s + period_s
        record.is_check_wanted = False
        with_load = (
            record.why == "alone" or self._leads(record)
        ) and record.probes % _HEALTH_PROBES_PER_LOAD == 0
        record.probes += 1
        self._actions.append(
            ProbeTarget(
                target=record.info.name,
                with_load=with_load,
                reason=record.why or "check",
            )
        )

    def _leads(self, record: _Record) -> bool:
        """Return whether this prober is the one that reads the load."""
        for member in record.probers:
            if member.state is MemberState.ALIVE:
                return member.bus_address == self._own
        return False

    def _note_own(self, record: _Record, health: Health) -> bool:
        """Take an own result; return whether it says anything."""
        if health is not Health.NO_ANSWER:
            record.lost = 0
            if health is Health.FAILING and record.own is Health.LEAVING:
                # A server that shuts down may answer with errors.
                return True
            record.own = health
            return True
        record.lost += 1
        confirms = record.why == "check" and self._fails_elsewhere(record)
        if record.lost < LOST_PROBES and not confirms:
            return False
        if record.own is not Health.LEAVING:
            record.own = Health.NO_ANSWER
        return True

    def _fails_elsewhere(self, record: _Record) -> bool:
        return any(
            report.health in _FAILING for report in record.reports.values()
        )

    def _share(self, now_s: float, record: _Record) -> None:
        """Tell all others if this instance's report on the target changed."""
        name = record.info.name
        last = self._sender.last(name)
        if record.own is last and (
            last is Health.OK or not self._sender.is_retired(name)
        ):
            return
        if record.why == "alone":
            # All instances may be alone at once. The sign of leaving must
            # reach those that cannot see it; failures they see themselves.
            if Health.LEAVING not in (record.own, last):
                return
        elif record.why != "duty":
            return
        self._sender.change(now_s, name, record.own)

    # Reports of others.

    def _on_news(self, now_s: float, sender: str, message: HealthNews) -> None:
        if message.origin == self._own:
            return
        # A target that this instance does not know yet is not acknowledged:
        # its configuration may arrive later than the prober's.
        known = [c for c in message.changes if c.target in self._records]
        for change in known:
            health = health_of(change.health)
            if health is None:
                self.malformed += 1
                continue
            self._accept(
                now_s,
                message.origin,
                change.target,
                _HealthReport(
                    incarnation=message.incarnation,
                    seq=change.seq,
                    health=health,
                    heard_s=now_s,
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
                        takers=(self._own,),
                    ),
                )
            )
        for address in message.pass_to:
            if address in self._members and address != self._own:
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

    def _accept(
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
            and record.why != "duty"
            and not any(
                other.health is not Health.OK
                for other in record.reports.values()
            )
        ):
            # The probers see the target more often than this instance does.
            record.own = Health.OK
        self._schedule(now_s, record)
        if report.health in _FAILING and record.next_probe_s is not None:
            # A check that is under way may be far from its next probe.
            first_s = now_s + self._check_spread_s() * self._rng.random()
            record.next_probe_s = min(record.next_probe_s, first_s)
        self._judge(record, None)

    def _forget_ok_reports(self, record: _Record) -> None:
        """Drop OK reports of instances that are gone, so none pile up."""
        record.reports = {
            address: report
            for address, report in record.reports.items()
            if report.health is not Health.OK or address in self._members
        }

    def _on_taken(self, message: HealthTaken) -> None:
        if message.origin == self._own:
            self._sender.taken(message)
            return
        key = message.origin, message.incarnation, message.taken
        self._acks[key].update(message.takers)

    def _flush_acks(self) -> None:
        """Pass the acknowledgements of others on, in one message."""
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

    # Judgement.

    def _judge(self, record: _Record, asked_s: float | None) -> None:
        """Tell the choice of target what holds now.

        :param asked_s: time of the own probe that caused this, none for a
            report of another. A report of another must not end the effect of a
            refusal that this instance got after the prober's probe.
        """
        healths = {report.health for report in record.reports.values()}
        if Health.LEAVING in healths or record.own is Health.LEAVING:
            judged = Health.LEAVING
        elif record.own in _FAILING:
            judged = Health.FAILING
        else:
            judged = Health.OK
        if asked_s is not None:
            record.judged_asked_s = asked_s
        elif judged is record.judged:
            return
        if judged is record.judged and judged is not Health.OK:
            return
        record.judged = judged
        self._actions.append(
            EffectiveHealth(
                target=record.info.name,
                asked_s=record.judged_asked_s,
                health=judged,
            )
        )

    def _is_orphan(
        self, record: _Record, address: str, report: _HealthReport
    ) -> bool:
        """Return whether a report's prober has ended or has lost its duty."""
        return not any(
            member.bus_address == address
            and member.incarnation <= report.incarnation
            for member in record.probers
        )

    def _take(self) -> list[HealthAction]:
        actions, self._actions = self._actions, []
        return actions
