"""Instances that share the health of targets, in virtual time."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

import msgspec

from verbenad.bus_frame import BusFrame, encode_frame, pack_address
from verbenaworks.connection_plan import connection_plan
from verbenaworks.health_messages import HealthNews, HealthTaken, LoadBatch
from verbenaworks.health_sender import SendHealthMessage
from verbenaworks.load_report import Health, LoadReport
from verbenaworks.member import Member
from verbenaworks.membership import Membership
from verbenaworks.shared_health import (
    EffectiveHealth,
    HealthAction,
    LoadReceived,
    ProbeTarget,
    SharedHealth,
)
from verbenaworks.target import TargetInfo
from verbenaworks.virtual_timers import VirtualTimers
from verbenaworks.wire import decode, encode

TICK_S = 0.1
PROBE_TIMEOUT_S = 1.0
TARGET_WORK_S = 0.006
_HEALTH_TYPES = (HealthNews, HealthTaken, LoadBatch)


@dataclass(kw_only=True, eq=False)
class Node:
    """One instance.

    :ivar backlog: callbacks that are due while the instance is paused.
    :ivar peer: another instance, whose messages are assumed to arrive when
        membership does not run.
    """

    member: Member
    membership: Membership | None
    health: SharedHealth
    last_received_s: dict[str, float]
    is_paused: bool = False
    backlog: list[Callable[[], None]] = field(default_factory=list)
    effective_health: dict[str, Health] = field(default_factory=dict)
    topology_version: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    sent_messages: int = 0
    probes: Counter[str] = field(default_factory=Counter)
    requests: int = 0
    loads: dict[str, float] = field(default_factory=dict)
    peer: str = ""


class HealthFleet:
    """Instances with membership and shared health, and their targets.

    :param runs_membership: if false, the views of the members never change,
        which is the worst case when an instance is lost.
    """

    def __init__(
        self,
        seed: int,
        members: Sequence[Member],
        targets: Sequence[TargetInfo],
        *,
        runs_membership: bool = True,
    ) -> None:
        self.rng = Random(seed)
        self.timers = VirtualTimers()
        self.targets = tuple(targets)
        self.state = {t.name: Health.OK for t in targets}
        # Health that one instance sees at a target, in place of the state.
        self.health_overrides: dict[tuple[str, str], Health] = {}
        self.partitions: set[tuple[str, str]] = set()
        self.loss_share = 0.0
        self.latency_s = (0.0005, 0.02)
        self.target_probes: Counter[str] = Counter()
        self.nodes: dict[str, Node] = {}
        self.health_changes: dict[str, list[tuple[float, str, Health]]]
        self.health_changes = defaultdict(list)
        self._runs_membership = runs_membership
        regions = {m.name: m.region for m in members}
        for member in members:
            self.start(member, members, regions)

    def start(
        self,
        member: Member,
        known: Iterable[Member],
        regions: dict[str, str],
    ) -> None:
        """Start an instance; its bus address is its name."""
        now_s = self.timers.now_s()
        last_received_s: dict[str, float] = {}
        health = SharedHealth(
            member.bus_address,
            member.incarnation,
            last_received_s,
            now_s,
            Random(self.rng.random()),
        )
        membership = None
        if self._runs_membership:
            membership = Membership(
                member, (), now_s, Random(self.rng.random())
            )
            for other in known:
                membership._merge(now_s, other, is_from_list=True)
            membership._has_joined = True
            membership._next_join_s = float("inf")
        node = Node(
            member=member,
            membership=membership,
            health=health,
            last_received_s=last_received_s,
        )
        if not self._runs_membership and self.nodes:
            # Equal views lead to equal assignments, so that instances can
            # share one cache and save memory.
            first = next(iter(self.nodes.values()))
            health._assignment = first.health._assignment
        self.nodes[member.name] = node
        node.peer = next((m.name for m in known if m != member), "")
        health.set_members(now_s, known)
        used: set[str] = set()
        for service in {t.service for t in self.targets}:
            group = [t for t in self.targets if t.service == service]
            used |= connection_plan(member.name, regions, group).keys()
        health.set_targets(now_s, self.targets, used)
        self._schedule_tick(node, self.rng.uniform(0, TICK_S))

    def run(self, duration_s: float) -> None:
        """Advance the virtual time."""
        self.timers.advance(duration_s)

    def kill(self, name: str) -> None:
        """Kill an instance without a shutdown."""
        del self.nodes[name]

    def pause(self, name: str, duration_s: float) -> None:
        """Pause an instance."""
        node = self.nodes[name]
        node.is_paused = True

        def wake() -> None:
            node.is_paused = False
            backlog, node.backlog = node.backlog, []
            for callback in backlog:
                callback()

        self.timers.after(duration_s, wake)

    def partition(self, names: Iterable[str]) -> None:
        """Lose all messages between these instances and the others."""
        inside = set(names)
        for a in self.nodes:
            for b in self.nodes:
                if (a in inside) != (b in inside):
                    self.partitions.add((a, b))

    def break_probe_path(self, name: str) -> None:
        """Make all probes of one instance fail."""
        for target in self.targets:
            self.health_overrides[name, target.name] = Health.NO_ANSWER

    def probers(self, target: str) -> list[str]:
        """Return a target's probers according to the first instance."""
        node = next(iter(self.nodes.values()))
        record = node.health._records[target]
        return [m.name for m in record.probers]

    def users(self, target: str) -> list[str]:
        """Return the instances that use a target."""
        return [
            name
            for name, node in self.nodes.items()
            if node.health._records[target].in_use
        ]

    def views(self, target: str) -> dict[str, Health]:
        """Return the health of a target according to each running instance."""
        return {
            name: node.effective_health.get(target, Health.OK)
            for name, node in self.nodes.items()
        }

    def last_change_s(self, target: str) -> float:
        """Return when an instance last changed its view of a target."""
        return self.health_changes[target][-1][0]

    def _schedule_tick(self, node: Node, delay_s: float) -> None:
        def tick() -> None:
            now_s = self.timers.now_s()
            if node.membership is not None:
                self._perform_membership(node, node.membership.tick(now_s))
            else:
                # Replaces the messages of membership, which arrive several
                # times a second.
                node.last_received_s[node.peer] = now_s
            self._perform(node, node.health.tick(now_s))
            self._schedule_tick(node, TICK_S)

        self.timers.after(delay_s, lambda: self._run_or_queue(node, tick))

    def _run_or_queue(self, node: Node, callback: Callable[[], None]) -> None:
        if self.nodes.get(node.member.name) is not node:
            return
        if node.is_paused:
            node.backlog.append(callback)
        else:
            callback()

    def _perform_membership(self, node: Node, sends: list[Any]) -> None:
        assert node.membership is not None
        for send in sends:
            self._send(node, send.address, encode(send.message))
        if node.membership.topology_version != node.topology_version:
            node.topology_version = node.membership.topology_version
            node.health.set_members(
                self.timers.now_s(), node.membership.members()
            )

    def _perform(self, node: Node, actions: list[HealthAction]) -> None:
        now_s = self.timers.now_s()
        for action in actions:
            match action:
                case ProbeTarget():
                    self._probe(node, action)
                case SendHealthMessage(address=address, message=message):
                    self._send(node, address, encode(message))
                case EffectiveHealth(target=target, health=health):
                    if (
                        node.effective_health.get(target, Health.OK)
                        is not health
                    ):
                        node.effective_health[target] = health
                        self.health_changes[target].append(
                            (now_s, node.member.name, health)
                        )
                case LoadReceived(target=target, measured_s=measured_s):
                    node.loads[target] = measured_s

    def _probe(self, node: Node, probe: ProbeTarget) -> None:
        name = probe.target
        sent_at_s = self.timers.now_s()
        node.probes[probe.reason] += 1
        node.requests += 1 + probe.with_load
        one_way_delay_s = self.rng.uniform(*self.latency_s)
        override = self.health_overrides.get((node.member.name, name))

        def arrive() -> None:
            health = override or self.state[name]
            if health is not Health.NO_ANSWER:
                self.target_probes[name] += 1 + probe.with_load
            delay_s = one_way_delay_s + TARGET_WORK_S
            if health is Health.NO_ANSWER:
                delay_s = PROBE_TIMEOUT_S
            self.timers.after(
                delay_s,
                lambda: self._run_or_queue(node, lambda: answer(health)),
            )

        def answer(health: Health) -> None:
            now_s = self.timers.now_s()
            if probe.with_load and health is not Health.NO_ANSWER:
                node.health.on_load_report(
                    sent_at_s, name, LoadReport(in_flight=1)
                )
            self._perform(
                node,
                node.health.on_probe_result(now_s, sent_at_s, name, health),
            )

        self.timers.after(one_way_delay_s, arrive)

    def _send(self, node: Node, address: str, body: bytes) -> None:
        name = node.member.name
        data = encode_frame(
            BusFrame(
                name=name,
                address=pack_address(node.member.bus_address),
                number=0,
                acknowledged=0,
                body=msgspec.Raw(body),
            )
        )
        message = decode(body)
        counted = isinstance(message, _HEALTH_TYPES)
        if counted:
            node.sent_bytes += len(data)
            node.sent_messages += 1
        if (name, address) in self.partitions:
            return
        if self.loss_share and self.rng.random() < self.loss_share:
            return
        size = len(data) if counted else 0
        self.timers.after(
            self.rng.uniform(*self.latency_s),
            lambda: self._deliver(name, address, message, size),
        )

    def _deliver(
        self, sender: str, address: str, message: Any, size: int
    ) -> None:
        node = self.nodes.get(address)
        if node is None:
            return

        def receive() -> None:
            now_s = self.timers.now_s()
            node.last_received_s[sender] = now_s
            node.received_bytes += size
            if isinstance(message, _HEALTH_TYPES):
                self._perform(
                    node, node.health.on_message(now_s, sender, message)
                )
            elif node.membership is not None:
                self._perform_membership(
                    node, node.membership.on_message(now_s, message)
                )

        self._run_or_queue(node, receive)


def fleet_members(instances: int, regions: int, domains: int) -> list[Member]:
    """Return instances spread over the failure domains of the regions."""
    members = []
    for number in range(instances):
        domain = number % domains
        members.append(
            Member(
                name=f"i{number:04}",
                incarnation=1_700_000_000_000 + number,
                bus_address=f"i{number:04}",
                region=f"r{domain % regions:02}",
                failure_domain=f"d{domain:02}",
                fresh=True,
            )
        )
    return members


def fleet_targets(
    count: int, regions: int, domains: int, connections: int = 360
) -> list[TargetInfo]:
    """Return targets of four services spread over the failure domains."""
    return [
        TargetInfo(
            name=f"s{number % 4}/t{number:03}",
            service=f"s{number % 4}",
            address=f"127.0.0.1:{10000 + number}",
            region=f"r{number % domains % regions:02}",
            failure_domain=f"d{number % domains:02}",
            slots=5,
            connections=connections,
        )
        for number in range(count)
    ]


def next_incarnation(member: Member) -> Member:
    """Return the member record of an instance's next incarnation."""
    return replace(member, incarnation=member.incarnation + 1_000_000)
