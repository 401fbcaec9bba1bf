"""Queueing model in virtual time for the choice of target.

The choice, the admission queue, the demand, the retry budget, the statistics
and the exchange of budgets are the product's own code. Targets, delays and
callers are modelled here. An exact division of units with full knowledge is
an upper bound for the exchange.
"""

import heapq
import itertools
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from math import exp
from random import Random

from exact_allocator import Share, divide, place
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

REFRESH_S = 0.25
REPORT_PERIOD_S = 1.0
REPORT_LAG_S = 0.5
SAMPLE_S = 0.25
LIST_LAG_S = 3.0
CONNECT_TIMEOUT_S = 0.5
HEADROOM_SHARE = 0.9
# A target with cold caches takes twice the time; the excess falls to 1/e
# with this number of requests.
COLD_REQUESTS = 15.0
# Requests that a target without a granted unit queues, as a multiple of its
# slots, before it refuses.
TARGET_QUEUE = 4
WORKSPACE_WEIGHTS = (6.0, 5.0, 4.0, 1.0, 1.0, 1.0, 0.5, 0.5)
HOT = "w0"


# Usual service time and deadline of the model's requests, in the order of a
# deployment's services. The stand-ins' own times are shorter, so that a whole
# deployment fits on one machine.
TIMES_S = ((0.100, 1.0), (0.250, 2.0), (1.000, 8.0), (0.150, 1.5))
EXCHANGE, EXACT = "verbena", "exact division"


