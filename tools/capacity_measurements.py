"""Measures the costs of the project's modules at several sizes.

Each function measures one module in the process that calls it and returns
points (figure, size, value). Times are processor time in seconds; memory is
counted by tracemalloc, so it leaves out the allocator's own overhead.
"""

import gc
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from itertools import cycle
from random import Random
from types import MappingProxyType, SimpleNamespace
from typing import Any

from measure_agreement import (
    MeasuredCluster,
    known_members,
    make_layout,
    measure_load,
)
from membership_harness import MemberNetwork
from verbenad.edit_port import config_bytes
from verbenad.fleet import Fleet
from verbenad.lookup_table import LookupTable
from verbenaworks.agreement import Agreement, AgreementSettings
from verbenaworks.attempt_outcome import Completed
from verbenaworks.block_table import BlockTable
from verbenaworks.budget_client import BudgetClient
from verbenaworks.budget_owner import BudgetOwner
from verbenaworks.budget_spec import Budget, RateBudget, shard_of
from verbenaworks.choice_result import Choice, ChoiceRequest
from verbenaworks.compiled_config import compile_config
from verbenaworks.config_document import ConfigDocument
from verbenaworks.control_record import InstanceId
from verbenaworks.crash_ledger import CrashLedger
from verbenaworks.edit import Edit, SetValue
from verbenaworks.entry_lookup import EntryInstance, EntryLookup
from verbenaworks.member import Member, MemberState
from verbenaworks.membership import Membership
from verbenaworks.run_ledger import RunLedger
from verbenaworks.run_messages import ClaimRun, ReportAnswered, StoredAnswer
from verbenaworks.settings_tree import SettingsTree
from verbenaworks.shift_plan import ShiftPlan, ShiftSpec
from verbenaworks.state_delta import apply_delta, make_delta
from verbenaworks.target import TargetInfo
from verbenaworks.target_choice import TargetChoice
from verbenaworks.targets_by_distance import Location
from verbenaworks.wire import encode

Points = list[tuple[str, float, float]]

REGIONS = 10
SITES = 270
INSTANCES = 1300


def cpu_s(work: Callable[[], object], repeats: int = 1) -> float:
    """Return the processor time of one call.

    The least of several repeats is returned, since other processes on a busy
    machine can only add to the time.
    """
    least = float("inf")
    for _ in range(repeats):
        start = time.process_time()
        work()
        least = min(least, time.process_time() - start)
    return least


def memory_bytes(work: Callable[[], object]) -> tuple[float, float]:
    """Return the memory of the result of ``work`` and the peak before it."""
    gc.collect()
    tracemalloc.start()
    try:
        result = work()
        held, peak = tracemalloc.get_traced_memory()
        del result
    finally:
        tracemalloc.stop()
    return float(held), float(peak)


def make_document(
    blocks: int, sites: int = SITES, keys: int = 100
) -> ConfigDocument:
    """Return a configuration with ten regions.

    :param blocks: number of client blocks.
    :param sites: number of sites.
    :param keys: number of workspace keys.
    """
    rng = Random(1)
    branches: dict[str, dict[str, Any]] = {"/": {}}
    for n in range(REGIONS):
        branches[f"/regions/r{n:02}"] = {}
    for n in range(sites):
        branches[f"/sites/s{n:03}"] = {"region": f"r{n % REGIONS:02}"}
    for n in range(4):
        branches[f"/services/v{n}"] = {"host": f"v{n}.example", "slots": 6}
        for t in range(100):
            branches[f"/services/v{n}/targets/t{t:03}"] = {
                "address": f"10.200.{n}.{t}:8080",
                "region": f"r{t % REGIONS:02}",
                "failure_domain": f"d{t % 31:02}",
            }
    for n in range(min(keys, 100)):
        branches[f"/workspaces/w{n:03}"] = {
            "rate_per_s": 100.0,
            "burst": 100.0,
            "allowed_services": ("*",),
        }
    for n in range(keys):
        path = f"/workspaces/w{n % 100:03}/keys/{rng.randbytes(6).hex()}"
        salt, text = rng.randbytes(16).hex(), rng.randbytes(32).hex()
        branches[path] = {"digest": f"{salt}:{text}"}
    table = BlockTable().with_changes(
        (
            f"{10 + (n >> 16)}.{n >> 8 & 255}.{n & 255}.0/24",
            f"s{rng.randrange(sites):03}",
        )
        for n in range(blocks)
    )
    return ConfigDocument(
        config_revision=1,
        tree=SettingsTree(
            {p: MappingProxyType(v) for p, v in branches.items()},
            table.unwrap(),
        ),
    )


