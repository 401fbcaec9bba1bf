"""Choice of the target that runs a request.

The nearest targets are preferred: those of the instance's failure domain,
then of its region, then of other regions, each only while the instance holds
a granted unit there. Among targets at the same distance with about the same
expected completion time, the less loaded of two random ones is chosen (power
of two choices), so that instances with the same view do not all choose the
same target.
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
from verbenaworks.ejection import Ejection, EjectionState
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

# Targets tie unless their expected completion times differ by more than the
# factor and the margin together.
_TIE_FACTOR = 1.25
_TIE_MARGIN_S = 0.002
# A target is used only as a last resort if it is slower than its service by
# the factor and the margin together.
_SLOW_FACTOR = 3.0
_SLOW_MARGIN_S = 0.005
# A target is unresponsive after this many expected service times without a
# response, but not before the minimum time.
_UNRESPONSIVE_FACTOR = 5.0
_MIN_UNRESPONSIVE_S = 0.5
# Without probe results, a refusal is forgotten after this time.
_MAX_REFUSAL_AGE_S = 30.0

_TEMPORARY_REASONS = frozenset(
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


class _ServiceState:
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
    :param links: links to and from other regions; none if they are not
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
        self._services: dict[str, _ServiceState] = {}
        self._slow_start = SlowStart(place.instance)

    def choose(
        self,
        now_s: float,
        request: ChoiceRequest,
        candidates: Sequence[TargetInfo],
    ) -> Choice | NoTarget:
        """Choose a target and acquire its units.

        :param candidates: all targets of the service. Pass the same object
            until the list changes; a different object rebuilds the table.
        """
        service = self._service(now_s, request.service, candidates)
        table = service.table
        if table is None or not table.rows:
            return NoTarget(
                reason=NoTargetReason.NO_TARGETS, can_wait=False, excluded=()
            )
        full_regions = self._full_regions(table)
        excluded: list[ExcludedTarget] = []
        last_resort: list[TargetRow] = []
        for distance, rows in enumerate(table.rows_by_distance):
            if distance == 2 and rows:
                full_regions |= self._full_links(request, table, full_regions)
            usable: list[TargetRow] = []
            for row in rows:
                reason = self._exclusion_reason(
                    now_s, request, service, row, full_regions
                )
                if reason is None:
                    usable.append(row)
                    continue
                excluded.append(ExcludedTarget(row.name, reason))
                if (
                    reason is ExclusionReason.SLOW
                    or reason is ExclusionReason.SILENT
                ):
                    last_resort.append(row)
            if usable:
                excluded.extend(table.farther_candidates[distance])
                return self._start_attempt(
                    now_s, request, service, usable, excluded
                )
        if last_resort:
            names = {row.name for row in last_resort}
            kept = [c for c in excluded if c.name not in names]
            return self._start_attempt(
                now_s, request, service, last_resort, kept
            )
        return _no_target(excluded)

    def finish(self, now_s: float, choice: Choice, outcome: Outcome) -> None:
        """Release the units of an attempt and record its outcome."""
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
        stats.record_end(now_s)
        match outcome:
            case Completed():
                if not self._record_completion(now_s, service, choice):
                    return
            case Failed():
                stats.record_failure()
                service.ejection.record_failure(now_s, target.name)
            case RefusedLeaving():
                stats.record_refusal(now_s)
            case RefusedOverload(retry_after_s=retry_after_s):
                stats.record_overload(now_s, retry_after_s)
            case Cancelled():
                return
        self._refresh_rows(now_s, service)

    def _record_completion(
        self, now_s: float, service: _ServiceState, choice: Choice
    ) -> bool:
        """Record a complete response; true if this re-admits the target."""
        target = choice.target
        stats = service.stats[target.name]
        elapsed_s = now_s - choice.started_s - self._round_trip_s(target)
        if choice.link is not None:
            # Waiting for a full link says nothing about the target.
            elapsed_s -= choice.link.waited_s
        # The configured delays are usual values; a response may be faster.
        elapsed_s = max(elapsed_s, 0.0)
        stats.record_response(now_s, elapsed_s)
        service.time.record(now_s, elapsed_s)
        is_readmitted = service.ejection.record_success(target.name)
        if _refusal_expired(choice.started_s, stats):
            stats.set_leaving_signal(LeavingSignal.REFUSAL, False)
            is_readmitted = True
        if is_readmitted:
            self._slow_start.start(now_s, target.name)
        return is_readmitted

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
        stats.record_probe(asked_s, health)
        state.ejection.record_probe(now_s, target, failing=stats.probe_failing)
        if was_leaving and not stats.leaving_signals:
            self._slow_start.start(now_s, target)
        self._refresh_rows(now_s, state)

    def record_load_report(
        self,
        measured_s: float,
        service: str,
        target: str,
        report: LoadReport,
    ) -> None:
        """Record a load report that was requested at ``measured_s``."""
        state = self._services[service]
        state.stats[target].record_report(measured_s, report)
        state.time.measured_at_s = max(state.time.measured_at_s, measured_s)

    def record_listing(
        self, now_s: float, service: str, target: str, *, leaving: bool
    ) -> None:
        """Record the state of a target in the instance list."""
        state = self._services[service]
        stats = state.stats[target]
        was_leaving = bool(stats.leaving_signals)
        stats.set_leaving_signal(LeavingSignal.INSTANCE_LIST, leaving)
        if was_leaving and not stats.leaving_signals:
            self._slow_start.start(now_s, target)
        self._refresh_rows(now_s, state)

    def set_targets(
        self, now_s: float, service: str, candidates: Sequence[TargetInfo]
    ) -> None:
        """Set the targets of a service before the first request."""
        self._service(now_s, service, candidates)

    def set_connection_plan(
        self, service: str, plan: Mapping[str, int]
    ) -> None:
        """Limit the connections to each target; absent targets get none."""
        state = self._services.setdefault(service, _ServiceState())
        state.plan = plan
        if state.table is not None:
            _apply_plan(state.table, plan)

    def usable(self, now_s: float, target: TargetInfo) -> bool:
        """Return whether the instance can use units of the target."""
        service = self._services[target.service]
        row = service.table.by_name[target.name] if service.table else None
        if row is None or row.stats.leaving_signals or row.connections == 0:
            return False
        if row.ejected:
            ejection_state = service.ejection.state(now_s, row.name)
            if ejection_state is EjectionState.EJECTED:
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
        return self._services.setdefault(service, _ServiceState()).time

    def is_in_service(self, now_s: float, service: str, target: str) -> bool:
        """Return whether a target is neither leaving nor ejected."""
        state = self._services.get(service)
        if state is None or target not in state.stats:
            return False
        if state.stats[target].leaving_signals:
            return False
        return state.ejection.state(now_s, target) is not EjectionState.EJECTED

    def _exclusion_reason(
        self,
        now_s: float,
        request: ChoiceRequest,
        service: _ServiceState,
        row: TargetRow,
        full_regions: Mapping[str, ExclusionReason],
    ) -> ExclusionReason | None:
        """Return why a target cannot be used, or ``None``."""
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
            ejection_state = service.ejection.state(now_s, name)
            if ejection_state is EjectionState.EJECTED:
                return ExclusionReason.EJECTED
            if ejection_state is EjectionState.PROBATION and stats.in_flight:
                return ExclusionReason.PROBATION
        if now_s < stats.shed_until_s:
            return ExclusionReason.SHEDDING
        if stats.in_flight >= row.connections:
            if row.connections == 0:
                return ExclusionReason.NOT_IN_SUBSET
            return ExclusionReason.NO_CONNECTION
        if self._units.available(name) < 1:
            return ExclusionReason.NO_UNITS
        if full_regions and row.region in full_regions:
            return full_regions[row.region]
        if self._slow_start.is_active(name):
            limit = self._slow_start.limit(
                now_s, name, row.info.slots, all_cold=service.all_cold
            )
            if stats.in_flight >= limit:
                return ExclusionReason.COLD
        return self._time_exclusion_reason(now_s, request, service, row)

    def _full_regions(
        self, table: TargetsByDistance
    ) -> dict[str, ExclusionReason]:
        """Return the regions where no unit of load is available."""
        full_regions: dict[str, ExclusionReason] = {}
        for region, _ in table.regions:
            if self._region_units.available(region) < 1:
                full_regions[region] = ExclusionReason.REGION_FULL
        return full_regions

    def _full_links(
        self,
        request: ChoiceRequest,
        table: TargetsByDistance,
        full_regions: Mapping[str, ExclusionReason],
    ) -> dict[str, ExclusionReason]:
        """Return the other regions whose links lack tokens.

        Call this only for a request that finds no target in its own region,
        because the check creates demand for the link's budgets.
        """
        full_links: dict[str, ExclusionReason] = {}
        if self._links is None:
            return full_links
        for region, is_far in table.regions:
            if is_far and region not in full_regions:
                reason = self._links.exclusion_reason(request.service, region)
                if reason is not None:
                    full_links[region] = reason
        return full_links

    def _time_exclusion_reason(
        self,
        now_s: float,
        request: ChoiceRequest,
        service: _ServiceState,
        row: TargetRow,
    ) -> ExclusionReason | None:
        stats = row.stats
        usual_s = service.time.mean_s
        if usual_s is None:
            row.expected_s = row.round_trip_s
            return None
        expected_s = stats.expected_s(now_s, usual_s)
        row.expected_s = row.round_trip_s + expected_s
        min_time_s = row.round_trip_s + max(
            expected_s - 2 * stats.deviation_s, expected_s / 4
        )
        if now_s + min_time_s > request.deadline_s:
            return ExclusionReason.TOO_LATE
        if expected_s > _SLOW_FACTOR * usual_s + _SLOW_MARGIN_S:
            return ExclusionReason.SLOW
        if stats.in_flight:
            unresponsive_s = now_s - stats.last_event_at_s
            if (
                unresponsive_s > _MIN_UNRESPONSIVE_S
                and unresponsive_s > _UNRESPONSIVE_FACTOR * expected_s
            ):
                return ExclusionReason.SILENT
        return None

    def _start_attempt(
        self,
        now_s: float,
        request: ChoiceRequest,
        service: _ServiceState,
        usable: list[TargetRow],
        excluded: list[ExcludedTarget],
    ) -> Choice | NoTarget:
        mode = ChoiceMode.FALLBACK
        if service.time.is_measured(now_s):
            mode = ChoiceMode.MEASURED
        while usable:
            if mode is ChoiceMode.FALLBACK:
                row = min(usable, key=lambda r: (r.stats.in_flight, r.name))
            else:
                row = self._pick_less_loaded(now_s, usable)
            usable.remove(row)
            acquired = self._acquire_units(row, request)
            if not isinstance(acquired, ExclusionReason):
                break
            excluded.append(ExcludedTarget(row.name, acquired))
        else:
            return _no_target(excluded)
        excluded += [other.slower_candidate for other in usable]
        row.stats.record_start(now_s)
        return Choice(
            target=row.info,
            workspace=request.workspace,
            started_s=now_s,
            expected_s=row.expected_s,
            mode=mode,
            excluded=tuple(excluded),
            link=acquired,
        )

    def _pick_less_loaded(
        self, now_s: float, usable: list[TargetRow]
    ) -> TargetRow:
        """Return the less loaded of two random tied targets."""
        if len(usable) == 1:
            return usable[0]
        min_time_s = min([row.expected_s for row in usable])
        limit_s = min_time_s * _TIE_FACTOR + _TIE_MARGIN_S
        tied = [row for row in usable if row.expected_s <= limit_s]
        if len(tied) == 1:
            return tied[0]
        first = int(self._random.random() * len(tied))
        second = int(self._random.random() * (len(tied) - 1))
        if second >= first:
            second += 1
        a, b = tied[first], tied[second]
        if b.stats.load(now_s, b.info.slots) < a.stats.load(
            now_s, a.info.slots
        ):
            return b
        return a

    def _acquire_units(
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
        reservation = self._links.take(request.service, row.region)
        if isinstance(reservation, ExclusionReason):
            self._units.release(row.name, workspace)
            self._region_units.release(row.region, workspace)
        return reservation

    def _service(
        self, now_s: float, name: str, candidates: Sequence[TargetInfo]
    ) -> _ServiceState:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _ServiceState()
        table = service.table
        if table is None or table.candidates is not candidates:
            self._rebuild_table(now_s, service, candidates)
        return service

    def _rebuild_table(
        self,
        now_s: float,
        service: _ServiceState,
        candidates: Sequence[TargetInfo],
    ) -> None:
        previous_stats = service.stats
        is_first = service.table is None
        service.stats = {}
        for info in candidates:
            stats = previous_stats.get(info.name)
            if stats is None:
                stats = TargetStats()
                if not is_first:
                    self._slow_start.start(now_s, info.name)
            was_leaving = bool(stats.leaving_signals)
            stats.set_leaving_signal(
                LeavingSignal.DRAIN_SETTING, info.draining
            )
            if was_leaving and not stats.leaving_signals:
                self._slow_start.start(now_s, info.name)
            service.stats[info.name] = stats
        for removed in previous_stats.keys() - service.stats.keys():
            self._slow_start.forget(removed)
        service.table = TargetsByDistance(
            self._place, candidates, service.stats
        )
        if service.plan is not None:
            _apply_plan(service.table, service.plan)
        service.ejection.set_targets(frozenset(service.stats))
        self._refresh_rows(now_s, service)

    def _refresh_rows(self, now_s: float, service: _ServiceState) -> None:
        """Update the rows after an event."""
        if service.table is None:
            return
        for name, stats in service.stats.items():
            service.ejection.set_leaving(name, bool(stats.leaving_signals))
        service.all_cold = True
        for row in service.table.rows:
            ejection_state = service.ejection.state(now_s, row.name)
            row.ejected = ejection_state is not EjectionState.IN_SERVICE
            usable = not row.ejected and not row.stats.leaving_signals
            if usable and not self._slow_start.is_active(row.name):
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
    return now_s - stats.refused_at_s > _MAX_REFUSAL_AGE_S


def _no_target(excluded: list[ExcludedTarget]) -> NoTarget:
    reasons = {candidate.reason for candidate in excluded}
    if reasons & _TEMPORARY_REASONS:
        reason, can_wait = NoTargetReason.NO_UNITS, True
    elif ExclusionReason.TOO_LATE in reasons:
        reason, can_wait = NoTargetReason.TOO_LATE, False
    else:
        reason, can_wait = (
            NoTargetReason.ALL_UNAVAILABLE,
            ExclusionReason.EJECTED in reasons,
        )
    return NoTarget(reason=reason, can_wait=can_wait, excluded=tuple(excluded))
