"""Queueing model in virtual time for the choice of targets.

The choice, the admission queue, the demand, the retry budget, the statistics
and the exchange of budgets are the daemon's own code. Targets, network delays
and callers are modelled here. A central division of units with full knowledge
gives an upper bound for the exchange.
"""

import heapq
import itertools
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from math import exp
from random import Random

from exact_allocator import Share, assign_units, divide_units
from model_exchange import ExchangeFleet, ExchangeInstance, model_config
from standins.check_target_choice import (
    Event,
    LeavingSignalSeen,
    RegionLimit,
    WorkEnded,
    WorkStarted,
)
from standins.deployments import Deployment
from verbenad.budget_plan import region_parts
from verbenad.service_scheduler import target_infos
from verbenaworks.admission_queue import AdmissionQueue
from verbenaworks.attempt_outcome import (
    Completed,
    Failed,
    Outcome,
    RefusedLeaving,
    RefusedOverload,
)
from verbenaworks.budget_spec import GRANT_TTL_S, with_drift_margin_s
from verbenaworks.choice_result import Choice, ChoiceRequest
from verbenaworks.load_report import Health, LoadReport
from verbenaworks.queue_result import Shed, Started
from verbenaworks.retry_budget import RetryBudget
from verbenaworks.target import TargetInfo
from verbenaworks.target_choice import TargetChoice
from verbenaworks.targets_by_distance import Location

DIVISION_PERIOD_S = 0.25
REPORT_PERIOD_S = 1.0
REPORT_DELAY_S = 0.5
SAMPLE_PERIOD_S = 0.25
LISTING_DELAY_S = 3.0
CONNECT_TIMEOUT_S = 0.5
HEADROOM_SHARE = 0.9
# A target with cold caches takes twice the time. The extra time falls to 1/e
# after this number of requests.
COLD_CACHE_REQUESTS = 15.0
# Requests beyond its slots that a target queues before it refuses, as a
# multiple of its slots.
TARGET_QUEUE_PER_SLOT = 4
WORKSPACE_WEIGHTS = (6.0, 5.0, 4.0, 1.0, 1.0, 1.0, 0.5, 0.5)
HOT_WORKSPACE = "w0"


# Mean service time and deadline of the modelled requests, in the order of a
# deployment's services. The stand-in servers use shorter times, so that a
# whole deployment fits on one machine.
SERVICE_TIMES_AND_DEADLINES_S = (
    (0.100, 1.0),
    (0.250, 2.0),
    (1.000, 8.0),
    (0.150, 1.5),
)
EXCHANGE, EXACT = "verbena", "exact division"


@dataclass(frozen=True, kw_only=True)
class Service:
    """A service: its targets, its mean service time and its deadline."""

    name: str
    targets: int
    slots: int
    mean_s: float
    deadline_s: float


def model_services(deployment: Deployment) -> dict[str, Service]:
    """Return the services of a deployment with the model's times."""
    return {
        size.name: Service(
            name=size.name,
            targets=size.targets,
            slots=size.slots,
            mean_s=mean_s,
            deadline_s=deadline_s,
        )
        for size, (mean_s, deadline_s) in zip(
            deployment.services, SERVICE_TIMES_AND_DEADLINES_S, strict=True
        )
    }


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """One run of the model.

    :param load: offered work as a multiple of the capacity that remains.
    :param policy: :data:`EXCHANGE`, :data:`EXACT` or a baseline's name.
    :param lose_region: whether the last region fails at ``lose_at_s``.
    :param hot: whether the largest workspace sends five times its rate.
    :param shares: whether the admission queues use the workspace shares.
    :param leave_at_s: when the first target of each service starts to leave.
    :param record: whether to record a history of events.
    """

    deployment: Deployment
    load: float
    policy: str = EXCHANGE
    lose_region: bool = False
    hot: bool = False
    seed: int = 1
    duration_s: float = 16.0
    warm_up_s: float = 8.0
    lose_at_s: float = 3.0
    shares: bool = True
    leave_at_s: float | None = None
    record: bool = False