def _edit(document: ConfigDocument, change: SetValue) -> Edit:
    return Edit(
        edit_id=f"e{document.config_revision}",
        operator="operator",
        read_revision=document.config_revision,
        changes=(change,),
    )


_RATE_CHANGE = SetValue(
    path="/workspaces/w001", field="rate_per_s", value=90.0
)
_BLOCK_CHANGE = SetValue(path="/blocks", field="10.0.1.0/24", value="s007")


def _apply_document(
    data: bytes, earlier: ConfigDocument | None, table: LookupTable
) -> ConfigDocument:
    document = ConfigDocument.from_bytes(data, earlier)
    table.set_config(compile_config(document))
    return document


def _entry_instances(size: int) -> list[EntryInstance]:
    return [
        EntryInstance(
            name=name,
            caller_address=f"10.1.{n // 250}.{n % 250}:80",
            region=region,
            failure_domain=domain,
        )
        for n, (name, region, domain) in enumerate(make_layout(size))
    ]


def measure_blocks(count: int) -> Points:
    """Measure the document, its compilation and the lookups."""
    document = make_document(count)
    data = document.to_bytes()
    table = LookupTable()
    known = _apply_document(data, None, table)
    plain = known.apply_edit(_edit(known, _RATE_CHANGE)).unwrap()
    moved = known.apply_edit(_edit(known, _BLOCK_CHANGE)).unwrap()
    plain_data, moved_data = plain.to_bytes(), moved.to_bytes()
    held, peak = memory_bytes(lambda: _load_document(data))
    edit_peak = _edit_peak(data, moved_data)
    table.set_instances(_entry_instances(INSTANCES))
    rng = Random(2)
    addresses = [
        f"{10 + (n >> 16)}.{n >> 8 & 255}.{n & 255}.9"
        for n in (rng.randrange(count) for _ in range(1000))
    ]

    def look_up(is_usable: Callable[[str], bool]) -> float:
        return cpu_s(
            lambda: [table.find(a, is_usable) for a in addresses], 8
        ) / len(addresses)

    lost = {i.name for i in _entry_instances(INSTANCES) if i.region == "r03"}
    return [
        ("document bytes", count, len(data)),
        (
            "edit without blocks, writer",
            count,
            cpu_s(lambda: _encode_edit(data, known, _RATE_CHANGE), 3),
        ),
        (
            "edit of a block, writer",
            count,
            cpu_s(lambda: _encode_edit(data, known, _BLOCK_CHANGE), 3),
        ),
        (
            "edit without blocks, put in force",
            count,
            cpu_s(lambda: _apply_document(plain_data, known, table), 3),
        ),
        (
            "edit of a block, put in force",
            count,
            cpu_s(lambda: _apply_document(moved_data, known, table), 2),
        ),
        (
            "delta of an edit of a block",
            count,
            cpu_s(
                lambda: apply_delta(data, make_delta(data, 1, moved_data)), 3
            ),
        ),
        ("document and table, held", count, held),
        ("document and table, peak at start", count, peak),
        ("document and table, peak at an edit", count, edit_peak),
        ("look-up", count, look_up(lambda _: True)),
        (
            "look-up, one region lost",
            count,
            look_up(lambda name: name not in lost),
        ),
    ]


