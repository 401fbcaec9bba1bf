"""A fleet in virtual time that shares budgets under random faults.

Processes see only their own clocks; the history is recorded by the clock of
the model. A process that confirmed its state at time t knows everything that
was written before t, and is fresh for 2 s of its own clock.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from budget_checker import (
    Held,
    Limit,
    Use,
    concurrency_excess,
    held_excess,
    rate_excess,
)
from verbenaworks.budget_client import BudgetClient
from verbenaworks.budget_owner import BudgetOwner
from verbenaworks.budget_spec import (
    Budget,
    ConcurrencyBudget,
    RateBudget,
    shard_of,
)
from verbenaworks.freshness import MAX_CONFIRMATION_AGE_S
from verbenaworks.grant import GrantReply, GrantRequest
from verbenaworks.wire import decode, encode

SHARD = 3
WORKSPACES = ("acme", "brushes")


def names_in_shard(prefix: str, count: int) -> list[str]:
    """Return budget names that belong to ``SHARD``."""
    names = (f"{prefix}/{k}" for k in itertools.count())
    return list(
        itertools.islice((n for n in names if shard_of(n) == SHARD), count)
    )


@dataclass(kw_only=True)
class Faults:
    """How often each fault happens; rates are per second of the fleet."""

    loss_share: float = 0.0
    duplicate_share: float = 0.0
    delay_share: float = 0.0
    delay_s: float = 0.0
    pauses_per_s: float = 0.0
    pause_s: float = 0.0
    pause_before_send_share: float = 0.0
    owner_changes_per_s: float = 0.0
    graceful_share: float = 0.0
    restarts_per_s: float = 0.0
    surviving_share: float = 0.0
    state_outages_per_s: float = 0.0
    partitions_per_s: float = 0.0
    quiet_per_s: float = 0.0
    limit_changes_per_s: float = 0.0
    clocks_differ: bool = False


@dataclass(frozen=True, kw_only=True)
class Assignment:
    """The part of the control record that concerns the shard."""

    epoch: int
    owner: "Process"
    graceful: bool


class Lease:
    """Lease of one process as the owner in one epoch."""

    def __init__(self, process: "Process", epoch: int) -> None:
        self._process = process
        self.epoch = epoch

    def is_valid(self, now_s: float) -> bool:
        """Return whether the process is fresh and named as the owner."""
        process = self._process
        return (
            now_s < process.confirmed_at_s + MAX_CONFIRMATION_AGE_S
            and process.known_epoch == self.epoch
            and process.resigned_epoch < self.epoch
        )


@dataclass(kw_only=True, eq=False)
class Process:
    """One process of an instance."""

    name: str
    incarnation: int
    clock_rate: float
    clock_offset_s: float
    client: BudgetClient
    confirmed_at_s: float = float("-inf")
    known_epoch: int = 0
    known_limits: int = -1
    resigned_epoch: int = 0
    owner: BudgetOwner | None = None
    owner_process: "Process | None" = None
    is_alive: bool = True
    paused_until_s: float = 0.0
    state_outage_until_s: float = 0.0
    partitioned_until_s: float = 0.0
    is_busy: bool = True

    def local_s(self, at_s: float) -> float:
        """Return the reading of the process's clock."""
        return at_s * self.clock_rate + self.clock_offset_s