@dataclass(kw_only=True)
class Result:
    """Measurements of one run after its warm-up.

    :ivar capacity_work: seconds of work that the remaining capacity can do.
    :ivar offered: seconds of offered work by workspace.
    :ivar good: seconds of work completed before the deadline by workspace.
    :ivar ends: number of unserved requests by reason.
    :ivar queued_at_targets: requests that arrived when a target's slots were
        all in use.
    """

    capacity_work: float = 0.0
    offered: Counter[str] = field(default_factory=Counter)
    good: Counter[str] = field(default_factory=Counter)
    requests: Counter[str] = field(default_factory=Counter)
    unserved: Counter[str] = field(default_factory=Counter)
    ends: Counter[str] = field(default_factory=Counter)
    latencies_s: list[float] = field(default_factory=list)
    peak_region_share: float = 0.0
    queued_at_targets: int = 0
    units: Counter[str] = field(default_factory=Counter)
    by_service: dict[str, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter)
    )


class ModelUnitPool:
    """Units of one instance for one kind of budget.

    :ivar granted: units that the instance may use now, by target.
    :ivar allotted: units that the newest division gives it, by target.
    """

    def __init__(self) -> None:
        self.granted: Counter[str] = Counter()
        self.allotted: Counter[str] = Counter()
        self.used: Counter[str] = Counter()
        self.granted_by_workspace: dict[str, dict[str, int]] = defaultdict(
            dict
        )
        self.demand: dict[str, dict[str, int]] = defaultdict(dict)

    def available(self, target: str) -> int:
        """Return the granted units that are not in use."""
        return self.granted[target] - self.used[target]

    def take(self, target: str, workspace: str) -> bool:
        """Put one unit in use."""
        if self.available(target) < 1:
            return False
        self.used[target] += 1
        return True

    def release(self, target: str, workspace: str) -> None:
        """Return one unit; its grant ends if it is no longer allotted."""
        if self.used[target] < 1:
            raise ValueError(f"no unit of {target} is in use")
        self.used[target] -= 1
        if self.granted[target] > self.allotted[target]:
            self.granted[target] -= 1

    def share(self, service: str, workspace: str) -> float:
        """Return the units that were granted for a workspace."""
        return self.granted_by_workspace[service].get(workspace, 0)

    def set_demand(self, service: str, workspace: str, amount: int) -> None:
        """Record the newest demand."""
        self.demand[service][workspace] = amount


class Target:
    """A modelled backend server."""

    def __init__(self, info: TargetInfo) -> None:
        self.info = info
        self.alive = True
        self.leaving = False
        self.running = 0
        self.served = 1000
        self.waiting: list[tuple[float, Callable[[], None]]] = []


class Instance:
    """A modelled entry instance."""

    def __init__(self, index: int, location: Location) -> None:
        self.index = index
        self.location = location
        self.alive = True
        self.slots = ModelUnitPool()
        self.regions = ModelUnitPool()
        self.choice: TargetChoice
        self.queues: dict[str, AdmissionQueue] = {}
        self.retries = RetryBudget()
        self.scheduled_checks_s: dict[str, float] = {}
        self.round_robin_count = 0
        self.member: ExchangeInstance | None = None


