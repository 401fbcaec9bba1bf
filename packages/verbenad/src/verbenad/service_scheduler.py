"""Queues, targets and retry budgets of all services at one instance."""

from collections.abc import Callable, Mapping
from random import Random
from statistics import median

from verbenad.budget_loop import BudgetLoop
from verbenad.budget_plan import slots_budget_name
from verbenad.dispatcher import Dispatcher
from verbenad.divided_units import DividedUnits
from verbenad.link_limiter import LinkLimiter
from verbenad.region_units import RegionUnits
from verbenaworks.admission_queue import AdmissionQueue
from verbenaworks.choice_result import Choice, ChoiceRequest, NoTarget
from verbenaworks.compiled_config import CompiledConfig, ServiceConfig
from verbenaworks.connection_plan import connection_plan
from verbenaworks.retry_budget import RetryBudget
from verbenaworks.shift_driver import ShiftMeasurements
from verbenaworks.target import TargetInfo
from verbenaworks.target_choice import TargetChoice
from verbenaworks.targets_by_distance import Location

DEMAND_PERIOD_S = 0.25
FAILED_TARGET_AVOIDANCE_S = 1.0


class ServiceScheduler:
    """Keeps one dispatcher for each service of the configuration."""

    def __init__(
        self,
        *,
        place: Location,
        loop: BudgetLoop,
        now_s: Callable[[], float],
        random: Random,
        links: LinkLimiter | None = None,
    ) -> None:
        self._links = links
        self._place = place
        self._now_s = now_s
        self.region_units = RegionUnits(loop=loop, place=place, now_s=now_s)
        self.units = DividedUnits(
            loop=loop,
            place=place,
            now_s=now_s,
            budget_name=slots_budget_name,
            is_useful=self._is_useful,
            region_limit=self.region_units.region_limit,
        )
        self.choice = TargetChoice(
            place=place,
            units=self.units,
            region_units=self.region_units,
            random=random,
            links=links,
        )
        self.dispatchers: dict[str, Dispatcher] = {}
        self._targets: dict[str, tuple[TargetInfo, ...]] = {}
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._instances: Mapping[str, str] = {place.instance: place.region}
        self._connection_plans: dict[str, Mapping[str, int]] = {}
        self._avoided_until_s: dict[str, float] = {}

    @property
    def all_targets(self) -> list[TargetInfo]:
        """Return the targets of all services."""
        return [t for targets in self._targets.values() for t in targets]

    @property
    def targets(self) -> list[TargetInfo]:
        """Return the targets that this instance may use."""
        return [
            target
            for service, targets in self._targets.items()
            for target in targets
            if self._connection_plans[service].get(target.name, 0) > 0
        ]

    def set_config(self, config: CompiledConfig) -> None:
        """Apply the services of a configuration."""
        self.region_units.set_config(config)
        for name in self.dispatchers.keys() - config.services.keys():
            del self.dispatchers[name], self._targets[name]
        for service in config.services.values():
            targets = target_infos(service)
            if self._targets.get(service.name) != targets:
                self._targets[service.name] = targets
                self._set_targets(service.name, targets)
            if service.name not in self.dispatchers:
                self._add_service(service)

    def set_instances(self, instances: Mapping[str, str]) -> None:
        """Divide the targets' connections among live instances.

        :param instances: region of each live instance by name, this one
            included.
        """
        if instances == self._instances:
            return
        self._instances = dict(instances)
        for service, targets in self._targets.items():
            self._set_connection_plan(service, targets)

    def set_leaving(self, target: str, leaving: bool) -> None:
        """Record whether the platform lists a target as leaving."""
        service, _, _ = target.partition("/")
        if any(t.name == target for t in self._targets.get(service, ())):
            self.choice.record_listing(
                self._now_s(), service, target, leaving=leaving
            )

    def avoid(self, target: TargetInfo) -> None:
        """Request slots of other targets after an attempt on a target failed.

        Otherwise, slots of the failed target would satisfy the demand of the
        service while a retry waits for a slot of another target.
        """
        self._avoided_until_s[target.name] = (
            self._now_s() + FAILED_TARGET_AVOIDANCE_S
        )
        self.units.update_demand()

    def serve(self) -> None:
        """Start waiting requests after grants have changed."""
        self.update_region_demand()
        self._serve_all()

    def _serve_all(self) -> None:
        for dispatcher in self.dispatchers.values():
            dispatcher.serve()

    def serve_one(self, service: str) -> None:
        """Start a service's waiting requests after its targets changed."""
        dispatcher = self.dispatchers.get(service)
        if dispatcher is not None:
            dispatcher.serve()

    def update_demand(self) -> None:
        """Update the demand for units; call it every ``DEMAND_PERIOD_S``."""
        for dispatcher in self.dispatchers.values():
            dispatcher.update_demand()
        self.region_units.update_demand()
        self.units.update_demand()
        if self._links is not None:
            self._links.update_demand(
                self.units.regions_with_units() - {self._place.region},
                {name: d.waiting for name, d in self.dispatchers.items()},
            )
        self.update_region_demand()

    def update_region_demand(self) -> None:
        """Set the demand for region load to match the slots."""
        self.region_units.set_slots(self.units.held())

    def region_measurements(self, region: str) -> ShiftMeasurements | None:
        """Return a region's load as its targets report it, without links.

        Return None if no target has reported. The age is the median age of
        the reports, so that a single target that no longer reports cannot
        block a shift forever.
        """
        now_s = self._now_s()
        slots = in_flight = 0
        ages_s = []
        for service, targets in self._targets.items():
            for target in targets:
                if target.region != region or target.draining:
                    continue
                stats = self.choice.stats(service, target.name)
                slots += target.slots
                if stats.report is None:
                    # Its load is unknown, so it counts as full.
                    in_flight += target.slots
                    continue
                in_flight += min(stats.report.in_flight, target.slots)
                ages_s.append(now_s - stats.report_at_s)
        if not ages_s:
            return None
        return ShiftMeasurements(
            age_s=median(ages_s), headroom_share=1 - in_flight / slots
        )

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        return self._retry_budgets[service]

    def usual_service_time_s(self, service: str) -> float | None:
        """Return the usual service time of a service, None if unknown."""
        return self.choice.service_time(service).mean_s

    def connection_limit(self, target: TargetInfo) -> int:
        """Return how many connections may be open to a target."""
        return self._connection_plans[target.service].get(target.name, 0)

    def waiting(self) -> int:
        """Return how many requests wait for a target."""
        return sum(d.waiting for d in self.dispatchers.values())

    def _is_useful(self, target: TargetInfo) -> bool:
        now_s = self._now_s()
        if now_s < self._avoided_until_s.get(target.name, 0.0):
            return False
        return self.choice.is_in_service(now_s, target.service, target.name)

    def _add_service(self, service: ServiceConfig) -> None:
        name = service.name

        def choose(now_s: float, request: ChoiceRequest) -> Choice | NoTarget:
            return self.choice.choose(now_s, request, self._targets[name])

        queue = AdmissionQueue(
            service=name,
            choose=choose,
            units=self.units,
            time=self.choice.service_time(name),
            shares=self.units,
        )
        self.dispatchers[name] = Dispatcher(
            queue=queue,
            choice=self.choice,
            now_s=self._now_s,
            serve_all=self._serve_all,
        )
        self._retry_budgets[name] = RetryBudget(
            share=service.policy.retry_share
        )

    def _set_targets(
        self, service: str, targets: tuple[TargetInfo, ...]
    ) -> None:
        self.choice.set_targets(self._now_s(), service, targets)
        self._set_connection_plan(service, targets)
        self.units.set_targets(service, targets)

    def _set_connection_plan(
        self, service: str, targets: tuple[TargetInfo, ...]
    ) -> None:
        plan = connection_plan(self._place.instance, self._instances, targets)
        self._connection_plans[service] = plan
        self.choice.set_connection_plan(service, plan)


def target_infos(service: ServiceConfig) -> tuple[TargetInfo, ...]:
    """Return the targets of a service in the form that the choice uses."""
    return tuple(
        TargetInfo(
            name=f"{service.name}/{target.name}",
            service=service.name,
            address=target.address,
            region=target.region,
            failure_domain=target.failure_domain,
            slots=target.slots,
            connections=target.connections,
            draining=target.draining,
        )
        for target in service.targets.values()
    )