@dataclass(frozen=True, kw_only=True)
class Service:
    """Targets of a service, and its service and deadline times."""

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
            deployment.services, TIMES_S, strict=True
        )
    }


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """One run of the model.

    :param load: offered work as a multiple of the capacity that is left.
    :param policy: :data:`EXCHANGE`, :data:`EXACT` or a baseline's name.
    :param hot: the largest workspace sends five times its rate.
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
    """What one run measured after its warm-up."""

    capacity_work: float = 0.0
    offered: Counter[str] = field(default_factory=Counter)
    good: Counter[str] = field(default_factory=Counter)
    requests: Counter[str] = field(default_factory=Counter)
    unserved: Counter[str] = field(default_factory=Counter)
    ends: Counter[str] = field(default_factory=Counter)
    latencies_s: list[float] = field(default_factory=list)
    peak_region_share: float = 0.0
    over_slots: int = 0
    units: Counter[str] = field(default_factory=Counter)
    by_service: dict[str, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter)
    )


class Pool:
    """Units of one instance for one kind of budget."""

    def __init__(self) -> None:
        self.granted: Counter[str] = Counter()
        self.allotted: Counter[str] = Counter()
        self.used: Counter[str] = Counter()
        self.parts: dict[str, dict[str, int]] = defaultdict(dict)
        self.wants: dict[str, dict[str, int]] = defaultdict(dict)

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
        """Return one unit, and give it back if it is no longer allotted."""
        if self.used[target] < 1:
            raise ValueError(f"no unit of {target} is in use")
        self.used[target] -= 1
        if self.granted[target] > self.allotted[target]:
            self.granted[target] -= 1

    def share(self, service: str, workspace: str) -> float:
        """Return the units that were granted for a workspace."""
        return self.parts[service].get(workspace, 0)

    def set_demand(self, service: str, workspace: str, amount: int) -> None:
        """Record the newest want."""
        self.wants[service][workspace] = amount


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
    """An entry instance."""

    def __init__(self, index: int, place: Location) -> None:
        self.index = index
        self.place = place
        self.alive = True
        self.slots = Pool()
        self.regions = Pool()
        self.choice: TargetChoice
        self.queues: dict[str, AdmissionQueue] = {}
        self.retries = RetryBudget()
        self.checks: dict[str, float] = {}
        self.turn = 0
        self.member: ExchangeInstance | None = None


class Model:
    """One run."""

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
        self.lost = regions[-1] if scenario.lose_region else None
        self.listed_lost = False
        self.limits = {
            region: sum(region_parts(config, region).values())
            for region in regions
        }
        self.region_load: Counter[str] = Counter()
        self.reports: dict[str, int] = dict.fromkeys(self.targets, 0)
        places = [
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
                places=places,
                now_s=lambda: self.now_s,
                after=self.after,
            )
        self.instances = [
            self._instance(index, where) for index, where in enumerate(places)
        ]
        self.capacity = sum(
            limit for r, limit in self.limits.items() if r != self.lost
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
            self.weights[HOT] *= 5.0

    def _instance(self, index: int, where: Location) -> Instance:
        instance = Instance(index, where)
        if self.fleet is not None:
            member = self.fleet.members[where.instance]
            instance.member = member
            instance.choice = member.desk.choice
            for name, dispatcher in member.desk.dispatchers.items():
                instance.queues[name] = dispatcher.queue

            def serve() -> None:
                member.desk.update_region_demand()
                for name in self.lists:
                    self.serve(instance, name)

            member.on_granted = serve
            return instance
        choice = instance.choice = TargetChoice(
            place=where,
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
        self._report()
        self._sample()
        if scenario.policy == EXACT:
            self._refresh()
        if self.lost is not None:
            self.after(scenario.lose_at_s, self._lose)
        if scenario.leave_at_s is not None:
            self.after(scenario.leave_at_s, self._leave)
        for region, limit in self.limits.items():
            self.record(RegionLimit(at_s=0.0, region=region, limit=limit))
        end_s = scenario.duration_s
        while self.events and self.events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self.events)
            action()
        # Requests that are still open count neither way: they are as many
        # as were open at the start of the measurement.
        self.result.capacity_work = self.capacity * (
            end_s - scenario.warm_up_s
        )
        return self.result

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(
            self.events, (self.now_s + delay_s, next(self.order), action)
        )

    # Losses

    def _sample(self) -> None:
        """Add up where the units of live regions are."""
        self.after(SAMPLE_S, self._sample)
        if self.fleet is None or self.now_s < self.scenario.warm_up_s:
            return
        units = self.result.units
        units["samples"] += 1
        for region, limit in self.limits.items():
            if region == self.lost:
                continue
            units["limit"] += limit
            units["running"] += self.region_load[region]
            for instance in self.instances:
                if not instance.alive or instance.member is None:
                    continue
                slots = instance.member.desk.units.held()[region]
                load = instance.member.desk.region_units.held()[region]
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
        instance = self._entry(int(workspace[1:]))
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

    def _entry(self, workspace: int) -> Instance:
        """Return the entry instance of a caller.

        Callers of the two smallest workspaces use one instance each; of the
        others, 60% use their home region's instances.
        """
        alive = [i for i in self.instances if i.alive]
        if workspace >= 6:
            return alive[(workspace * 5) % len(alive)]
        home = self.regions[workspace % len(self.regions)]
        if self.random.random() < 0.6:
            near = [i for i in alive if i.place.region == home]
            alive = near or alive
        return self.random.choice(alive)

    # Targets

    def delay_s(self, instance: Instance, info: TargetInfo) -> float:
        """Return the one-way delay."""
        if info.region != instance.place.region:
            return self.scenario.deployment.region_delay_s
        if info.failure_domain != instance.place.failure_domain:
            return self.scenario.deployment.domain_delay_s
        return 0.0

    def run_at(
        self,
        target: Target,
        spec: Service,
        deadline_s: float,
        done: Callable[[Outcome], None],
    ) -> None:
        """Run a request at a target, or queue or refuse it there."""
        if target.leaving:
            self.record(
                LeavingSignalSeen(at_s=self.now_s, target=target.info.name)
            )
            done(RefusedLeaving())
        elif target.running < target.info.slots:
            self._execute(target, spec, done)
        elif len(target.waiting) < TARGET_QUEUE * target.info.slots:
            self.result.over_slots += 1
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
        cold = 1.0 + exp(-target.served / COLD_REQUESTS)
        # Gamma with shape 4: the deviation is half of the mean.
        run_s = self.random.gammavariate(4.0, spec.mean_s / 4.0) * cold

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

    def _report(self) -> None:
        self.after(REPORT_PERIOD_S, self._report)
        seen = {
            name: t.running + len(t.waiting)
            for name, t in self.targets.items()
            if t.alive
        }
        asked_s = self.now_s
        self.after(REPORT_LAG_S, lambda: self._deliver(asked_s, seen))

    def _deliver(self, asked_s: float, seen: dict[str, int]) -> None:
        self.reports.update(seen)
        if self.scenario.policy not in (EXCHANGE, EXACT):
            return
        for instance in self.instances:
            if not instance.alive:
                continue
            for name, target in self.targets.items():
                service = target.info.service
                health = Health.OK if name in seen else Health.NO_ANSWER
                instance.choice.record_probe(
                    self.now_s, asked_s, service, name, health
                )
                if name in seen:
                    instance.choice.record_load_report(
                        asked_s,
                        service,
                        name,
                        LoadReport(in_flight=seen[name]),
                    )

    def _lose(self) -> None:
        for target in self.targets.values():
            target.alive = target.alive and target.info.region != self.lost
            if target.alive:
                target.served = 0
        for instance in self.instances:
            instance.alive = instance.place.region != self.lost
        self.after(LIST_LAG_S, self._list_lost)
        if self.fleet is not None:
            names = {i.place.instance for i in self.instances if not i.alive}
            self.fleet.lose(names)
        self.after(with_drift_margin_s(GRANT_TTL_S), self._lapse)

    def _leave(self) -> None:
        """Let the first target of each service leave.

        It refuses new requests at once; its health endpoint goes on to say
        that it serves, and the instance list lags.
        """
        for infos in self.lists.values():
            self.targets[infos[0].name].leaving = True

        def list_them() -> None:
            for instance in self.instances:
                for service, infos in self.lists.items():
                    instance.choice.record_listing(
                        self.now_s, service, infos[0].name, leaving=True
                    )

        self.after(LIST_LAG_S, list_them)

    def record(self, event: Event) -> None:
        """Add an event to the history."""
        if self.scenario.record:
            self.history.append(event)

    def _lapse(self) -> None:
        """Let the grants of the lost instances lapse."""
        for instance in self.instances:
            if not instance.alive:
                instance.slots.used.clear()
                instance.regions.used.clear()

    def _list_lost(self) -> None:
        self.listed_lost = True
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

    def _refresh(self) -> None:
        """Divide all units anew; stands in for the exchange of budgets."""
        self.after(REFRESH_S, self._refresh)
        alive = [i for i in self.instances if i.alive]
        wants: dict[Share, int] = {}
        before: dict[Share, int] = {}
        for instance in alive:
            for service, queue in instance.queues.items():
                queue.update_demand(self.now_s)
                for workspace, amount in instance.slots.wants[service].items():
                    share = instance.index, service, workspace
                    wants[share] = amount
                    before[share] = instance.slots.parts[service].get(
                        workspace, 0
                    )
        infos = self._usable_targets(alive)
        slots = Counter[str]()
        for info in infos:
            slots[info.service] += info.slots
        regions = {info.region for info in infos}
        limits = {r: n for r, n in self.limits.items() if r in regions}
        given = divide(slots, sum(limits.values()), wants, before)
        self._grant(alive, infos, limits, given)
        for instance in alive:
            for service in self.lists:
                self.serve(instance, service)

    def _usable_targets(self, alive: list[Instance]) -> list[TargetInfo]:
        """Return the targets that most instances use."""
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
        given: Counter[Share],
    ) -> None:
        """Put a division in force, as far as units are not in use."""
        amounts: Counter[tuple[int, str]] = Counter()
        for instance in alive:
            instance.slots.parts.clear()
        for (index, service, workspace), amount in given.items():
            amounts[index, service] += amount
            parts = self.instances[index].slots.parts[service]
            parts[workspace] = amount
        placed = place(
            amounts,
            infos,
            limits,
            {i.index: (i.place.region, i.place.failure_domain) for i in alive},
            {i.index: i.slots.granted for i in alive},
        )
        for instance in self.instances:
            units = placed.get(instance.index, Counter())
            regions: Counter[str] = Counter()
            for name, amount in units.items():
                regions[self.targets[name].info.region] += amount
            instance.slots.allotted = Counter(units)
            instance.regions.allotted = regions
        capacities = {n: t.info.slots for n, t in self.targets.items()}
        _settle([i.slots for i in self.instances], capacities)
        _settle([i.regions for i in self.instances], self.limits)

    # Requests

    def serve(self, instance: Instance, service: str) -> None:
        """Start waiting requests of an instance."""
        queue = instance.queues[service]
        for answer in queue.dispatch_waiting(self.now_s):
            call = CALLS.pop((id(self), answer.request.request_id))
            call.answered(answer)
        self.check_later(instance, service)

    def check_later(self, instance: Instance, service: str) -> None:
        """Call :meth:`serve` when the next waiting request is late."""
        at_s = instance.queues[service].next_check_s()
        if at_s is None:
            return
        pending_s = instance.checks.get(service)
        if pending_s is not None and self.now_s < pending_s <= at_s:
            return
        instance.checks[service] = at_s

        def check() -> None:
            if instance.alive and instance.checks.get(service) == at_s:
                del instance.checks[service]
                self.serve(instance, service)

        self.after(max(0.0, at_s - self.now_s) + 1e-6, check)


def _settle(pools: list[Pool], capacities: Mapping[str, int]) -> None:
    """Take back idle units and hand out those that are free."""
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
    """Return a callback that passes on only its first call."""
    calls = itertools.count()
    return lambda outcome: done(outcome) if next(calls) == 0 else None


CALLS: dict[tuple[int, str], "Call"] = {}


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
        """Pass the request to the admission queue."""
        model = self.model
        queue = self.instance.queues[self.spec.name]
        answer = queue.offer(model.now_s, self.request)
        if isinstance(answer, Started | Shed):
            self.answered(answer)
            return
        CALLS[id(model), self.request.request_id] = self
        model.check_later(self.instance, self.spec.name)

    def answered(self, answer: Started | Shed) -> None:
        """Go on with the queue's answer."""
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
        lost = RefusedLeaving()
        done = _once(done)
        if not target.alive:
            model.after(CONNECT_TIMEOUT_S, lambda: done(lost))
            return

        def back(outcome: Outcome) -> None:
            model.after(delay_s, lambda: done(outcome))

        model.after(
            delay_s,
            lambda: model.run_at(
                target, self.spec, self.request.deadline_s, back
            ),
        )
        # An attempt whose target is lost ends at the deadline.
        if target.info.region == model.lost:
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
            instance.member.desk.avoid(choice.target)
        again = failed and self._may_retry(outcome)
        if again:
            self.request = ChoiceRequest(
                request_id=self.request.request_id,
                service=self.request.service,
                workspace=self.request.workspace,
                deadline_s=self.request.deadline_s,
                idempotent=True,
                tried=self.request.tried | {choice.target.name},
            )
        # A unit of the region's load may serve another service.
        for name in model.lists:
            if len(instance.queues[name]):
                model.serve(instance, name)
        if again:
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
        """Send the request where the baseline policy says."""
        model = self.model
        infos = [
            info
            for info in model.lists[self.spec.name]
            if info.name not in tried
            and not (model.listed_lost and info.region == model.lost)
        ]
        if not infos:
            self.end("FAILED")
            return
        match model.scenario.policy:
            case "random":
                info = model.random.choice(infos)
            case "round robin":
                self.instance.turn += 1
                info = infos[self.instance.turn % len(infos)]
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
        """Count the end of the request."""
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
