"""Instances of the membership protocol in virtual time."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from verbenaworks.freshness import MAX_CLOCK_DRIFT
from verbenaworks.member import Member, MemberState
from verbenaworks.membership import Membership
from verbenaworks.membership_messages import SendMembershipMessage
from verbenaworks.virtual_timers import VirtualTimers
from verbenaworks.wire import decode, encode

TICK_S = 0.1


@dataclass(kw_only=True, eq=False)
class Peer:
    """One process that runs the membership protocol."""

    name: str
    membership: Membership
    clock: VirtualTimers
    is_paused: bool = False
    backlog: list[Callable[[], None]] = field(default_factory=list)


class MemberNetwork:
    """Peers and the network between them.

    :ivar partition_sides: side of each peer in a partition of the network;
        messages from one side to another are lost.
    """

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.timers = VirtualTimers()
        self.peers: dict[str, Peer] = {}
        self.loss_share = 0.0
        self.latency_s = (0.0005, 0.02)
        self.partition_sides: dict[str, int] = {}
        self.incarnations = 0
        self.sent_messages = 0
        self.sent_bytes = 0

    def start(
        self,
        name: str,
        seeds: Iterable[str],
        known: Iterable[Member] = (),
        region: str = "r1",
        failure_domain: str = "r1d1",
    ) -> Peer:
        """Start a peer; its bus address is its name."""
        self.incarnations += 1
        clock = VirtualTimers(
            rate=1
            + self.rng.uniform(-MAX_CLOCK_DRIFT / 2, MAX_CLOCK_DRIFT / 2),
            parent=self.timers,
        )
        membership = Membership(
            Member(
                name=name,
                incarnation=1_700_000_000_000 + self.incarnations,
                caller_address=f"10.0.{len(self.peers) % 250}.1:8080",
                bus_address=name,
                region=region,
                failure_domain=failure_domain,
            ),
            seeds,
            clock.now_s(),
            Random(self.rng.random()),
        )
        for member in known:
            membership._merge(clock.now_s(), member, is_from_list=True)
        if known:
            membership._has_joined = True
            membership._next_join_s = float("inf")
        peer = Peer(name=name, membership=membership, clock=clock)
        self.peers[name] = peer
        self._schedule_tick(peer, self.rng.uniform(0, TICK_S))
        return peer

    def kill(self, name: str) -> None:
        """Kill a peer without a shutdown."""
        del self.peers[name]

    def pause(self, name: str, duration_s: float) -> None:
        """Pause a peer."""
        peer = self.peers[name]
        peer.is_paused = True

        def wake() -> None:
            peer.is_paused = False
            backlog, peer.backlog = peer.backlog, []
            for callback in backlog:
                callback()

        self.timers.after(duration_s, wake)

    def views(self) -> dict[str, dict[str, MemberState]]:
        """Return the member states that each running peer sees."""
        return {
            name: {m.name: m.state for m in peer.membership.members()}
            for name, peer in self.peers.items()
        }

    def has_converged(self) -> bool:
        """Return whether every peer sees just the running peers as alive."""
        running = set(self.peers)
        return all(
            {n for n, state in view.items() if state is MemberState.ALIVE}
            == running
            for view in self.views().values()
        )

    def _schedule_tick(self, peer: Peer, delay_s: float) -> None:
        def tick() -> None:
            self._perform(peer, peer.membership.tick(peer.clock.now_s()))
            self._schedule_tick(peer, TICK_S)

        self.timers.after(delay_s, lambda: self._run_or_queue(peer, tick))

    def _run_or_queue(self, peer: Peer, callback: Callable[[], None]) -> None:
        if self.peers.get(peer.name) is not peer:
            return
        if peer.is_paused:
            peer.backlog.append(callback)
        else:
            callback()

    def _perform(
        self, peer: Peer, actions: list[SendMembershipMessage]
    ) -> None:
        for action in actions:
            self._send(peer, action.address, encode(action.message))

    def _send(self, sender: Peer, address: str, data: bytes) -> None:
        self.sent_messages += 1
        self.sent_bytes += len(data)
        if self.loss_share and self.rng.random() < self.loss_share:
            return
        if self.partition_sides.get(sender.name) != self.partition_sides.get(
            address
        ):
            return
        self.timers.after(
            self.rng.uniform(*self.latency_s),
            lambda: self._deliver(address, data),
        )

    def _deliver(self, address: str, data: bytes) -> None:
        peer = self.peers.get(address)
        if peer is None:
            return
        message: Any = decode(data)
        self._run_or_queue(
            peer,
            lambda: self._perform(
                peer,
                peer.membership.on_message(peer.clock.now_s(), message),
            ),
        )