def _load_document(data: bytes) -> tuple[ConfigDocument, LookupTable]:
    table = LookupTable()
    return _apply_document(data, None, table), table


def _edit_peak(data: bytes, later: bytes) -> float:
    def work() -> object:
        document, table = _load_document(data)
        tracemalloc.reset_peak()
        return _apply_document(later, document, table), table

    return memory_bytes(work)[1]


def _encode_edit(
    data: bytes, known: ConfigDocument, change: SetValue
) -> bytes:
    document = ConfigDocument.from_bytes(data, known)
    return document.apply_edit(_edit(document, change)).unwrap().to_bytes()


def measure_document(keys: int) -> Points:
    """Measure an edit by the size of the document, without blocks."""
    data = make_document(10, keys=keys).to_bytes()
    size = len(data)
    table = LookupTable()
    known = _apply_document(data, None, table)
    later = known.apply_edit(_edit(known, _RATE_CHANGE)).unwrap()
    after = later.to_bytes()
    delta = make_delta(data, 1, after)
    return [
        (
            "decode",
            size,
            cpu_s(lambda: ConfigDocument.from_bytes(data, known), 4),
        ),
        (
            "apply an edit and encode",
            size,
            cpu_s(lambda: known.apply_edit(_edit(known, _RATE_CHANGE)), 4),
        ),
        ("compile", size, cpu_s(lambda: compile_config(known), 4)),
        ("make a delta", size, cpu_s(lambda: make_delta(data, 1, after))),
        (
            "apply a delta",
            size,
            cpu_s(lambda: apply_delta(data, delta)),
        ),
        (
            "document, held",
            size,
            memory_bytes(lambda: _load_document(data))[0],
        ),
    ]


def measure_sites(sites: int) -> Points:
    """Measure the compilation by the number of sites."""
    document = make_document(15_000, sites)
    return [
        (
            "compile, by sites",
            sites,
            cpu_s(lambda: compile_config(document), 8),
        )
    ]


def measure_rings(size: int) -> Points:
    """Measure the hash rings of the entry instances."""
    instances = _entry_instances(size)
    held, peak = memory_bytes(lambda: EntryLookup(instances))
    return [
        ("rings, build all", size, cpu_s(lambda: EntryLookup(instances), 5)),
        ("rings, held", size, held),
        ("rings, peak", size, peak),
    ]


def measure_fleet(size: int) -> Points:
    """Measure what a change of one member costs the daemon."""
    layout = make_layout(size)
    own_name, region, domain = layout[0]
    instance = InstanceId(name=own_name, incarnation=1)
    table = LookupTable()
    fleet = Fleet(
        settings=SimpleNamespace(  # type: ignore[arg-type]
            caller_address="10.0.0.1:80",
            bus_address="10.0.0.1:81",
            region=region,
            failure_domain=domain,
        ),
        instance=instance,
        agreement=Agreement(
            AgreementSettings(
                instance=instance,
                region=region,
                failure_domain=domain,
                initial_config=config_bytes(ConfigDocument()),
            ),
            0.0,
            Random(1),
        ),
        bus=SimpleNamespace(  # type: ignore[arg-type]
            subscribe=lambda *_: None, send=lambda *_: None
        ),
        now_s=lambda: 1.0,
        random=Random(1),
        on_change=lambda: table.set_instances(fleet.entry_instances()),
    )
    membership = fleet._membership
    for name, region, domain in layout[1:]:
        membership._merge(
            0.0,
            Member(
                name=name,
                incarnation=1,
                region=region,
                failure_domain=domain,
                caller_address=f"{name}:80",
                bus_address=f"{name}:81",
                fresh=True,
            ),
        )
    fleet._handle_changes()

    def change(**fields: Any) -> None:
        member = membership.members()[9]
        membership._merge(
            0.0, replace(member, counter=member.counter + 1, **fields)
        )
        fleet._handle_changes()

    def scan() -> None:
        fleet._next_scan_s = 0.0
        change(load=0.5)

    report_s = cpu_s(lambda: change(load=0.5), 3)
    scan_s = cpu_s(scan, 3)
    states = cycle((MemberState.DEAD, MemberState.ALIVE))
    death_s = cpu_s(lambda: change(state=next(states)), 8)
    return [
        ("a member's report, at the daemon", size, report_s),
        ("a scan of the members' reports", size, scan_s),
        ("a member's death, at the daemon", size, death_s),
    ]


