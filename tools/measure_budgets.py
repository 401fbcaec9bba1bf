"""Measures the shared budgets in virtual time against two baselines.

One baseline splits each limit equally among the instances; in the other,
every instance applies the whole limit on its own. The column "parts as in the
daemon" divides the rate of a workspace into budgets with different owners, as
the daemon does; the other columns use one budget for it. Prints a table of
figures and their required values; a missed value is marked MISSED.
``--json FILE`` writes the figures to a file.
"""

import argparse
import heapq
import itertools
import json
import random
import time
import zlib
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

from verbenad.budget_plan import rate_parts
from verbenaworks.budget_client import EXCHANGE_INTERVAL_S, BudgetClient
from verbenaworks.budget_owner import BudgetOwner
from verbenaworks.budget_spec import (
    Budget,
    ConcurrencyBudget,
    RateBudget,
    shard_of,
)
from verbenaworks.compiled_config import WorkspaceConfig
from verbenaworks.control_record import SHARD_COUNT
from verbenaworks.token_bucket import TokenBucket
from verbenaworks.wire import encode

INSTANCES = 11
ONE_WAY_DELAY_S = 0.012
DEADLINE_S = 1.0
RATE_PER_S = 200
BURST = 100
# Time from the death of an owner until its successor knows that it owns the
# shard: SWIM probe, indirect probe and suspicion, then the store write.
TAKEOVER_S = 2.0
SHARED, FIXED, LOCAL = "shared budgets", "fixed split", "local limits"
# Shared budgets with an exchange every 0.5 s, for comparison only.
TRIAL = "trial, 0.5 s"
# Shared budgets with each workspace's rate divided as the daemon does it.
PARTS = "parts as in the daemon"
WAYS = (SHARED, PARTS, FIXED, LOCAL, TRIAL)
# Ways in which owners grant tokens and units to the instances.
GRANTED = (SHARED, PARTS, TRIAL)
SEEDS = 5


class _Lease:
    epoch = 1

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch

    def is_valid(self, now_s: float) -> bool:
        return True


@dataclass(kw_only=True)
class _Call:
    at_s: float
    budget: str
    outcome_s: float | None = None
    admitted: bool = False


@dataclass(kw_only=True, eq=False)
class _Instance:
    index: int
    clients: dict[int, BudgetClient]
    buckets: dict[str, TokenBucket]
    waiting: dict[str, deque[_Call]] = field(default_factory=dict)
    next_exchanges_s: dict[int, float] = field(default_factory=dict)
    is_alive: bool = True
    sent_bytes: int = 0
    received_bytes: int = 0
    messages: int = 0


