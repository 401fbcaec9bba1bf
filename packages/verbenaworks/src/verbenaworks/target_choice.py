"""Choice of the target that runs a request.

The nearest targets come first: those of the instance's failure domain, then
of its region, then of other regions, each only while the instance holds a
granted unit there. Among targets at the same distance whose expected
completion is about the same, the less loaded of two random ones is taken, so
that instances with the same view do not all choose the same target.
"""

from collections.abc import Mapping, Sequence
from random import Random

from verbenaworks.attempt_outcome import (
    Cancelled,
    Completed,
    Failed,
    Outcome,
    RefusedLeaving,
    RefusedOverload,
)
from verbenaworks.choice_result import (
    Choice,
    ChoiceMode,
    ChoiceRequest,
    ExcludedTarget,
    ExclusionReason,
    NoTarget,
    NoTargetReason,
)
from verbenaworks.ejection import Ejection, Standing
from verbenaworks.link_pool import LinkPool
from verbenaworks.link_reservation import LinkReservation
from verbenaworks.load_report import Health, LoadReport
from verbenaworks.service_time import ServiceTime
from verbenaworks.slow_start import SlowStart
from verbenaworks.target import TargetInfo
from verbenaworks.target_stats import LeavingSignal, TargetStats
from verbenaworks.targets_by_distance import (
    Location,
    TargetRow,
    TargetsByDistance,
)
from verbenaworks.unit_pool import UnitPool

# Targets whose expected completion differs by less are a tie.
_TIE_SHARE = 1.25
_TIE_S = 0.002
# A target this much slower than its service is used last.
_SLOW_FACTOR = 3.0
_SLOW_S = 0.005
# No answer for this many usual times, and at least this long, is silence.
_SILENT_FACTOR = 5.0
_SILENT_S = 0.5
# Without probe answers, a refusal is forgotten after this time.
_REFUSAL_LIMIT_S = 30.0

_WAITABLE = frozenset(
    {
        ExclusionReason.NO_UNITS,
        ExclusionReason.REGION_FULL,
        ExclusionReason.LINK_FULL,
        ExclusionReason.LINK_BACK_FULL,
        ExclusionReason.PROBATION,
        ExclusionReason.COLD,
        ExclusionReason.NO_CONNECTION,
        ExclusionReason.SHEDDING,
    }
)


class _Service:
    """State of one service."""

    def __init__(self) -> None:
        self.table: TargetsByDistance | None = None
        self.stats: dict[str, TargetStats] = {}
        self.listed_out: set[str] = set()
        self.ejection = Ejection()
        self.time = ServiceTime()
        self.plan: Mapping[str, int] | None = None
        self.all_cold = False