def measure_shift(blocks: int) -> Points:
    """Measure a shift's plan by the blocks of its source region."""
    spec = ShiftSpec(
        name="s",
        from_region="a",
        to_region="b",
        cap_share=0.5,
        step_share=0.01,
    )
    pairs = [(n << 8, 1) for n in range(blocks)]
    plan = ShiftPlan(spec, pairs)
    return [
        ("plan, build", blocks, cpu_s(lambda: ShiftPlan(spec, pairs), 8)),
        (
            "plan, held",
            blocks,
            memory_bytes(lambda: ShiftPlan(spec, pairs))[0],
        ),
        (
            "plan, one question",
            blocks,
            cpu_s(lambda: [plan.is_moved(n << 8, 3) for n in range(1000)], 10)
            / 1000,
        ),
    ]


def measure_members(size: int) -> Points:
    """Measure the membership protocol in virtual time.

    The time includes the simulation of the network and is therefore an upper
    bound.
    """
    layout = make_layout(size)
    known = known_members(layout)

    def make_membership() -> Membership:
        membership = Membership(known[0], (), 0.0, Random(1))
        for member in known:
            membership._merge(0.0, member, is_from_list=True)
        return membership

    held, _ = memory_bytes(make_membership)
    network = MemberNetwork(1)
    for name, region, domain in layout:
        network.start(name, [layout[0][0]], known, region, domain)
    network.timers.advance(2.0)
    network.sent_bytes = network.sent_messages = 0
    duration_s = 5.0
    for n, peer in enumerate(network.peers.values()):
        network.timers.after(
            n / size * duration_s,
            lambda p=peer: p.membership.report(  # type: ignore[misc]
                config_revision=2, fresh=True, load=0.3
            ),
        )
    spent_s = cpu_s(lambda: network.timers.advance(duration_s))
    rate = 1 / duration_s / size
    return [
        ("members, processor share", size, spent_s * rate),
        ("members, bytes/s both ways", size, 2 * network.sent_bytes * rate),
        ("members, messages/s received", size, network.sent_messages * rate),
        ("members, held", size, held),
    ]


def measure_freshness(size: int) -> Points:
    """Measure polls, relays and store calls, also around a store outage."""
    rows = {row["name"]: row["value"] for row in measure_load(size)}
    cluster = MeasuredCluster(size, "matunda")
    cluster.settle()
    spent_s = cpu_s(lambda: cluster.timers.advance(5.0))
    return [
        ("freshness, processor share", size, spent_s / 5.0 / size),
        ("freshness, mean bytes/s", size, rows["freshness bytes, mean"]),
        ("freshness, busiest bytes/s", size, rows["freshness bytes, busiest"]),
        (
            "freshness, busiest bytes/s, store down",
            size,
            rows["freshness bytes, busiest, store down"],
        ),
        ("not fresh, store down", size, rows["not fresh, store down"]),
        ("store reads/s, ordinary", size, rows["store reads, ordinary"]),
        ("store writes/s, ordinary", size, rows["store writes, ordinary"]),
        (
            "store reads/s, on return",
            size,
            rows["store reads on return, busiest 0.5 s x2"],
        ),
        (
            "store writes/s, on return",
            size,
            rows["store writes on return, busiest 0.5 s x2"],
        ),
    ]


class _Lease:
    epoch = 1

    def is_valid(self, now_s: float) -> bool:
        """Return True; the owner does not change here."""
        return True