@dataclass(kw_only=True)
class World:
    """Runs processes, faults and callers, and records their history."""

    seed: int
    faults: Faults
    budgets: list[Budget]
    names: list[str]
    attempts_per_s: float = 20.0
    delay_s: float = 0.012
    rng: random.Random = field(init=False)
    now_s: float = 0.0
    uses: dict[str, list[Use]] = field(default_factory=dict)
    limits: dict[str, list[Limit]] = field(default_factory=dict)
    held: dict[str, list[Held]] = field(default_factory=dict)
    quiet_until_s: float = 0.0
    counts: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self._queue: list[tuple[float, int, Process | None, Callable]] = []
        self._order = itertools.count()
        self._versions = [self.budgets]
        self._incarnations = itertools.count(1)
        # Clock rates differ by at most 0.5%, also from the model's clock.
        self._slowest = self.rng.choice([0.995, 1.0, 0.9975])
        for budget in self.budgets:
            self.uses[budget.name] = []
            self.limits[budget.name] = []
            self.held[budget.name] = []
            self._record_limit(budget)
        self.processes = [self._start(name) for name in self.names]
        self.assignments = [
            Assignment(epoch=1, owner=self.processes[0], graceful=True)
        ]
        self._schedule_faults()

    def run(self, until_s: float) -> None:
        """Run all events up to a time."""
        while self._queue and self._queue[0][0] <= until_s:
            at_s, order, process, action = heapq.heappop(self._queue)
            self.now_s = max(self.now_s, at_s)
            if process is not None:
                if not process.is_alive:
                    continue
                if process.paused_until_s > at_s:
                    heapq.heappush(
                        self._queue,
                        (process.paused_until_s, order, process, action),
                    )
                    continue
            action()
        self.now_s = until_s

    def at(
        self, delay_s: float, action: Callable, process: Process | None = None
    ) -> None:
        """Schedule an action; a paused process runs it after its pause."""
        heapq.heappush(
            self._queue,
            (self.now_s + delay_s, next(self._order), process, action),
        )

    def excess(self) -> dict[str, float]:
        """Return by how much each budget's history exceeds its limit."""
        found: dict[str, float] = {}
        for budget in self.budgets:
            limits, uses = self.limits[budget.name], self.uses[budget.name]
            linger_s = 0.0
            match budget:
                case RateBudget(name=name):
                    worst: float = float(rate_excess(limits, uses))
                case ConcurrencyBudget(name=name, linger_s=linger_s):
                    worst = concurrency_excess(limits, uses, linger_s)
            if worst > 0:
                found[name] = worst
            worst = held_excess(limits, self.held[name], linger_s)
            if worst > 0:
                found[f"{name} held"] = worst
        return found

    # Processes

    def _start(self, name: str) -> Process:
        rate = 1.0
        if self.faults.clocks_differ:
            share = self.rng.choice([0.0, 1.0, self.rng.random()])
            rate = self._slowest * (1 + 0.005 * share)
        incarnation = next(self._incarnations)
        process = Process(
            name=name,
            incarnation=incarnation,
            clock_rate=rate,
            clock_offset_s=self.rng.uniform(0, 1000),
            client=BudgetClient(
                shard=SHARD, instance=name, incarnation=incarnation
            ),
            is_busy=self.rng.random() < 0.7,
        )
        self._every(process, 0.4, lambda: self._confirm(process))
        self._every(
            process, 1 / self.attempts_per_s, lambda: self._call(process)
        )
        return process

    def _every(
        self, process: Process, period_s: float, action: Callable
    ) -> None:
        def again() -> None:
            action()
            self.at(period_s * self.rng.uniform(0.5, 1.5), again, process)

        self.at(self.rng.uniform(0, period_s), again, process)

    def _confirm(self, process: Process) -> None:
        if self.now_s < process.state_outage_until_s:
            return
        asked_at_s = process.local_s(self.now_s)
        # The answer may be older than its arrival, but not than the request.
        assignment = self.assignments[-1]
        version = len(self._versions) - 1
        self.at(
            self._delay(),
            lambda: self._confirmed(process, asked_at_s, assignment, version),
            process,
        )

    def _confirmed(
        self,
        process: Process,
        asked_at_s: float,
        assignment: Assignment,
        version: int,
    ) -> None:
        process.confirmed_at_s = max(process.confirmed_at_s, asked_at_s)
        now_s = process.local_s(self.now_s)
        if version > process.known_limits:
            process.known_limits = version
            process.client.configure(now_s, self._versions[version])
            if process.owner is not None:
                process.owner.configure(now_s, self._versions[version])
        if assignment.epoch <= process.known_epoch:
            return
        process.known_epoch = assignment.epoch
        process.owner_process = assignment.owner
        process.client.owner_changed(assignment.epoch)
        if assignment.owner is not process:
            return
        waits = {"wait_s": 0.0} if assignment.graceful else {}
        process.owner = BudgetOwner(
            shard=SHARD,
            lease=Lease(process, assignment.epoch),
            started_at_s=now_s,
            **waits,
        )
        process.owner.configure(now_s, self._versions[process.known_limits])

    # Callers

    def _call(self, process: Process) -> None:
        now_s = process.local_s(self.now_s)
        if process.is_busy and self.now_s >= self.quiet_until_s:
            budget = self.rng.choice(self.budgets)
            workspace = self.rng.choice(WORKSPACES)
            amount = self.rng.choice((1, 1, 1, 2, 4))
            permit = process.client.try_acquire(
                now_s, budget.name, workspace, amount
            )
            if permit is not None:
                self._use(process, budget, permit)
            else:
                self._wait(process, budget, workspace, amount, 4)
        request = process.client.next_request(now_s)
        owner = process.owner_process
        if (
            request is None
            or owner is None
            or self._is_partitioned(process, owner)
        ):
            return
        self.send(encode(request), lambda data: self._serve(owner, data))

    def _wait(
        self,
        process: Process,
        budget: Budget,
        workspace: str,
        amount: int,
        retries: int,
    ) -> None:
        """Retry a call that got no tokens or units."""
        if retries == 0:
            return

        def again() -> None:
            permit = process.client.try_acquire(
                process.local_s(self.now_s),
                budget.name,
                workspace,
                amount,
                retry=True,
            )
            if permit is not None:
                self._use(process, budget, permit)
            else:
                self._wait(process, budget, workspace, amount, retries - 1)

        self.at(0.2, again, process)

    def _use(self, process: Process, budget: Budget, permit) -> None:
        self._record_use(budget.name, permit.amount)
        if isinstance(budget, RateBudget):
            return
        # The backend server ends a request by its deadline, even if the
        # process pauses or dies.
        local_s = self.rng.choice((0.05, 0.3, 1.0)) * budget.linger_s
        duration_s = local_s / process.clock_rate
        self.at(
            duration_s, lambda: self._record_use(budget.name, -permit.amount)
        )
        self.at(
            duration_s,
            lambda: process.client.release(
                process.local_s(self.now_s), permit
            ),
            process,
        )

    def _record_use(self, name: str, amount: int) -> None:
        self.uses[name].append(Use(at_s=self.now_s, amount=amount))

    # Messages

    def _delay(self) -> float:
        if self.rng.random() < self.faults.delay_share:
            return self.rng.uniform(0, self.faults.delay_s)
        return self.delay_s * self.rng.uniform(0.8, 1.2)

    def send(self, data: bytes, deliver: Callable[[bytes], None]) -> None:
        """Deliver a message; it may be lost, delayed or duplicated."""
        self.counts["bytes"] = self.counts.get("bytes", 0) + len(data)
        copies = 1 + (self.rng.random() < self.faults.duplicate_share)
        for _ in range(copies):
            if self.rng.random() < self.faults.loss_share:
                continue
            self.at(self._delay(), lambda: deliver(data))

    def _serve(self, process: Process, data: bytes) -> None:
        self.at(0, lambda: self._serve_now(process, data), process)

    def _serve_now(self, process: Process, data: bytes) -> None:
        if process.owner is None:
            return
        request: GrantRequest = decode(data)
        now_s = process.local_s(self.now_s)
        reply = process.owner.handle(now_s, request)
        if reply is None:
            return
        if self.rng.random() < self.faults.pause_before_send_share:
            self._pause(process)
        # Replies reach all processes of that name, including replaced ones.
        self.at(
            0, lambda: self._answer(process, request.taker, reply), process
        )

    def _answer(self, process: Process, name: str, reply: GrantReply) -> None:
        for receiver in self.processes:
            if receiver.name == name and not self._is_partitioned(
                process, receiver
            ):
                self.send(
                    encode(reply),
                    lambda data, to=receiver: self._deliver(to, data),
                )

    def _deliver(self, process: Process, data: bytes) -> None:
        self.at(0, lambda: self._deliver_now(process, data), process)

    def _deliver_now(self, process: Process, data: bytes) -> None:
        now_s = process.local_s(self.now_s)
        if process.client.accept(now_s, decode(data)):
            self._record_held()

    def _record_held(self) -> None:
        for name, samples in self.held.items():
            parts = [
                process.client.held(process.local_s(self.now_s), name)
                for process in self._alive()
            ]
            amount = sum(amount for amount, _ in parts)
            depth = sum(depth for _, depth in parts)
            samples.append(Held(at_s=self.now_s, amount=amount, depth=depth))

    def _is_partitioned(self, one: Process, other: Process) -> bool:
        until_s = max(one.partitioned_until_s, other.partitioned_until_s)
        return one is not other and self.now_s < until_s

    # Faults

    def _schedule_faults(self) -> None:
        faults = self.faults
        for per_s, action in (
            (faults.pauses_per_s, self._pause_one),
            (faults.owner_changes_per_s, self._change_owner),
            (faults.restarts_per_s, self._restart_one),
            (faults.state_outages_per_s, self._start_state_outage),
            (faults.partitions_per_s, self._partition_one),
            (faults.quiet_per_s, self._go_quiet),
            (faults.limit_changes_per_s, self._change_limits),
            (0.3, self._move_callers),
            (1.0, self._replace_dead_owner),
        ):
            if per_s > 0:
                self._repeat(per_s, action)

    def _repeat(self, per_s: float, action: Callable[[], None]) -> None:
        def again() -> None:
            action()
            self.at(self.rng.expovariate(per_s), again)

        self.at(self.rng.expovariate(per_s), again)

    def _alive(self) -> list[Process]:
        return [process for process in self.processes if process.is_alive]

    def _pick(self) -> Process:
        owner = self.assignments[-1].owner
        if owner.is_alive and self.rng.random() < 0.4:
            return owner
        return self.rng.choice(self._alive())

    def _pause(self, process: Process) -> None:
        process.paused_until_s = self.now_s + self.rng.uniform(
            0, self.faults.pause_s
        )

    def _pause_one(self) -> None:
        self._pause(self._pick())

    def _start_state_outage(self) -> None:
        process = self._pick()
        process.state_outage_until_s = self.now_s + self.rng.uniform(0, 8)

    def _partition_one(self) -> None:
        """Drop all messages between one process and the others."""
        process = self._pick()
        process.partitioned_until_s = self.now_s + self.rng.uniform(0, 12)

    def _go_quiet(self) -> None:
        """Pause all callers, so that the buckets are full afterwards."""
        self.quiet_until_s = self.now_s + self.rng.choice((0.5, 2.0, 9.0))

    def _move_callers(self) -> None:
        process = self.rng.choice(self._alive())
        process.is_busy = not process.is_busy

    def _change_owner(self) -> None:
        old = self.assignments[-1]
        graceful = self.rng.random() < self.faults.graceful_share
        if not old.owner.is_alive:
            graceful = False
        elif graceful:
            # The old owner resigns before the new one is written. If it
            # cannot, the change is not graceful.
            if old.owner.paused_until_s > self.now_s:
                graceful = False
            elif old.owner.known_epoch == old.epoch:
                old.owner.resigned_epoch = old.epoch
            else:
                graceful = False
        new = self.rng.choice(self._alive())
        self.assignments.append(
            Assignment(epoch=old.epoch + 1, owner=new, graceful=graceful)
        )

    def _replace_dead_owner(self) -> None:
        if not self.assignments[-1].owner.is_alive:
            self._change_owner()

    def _restart_one(self) -> None:
        process = self._pick()
        survives = self.rng.random() < self.faults.surviving_share
        if not survives:
            process.is_alive = False
        self.processes.append(self._start(process.name))
        if len(self._alive()) > len(self.names) + 2:
            self._alive()[0].is_alive = False

    def _change_limits(self) -> None:
        budgets = [self._changed(budget) for budget in self._versions[-1]]
        self._versions.append(budgets)
        for budget in budgets:
            self._record_limit(budget)

    def _changed(self, budget: Budget) -> Budget:
        base = next(b for b in self.budgets if b.name == budget.name)
        share = self.rng.choice((0.2, 0.5, 1, 1, 2))
        match base:
            case RateBudget():
                return replace(
                    base,
                    rate_per_s=int(base.rate_per_s * share),
                    burst=int(base.burst * share),
                )
            case ConcurrencyBudget():
                return replace(base, capacity=int(base.capacity * share))

    def _record_limit(self, budget: Budget) -> None:
        match budget:
            case RateBudget():
                limit = Limit(
                    at_s=self.now_s,
                    rate_per_s=int(budget.rate_per_s),
                    burst=budget.burst,
                )
            case ConcurrencyBudget():
                limit = Limit(at_s=self.now_s, capacity=budget.capacity)
        self.limits[budget.name].append(limit)