class TargetChoice:
    """Chooses targets for the requests of one instance.

    :param units: slots of targets, by target name.
    :param region_units: load of regions, by region name.
    :param links: links to and from other regions; none where they are not
        limited.
    """

    def __init__(
        self,
        *,
        place: Location,
        units: UnitPool,
        region_units: UnitPool,
        random: Random,
        links: LinkPool | None = None,
    ) -> None:
        self._place = place
        self._units = units
        self._region_units = region_units
        self._links = links
        self._random = random
        self._services: dict[str, _Service] = {}
        self._slow_start = SlowStart(place.instance)

    def choose(
        self,
        now_s: float,
        request: ChoiceRequest,
        candidates: Sequence[TargetInfo],
    ) -> Choice | NoTarget:
        """Choose a target and put its units in use.

        :param candidates: all targets of the service. Pass the same object
            until the list changes; the table is rebuilt when it is another.
        """
        service = self._service(now_s, request.service, candidates)
        table = service.table
        if table is None or not table.rows:
            return NoTarget(
                reason=NoTargetReason.NO_TARGETS, can_wait=False, excluded=()
            )
        full = self._full_regions(table)
        left_out: list[ExcludedTarget] = []
        last: list[TargetRow] = []
        for distance, rows in enumerate(table.rows_by_distance):
            if distance == 2 and rows:
                full |= self._full_links(request, table, full)
            usable: list[TargetRow] = []
            for row in rows:
                why = self._why_not(now_s, request, service, row, full)
                if why is None:
                    usable.append(row)
                    continue
                left_out.append(ExcludedTarget(row.name, why))
                if (
                    why is ExclusionReason.SLOW
                    or why is ExclusionReason.SILENT
                ):
                    last.append(row)
            if usable:
                left_out.extend(table.farther_candidates[distance])
                return self._take(now_s, request, service, usable, left_out)
        if last:
            names = {row.name for row in last}
            kept = [c for c in left_out if c.name not in names]
            return self._take(now_s, request, service, last, kept)
        return _no_target(left_out)

    def finish(self, now_s: float, choice: Choice, outcome: Outcome) -> None:
        """Return the units of an attempt and learn from its outcome."""
        target = choice.target
        self._units.release(target.name, choice.workspace)
        self._region_units.release(target.region, choice.workspace)
        if self._links is not None and choice.link is not None:
            self._links.release(
                choice.link, completed=isinstance(outcome, Completed)
            )
        service = self._services[target.service]
        stats = service.stats.get(target.name)
        if stats is None:
            return
        stats.ended(now_s)
        match outcome:
            case Completed():
                if not self._completed(now_s, service, choice):
                    return
            case Failed():
                stats.failed()
                service.ejection.failed(now_s, target.name)
            case RefusedLeaving():
                stats.refused(now_s)
            case RefusedOverload(retry_after_s=retry_after_s):
                stats.shed(now_s, retry_after_s)
            case Cancelled():
                return
        self._refresh(now_s, service)

    def _completed(
        self, now_s: float, service: _Service, choice: Choice
    ) -> bool:
        """Learn from a full answer; true if the target is re-admitted."""
        target = choice.target
        stats = service.stats[target.name]
        elapsed_s = now_s - choice.started_s - self._round_trip_s(target)
        if choice.link is not None:
            # A full link says nothing about the target.
            elapsed_s -= choice.link.waited_s
        # The configured delays are the usual ones; an answer may be faster.
        elapsed_s = max(elapsed_s, 0.0)
        stats.answered(now_s, elapsed_s)
        service.time.answered(now_s, elapsed_s)
        readmitted = service.ejection.succeeded(target.name)
        if _refusal_expired(choice.started_s, stats):
            stats.set_sign(LeavingSignal.REFUSAL, False)
            readmitted = True
        if readmitted:
            self._slow_start.begin(now_s, target.name)
        return readmitted

    def record_probe(
        self,
        now_s: float,
        asked_s: float,
        service: str,
        target: str,
        health: Health,
    ) -> None:
        """Record the result of a health probe that was sent at ``asked_s``."""
        state = self._services[service]
        stats = state.stats[target]
        was_leaving = bool(stats.leaving_signals)
        stats.probed(asked_s, health)
        state.ejection.probed(now_s, target, failing=stats.probe_failing)
        if was_leaving and not stats.leaving_signals:
            self._slow_start.begin(now_s, target)
        self._refresh(now_s, state)

    def record_load_report(
        self,
        measured_s: float,
        service: str,
        target: str,
        report: LoadReport,
    ) -> None:
        """Record a load report that was asked for at ``measured_s``."""
        state = self._services[service]
        state.stats[target].reported(measured_s, report)
        state.time.measured_at_s = max(state.time.measured_at_s, measured_s)

    def record_listing(
        self, now_s: float, service: str, target: str, *, leaving: bool
    ) -> None:
        """Record the state of a target in the instance list."""
        state = self._services[service]
        stats = state.stats[target]
        was_leaving = bool(stats.leaving_signals)
        stats.set_sign(LeavingSignal.INSTANCE_LIST, leaving)
        if was_leaving and not stats.leaving_signals:
            self._slow_start.begin(now_s, target)
        self._refresh(now_s, state)

    def set_targets(
        self, now_s: float, service: str, candidates: Sequence[TargetInfo]
    ) -> None:
        """Take over a list of targets before the first request uses it."""
        self._service(now_s, service, candidates)

    def set_connection_plan(
        self, service: str, plan: Mapping[str, int]
    ) -> None:
        """Limit the connections to each target; absent targets are unused."""
        state = self._services.setdefault(service, _Service())
        state.plan = plan
        if state.table is not None:
            _apply_plan(state.table, plan)

    def usable(self, now_s: float, target: TargetInfo) -> bool:
        """Tell whether units of the target are of use to this instance."""
        service = self._services[target.service]
        row = service.table.by_name[target.name] if service.table else None
        if row is None or row.stats.leaving_signals or row.connections == 0:
            return False
        if row.ejected:
            standing = service.ejection.standing(now_s, row.name)
            if standing is Standing.OUT:
                return False
        return (
            self._slow_start.limit(
                now_s, row.name, row.info.slots, all_cold=service.all_cold
            )
            > 0
        )

    def stats(self, service: str, target: str) -> TargetStats:
        """Return the measurements of a target."""
        return self._services[service].stats[target]

    def service_time(self, service: str) -> ServiceTime:
        """Return the usual service time of a service."""
        return self._services.setdefault(service, _Service()).time

    def is_in_service(self, now_s: float, service: str, target: str) -> bool:
        """Return whether a target is neither leaving nor ejected."""
        state = self._services.get(service)
        if state is None or target not in state.stats:
            return False
        if state.stats[target].leaving_signals:
            return False
        return state.ejection.standing(now_s, target) is not Standing.OUT

    def _why_not(
        self,
        now_s: float,
        request: ChoiceRequest,
        service: _Service,
        row: TargetRow,
        full: Mapping[str, ExclusionReason],
    ) -> ExclusionReason | None:
        """Return why a target cannot be used, or none."""
        stats = row.stats
        name = row.name
        if name in request.tried:
            return ExclusionReason.TRIED
        if stats.leaving_signals:
            if not _refusal_expired(now_s, stats):
                return ExclusionReason.LEAVING
            if stats.in_flight:
                return ExclusionReason.PROBATION
        if row.ejected:
            standing = service.ejection.standing(now_s, name)
            if standing is Standing.OUT:
                return ExclusionReason.EJECTED
            if standing is Standing.PROBATION and stats.in_flight:
                return ExclusionReason.PROBATION
        if now_s < stats.shed_until_s:
            return ExclusionReason.SHEDDING
        if stats.in_flight >= row.connections:
            if row.connections == 0:
                return ExclusionReason.NOT_IN_SUBSET
            return ExclusionReason.NO_CONNECTION
        if self._units.available(name) < 1:
            return ExclusionReason.NO_UNITS
        if full and row.region in full:
            return full[row.region]
        if self._slow_start.active(name):
            limit = self._slow_start.limit(
                now_s, name, row.info.slots, all_cold=service.all_cold
            )
            if stats.in_flight >= limit:
                return ExclusionReason.COLD
        return self._time_why_not(now_s, request, service, row)

    def _full_regions(
        self, table: TargetsByDistance
    ) -> dict[str, ExclusionReason]:
        """Return the regions without a unit of load."""
        full: dict[str, ExclusionReason] = {}
        for region, _ in table.regions:
            if self._region_units.available(region) < 1:
                full[region] = ExclusionReason.REGION_FULL
        return full

    def _full_links(
        self,
        request: ChoiceRequest,
        table: TargetsByDistance,
        full: Mapping[str, ExclusionReason],
    ) -> dict[str, ExclusionReason]:
        """Return the other regions whose links lack tokens.

        Only a request that finds no target in its region asks for this:
        the question makes the instance take part in a link's budgets.
        """
        found: dict[str, ExclusionReason] = {}
        if self._links is None:
            return found
        for region, is_far in table.regions:
            if is_far and region not in full:
                why = self._links.exclusion_reason(request.service, region)
                if why is not None:
                    found[region] = why
        return found

    def _time_why_not(
        self,
        now_s: float,
        request: ChoiceRequest,
        service: _Service,
        row: TargetRow,
    ) -> ExclusionReason | None:
        stats = row.stats
        usual_s = service.time.mean_s
        if usual_s is None:
            row.expected_s = row.round_trip_s
            return None
        expected_s = stats.expected_s(now_s, usual_s)
        row.expected_s = row.round_trip_s + expected_s
        least_s = row.round_trip_s + max(
            expected_s - 2 * stats.deviation_s, expected_s / 4
        )
        if now_s + least_s > request.deadline_s:
            return ExclusionReason.TOO_LATE
        if expected_s > _SLOW_FACTOR * usual_s + _SLOW_S:
            return ExclusionReason.SLOW
        if stats.in_flight:
            quiet_s = now_s - stats.quiet_since_s
            if quiet_s > _SILENT_S and quiet_s > _SILENT_FACTOR * expected_s:
                return ExclusionReason.SILENT
        return None

    def _take(
        self,
        now_s: float,
        request: ChoiceRequest,
        service: _Service,
        usable: list[TargetRow],
        left_out: list[ExcludedTarget],
    ) -> Choice | NoTarget:
        mode = ChoiceMode.FALLBACK
        if service.time.measured(now_s):
            mode = ChoiceMode.MEASURED
        while usable:
            if mode is ChoiceMode.FALLBACK:
                row = min(usable, key=lambda r: (r.stats.in_flight, r.name))
            else:
                row = self._pick(now_s, usable)
            usable.remove(row)
            taken = self._take_units(row, request)
            if not isinstance(taken, ExclusionReason):
                break
            left_out.append(ExcludedTarget(row.name, taken))
        else:
            return _no_target(left_out)
        left_out += [other.slower_candidate for other in usable]
        row.stats.started(now_s)
        return Choice(
            target=row.info,
            workspace=request.workspace,
            started_s=now_s,
            expected_s=row.expected_s,
            mode=mode,
            excluded=tuple(left_out),
            link=taken,
        )

    def _pick(self, now_s: float, usable: list[TargetRow]) -> TargetRow:
        """Return the less loaded of two random targets that tie."""
        if len(usable) == 1:
            return usable[0]
        least_s = min([row.expected_s for row in usable])
        limit_s = least_s * _TIE_SHARE + _TIE_S
        ties = [row for row in usable if row.expected_s <= limit_s]
        if len(ties) == 1:
            return ties[0]
        first = int(self._random.random() * len(ties))
        second = int(self._random.random() * (len(ties) - 1))
        if second >= first:
            second += 1
        a, b = ties[first], ties[second]
        if b.stats.load(now_s, b.info.slots) < a.stats.load(
            now_s, a.info.slots
        ):
            return b
        return a

    def _take_units(
        self, row: TargetRow, request: ChoiceRequest
    ) -> LinkReservation | ExclusionReason | None:
        workspace = request.workspace
        if not self._units.take(row.name, workspace):
            return ExclusionReason.NO_UNITS
        if not self._region_units.take(row.region, workspace):
            self._units.release(row.name, workspace)
            return ExclusionReason.REGION_FULL
        if self._links is None or row.distance < 2:
            return None
        hold = self._links.take(request.service, row.region)
        if isinstance(hold, ExclusionReason):
            self._units.release(row.name, workspace)
            self._region_units.release(row.region, workspace)
        return hold

    def _service(
        self, now_s: float, name: str, candidates: Sequence[TargetInfo]
    ) -> _Service:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _Service()
        table = service.table
        if table is None or table.candidates is not candidates:
            self._rebuild(now_s, service, candidates)
        return service

    def _rebuild(
        self,
        now_s: float,
        service: _Service,
        candidates: Sequence[TargetInfo],
    ) -> None:
        known = service.stats
        first = service.table is None
        service.stats = {}
        for info in candidates:
            stats = known.get(info.name)
            if stats is None:
                stats = TargetStats()
                if not first:
                    self._slow_start.begin(now_s, info.name)
            was_leaving = bool(stats.leaving_signals)
            stats.set_sign(LeavingSignal.DRAIN_SETTING, info.draining)
            if was_leaving and not stats.leaving_signals:
                self._slow_start.begin(now_s, info.name)
            service.stats[info.name] = stats
        for gone in known.keys() - service.stats.keys():
            self._slow_start.forget(gone)
        service.table = TargetsByDistance(
            self._place, candidates, service.stats
        )
        if service.plan is not None:
            _apply_plan(service.table, service.plan)
        service.ejection.set_targets(frozenset(service.stats))
        self._refresh(now_s, service)

    def _refresh(self, now_s: float, service: _Service) -> None:
        """Bring the rows up to date after an event."""
        if service.table is None:
            return
        for name, stats in service.stats.items():
            service.ejection.set_leaving(name, bool(stats.leaving_signals))
        service.all_cold = True
        for row in service.table.rows:
            standing = service.ejection.standing(now_s, row.name)
            row.ejected = standing is not Standing.IN
            usable = not row.ejected and not row.stats.leaving_signals
            if usable and not self._slow_start.active(row.name):
                service.all_cold = False

    def _round_trip_s(self, target: TargetInfo) -> float:
        if target.region != self._place.region:
            return 2 * self._place.region_delay_s
        if target.failure_domain != self._place.failure_domain:
            return 2 * self._place.domain_delay_s
        return 0.0


def _apply_plan(table: TargetsByDistance, plan: Mapping[str, int]) -> None:
    for row in table.rows:
        row.connections = plan.get(row.name, 0)


def _refusal_expired(now_s: float, stats: TargetStats) -> bool:
    if stats.leaving_signals != LeavingSignal.REFUSAL:
        return False
    return now_s - stats.refused_at_s > _REFUSAL_LIMIT_S


def _no_target(left_out: list[ExcludedTarget]) -> NoTarget:
    whys = {candidate.reason for candidate in left_out}
    if whys & _WAITABLE:
        reason, can_wait = NoTargetReason.NO_UNITS, True
    elif ExclusionReason.TOO_LATE in whys:
        reason, can_wait = NoTargetReason.TOO_LATE, False
    else:
        reason, can_wait = (
            NoTargetReason.ALL_OUT,
            ExclusionReason.EJECTED in whys,
        )
    return NoTarget(reason=reason, can_wait=can_wait, excluded=tuple(left_out))