class Model:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.random = Random(scenario.seed)
        self.now_s = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.result = Result()
        self.history: list[Event] = []
        deployment = scenario.deployment
        self.services = model_services(deployment)
        config = model_config(
            deployment,
            {s.name: s.deadline_s for s in self.services.values()},
            1.0 - HEADROOM_SHARE,
        )
        domains = [(r, d) for d, r in deployment.failure_domains]
        regions = list(dict.fromkeys(region for region, _ in domains))
        self.targets: dict[str, Target] = {}
        self.lists: dict[str, tuple[TargetInfo, ...]] = {}
        for service in config.services.values():
            infos = target_infos(service)
            self.lists[service.name] = infos
            self.targets.update({i.name: Target(i) for i in infos})
        self.regions = regions
        self.lost_region = regions[-1] if scenario.lose_region else None
        self.is_loss_listed = False
        self.limits = {
            region: sum(region_parts(config, region).values())
            for region in regions
        }
        self.region_load: Counter[str] = Counter()
        self.reports: dict[str, int] = dict.fromkeys(self.targets, 0)
        locations = [
            Location(
                instance=f"i{index}",
                region=region,
                failure_domain=domain,
                domain_delay_s=deployment.domain_delay_s,
                region_delay_s=deployment.region_delay_s,
            )
            for index in range(deployment.instances)
            for region, domain in [domains[index % len(domains)]]
        ]
        self.fleet: ExchangeFleet | None = None
        if scenario.policy == EXCHANGE:
            self.fleet = ExchangeFleet(
                deployment=deployment,
                config=config,
                locations=locations,
                now_s=lambda: self.now_s,
                after=self.after,
            )
        self.instances = [
            self._instance(index, location)
            for index, location in enumerate(locations)
        ]
        self.capacity = sum(
            limit for r, limit in self.limits.items() if r != self.lost_region
        )
        all_slots = sum(t.info.slots for t in self.targets.values())
        self.rates = {
            s.name: scenario.load
            * self.capacity
            * (s.targets * s.slots / all_slots)
            / s.mean_s
            for s in self.services.values()
        }
        self.weights = {
            f"w{n}": weight for n, weight in enumerate(WORKSPACE_WEIGHTS)
        }
        scale = sum(self.weights.values())
        self.weights = {w: v / scale for w, v in self.weights.items()}
        if scenario.hot:
            self.weights[HOT_WORKSPACE] *= 5.0

    def _instance(self, index: int, location: Location) -> Instance:
        instance = Instance(index, location)
        if self.fleet is not None:
            member = self.fleet.members[location.instance]
            instance.member = member
            instance.choice = member.scheduler.choice
            for name, dispatcher in member.scheduler.dispatchers.items():
                instance.queues[name] = dispatcher.queue

            def dispatch_all() -> None:
                member.scheduler.update_region_demand()
                for name in self.lists:
                    self.dispatch_waiting(instance, name)

            member.on_granted = dispatch_all
            return instance
        choice = instance.choice = TargetChoice(
            place=location,
            units=instance.slots,
            region_units=instance.regions,
            random=Random(index),
        )
        for name, infos in self.lists.items():
            choice.set_targets(0.0, name, infos)
            instance.queues[name] = AdmissionQueue(
                service=name,
                choose=lambda now_s, r, infos=infos: choice.choose(
                    now_s, r, infos
                ),
                units=instance.slots,
                time=choice.service_time(name),
                shares=instance.slots if self.scenario.shares else None,
            )
        return instance

    def run(self) -> Result:
        """Run the scenario and return what it measured."""
        scenario = self.scenario
        for name in self.services:
            self._next_arrival(name)
        self._send_reports()
        self._sample()
        if scenario.policy == EXACT:
            self._divide_units()
        if self.lost_region is not None:
            self.after(scenario.lose_at_s, self._lose_region)
        if scenario.leave_at_s is not None:
            self.after(scenario.leave_at_s, self._start_leaving)
        for region, limit in self.limits.items():
            self.record(RegionLimit(at_s=0.0, region=region, limit=limit))
        end_s = scenario.duration_s
        while self.events and self.events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self.events)
            action()
        # Requests that are still open are not counted. About as many were
        # open at the start of the measurement and were counted at their end.
        self.result.capacity_work = self.capacity * (
            end_s - scenario.warm_up_s
        )
        return self.result

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(
            self.events, (self.now_s + delay_s, next(self.order), action)
        )

    # Sampling

    def _sample(self) -> None:
        """Sum up the units of the live regions, by where they are."""
        self.after(SAMPLE_PERIOD_S, self._sample)
        if self.fleet is None or self.now_s < self.scenario.warm_up_s:
            return
        units = self.result.units
        units["samples"] += 1
        for region, limit in self.limits.items():
            if region == self.lost_region:
                continue
            units["limit"] += limit
            units["running"] += self.region_load[region]
            for instance in self.instances:
                if not instance.alive or instance.member is None:
                    continue
                slots = instance.member.scheduler.units.held()[region]
                load = instance.member.scheduler.region_units.held()[region]
                units["slots"] += slots
                units["load"] += load
                units["load without slots"] += max(0, load - slots)
                units["slots without load"] += max(0, slots - load)

    # Callers

    def _next_arrival(self, service: str) -> None:
        rate = self.rates[service] * sum(self.weights.values())
        self.after(
            self.random.expovariate(rate), lambda: self._arrive(service)
        )

    def _arrive(self, service: str) -> None:
        self._next_arrival(service)
        names = list(self.weights)
        (workspace,) = self.random.choices(
            names, weights=list(self.weights.values())
        )
        instance = self._choose_instance(int(workspace[1:]))
        spec = self.services[service]
        request = ChoiceRequest(
            request_id=str(next(self.order)),
            service=service,
            workspace=workspace,
            deadline_s=self.now_s + spec.deadline_s,
            idempotent=True,
        )
        if self.now_s >= self.scenario.warm_up_s:
            self.result.offered[workspace] += spec.mean_s
            self.result.requests[workspace] += 1
            self.result.by_service[service]["offered"] += 1
        instance.retries.request(self.now_s)
        call = Call(self, instance, request, spec)
        if self.scenario.policy in (EXCHANGE, EXACT):
            call.offer()
        else:
            call.send_baseline(frozenset())

    def _choose_instance(self, workspace: int) -> Instance:
        """Return the entry instance for a request of a workspace.

        The two smallest workspaces use one instance each. The others send 60%
        of their requests to the instances of their home region.
        """
        alive = [i for i in self.instances if i.alive]
        if workspace >= 6:
            return alive[(workspace * 5) % len(alive)]
        home = self.regions[workspace % len(self.regions)]
        if self.random.random() < 0.6:
            local = [i for i in alive if i.location.region == home]
            alive = local or alive
        return self.random.choice(alive)

    # Targets

    def delay_s(self, instance: Instance, info: TargetInfo) -> float:
        """Return the one-way delay between an instance and a target."""
        if info.region != instance.location.region:
            return self.scenario.deployment.region_delay_s
        if info.failure_domain != instance.location.failure_domain:
            return self.scenario.deployment.domain_delay_s
        return 0.0

    def run_at(
        self,
        target: Target,
        spec: Service,
        deadline_s: float,
        done: Callable[[Outcome], None],
    ) -> None:
        """Run a request at a target, or let the target queue or refuse it."""
        if target.leaving:
            self.record(
                LeavingSignalSeen(at_s=self.now_s, target=target.info.name)
            )
            done(RefusedLeaving())
        elif target.running < target.info.slots:
            self._execute(target, spec, done)
        elif len(target.waiting) < TARGET_QUEUE_PER_SLOT * target.info.slots:
            self.result.queued_at_targets += 1
            target.waiting.append(
                (deadline_s, lambda: self._execute(target, spec, done))
            )
        else:
            done(RefusedOverload())

    def _execute(
        self, target: Target, spec: Service, done: Callable[[Outcome], None]
    ) -> None:
        target.running += 1
        region = target.info.region
        self.region_load[region] += 1
        if self.now_s >= self.scenario.warm_up_s:
            share = self.region_load[region] / self.limits[region]
            self.result.peak_region_share = max(
                self.result.peak_region_share, share
            )
        cold_factor = 1.0 + exp(-target.served / COLD_CACHE_REQUESTS)
        # A gamma distribution of shape 4 has a standard deviation of half
        # its mean.
        run_s = self.random.gammavariate(4.0, spec.mean_s / 4.0) * cold_factor

        def end() -> None:
            target.running -= 1
            self.region_load[region] -= 1
            if not target.alive:
                return
            target.served += 1
            while target.waiting and target.running < target.info.slots:
                deadline_s, start = target.waiting.pop(0)
                if deadline_s > self.now_s:
                    start()
            done(Completed())

        self.after(run_s, end)

    def _send_reports(self) -> None:
        self.after(REPORT_PERIOD_S, self._send_reports)
        loads = {
            name: t.running + len(t.waiting)
            for name, t in self.targets.items()
            if t.alive
        }
        measured_s = self.now_s
        self.after(REPORT_DELAY_S, lambda: self._deliver(measured_s, loads))

    def _deliver(self, measured_s: float, loads: dict[str, int]) -> None:
        self.reports.update(loads)
        if self.scenario.policy not in (EXCHANGE, EXACT):
            return
        for instance in self.instances:
            if not instance.alive:
                continue
            for name, target in self.targets.items():
                service = target.info.service
                health = Health.OK if name in loads else Health.NO_ANSWER
                instance.choice.record_probe(
                    self.now_s, measured_s, service, name, health
                )
                if name in loads:
                    instance.choice.record_load_report(
                        measured_s,
                        service,
                        name,
                        LoadReport(in_flight=loads[name]),
                    )

    def _lose_region(self) -> None:
        for target in self.targets.values():
            target.alive = (
                target.alive and target.info.region != self.lost_region
            )
            if target.alive:
                target.served = 0
        for instance in self.instances:
            instance.alive = instance.location.region != self.lost_region
        self.after(LISTING_DELAY_S, self._list_lost_targets)
        if self.fleet is not None:
            names = {
                i.location.instance for i in self.instances if not i.alive
            }
            self.fleet.kill_instances(names)
        self.after(with_drift_margin_s(GRANT_TTL_S), self._expire_grants)

    def _start_leaving(self) -> None:
        """Let the first target of each service leave.

        It refuses new requests at once. Its health endpoint still reports
        that it serves, and the instance list shows the change only after
        :data:`LISTING_DELAY_S`.
        """
        for infos in self.lists.values():
            self.targets[infos[0].name].leaving = True

        def list_them() -> None:
            for instance in self.instances:
                for service, infos in self.lists.items():
                    instance.choice.record_listing(
                        self.now_s, service, infos[0].name, leaving=True
                    )

        self.after(LISTING_DELAY_S, list_them)

    def record(self, event: Event) -> None:
        """Add an event to the history."""
        if self.scenario.record:
            self.history.append(event)

    def _expire_grants(self) -> None:
        """Let the grants of the lost instances expire."""
        for instance in self.instances:
            if not instance.alive:
                instance.slots.used.clear()
                instance.regions.used.clear()

    def _list_lost_targets(self) -> None:
        self.is_loss_listed = True
        for instance in self.instances:
            for target in self.targets.values():
                if not target.alive:
                    instance.choice.record_listing(
                        self.now_s,
                        target.info.service,
                        target.info.name,
                        leaving=True,
                    )

    # Units

    def _divide_units(self) -> None:
        """Divide all units again, in place of the exchange of budgets."""
        self.after(DIVISION_PERIOD_S, self._divide_units)
        alive = [i for i in self.instances if i.alive]
        demand: dict[Share, int] = {}
        before: dict[Share, int] = {}
        for instance in alive:
            for service, queue in instance.queues.items():
                queue.update_demand(self.now_s)
                for workspace, amount in instance.slots.demand[
                    service
                ].items():
                    share = instance.index, service, workspace
                    demand[share] = amount
                    before[share] = instance.slots.granted_by_workspace[
                        service
                    ].get(workspace, 0)
        infos = self._usable_targets(alive)
        slots = Counter[str]()
        for info in infos:
            slots[info.service] += info.slots
        regions = {info.region for info in infos}
        limits = {r: n for r, n in self.limits.items() if r in regions}
        division = divide_units(slots, sum(limits.values()), demand, before)
        self._grant(alive, infos, limits, division)
        for instance in alive:
            for service in self.lists:
                self.dispatch_waiting(instance, service)

    def _usable_targets(self, alive: list[Instance]) -> list[TargetInfo]:
        """Return the targets that more than half of the instances can use."""
        return [
            t.info
            for t in self.targets.values()
            if 2 * sum(i.choice.usable(self.now_s, t.info) for i in alive)
            > len(alive)
        ]

    def _grant(
        self,
        alive: list[Instance],
        infos: list[TargetInfo],
        limits: Mapping[str, int],
        division: Counter[Share],
    ) -> None:
        """Apply a division to the units that are not in use."""
        amounts: Counter[tuple[int, str]] = Counter()
        for instance in alive:
            instance.slots.granted_by_workspace.clear()
        for (index, service, workspace), amount in division.items():
            amounts[index, service] += amount
            granted_by_workspace = self.instances[
                index
            ].slots.granted_by_workspace[service]
            granted_by_workspace[workspace] = amount
        assigned = assign_units(
            amounts,
            infos,
            limits,
            {
                i.index: (i.location.region, i.location.failure_domain)
                for i in alive
            },
            {i.index: i.slots.granted for i in alive},
        )
        for instance in self.instances:
            units = assigned.get(instance.index, Counter())
            regions: Counter[str] = Counter()
            for name, amount in units.items():
                regions[self.targets[name].info.region] += amount
            instance.slots.allotted = Counter(units)
            instance.regions.allotted = regions
        capacities = {n: t.info.slots for n, t in self.targets.items()}
        _apply_allotments([i.slots for i in self.instances], capacities)
        _apply_allotments([i.regions for i in self.instances], self.limits)

    # Requests

    def dispatch_waiting(self, instance: Instance, service: str) -> None:
        """Start waiting requests of an instance."""
        queue = instance.queues[service]
        for answer in queue.dispatch_waiting(self.now_s):
            call = WAITING_CALLS.pop((id(self), answer.request.request_id))
            call.handle_queue_result(answer)
        self.schedule_dispatch(instance, service)

    def schedule_dispatch(self, instance: Instance, service: str) -> None:
        """Schedule :meth:`dispatch_waiting` for the queue's next check."""
        at_s = instance.queues[service].next_check_s()
        if at_s is None:
            return
        pending_s = instance.scheduled_checks_s.get(service)
        if pending_s is not None and self.now_s < pending_s <= at_s:
            return
        instance.scheduled_checks_s[service] = at_s

        def check() -> None:
            if (
                instance.alive
                and instance.scheduled_checks_s.get(service) == at_s
            ):
                del instance.scheduled_checks_s[service]
                self.dispatch_waiting(instance, service)

        self.after(max(0.0, at_s - self.now_s) + 1e-6, check)