def _budgets(count: int) -> list[Budget]:
    """Return rate budgets that belong to shard 0."""
    found: list[Budget] = []
    number = 0
    while len(found) < count:
        name = f"rate/w{number}/0"
        number += 1
        if shard_of(name) == 0:
            found.append(RateBudget(name=name, rate_per_s=2000.0, burst=2000))
    return found


class _Shard:
    """One owner and its clients, which all use the same budgets."""

    def __init__(self, clients: int, budgets: int) -> None:
        self.budgets = _budgets(budgets)
        self.owner = BudgetOwner(
            shard=0, lease=_Lease(), started_at_s=-1e6, wait_s=0.0
        )
        self.owner.configure(0.0, self.budgets)
        self.clients = []
        for n in range(clients):
            client = BudgetClient(shard=0, instance=f"i{n}", incarnation=1)
            client.configure(0.0, self.budgets)
            self.clients.append(client)
        self.now_s = 0.0
        self.owner_s = self.client_s = 0.0
        self.exchanges = self.bytes = 0
        self.mean_bytes = 0.0

    def round(self) -> None:
        """Let every client spend a token of each budget and exchange."""
        self.now_s += 1.0
        for client in self.clients:
            for budget in self.budgets:
                client.try_acquire(self.now_s, budget.name, "w")
            start = time.process_time()
            request = client.next_request(self.now_s)
            middle = time.process_time()
            self.client_s += middle - start
            if request is None:
                continue
            reply = self.owner.handle(self.now_s, request)
            end = time.process_time()
            self.owner_s += end - middle
            self.exchanges += 1
            self.bytes += len(encode(request))
            if reply is not None:
                self.bytes += len(encode(reply))
                client.accept(self.now_s, reply)
                self.client_s += time.process_time() - end


def _run_shard(clients: int, budgets: int, rounds: int) -> _Shard:
    """Run some rounds; the costs are those of the cheapest exchange.

    A client that lacks tokens skips rounds, so costs are divided by the
    exchanges of the same round.
    """
    shard = _Shard(clients, budgets)
    for _ in range(4):
        shard.round()
    owner_s, client_s, sizes = [], [], []
    for _ in range(rounds):
        shard.owner_s = shard.client_s = 0.0
        shard.exchanges = shard.bytes = 0
        shard.round()
        if shard.exchanges < clients / 2:
            continue
        owner_s.append(shard.owner_s / shard.exchanges)
        client_s.append(shard.client_s / shard.exchanges)
        sizes.append(shard.bytes / shard.exchanges)
    shard.owner_s, shard.client_s = min(owner_s), min(client_s)
    shard.mean_bytes = sum(sizes) / len(sizes)
    return shard


def measure_budget_clients(clients: int) -> Points:
    """Measure an owner's exchange by the number of clients."""
    shard = _run_shard(clients, 2, 6)
    held = memory_bytes(lambda: _run_shard(clients, 2, 2).owner)[0]
    return [
        (
            "owner, one exchange, 2 budgets",
            clients,
            shard.owner_s,
        ),
        ("owner, held, 2 budgets", clients, held),
    ]


def measure_budgets(budgets: int) -> Points:
    """Measure an exchange by the number of budgets in it."""
    shard = _run_shard(40, budgets, 30)
    client = shard.clients[0]
    name = shard.budgets[0].name
    held = memory_bytes(lambda: _run_shard(40, budgets, 2).clients)[0] / 40
    return [
        ("owner, one exchange", budgets, shard.owner_s),
        ("taker, one exchange", budgets, shard.client_s),
        ("exchange, bytes", budgets, shard.mean_bytes),
        ("taker, held", budgets, held),
        (
            "taker, take a token",
            budgets,
            cpu_s(
                lambda: [
                    client.try_acquire(shard.now_s, name, "w")
                    for _ in range(1000)
                ],
                10,
            )
            / 1000,
        ),
    ]


