"""Runs several instances of the agreement in virtual time with seeded faults.

Each run records a history as a list of dictionaries. The checkers in
``agreement_checkers`` read nothing but that history.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec

from verbenaworks.agreed_state import AgreedState, ConfigBytes
from verbenaworks.agreement import TICK_S, Agreement, AgreementSettings
from verbenaworks.agreement_actions import (
    CallStore,
    ReportEdit,
    SendMessage,
    StateApplied,
)
from verbenaworks.control_record import InstanceId
from verbenaworks.freshness import MAX_CLOCK_DRIFT
from verbenaworks.member import Member, MemberState
from verbenaworks.state_edit import (
    AlreadyApplied,
    EditAccepted,
    EditRejected,
    EditResult,
    StateEdit,
)
from verbenaworks.store_requests import (
    StoreAbsent,
    StoreConflict,
    StoreGet,
    StoreOutcomeUnknown,
    StorePut,
    StorePutApplied,
    StoreResult,
    StoreUnavailable,
    StoreValue,
    StoreVersionFound,
    StoreWatch,
)
from verbenaworks.virtual_timers import VirtualTimers
from verbenaworks.wire import decode, encode

Event = dict[str, Any]
STORE = "store"


def encode_config(edits: list[str]) -> ConfigBytes:
    """Return a configuration document that lists edit ids."""
    return ConfigBytes(
        document=msgspec.Raw(json.dumps(edits).encode()),
        config_revision=len(edits),
    )


def read_edits(state: AgreedState | None) -> tuple[str, ...]:
    """Return the edit ids in the document of a state."""
    return () if state is None else tuple(json.loads(bytes(state.config)))


def make_edit(edit_id: str) -> StateEdit:
    """Return an edit that appends its id to the document."""

    def change(state: AgreedState) -> EditResult:
        edits = list(read_edits(state))
        if edit_id in edits:
            return AlreadyApplied(config_revision=edits.index(edit_id) + 1)
        return encode_config([*edits, edit_id])

    return StateEdit(edit_id=edit_id, change=change)


@dataclass(kw_only=True)
class FakeStore:
    """In-memory store with compare-and-swap, versions and watches."""

    timers: VirtualTimers
    rng: Random
    record: Callable[..., None]
    value: bytes | None = None
    version: int = 0
    counter: int = 0
    is_down: bool = False
    is_silent: bool = False
    delay_s: float = 0.002
    lost_answers_share: float = 0.0
    late_writes_share: float = 0.0
    snapshots: list[tuple[float, bytes | None, int, int]] = field(
        default_factory=list
    )
    watchers: list[tuple[int, Callable[[StoreResult], None]]] = field(
        default_factory=list
    )
    calls: dict[str, int] = field(default_factory=dict)

    def call(
        self, request: Any, answer: Callable[[StoreResult], None]
    ) -> None:
        """Handle a request that has arrived at the store."""
        name = type(request).__name__
        self.calls[name] = self.calls.get(name, 0) + 1
        if self.is_down:
            if not self.is_silent:
                answer(StoreUnavailable())
            return
        if isinstance(request, StoreWatch):
            self._watch(request, answer)
            return
        if isinstance(request, StorePut):
            self._put(request, answer)
            return
        if self.value is None:
            result: StoreResult = StoreAbsent()
        elif isinstance(request, StoreGet):
            result = StoreValue(value=self.value, version=self.version)
        else:
            result = StoreVersionFound(version=self.version)
        self.timers.after(self.delay_s, lambda: answer(result))

    def _put(
        self, request: StorePut, answer: Callable[[StoreResult], None]
    ) -> None:
        if self.rng.random() < self.late_writes_share:
            # The store reports an unknown outcome, and the write takes
            # effect later.
            self.timers.after(
                self.rng.uniform(0.1, 3.0), lambda: self._write(request)
            )
            answer(StoreOutcomeUnknown())
            return
        result = self._write(request)
        if self.rng.random() < self.lost_answers_share:
            if self.rng.random() < 0.5:
                self.timers.after(0.5, lambda: answer(StoreOutcomeUnknown()))
            return
        self.timers.after(self.delay_s, lambda: answer(result))

    def _write(self, request: StorePut) -> StoreResult:
        if self.is_down:
            return StoreUnavailable()
        if request.expected_version != self.version:
            return StoreConflict()
        self.snapshots.append(
            (self.timers.now_s(), self.value, self.version, self.counter)
        )
        self.counter += 1
        self.version, self.value = self.counter, request.value
        self._record_effect()
        return StorePutApplied(version=self.version)

    def _record_effect(self) -> None:
        state = None if self.value is None else decode_state(self.value)
        self.record(
            "effect",
            edits=read_edits(state),
            sequence=0 if state is None else state.sequence,
        )
        watchers, self.watchers = self.watchers, []
        for after_version, answer in watchers:
            if self.version == after_version:
                self.watchers.append((after_version, answer))
            else:
                self.timers.after(
                    self.delay_s,
                    lambda a=answer, v=self.version: a(
                        StoreVersionFound(version=v) if v else StoreAbsent()
                    ),
                )

    def _watch(
        self, request: StoreWatch, answer: Callable[[StoreResult], None]
    ) -> None:
        if self.version != request.after_version:
            answer(StoreVersionFound(version=self.version))
            return
        entry = (request.after_version, answer)
        self.watchers.append(entry)

        def end() -> None:
            if entry in self.watchers:
                self.watchers.remove(entry)
                answer(StoreVersionFound(version=self.version))

        self.timers.after(request.wait_s, end)

    def restore(self, age_s: float) -> None:
        """Restore the value and the versions of ``age_s`` ago."""
        from_s = self.timers.now_s() - age_s
        older = [s for s in self.snapshots if s[0] >= from_s]
        if not older:
            return
        _, self.value, self.version, self.counter = older[0]
        del self.snapshots[self.snapshots.index(older[0]) :]
        self.record("restore")
        self._record_effect()


_state_cache: dict[bytes, AgreedState] = {}


def decode_state(value: bytes) -> AgreedState:
    """Return the state in a store value; a small cache saves decoding."""
    if value not in _state_cache:
        if len(_state_cache) > 500:
            _state_cache.clear()
        _state_cache[value] = AgreedState.from_bytes(value)
    return _state_cache[value]


@dataclass(kw_only=True, eq=False)
class Node:
    """One process that runs the agreement.

    :ivar backlog: callbacks that are due while the process is paused.
    :ivar last_contact_s: when each other node was last reachable.
    """

    name: str
    region: str
    failure_domain: str
    clock: VirtualTimers
    incarnation: int
    agreement: Agreement
    is_paused: bool = False
    is_leaving: bool = False
    backlog: list[Callable[[], None]] = field(default_factory=list)
    last_contact_s: dict[str, float] = field(default_factory=dict)
    edits: tuple[str, ...] = ()


class Cluster:
    """Instances, network, store and operators in one virtual time.

    :ivar partitions: pairs of sender and receiver, by name or region, whose
        messages are lost.
    """

    def __init__(
        self,
        seed: int,
        *,
        names: tuple[tuple[str, str, str], ...] | None = None,
        detect_s: float = 2.0,
    ) -> None:
        self.rng = Random(seed)
        self.timers = VirtualTimers()
        self.history: list[Event] = []
        self.detect_s = detect_s
        self.store = FakeStore(
            timers=self.timers, rng=self.rng, record=self.record
        )
        self.store_region = "r1"
        self.layout = names or tuple(
            (f"i{r}{n}", f"r{r}", f"r{r}d{n}")
            for r in (1, 2, 3)
            for n in (1, 2)
        )
        self.nodes: dict[str, Node] = {}
        self.partitions: set[tuple[str, str]] = set()
        self.loss_share = 0.0
        self.latency_s = (0.0005, 0.02)
        self.incarnations = 0
        self.edit_count = 0
        self.timers.every(0.5, self.update_members)
        self.timers.every(0.1, self.observe)

    def record(self, kind: str, **fields: Any) -> None:
        """Append an event to the history."""
        self.history.append(
            {"t": round(self.timers.now_s(), 6), "kind": kind, **fields}
        )

    def start_all(self) -> None:
        """Start every instance of the layout."""
        for name, _, _ in self.layout:
            self.start(name)

    def start(self, name: str) -> Node:
        """Start a new incarnation of an instance."""
        region, domain = next((r, d) for n, r, d in self.layout if n == name)
        self.incarnations += 1
        clock = VirtualTimers(
            rate=1
            + self.rng.uniform(-MAX_CLOCK_DRIFT / 2, MAX_CLOCK_DRIFT / 2),
            parent=self.timers,
        )
        agreement = Agreement(
            AgreementSettings(
                instance=InstanceId(name=name, incarnation=self.incarnations),
                region=region,
                failure_domain=domain,
                initial_config=encode_config([]),
            ),
            clock.now_s(),
            Random(self.rng.random()),
        )
        node = Node(
            name=name,
            region=region,
            failure_domain=domain,
            clock=clock,
            incarnation=self.incarnations,
            agreement=agreement,
        )
        self.nodes[name] = node
        self.record("start", node=name, incarnation=node.incarnation)
        self._schedule_tick(node, self.rng.uniform(0, TICK_S))
        return node

    def kill(self, name: str) -> None:
        """Kill a process without a shutdown."""
        node = self.nodes.pop(name, None)
        if node is not None:
            self.record("kill", node=name, incarnation=node.incarnation)

    def leave(self, name: str) -> None:
        """Shut a process down gracefully and start it again later."""
        node = self.nodes.get(name)
        if node is None or node.is_leaving:
            return
        node.is_leaving = True
        self.record("leave", node=name)

        def call(action: Callable[[float], list[Any]]) -> None:
            self._run_or_queue(
                node, lambda: self._perform(node, action(node.clock.now_s()))
            )

        def end() -> None:
            if self.nodes.get(name) is node:
                self.kill(name)
                self.timers.after(1.0, lambda: self.start_again(name))

        call(node.agreement.release_shards)
        self.timers.after(0.7, lambda: call(node.agreement.resign))
        self.timers.after(2.0, end)

    def start_again(self, name: str) -> None:
        """Start an instance unless it is running."""
        if name not in self.nodes:
            self.start(name)

    def pause(self, name: str, duration_s: float) -> None:
        """Pause a process; it resumes with its old state."""
        node = self.nodes.get(name)
        if node is None or node.is_paused:
            return
        node.is_paused = True
        self.record("pause", node=name)
        self.timers.after(duration_s, lambda: self._resume(node))

    def _resume(self, node: Node) -> None:
        if self.nodes.get(node.name) is not node:
            return
        node.is_paused = False
        self.record("wake", node=node.name)
        self.observe()
        backlog, node.backlog = node.backlog, []
        for callback in backlog:
            callback()

    def _run_or_queue(self, node: Node, callback: Callable[[], None]) -> None:
        if self.nodes.get(node.name) is not node:
            return
        if node.is_paused:
            node.backlog.append(callback)
        else:
            callback()

    def _schedule_tick(self, node: Node, delay_s: float) -> None:
        def tick() -> None:
            self._perform(node, node.agreement.tick(node.clock.now_s()))
            self._schedule_tick(node, TICK_S)

        self.timers.after(delay_s, lambda: self._run_or_queue(node, tick))

    def _perform(self, node: Node, actions: list[Any]) -> None:
        for action in actions:
            match action:
                case SendMessage(to=to, message=message):
                    self._send(node, to, encode(message))
                case CallStore(request=request):
                    self._call_store(node, request)
                case ReportEdit(outcome=outcome):
                    kind = "unknown"
                    if isinstance(outcome, EditAccepted):
                        kind = "accepted"
                    elif isinstance(outcome, EditRejected):
                        kind = "rejected"
                    self.record(
                        kind,
                        node=node.name,
                        incarnation=node.incarnation,
                        edit=outcome.edit_id,
                    )
                case StateApplied(state=state):
                    node.edits = read_edits(state)
                    self.record(
                        "apply",
                        node=node.name,
                        incarnation=node.incarnation,
                        sequence=state.sequence,
                        config_revision=state.config_revision,
                        edits=node.edits,
                    )

    def is_partitioned(self, sender: str, receiver: str) -> bool:
        """Return whether messages in this direction are lost."""
        if not self.partitions:
            return False
        return any(
            (a, b) in self.partitions
            for a in (sender, self._region(sender))
            for b in (receiver, self._region(receiver))
        )

    def _region(self, name: str) -> str:
        if name == STORE:
            return self.store_region
        return name[:2].replace("i", "r")

    def delay_s(self, sender: str, receiver: str) -> float:
        """Return a random delay for one message."""
        return self.rng.uniform(*self.latency_s)

    def count_message(self, sender: str, receiver: str, size: int) -> None:
        """Count a message; measurements override this method."""

    def _send(self, sender: Node, to: str, data: bytes) -> None:
        self.count_message(sender.name, to, len(data))
        if self.is_partitioned(sender.name, to) or (
            self.loss_share and self.rng.random() < self.loss_share
        ):
            return

        def deliver() -> None:
            node = self.nodes.get(to)
            if node is not None:
                self._run_or_queue(
                    node,
                    lambda: self._perform(
                        node,
                        node.agreement.on_message(
                            node.clock.now_s(), sender.name, decode(data)
                        ),
                    ),
                )

        self.timers.after(self.delay_s(sender.name, to), deliver)

    def _call_store(self, node: Node, request: Any) -> None:
        def answer(result: StoreResult) -> None:
            if not self.is_partitioned(STORE, node.name):
                self.timers.after(
                    self.delay_s(STORE, node.name), lambda: deliver(result)
                )

        def deliver(result: StoreResult) -> None:
            self._run_or_queue(
                node,
                lambda: self._perform(
                    node,
                    node.agreement.on_store_result(
                        node.clock.now_s(), request.request_id, result
                    ),
                ),
            )

        if not self.is_partitioned(node.name, STORE):
            self.timers.after(
                self.delay_s(node.name, STORE),
                lambda: self.store.call(request, answer),
            )

    def update_members(self) -> None:
        """Update the members that each instance sees.

        A failure becomes visible only after ``detect_s``.
        """
        now_s = self.timers.now_s()
        for node in self.nodes.values():
            for other in self.nodes.values():
                if not other.is_paused and not (
                    self.is_partitioned(other.name, node.name)
                    or self.is_partitioned(node.name, other.name)
                ):
                    node.last_contact_s[other.name] = now_s
            members = []
            for name, contact_s in node.last_contact_s.items():
                other = self.nodes.get(name)
                is_dead = other is None or now_s > contact_s + self.detect_s
                members.append(
                    Member(
                        name=name,
                        incarnation=other.incarnation if other else 0,
                        state=(
                            MemberState.DEAD
                            if is_dead
                            else MemberState.LEAVING
                            if other.is_leaving
                            else MemberState.ALIVE
                        ),
                        region=self._region(name),
                        failure_domain=other.failure_domain if other else "",
                        fresh=other is not None
                        and other.agreement.is_fresh(other.clock.now_s()),
                    )
                )
            self._run_or_queue(
                node, lambda n=node, m=members: n.agreement.set_members(m)
            )

    def observe(self) -> None:
        """Record the freshness, edits and leases of each running instance."""
        seen = []
        for node in self.nodes.values():
            if node.is_paused:
                continue
            now_s = node.clock.now_s()
            agreement = node.agreement
            fresh = agreement.is_fresh(now_s)
            leases: list[tuple[int, int]] = []
            if fresh:
                leases = [
                    (lease.shard, lease.epoch)
                    for lease in agreement.leases()
                    if lease.is_valid(now_s)
                ]
            seen.append((node.name, fresh, node.edits, tuple(leases)))
        self.record("observe", nodes=tuple(seen))

    def submit(self, edit_id: str, names: list[str] | None = None) -> None:
        """Submit an edit to a writer that some instance recommends."""
        nodes = [n for n in self.nodes.values() if not n.is_paused]
        self.rng.shuffle(nodes)
        targets = names or [
            name for n in nodes for name in n.agreement.writers_for_edit()[:1]
        ]
        for name in targets[:1]:
            node = self.nodes.get(name)
            if node is None or node.is_paused:
                continue
            self.record("submit", edit=edit_id, node=name)
            self._perform(
                node,
                node.agreement.submit(make_edit(edit_id), node.clock.now_s()),
            )

    def next_edit(self) -> str:
        """Return a new edit id."""
        self.edit_count += 1
        return f"e{self.edit_count}"

    def end_faults(self) -> None:
        """End all faults and start the instances that are not running."""
        self.partitions.clear()
        self.loss_share = 0.0
        self.store.is_down = False
        self.store.lost_answers_share = 0.0
        self.store.late_writes_share = 0.0
        self.store.delay_s = 0.002
        for node in list(self.nodes.values()):
            if node.is_paused:
                self._resume(node)
        for name, _, _ in self.layout:
            if name not in self.nodes:
                self.start(name)
        self.record("heal")

    def replace_writers_if_lost(self) -> None:
        """Replace the writers, as an operator does, if none is left."""
        if any(n.agreement.is_writer for n in self.nodes.values()):
            return
        node = max(
            self.nodes.values(),
            key=lambda n: (
                n.agreement.state.sequence if n.agreement.state else 0
            ),
        )
        self.record("order-writers", node=node.name)
        self._perform(
            node, node.agreement.replace_lost_writers(node.clock.now_s())
        )


FAULTS = (
    "store-down",
    "store-slow",
    "store-restored",
    "lost-answers",
    "late-writes",
    "pause",
    "pause",
    "kill",
    "cut",
    "cut",
    "region-cut",
    "store-cut",
    "loss",
    "race",
    "leave",
)


def apply_fault(cluster: Cluster, fault: str) -> None:
    """Start one fault; most of them end after a random duration."""
    rng, store, timers = cluster.rng, cluster.store, cluster.timers
    name = rng.choice([n for n, _, _ in cluster.layout])
    other = rng.choice([n for n, _, _ in cluster.layout if n != name])
    duration_s = rng.choice((0.3, 1.0, 2.5, 6.0))
    cluster.record("fault", fault=fault, node=name, duration_s=duration_s)

    def partition(*pairs: tuple[str, str]) -> None:
        if rng.random() < 0.5:
            pairs += tuple((b, a) for a, b in pairs)
        cluster.partitions.update(pairs)
        timers.after(
            duration_s, lambda: cluster.partitions.difference_update(pairs)
        )

    match fault:
        case "store-down":
            store.is_down, store.is_silent = True, rng.random() < 0.5
            timers.after(duration_s, lambda: setattr(store, "is_down", False))
        case "store-slow":
            store.delay_s = rng.choice((0.3, 1.0, 1.9))
            timers.after(duration_s, lambda: setattr(store, "delay_s", 0.002))
        case "store-restored":
            store.restore(rng.choice((0.5, 2.0, 6.0)))
        case "lost-answers":
            store.lost_answers_share = 0.7
            timers.after(
                duration_s, lambda: setattr(store, "lost_answers_share", 0.0)
            )
        case "late-writes":
            store.late_writes_share = 0.7
            timers.after(
                duration_s, lambda: setattr(store, "late_writes_share", 0.0)
            )
        case "pause":
            cluster.pause(name, duration_s)
        case "kill":
            cluster.kill(name)
            timers.after(duration_s, lambda: cluster.start_again(name))
        case "cut":
            partition((name, other))
        case "region-cut":
            partition(
                *rng.sample((("r1", "r2"), ("r2", "r3"), ("r3", "r1")), 2)
            )
        case "store-cut":
            partition((name, STORE))
        case "leave":
            cluster.leave(name)
        case "loss":
            cluster.loss_share = 0.2
            timers.after(
                duration_s, lambda: setattr(cluster, "loss_share", 0.0)
            )
        case "race":
            writers = [
                n.name for n in cluster.nodes.values() if n.agreement.is_writer
            ]
            for writer in writers[:2]:
                cluster.submit(cluster.next_edit(), [writer])


def run_history(
    seed: int, *, duration_s: float = 16.0, restores: bool = True
) -> list[Event]:
    """Return the history of one seeded run.

    At its end all faults stop and the cluster has time to recover.
    """
    cluster = Cluster(seed)
    rng = cluster.rng
    cluster.start_all()
    cluster.timers.advance(8.0)
    end_s = cluster.timers.now_s() + duration_s
    unknown: list[str] = []
    while cluster.timers.now_s() < end_s:
        cluster.timers.advance(rng.uniform(0.05, 1.0))
        if rng.random() < 0.5:
            fault = rng.choice(FAULTS)
            if restores or fault != "store-restored":
                apply_fault(cluster, fault)
        if rng.random() < 0.7:
            retry = unknown and rng.random() < 0.5
            edit = rng.choice(unknown) if retry else cluster.next_edit()
            unknown = [*unknown[-3:], edit]
            cluster.submit(edit)
    cluster.end_faults()
    cluster.timers.advance(4.0)
    cluster.end_faults()
    cluster.replace_writers_if_lost()
    cluster.timers.advance(12.0)
    cluster.record("end")
    return cluster.history