class Fleet:
    """Instances, callers and budget owners in virtual time."""

    def __init__(self, way: str, budgets: Iterable[Budget], seed: int) -> None:
        self.way = way
        self._parts = {budget.name: _parts(way, budget) for budget in budgets}
        self.budgets = {
            part.name: part for parts in self._parts.values() for part in parts
        }
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.calls: list[_Call] = []
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.instances = [self._instance(k) for k in range(INSTANCES)]
        self.owners: dict[int, tuple[_Instance, BudgetOwner]] = {}
        shards = sorted({shard_of(name) for name in self.budgets})
        for position, shard in enumerate(shards):
            self._start_owner(shard, self.instances[position % INSTANCES], 1)

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        entry = (self.now_s + delay_s, next(self._order), action)
        heapq.heappush(self._queue, entry)

    def run(self, until_s: float) -> None:
        """Run all events up to a point in virtual time."""
        while self._queue and self._queue[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._queue)
            action()
        self.now_s = until_s

    def add_load(
        self,
        name: str,
        per_s: float,
        choose_instance: Callable[[], int],
        on_admitted: Callable[["Fleet", _Instance, _Call], None] | None = None,
    ) -> None:
        """Send calls as a Poisson process.

        :param choose_instance: returns the index of a call's instance.
        :param on_admitted: runs for each admitted call.
        """

        def again() -> None:
            self.after(self.rng.expovariate(per_s), again)
            self._arrive(self.instances[choose_instance()], name, on_admitted)

        self.after(self.rng.expovariate(per_s), again)

    def kill(self, index: int) -> None:
        """Stop an instance; a successor takes over its shards."""
        dead = self.instances[index]
        dead.is_alive = False
        for shard, (instance, owner) in list(self.owners.items()):
            if instance is dead:
                self.after(
                    TAKEOVER_S,
                    lambda s=shard, e=owner.epoch: self._start_owner(
                        s, self.instances[(index + 1) % INSTANCES], e + 1
                    ),
                )

    def has_units(self, instance: _Instance, name: str) -> bool:
        """Return whether an instance holds units of a budget."""
        client = instance.clients[shard_of(name)]
        return client.held(self.now_s, name)[0] > 0

    def _instance(self, index: int) -> _Instance:
        clients = {}
        for shard in range(SHARD_COUNT):
            clients[shard] = BudgetClient(
                shard=shard,
                instance=f"i{index}",
                incarnation=1,
                exchange_s=0.5 if self.way == TRIAL else EXCHANGE_INTERVAL_S,
            )
            clients[shard].configure(0.0, self.budgets.values())
        buckets = {}
        for budget in self.budgets.values():
            if isinstance(budget, RateBudget):
                parts = INSTANCES if self.way == FIXED else 1
                depth = budget.burst // parts
                bucket = buckets[budget.name] = TokenBucket()
                bucket.resize(0.0, budget.rate_milli_per_s // parts, depth)
                bucket.add(depth)
        return _Instance(index=index, clients=clients, buckets=buckets)

    def _start_owner(
        self, shard: int, instance: _Instance, epoch: int
    ) -> None:
        waits = {"wait_s": 0.0} if epoch == 1 else {}
        owner = BudgetOwner(
            shard=shard,
            lease=_Lease(epoch),
            started_at_s=self.now_s,
            **waits,
        )
        owner.configure(self.now_s, self.budgets.values())
        self.owners[shard] = (instance, owner)
        for other in self.instances:
            other.clients[shard].owner_changed(epoch)
            self._exchange_if_due(other, shard)

    def _arrive(
        self,
        instance: _Instance,
        name: str,
        on_admitted: Callable[["Fleet", _Instance, _Call], None] | None,
    ) -> None:
        call = _Call(at_s=self.now_s, budget=name)
        self.calls.append(call)
        if self._try_admit(instance, call, on_admitted, retry=False):
            return
        waiting = instance.waiting.setdefault(name, deque())
        waiting.append(call)
        self._schedule_retries(instance, name, on_admitted)

    def _try_admit(self, instance, call, on_admitted, *, retry: bool) -> bool:
        if self.way in GRANTED:
            taken = self._try_parts(instance, call.budget, retry)
        else:
            taken = instance.buckets[call.budget].take(self.now_s, 1)
        if not taken:
            return False
        call.admitted = True
        call.outcome_s = self.now_s
        if on_admitted is not None:
            on_admitted(self, instance, call)
        return True

    def _try_parts(self, instance: _Instance, name: str, retry: bool) -> bool:
        """Try the parts in the instance's order, as the daemon does."""
        parts = self._parts[name]
        first = zlib.crc32(f"i{instance.index}/{name}".encode())
        for position in range(len(parts)):
            part = parts[(first + position) % len(parts)].name
            shard = shard_of(part)
            taken = instance.clients[shard].try_acquire(
                self.now_s, part, "", retry=retry
            )
            self._exchange_if_due(instance, shard)
            if taken is not None:
                return True
        return False

    def _schedule_retries(
        self, instance: _Instance, name: str, on_admitted
    ) -> None:
        def again() -> None:
            if not instance.is_alive:
                return
            waiting = instance.waiting[name]
            while waiting:
                if self.now_s - waiting[0].at_s >= DEADLINE_S:
                    waiting.popleft().outcome_s = self.now_s
                elif self._try_admit(
                    instance, waiting[0], on_admitted, retry=True
                ):
                    waiting.popleft()
                else:
                    self.after(0.01, again)
                    return

        if len(instance.waiting[name]) == 1:
            self.after(0.01, again)

    def _exchange_if_due(self, instance: _Instance, shard: int) -> None:
        if not instance.is_alive or self.way not in GRANTED:
            return
        client = instance.clients[shard]
        request = client.next_request(self.now_s)
        if request is not None:
            owner_instance, owner = self.owners[shard]
            data = encode(request)
            self._transfer(
                instance,
                owner_instance,
                len(data),
                lambda: self._handle_request(
                    owner_instance, owner, instance, request
                ),
            )
        due_s = max(client.due_at_s(), self.now_s + 0.001)
        wake_s = instance.next_exchanges_s.get(shard, float("inf"))
        if due_s < wake_s or wake_s <= self.now_s:
            instance.next_exchanges_s[shard] = due_s
            if due_s < float("inf"):
                self.after(
                    due_s - self.now_s,
                    lambda: self._exchange_if_due(instance, shard),
                )

    def _handle_request(
        self, owner_instance, owner, instance, request
    ) -> None:
        if self.now_s < owner.issues_from_s:
            # Until the owner may issue grants, the newest request of each
            # client waits for its reply.
            self.after(
                owner.issues_from_s - self.now_s + 1e-6,
                lambda: self._handle_request(
                    owner_instance, owner, instance, request
                ),
            )
            return
        reply = owner.handle(self.now_s, request)
        if reply is None:
            return
        self._transfer(
            owner_instance,
            instance,
            len(encode(reply)),
            lambda: self._accept_reply(instance, reply),
        )

    def _accept_reply(self, instance: _Instance, reply) -> None:
        instance.clients[reply.shard].accept(self.now_s, reply)
        self._exchange_if_due(instance, reply.shard)

    def _transfer(self, sender, receiver, size: int, action) -> None:
        if sender is not receiver:
            sender.sent_bytes += size
            sender.messages += 1
            receiver.received_bytes += size
            receiver.messages += 1
        delay_s = ONE_WAY_DELAY_S if sender is not receiver else 0.0

        def deliver() -> None:
            if receiver.is_alive:
                action()

        self.after(delay_s, deliver)


def _parts(way: str, budget: Budget) -> list[Budget]:
    """Return the budgets into which a limit is divided."""
    if way != PARTS or isinstance(budget, ConcurrencyBudget):
        return [budget]
    workspace = WorkspaceConfig(
        name=budget.name.split("/")[1],
        rate_per_s=budget.rate_per_s,
        burst=budget.burst,
        allowed_services=frozenset(),
        policies={},
    )
    return [*rate_parts(workspace)]


def _workspace(index: int = 0) -> RateBudget:
    return RateBudget(
        name=f"workspaces/w{index}/rate", rate_per_s=RATE_PER_S, burst=BURST
    )


def _admitted(fleet: Fleet, start_s: float, end_s: float) -> int:
    return sum(
        call.admitted and start_s <= call.outcome_s < end_s
        for call in fleet.calls
        if call.outcome_s is not None
    )


def usable_share(way: str, seed: int, spread: bool) -> float:
    """Return the admitted share of the rate at a demand of twice the rate."""
    fleet = Fleet(way, [_workspace()], seed)
    choose_instance = (
        (lambda: fleet.rng.randrange(INSTANCES)) if spread else lambda: 4
    )
    fleet.add_load(_workspace().name, 2 * RATE_PER_S, choose_instance)
    fleet.run(70.0)
    return _admitted(fleet, 20.0, 70.0) / (50.0 * RATE_PER_S)


def regain_s(way: str, seed: int) -> float:
    """Return the longest time until 95% is admitted after callers move."""
    fleet = Fleet(way, [_workspace()], seed)
    move_times_s = [20.0 + 15.13 * k for k in range(5)]

    def choose_instance() -> int:
        return (
            3 * sum(fleet.now_s >= at_s for at_s in move_times_s) % INSTANCES
        )

    fleet.add_load(_workspace().name, 2 * RATE_PER_S, choose_instance)
    fleet.run(move_times_s[-1] + 15.0)
    worst_s = 0.0
    for at_s in move_times_s:
        late_s = 0.0
        while late_s < 14.0:
            start_s = at_s + late_s
            served = _admitted(fleet, start_s, start_s + 0.5)
            if served >= 0.95 * 0.5 * RATE_PER_S:
                break
            late_s += 0.05
        worst_s = max(worst_s, late_s)
    return worst_s


def _wrongful_share(fleet: Fleet, start_s: float, end_s: float) -> float:
    """Return the share of calls that were refused wrongfully.

    A refusal is wrongful if one global token bucket would have had a token.
    """
    tokens, at_s = float(BURST), 0.0
    wrongful = count = 0
    for call in sorted(fleet.calls, key=lambda call: call.at_s):
        tokens = min(BURST, tokens + (call.at_s - at_s) * RATE_PER_S)
        at_s = call.at_s
        inside = tokens >= 1
        if inside:
            tokens -= 1
        if start_s <= call.at_s < end_s:
            count += 1
            wrongful += (
                inside and not call.admitted and call.outcome_s is not None
            )
    return wrongful / count


def steady_refusals(way: str, seed: int) -> float:
    """Return the share of wrongful refusals at 80% of the rate."""
    fleet = Fleet(way, [_workspace()], seed)
    weights = [1, 1, 1, 1, 1, 2, 2, 3, 4, 5, 6]
    fleet.add_load(
        _workspace().name,
        0.8 * RATE_PER_S,
        lambda: fleet.rng.choices(range(INSTANCES), weights)[0],
    )
    fleet.run(192.0)
    return _wrongful_share(fleet, 10.0, 190.0)


def owner_death_refusals(way: str, seed: int) -> float:
    """Return the share of wrongful refusals in the minute after a death.

    The dead instance owned the budget and also served callers, which move to
    other instances at once.
    """
    fleet = Fleet(way, [_workspace()], seed)
    at_s = 30.0 + seed / SEEDS

    def choose_instance() -> int:
        first = 0 if fleet.now_s < at_s else 1
        return fleet.rng.randrange(first, INSTANCES)

    fleet.add_load(_workspace().name, 0.8 * RATE_PER_S, choose_instance)
    fleet.after(at_s, lambda: fleet.kill(0))
    fleet.run(at_s + 62.0)
    return _wrongful_share(fleet, at_s, at_s + 60.0)


def reduced_service(
    way: str, seed: int, owner_serves: bool, load: float
) -> tuple[float, float]:
    """Return the seconds of reduced service after the death of an owner.

    Service counts as reduced in each half second in which less than 95% of
    the usual rate is admitted, or less than 75% for a demand below the rate.
    The second value is the least share that was admitted in a half second.

    :param owner_serves: whether the owner's instance has callers as well.
    :param load: demand as a multiple of the rate.
    """
    fleet = Fleet(way, [_workspace()], seed)
    at_s = 30.0 + seed / SEEDS

    def choose_instance() -> int:
        before = fleet.now_s < at_s
        first = 0 if before and owner_serves else 1
        return fleet.rng.randrange(first, INSTANCES)

    fleet.add_load(_workspace().name, load * RATE_PER_S, choose_instance)
    fleet.after(at_s, lambda: fleet.kill(0))
    fleet.run(at_s + 25.0)
    # Poisson demand below the rate varies, so its threshold is lower. Twice
    # the rate always exceeds what can be admitted.
    usual = min(load, 1.0) * RATE_PER_S
    limit = 0.95 if load > 1 else 0.75
    shares = [
        _admitted(fleet, at_s + k / 2, at_s + k / 2 + 0.5) / (0.5 * usual)
        for k in range(40)
    ]
    return sum(share < limit for share in shares) / 2, min(shares)


def traffic(way: str) -> dict[str, float]:
    """Return bytes/s and messages/s per instance, and the budgets.

    Eight workspaces send at 80% of their rates from all instances, and each
    call uses a slot of one of the 52 targets of the larger deployment.
    """
    rates = [_workspace(k) for k in range(8)]
    slots = [
        ConcurrencyBudget(name=f"slots/t{k}", capacity=7, linger_s=2.0)
        for k in range(52)
    ]
    fleet = Fleet(way, [*rates, *slots], 1)

    def on_admitted(fleet: Fleet, instance: _Instance, call: _Call) -> None:
        # Targets with free units come first, as in TargetChoice.
        names = [slot.name for slot in fleet.rng.sample(slots, 12)]
        names.sort(key=lambda name: not fleet.has_units(instance, name))
        client = instance.clients[shard_of(names[0])]
        permit = client.try_acquire(fleet.now_s, names[0], call.budget[11:13])
        if permit is not None:
            fleet.after(0.1, lambda: client.release(fleet.now_s, permit))

    for budget in rates:
        fleet.add_load(
            budget.name,
            0.8 * RATE_PER_S,
            lambda: fleet.rng.randrange(INSTANCES),
            on_admitted,
        )
    fleet.run(10.0)
    start = [(i.sent_bytes + i.received_bytes) for i in fleet.instances]
    messages = sum(i.messages for i in fleet.instances)
    fleet.run(30.0)
    used = [
        (i.sent_bytes + i.received_bytes - before) / 20.0
        for i, before in zip(fleet.instances, start, strict=True)
    ]
    messages = sum(i.messages for i in fleet.instances) - messages
    return {
        "mean": sum(used) / len(used),
        "highest": max(used),
        "messages_per_s": messages / 20.0 / len(used),
        "budgets": len(fleet.budgets),
    }


def processor_time_us() -> tuple[float, float, float]:
    """Return the processor time of an acquisition and of two exchanges.

    An exchange is a request and its reply. The first exchange is among
    ``INSTANCES`` clients, the second among 1,300.
    """
    budget = _workspace()
    shard = shard_of(budget.name)

    def exchanges(clients: int, rounds: int) -> tuple[float, BudgetClient]:
        owner = BudgetOwner(
            shard=shard, lease=_Lease(1), started_at_s=0.0, wait_s=0.0
        )
        owner.configure(0.0, [budget])
        fleet = []
        for index in range(clients):
            client = BudgetClient(
                shard=shard, instance=f"{index}", incarnation=1
            )
            client.configure(0.0, [budget])
            fleet.append(client)
        count = 0
        started_s = 0.0
        now_s = 10.0
        for turn in range(rounds + 2):
            if turn == 2:
                count, started_s = 0, time.process_time()
            for client in fleet:
                now_s += 1.0 / clients
                client.try_acquire(now_s, budget.name, "w")
                request = client.next_request(now_s)
                if request is not None:
                    reply = owner.handle(now_s, request)
                    count += 1
                    client.accept(now_s, reply)
        spent_s = time.process_time() - started_s
        return spent_s / max(1, count) * 1e6, fleet[0]

    exchange_us, client = exchanges(INSTANCES, 200)
    large_us, _ = exchanges(1300, 4)
    started_s = time.process_time()
    for step in range(20_000):
        client.try_acquire(300.0 + step * 1e-5, budget.name, "w")
    acquire_us = (time.process_time() - started_s) / 20_000 * 1e6
    return acquire_us, exchange_us, large_us


def _row(
    name: str,
    target: str,
    measure: Callable[[str], float],
    meets: Callable[[float], bool],
    ways: Iterable[str],
) -> dict:
    figures = {way: measure(way) for way in ways}
    return {
        "name": name,
        "target": target,
        "figures": figures,
        "met": all(
            meets(figures[way]) for way in (SHARED, PARTS) if way in figures
        ),
    }


def measure(count: int, ways: Iterable[str]) -> list[dict]:
    """Return the rows of the table, each the worst figure of the seeds.

    :param count: number of seeds.
    """
    seeds = range(count)
    rows = [
        _row(
            "usable share of the rate, callers spread",
            ">= 0.95",
            lambda way: min(usable_share(way, s, True) for s in seeds),
            lambda figure: figure >= 0.95,
            ways,
        ),
        _row(
            "usable share of the rate, one instance",
            ">= 0.95",
            lambda way: min(usable_share(way, s, False) for s in seeds),
            lambda figure: figure >= 0.95,
            ways,
        ),
        _row(
            "time to regain 95% after callers moved, s (14: never)",
            "<= 2",
            lambda way: max(regain_s(way, s) for s in seeds),
            lambda figure: figure <= 2,
            ways,
        ),
        _row(
            "wrongful refusals, steady state",
            "0",
            lambda way: max(steady_refusals(way, s) for s in seeds),
            lambda figure: figure == 0,
            ways,
        ),
        _row(
            "wrongful refusals, minute of an owner's death",
            "<= 0.001",
            lambda way: max(owner_death_refusals(way, s) for s in seeds),
            lambda figure: figure <= 0.001,
            ways,
        ),
    ]
    for label, serves, load in (
        ("owner without callers, demand 2x", False, 2.0),
        ("owner with callers, demand 2x", True, 2.0),
        ("owner with callers, demand 0.8x", True, 0.8),
    ):
        found = {
            way: [reduced_service(way, s, serves, load) for s in seeds]
            for way in ways
        }
        rows += [
            _row(
                f"reduced service, {label}, s",
                "<= 5",
                lambda way, f=found: max(time_s for time_s, _ in f[way]),
                lambda figure: figure <= 5,
                ways,
            ),
            _row(
                f"least share in 0.5 s, {label}",
                "> 0",
                lambda way, f=found: min(share for _, share in f[way]),
                lambda figure: figure > 0,
                ways,
            ),
        ]
    return rows


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", type=Path, help="write the figures here")
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument(
        "--ways", nargs="+", choices=WAYS, default=WAYS, help="columns"
    )
    options = parser.parse_args()
    ways = options.ways
    rows = measure(options.seeds, ways)
    print(f"{'':56}{'target':>9}" + "".join(f"{way:>16}" for way in ways))
    for row in rows:
        figures = "".join(f"{row['figures'][way]:16.5f}" for way in ways)
        outcome = "" if row["met"] else "  MISSED"
        print(f"{row['name']:56}{row['target']:>9}{figures}{outcome}")
    used = {}
    for way in (way for way in GRANTED if way in ways):
        used[way] = traffic(way)
        print(
            f"traffic per instance ({way}), {INSTANCES} instances,"
            f" {used[way]['budgets']} budgets used everywhere:"
            f" mean {used[way]['mean']:.0f},"
            f" highest {used[way]['highest']:.0f} bytes/s,"
            f" {used[way]['messages_per_s']:.1f} messages/s"
        )
    acquire_us, exchange_us, large_us = processor_time_us()
    print(
        f"processor time: try_take {acquire_us:.1f} us; exchange of one budget"
        f" {exchange_us:.0f} us ({INSTANCES} takers), {large_us:.0f} us"
        " (1,300 takers), taker and owner together"
    )
    if options.json:
        document = {
            "rows": rows,
            "traffic": used,
            "processor_us": {
                "try_take": acquire_us,
                "exchange": exchange_us,
                "exchange_1300": large_us,
            },
        }
        options.json.write_text(json.dumps(document, indent=2) + "\n")


if __name__ == "__main__":
    main()