def measure_run_ledger(records: int) -> Points:
    """Measure the run ledger by its records, with 256-byte responses."""

    def fill() -> RunLedger:
        ledger = RunLedger(0, 1, 0.0)
        for n in range(records):
            key = f"workspace/0-1-0.{n:016x}"
            ledger.claim(1.0, _claim(key))
            ledger.report(
                ReportAnswered(
                    shard=0,
                    epoch=1,
                    key=key,
                    attempt_id=f"a{key}",
                    answer=StoredAnswer(
                        status=200, headers=(), body=bytes(256)
                    ),
                )
            )
        return ledger

    return [
        ("ledger, claim and report", records, cpu_s(fill, 3) / records),
        ("ledger, held", records, memory_bytes(fill)[0]),
    ]


def _claim(key: str) -> ClaimRun:
    return ClaimRun(
        shard=0,
        epoch=1,
        generation=0,
        key=key,
        attempt_id=f"a{key}",
        fingerprint=f"{hash(key):032x}",
    )


def measure_crash_ledger(digests: int) -> Points:
    """Measure the crash ledger by its digests."""

    def fill() -> CrashLedger:
        ledger = CrashLedger()
        for n in range(digests):
            ledger.record(1.0, f"{n:032x}", f"i01-0001/{n}")
        return ledger

    return [
        ("crashes, record one", digests, cpu_s(fill, 3) / digests),
        ("crashes, held", digests, memory_bytes(fill)[0]),
    ]


class _AllUnits:
    def available(self, target: str) -> int:
        """Return the same number of units for every target."""
        return 6

    def take(self, target: str, workspace: str) -> bool:
        """Grant every unit."""
        return True

    def release(self, target: str, workspace: str) -> None:
        """Do nothing."""

    def set_demand(self, service: str, workspace: str, amount: int) -> None:
        """Do nothing."""


def measure_choice(targets: int) -> Points:
    """Measure the choice of a target by the number of a service's targets."""
    candidates = [
        TargetInfo(
            name=f"v/t{n}",
            service="v",
            address=f"10.200.1.{n}:8080",
            region=f"r{n % REGIONS:02}",
            failure_domain=f"d{n % 31:02}",
            slots=6,
            connections=360,
        )
        for n in range(targets)
    ]

    def make() -> TargetChoice:
        choice = TargetChoice(
            place=Location(
                instance="i00",
                region="r00",
                failure_domain="d00",
                domain_delay_s=0.0015,
                region_delay_s=0.012,
            ),
            units=_AllUnits(),
            region_units=_AllUnits(),
            random=Random(1),
        )
        choice.set_targets(0.0, "v", candidates)
        return choice

    choice = make()

    def choose() -> None:
        for n in range(500):
            now_s = n / 100
            found = choice.choose(
                now_s,
                ChoiceRequest(
                    request_id="r",
                    service="v",
                    workspace="w",
                    deadline_s=now_s + 10,
                ),
                candidates,
            )
            assert isinstance(found, Choice)
            choice.finish(now_s + 0.1, found, Completed())

    return [
        ("choice and finish", targets, cpu_s(choose, 8) / 500),
        ("choice, held", targets, memory_bytes(make)[0]),
    ]


TASKS: list[tuple[Callable[[int], Points], tuple[int, ...]]] = [
    (measure_freshness, (400, 200, 100, 50)),
    (measure_members, (1300, 600, 200, 50)),
    (measure_blocks, (120_000, 60_000, 30_000, 15_000)),
    (measure_budget_clients, (1300, 800, 400, 100)),
    (measure_document, (11_000, 6_000, 3_000, 1_500)),
    (measure_budgets, (8, 4, 2, 1)),
    (measure_fleet, (1300, 800, 400, 100)),
    (measure_rings, (1300, 800, 400, 100)),
    (measure_sites, (270, 180, 90, 30)),
    (measure_shift, (24_000, 12_000, 6_000, 3_000)),
    (measure_run_ledger, (20_000, 10_000, 5_000, 2_500)),
    (measure_crash_ledger, (10_000, 5_000, 2_500, 1_250)),
    (measure_choice, (200, 100, 50, 25)),
]