def _apply_allotments(
    pools: list[ModelUnitPool], capacities: Mapping[str, int]
) -> None:
    """Withdraw idle units that are not allotted and grant the free ones."""
    for budget, capacity in capacities.items():
        free = capacity
        for pool in pools:
            pool.granted[budget] = max(
                pool.used[budget],
                min(pool.granted[budget], pool.allotted[budget]),
            )
            free -= pool.granted[budget]
        for pool in pools:
            more = min(free, pool.allotted[budget] - pool.granted[budget])
            if more > 0:
                pool.granted[budget] += more
                free -= more


def _once(done: Callable[[Outcome], None]) -> Callable[[Outcome], None]:
    """Return a callback that forwards only its first call."""
    calls = itertools.count()
    return lambda outcome: done(outcome) if next(calls) == 0 else None


WAITING_CALLS: dict[tuple[int, str], "Call"] = {}


class Call:
    """One request of a caller."""

    def __init__(
        self,
        model: Model,
        instance: Instance,
        request: ChoiceRequest,
        spec: Service,
    ) -> None:
        self.model = model
        self.instance = instance
        self.request = request
        self.spec = spec
        self.arrived_s = model.now_s
        self.attempt = 0

    def offer(self) -> None:
        """Offer the request to the admission queue."""
        model = self.model
        queue = self.instance.queues[self.spec.name]
        answer = queue.offer(model.now_s, self.request)
        if isinstance(answer, Started | Shed):
            self.handle_queue_result(answer)
            return
        WAITING_CALLS[id(model), self.request.request_id] = self
        model.schedule_dispatch(self.instance, self.spec.name)

    def handle_queue_result(self, answer: Started | Shed) -> None:
        """Send the request, or end it if the queue shed it."""
        if isinstance(answer, Shed):
            self.end(answer.reason.name)
            return
        choice = answer.choice
        self.attempt += 1
        self.model.record(
            WorkStarted(
                at_s=self.model.now_s,
                attempt=f"{self.request.request_id}/{self.attempt}",
                target=choice.target.name,
                region=choice.target.region,
            )
        )
        self._send(choice.target, lambda o: self._finish(choice, o))

    def _send(self, info: TargetInfo, done: Callable[[Outcome], None]) -> None:
        model = self.model
        target = model.targets[info.name]
        delay_s = model.delay_s(self.instance, info)
        leaving = RefusedLeaving()
        done = _once(done)
        if not target.alive:
            model.after(CONNECT_TIMEOUT_S, lambda: done(leaving))
            return

        def deliver_outcome(outcome: Outcome) -> None:
            model.after(delay_s, lambda: done(outcome))

        model.after(
            delay_s,
            lambda: model.run_at(
                target, self.spec, self.request.deadline_s, deliver_outcome
            ),
        )
        # An attempt ends at its deadline if its target is lost while it runs.
        if target.info.region == model.lost_region:
            late = Failed(bytes_sent=True)
            wait_s = self.request.deadline_s - model.now_s
            model.after(
                max(0.0, wait_s),
                lambda: None if target.alive else done(late),
            )

    def _finish(self, choice: Choice, outcome: Outcome) -> None:
        model = self.model
        instance = self.instance
        attempt = f"{self.request.request_id}/{self.attempt}"
        model.record(WorkEnded(at_s=model.now_s, attempt=attempt))
        if not instance.alive:
            return
        instance.choice.finish(model.now_s, choice, outcome)
        queue = instance.queues[self.spec.name]
        queue.record_end(model.now_s, self.request.workspace)
        failed = not isinstance(outcome, Completed)
        if failed and instance.member is not None:
            instance.member.scheduler.avoid(choice.target)
        will_retry = failed and self._may_retry(outcome)
        if will_retry:
            self.request = ChoiceRequest(
                request_id=self.request.request_id,
                service=self.request.service,
                workspace=self.request.workspace,
                deadline_s=self.request.deadline_s,
                idempotent=True,
                tried=self.request.tried | {choice.target.name},
            )
        # A released unit of the region's load may serve another service.
        for name in model.lists:
            if len(instance.queues[name]):
                model.dispatch_waiting(instance, name)
        if will_retry:
            self.offer()
        else:
            self.end("" if isinstance(outcome, Completed) else "FAILED")

    def _may_retry(self, outcome: Outcome) -> bool:
        now_s = self.model.now_s
        if now_s >= self.request.deadline_s:
            return False
        return self.instance.retries.try_retry(
            now_s, outcome, idempotent=self.request.idempotent
        )

    def send_baseline(self, tried: frozenset[str]) -> None:
        """Send the request to the target that the baseline policy chooses."""
        model = self.model
        infos = [
            info
            for info in model.lists[self.spec.name]
            if info.name not in tried
            and not (model.is_loss_listed and info.region == model.lost_region)
        ]
        if not infos:
            self.end("FAILED")
            return
        match model.scenario.policy:
            case "random":
                info = model.random.choice(infos)
            case "round robin":
                self.instance.round_robin_count += 1
                info = infos[self.instance.round_robin_count % len(infos)]
            case _:
                info = min(
                    infos, key=lambda i: (model.reports[i.name], i.name)
                )

        def done(outcome: Outcome) -> None:
            if isinstance(outcome, Completed):
                self.end("")
            elif self._may_retry(outcome):
                self.send_baseline(tried | {info.name})
            else:
                self.end("FAILED")

        self._send(info, done)

    def end(self, refusal: str) -> None:
        """Count the request's result unless the run is still warming up."""
        model = self.model
        if model.now_s < model.scenario.warm_up_s:
            return
        result = model.result
        workspace = self.request.workspace
        late = model.now_s > self.request.deadline_s
        if not refusal and not late:
            result.good[workspace] += self.spec.mean_s
            result.latencies_s.append(model.now_s - self.arrived_s)
            result.by_service[self.spec.name]["good"] += 1
            return
        result.unserved[workspace] += 1
        result.ends[refusal or "LATE"] += 1
        result.by_service[self.spec.name][refusal or "LATE"] += 1
