"""Classes of requests while services are short of capacity."""

import copy
from collections.abc import Callable, Collection, Mapping
from heapq import nlargest
from operator import itemgetter

from verbenaworks.steering.admission_class import AdmissionClass
from verbenaworks.steering.admission_counts import AdmissionCounts
from verbenaworks.steering.fleet_demand import (
    MAX_REPORTED_WORKSPACES,
    UNITS_PER_S,
    FleetDemand,
)
from verbenaworks.steering.refusal_spells import RefusalSpells
from verbenaworks.steering.report_summary import short_hash
from verbenaworks.steering.shortage_level import ShortageLevel
from verbenaworks.steering.workspace_shares import WorkspaceShares

# Time between two computations of the shares: a fraction of the period of the
# reports that they are computed from.
SHARE_PERIOD_S = 0.2
# Demand is reported for this long after a shortage, for instances that still
# see one.
REPORT_AFTER_S = 2.0
# Requests that return go before new ones of their rank, and those with less
# time left before others. With twice these steps as many callers are answered,
# but more of them late: who returns has used up most of the objective.
RETURNING_STEP = 0.25
TIME_LEFT_STEP = 0.1


class _Service:
    """What one instance knows of the requests for a service."""

    def __init__(self, weights: Mapping[int, float]) -> None:
        self.counts = AdmissionCounts()
        self.shortage = ShortageLevel()
        self.shares = WorkspaceShares(weights)
        self.spells = RefusalSpells()
        self.shares_at_s = float("-inf")
        self.short_at_s = float("-inf")


class RankAdmission:
    """Classifies the requests of one instance by rank and share.

    :ivar demand: arrivals at the other instances.
    :ivar on_refusal: called with the service, the rank and the reason of each
        refusal.
    """

    def __init__(self) -> None:
        self.demand = FleetDemand()
        self.on_refusal: Callable[[str, int, str], None] = _ignore
        self._services: dict[str, _Service] = {}

    def __deepcopy__(self, memo: dict[int, object]) -> "RankAdmission":
        # A copy is used for explanations, whose refusals do not count.
        copied = RankAdmission()
        memo[id(self)] = copied
        copied.demand = copy.deepcopy(self.demand, memo)
        copied._services = copy.deepcopy(self._services, memo)
        return copied

    def set_services(
        self,
        names: Collection[str],
        weights: Mapping[str, float] | None = None,
    ) -> None:
        """Set the services for which ranks or workspaces compete.

        Requests of other services have no class.

        :param weights: weights of the workspaces in a shortage.
        """
        by_hash = {
            short_hash(workspace): weight
            for workspace, weight in (weights or {}).items()
        }
        services = {}
        for name in names:
            service = services[name] = _Service(by_hash)
            known = self._services.get(name)
            if known is not None:
                service.counts = known.counts
                service.shortage = known.shortage
                service.spells = known.spells
        self._services = services

    def classify(
        self,
        now_s: float,
        service_name: str,
        rank: int,
        workspace: str,
        *,
        is_returning: bool = False,
        time_left_share: float = 1.0,
    ) -> AdmissionClass | None:
        """Return the class of a new request; none without a shortage.

        :param time_left_share: time until the caller stops waiting, relative
            to the timeout of the route.
        """
        service = self._services.get(service_name)
        if service is None or not service.shortage.is_short:
            return None
        self._update_shares(now_s, service_name, service)
        counts = service.counts
        is_within = service.shares.take(rank, workspace)
        is_starved = counts.is_starved(now_s, rank, workspace)
        number = 0.0
        if not is_starved:
            number = counts.rank_count(now_s, rank) + float(not is_within)
        number -= RETURNING_STEP * is_returning
        number -= TIME_LEFT_STEP * max(0.0, 1.0 - time_left_share)
        return AdmissionClass(
            rank=rank,
            number=number,
            # Requests above the shares of the last rank are one more class.
            classes=counts.rank_count(now_s) + 1,
            is_above_share=not is_within,
            is_starved=is_starved,
            refused_for_s=service.spells.lasted_s(now_s, rank),
            share_per_s=service.shares.limit_per_s(rank),
            age_s=self.demand.age_s(now_s),
            level=service.shortage.level,
            separation=service.shortage.separation,
        )

    def record(
        self,
        now_s: float,
        service_name: str,
        rank: int,
        workspace: str,
        *,
        is_admitted: bool,
        is_late: bool,
        is_sustained: bool,
    ) -> None:
        """Count a new request.

        :param is_late: whether its wait would miss the latency objective.
        :param is_sustained: whether the overload of the service is sustained.
        """
        service = self._services.get(service_name)
        if service is None:
            return
        service.counts.record(now_s, rank, workspace, is_admitted=is_admitted)
        if not is_admitted:
            service.spells.record_refusal(now_s, rank)
        service.shortage.observe(
            now_s,
            is_pressed=is_late or not is_admitted,
            is_sustained=is_sustained,
        )
        if service.shortage.is_short:
            service.short_at_s = now_s

    def reported_demand(self, now_s: float) -> dict[int, dict[int, int]]:
        """Return the demand for services that are short, for a report.

        Arrivals per second in hundredths, by short hashes of the service and
        of the workspace.
        """
        return {
            short_hash(name): _pack(service.counts.demand_per_s(now_s))
            for name, service in self._services.items()
            if service.short_at_s >= now_s - REPORT_AFTER_S
        }

    def shortage_levels(self) -> dict[str, float]:
        """Return the level of the shortage by service."""
        return {
            name: service.shortage.level
            for name, service in self._services.items()
        }

    def share_limits_per_s(self) -> dict[str, float]:
        """Return the share limits of services that are short, by service."""
        limits = {}
        for name, service in self._services.items():
            if service.shortage.is_short:
                limit = service.shares.first_limit_per_s
                if limit is not None:
                    limits[name] = limit
        return limits

    def _update_shares(
        self, now_s: float, name: str, service: _Service
    ) -> None:
        if now_s < service.shares_at_s + SHARE_PERIOD_S:
            return
        service.shares_at_s = now_s
        service.counts.forget_old(now_s)
        service.shares.update(
            service.counts.demand_per_s(now_s),
            self.demand.per_s(now_s, short_hash(name)),
            service.counts.admitted_share(now_s),
        )


def _ignore(service: str, rank: int, reason: str) -> None:
    """Do nothing with a refusal."""


def _pack(per_s: Mapping[tuple[int, str], float]) -> dict[int, int]:
    units: dict[int, int] = {}
    for (_, workspace), arrivals_per_s in per_s.items():
        key = short_hash(workspace)
        units[key] = units.get(key, 0) + round(arrivals_per_s * UNITS_PER_S)
    return dict(
        nlargest(MAX_REPORTED_WORKSPACES, units.items(), key=itemgetter(1))
    )