def random_faults(rng: random.Random) -> Faults:
    """Return a random mixture of faults, some of them absent."""

    def sometimes(*values: float) -> float:
        return rng.choice((0.0, *values))

    return Faults(
        loss_share=sometimes(0.02, 0.3),
        duplicate_share=sometimes(0.05, 0.5),
        delay_share=sometimes(0.02, 0.3),
        delay_s=sometimes(0.5, 6.0),
        pauses_per_s=sometimes(0.05, 0.2),
        pause_s=sometimes(0.5, 3.0, 9.0),
        pause_before_send_share=sometimes(0.002, 0.05),
        owner_changes_per_s=sometimes(0.03, 0.15),
        graceful_share=sometimes(0.5),
        restarts_per_s=sometimes(0.03, 0.1),
        surviving_share=sometimes(0.5),
        state_outages_per_s=sometimes(0.05, 0.15),
        partitions_per_s=sometimes(0.05, 0.2),
        quiet_per_s=sometimes(0.05, 0.2),
        limit_changes_per_s=sometimes(0.0, 0.0, 0.03, 0.2),
        clocks_differ=rng.random() < 0.7,
    )


def random_world(seed: int) -> World:
    """Return the world for one seed."""
    rng = random.Random(seed)
    rate_names = names_in_shard("workspaces/rate", 2)
    level_names = names_in_shard("slots", 2)
    return World(
        seed=seed,
        faults=random_faults(rng),
        budgets=[
            RateBudget(name=rate_names[0], rate_per_s=20, burst=30),
            RateBudget(name=rate_names[1], rate_per_s=3, burst=4),
            ConcurrencyBudget(name=level_names[0], capacity=12, linger_s=2.0),
            ConcurrencyBudget(name=level_names[1], capacity=3, linger_s=0.5),
        ],
        names=[f"i{k}" for k in range(rng.choice((3, 4, 6)))],
        attempts_per_s=rng.choice((10.0, 25.0)),
    )
