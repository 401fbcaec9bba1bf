"""Shared health of targets in virtual time: instances, network, targets."""

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
    """One instance."""

    member: Member
    membership: Membership | None
    health: SharedHealth
    heard_at_s: dict[str, float]
    is_paused: bool = False
    backlog: list[Callable[[], None]] = field(default_factory=list)
    judged: dict[str, Health] = field(default_factory=dict)
    seen_version: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    sent_messages: int = 0
    probes: Counter[str] = field(default_factory=Counter)
    requests: int = 0
    loads: dict[str, float] = field(default_factory=dict)
    peer: str = ""


class HealthFleet:
    """Instances with membership and shared health, and their targets.

    :param runs_membership: without it all views are fixed, which is the
        worst case for the loss of an instance.
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
        # What single instances see in place of the state.
        self.seen: dict[tuple[str, str], Health] = {}
        self.cut: set[tuple[str, str]] = set()
        self.loss_share = 0.0
        self.latency_s = (0.0005, 0.02)
        self.target_probes: Counter[str] = Counter()
        self.nodes: dict[str, Node] = {}
        self.judgements: dict[str, list[tuple[float, str, Health]]]
        self.judgements = defaultdict(list)
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
        heard_at_s: dict[str, float] = {}
        health = SharedHealth(
            member.bus_address,
            member.incarnation,
            heard_at_s,
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
            heard_at_s=heard_at_s,
        )
        if not self._runs_membership and self.nodes:
            # Equal views give equal answers; one cache saves memory.
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
        self._tick_later(node, self.rng.uniform(0, TICK_S))

    def run(self, duration_s: float) -> None:
        """Let time pass."""
        self.timers.advance(duration_s)

    def kill(self, name: str) -> None:
        """End an instance at once."""
        del self.nodes[name]

    def pause(self, name: str, duration_s: float) -> None:
        """Stop an instance for a while."""
        node = self.nodes[name]
        node.is_paused = True

        def wake() -> None:
            node.is_paused = False
            backlog, node.backlog = node.backlog, []
            for callback in backlog:
                callback()

        self.timers.after(duration_s, wake)

    def cut_off(self, names: Iterable[str]) -> None:
        """Cut the bus between these instances and all others."""
        inside = set(names)
        for a in self.nodes:
            for b in self.nodes:
                if (a in inside) != (b in inside):
                    self.cut.add((a, b))

    def blind(self, name: str) -> None:
        """Break the path of one instance to all targets."""
        for target in self.targets:
            self.seen[name, target.name] = Health.NO_ANSWER

    def probers(self, target: str) -> list[str]:
        """Return the probers of a target as the first instance sees them."""
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
        """Return what each running instance holds of a target."""
        return {
            name: node.judged.get(target, Health.OK)
            for name, node in self.nodes.items()
        }

    def last_change_s(self, target: str) -> float:
        """Return when the last instance changed its view of a target."""
        return self.judgements[target][-1][0]

    def _tick_later(self, node: Node, delay_s: float) -> None:
        def tick() -> None:
            now_s = self.timers.now_s()
            if node.membership is not None:
                self._carry_membership(node, node.membership.tick(now_s))
            else:
                # Stands for the messages of membership, which arrive several
                # times a second.
                node.heard_at_s[node.peer] = now_s
            self._carry_out(node, node.health.tick(now_s))
            self._tick_later(node, TICK_S)

        self.timers.after(delay_s, lambda: self._run(node, tick))

    def _run(self, node: Node, callback: Callable[[], None]) -> None:
        if self.nodes.get(node.member.name) is not node:
            return
        if node.is_paused:
            node.backlog.append(callback)
        else:
            callback()

    def _carry_membership(self, node: Node, sends: list[Any]) -> None:
        assert node.membership is not None
        for send in sends:
            self._send(node, send.address, encode(send.message))
        if node.membership.topology_version != node.seen_version:
            node.seen_version = node.membership.topology_version
            node.health.set_members(
                self.timers.now_s(), node.membership.members()
            )

    def _carry_out(self, node: Node, actions: list[HealthAction]) -> None:
        now_s = self.timers.now_s()
        for action in actions:
            match action:
                case ProbeTarget():
                    self._probe(node, action)
                case SendHealthMessage(address=address, message=message):
                    self._send(node, address, encode(message))
                case EffectiveHealth(target=target, health=health):
                    if node.judged.get(target, Health.OK) is not health:
                        node.judged[target] = health
                        self.judgements[target].append(
                            (now_s, node.member.name, health)
                        )
                case LoadReceived(target=target, measured_s=measured_s):
                    node.loads[target] = measured_s

    def _probe(self, node: Node, probe: ProbeTarget) -> None:
        name = probe.target
        asked_s = self.timers.now_s()
        node.probes[probe.reason] += 1
        node.requests += 1 + probe.with_load
        way_s = self.rng.uniform(*self.latency_s)
        own = self.seen.get((node.member.name, name))

        def arrive() -> None:
            health = own or self.state[name]
            if health is not Health.NO_ANSWER:
                self.target_probes[name] += 1 + probe.with_load
            delay_s = way_s + TARGET_WORK_S
            if health is Health.NO_ANSWER:
                delay_s = PROBE_TIMEOUT_S
            self.timers.after(
                delay_s, lambda: self._run(node, lambda: answer(health))
            )

        def answer(health: Health) -> None:
            now_s = self.timers.now_s()
            if probe.with_load and health is not Health.NO_ANSWER:
                node.health.on_load_report(
                    asked_s, name, LoadReport(in_flight=1)
                )
            self._carry_out(
                node, node.health.on_probe_result(now_s, asked_s, name, health)
            )

        self.timers.after(way_s, arrive)

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
        if (name, address) in self.cut:
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
            node.heard_at_s[sender] = now_s
            node.received_bytes += size
            if isinstance(message, _HEALTH_TYPES):
                self._carry_out(
                    node, node.health.on_message(now_s, sender, message)
                )
            elif node.membership is not None:
                self._carry_membership(
                    node, node.membership.on_message(now_s, message)
                )

        self._run(node, receive)


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


def restarted(member: Member) -> Member:
    """Return the record of the next run of an instance."""
    return replace(member, incarnation=member.incarnation + 1_000_000)
