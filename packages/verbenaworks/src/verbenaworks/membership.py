"""SWIM-style failure detection and dissemination.

Every instance probes one other instance per period. Member records are
piggybacked on the probes, a bounded number on each, so the cost per instance
does not grow with the fleet. Records of one member are ordered by
incarnation, then by a counter that only the member itself increments, then by
state, then by report number.
"""

import heapq
import itertools
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from random import Random

from verbenaworks.errors import WireError
from verbenaworks.member import Member, MemberState
from verbenaworks.member_updates import (
    BriefUpdate,
    Update,
    brief_update,
    decode_updates,
    encode_updates,
)
from verbenaworks.membership_messages import (
    Ack,
    AskMembers,
    Join,
    MemberList,
    MembershipMessage,
    Ping,
    PingVia,
    SendMembershipMessage,
)

PROBE_PERIOD_S = 0.5
INDIRECT_PROBE_DELAY_S = 0.3
INDIRECT_PROBE_PEERS = 3
SUSPICION_TIMEOUT_S = 1.0
# Indirect probes get as much time for an answer as the direct one had.
_PROBE_TIMEOUT_S = 2 * INDIRECT_PROBE_DELAY_S
_SUSPECT_PING_PERIOD_S = 0.25
# A longer time between two ticks shows that the process was paused.
_PAUSE_THRESHOLD_S = 0.4
_JOIN_PERIOD_S = 1.0
_REJOIN_DELAY_S = 4.0
_ASK_MEMBERS_PERIOD_S = 1.0
# A partition heals when one side probes a member that it considers dead.
_DEAD_PROBE_PERIOD_S = 5.0
_SEED_PROBE_PERIOD_S = 10.0
_DEAD_RETENTION_S = 86_400.0
_UPDATES_PER_MESSAGE = 4
# An update is sent this many times the logarithm of the number of members. An
# update about a live member is sent once less for each time that it is
# received from another member.
_RETRANSMIT_FACTOR = 3
# Every message also contains a few of the known records in turn. This
# compensates for lost messages and spreads the reports of load and
# configuration revision.
_REFRESHES_PER_MESSAGE = 2
_FULL_REFRESH_INTERVAL = 16
_MAX_LIST_RECORDS = 64
_MIN_LOAD_CHANGE = 0.05


@dataclass(kw_only=True, slots=True)
class _Probe:
    name: str
    address: str
    sent_at_s: float
    is_indirect: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class _ForwardedPing:
    reply_to: str
    seq: int
    sent_at_s: float


class Membership:
    """The view of the members at one instance.

    :param own: record of this instance. Its incarnation must be higher than
        that of any previous process with the same name.
    :param seeds: bus addresses from the platform's list of instances.
    :param rng: seeded generator for the choice of peers.
    """

    def __init__(
        self,
        own: Member,
        seeds: Iterable[str],
        now_s: float,
        rng: Random,
    ) -> None:
        self._own = own
        self._seeds = tuple(s for s in seeds if s != own.bus_address)
        self._rng = rng
        self._members: dict[str, Member] = {}
        self._suspected_since_s: dict[str, float] = {}
        self._dead_since_s: dict[str, float] = {}
        # Addresses of the instances that named members not known here; empty
        # if the message had no address for the reply.
        self._unknown_names: dict[str, str] = {}
        self._remaining_sends: dict[str, int] = {}
        self._probe_order: list[str] = []
        self._refresh_order: list[str] = []
        self._refresh_count = 0
        self._seqs = itertools.count(1)
        self._pending_probes: dict[int, _Probe] = {}
        self._forwarded_pings: dict[int, _ForwardedPing] = {}
        self._has_joined = False
        self._is_stopped = False
        self._next_join_s = now_s
        self._next_probe_s = now_s + rng.random() * PROBE_PERIOD_S
        self._next_dead_probe_s = now_s + rng.random() * _DEAD_PROBE_PERIOD_S
        self._next_seed_probe_s = now_s + _SEED_PROBE_PERIOD_S * rng.random()
        self._next_suspect_ping_s = now_s
        self._next_ask_s = now_s
        self._ticked_at_s = now_s
        self._outgoing: list[SendMembershipMessage] = []
        self.version = 1
        # Incremented when a member is added or removed, or changes its
        # incarnation, state, freshness, addresses or location. Reports of
        # load and configuration revision, which are far more frequent, do not
        # change it.
        self.topology_version = 1
        self.is_superseded = False
        self._queue_update(own.name)

    @property
    def own(self) -> Member:
        """Return this instance's own record."""
        return self._own

    def members(self) -> tuple[Member, ...]:
        """Return all known records, including this instance and dead members.

        ``version`` changes whenever the result does.
        """
        return (self._own, *self._members.values())

    def member(self, name: str) -> Member | None:
        """Return the record of one member."""
        return self._own if name == self._own.name else self._members.get(name)

    def report(
        self, *, config_revision: int, fresh: bool, load: float
    ) -> None:
        """Update the reported values of this instance."""
        own = self._own
        if (config_revision, fresh) == (own.config_revision, own.fresh) and (
            abs(load - own.load) < _MIN_LOAD_CHANGE
        ):
            return
        self._own = replace(
            own,
            report=own.report + 1,
            config_revision=config_revision,
            fresh=fresh,
            load=load,
        )
        self.version += 1

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the bus addresses from the platform's list."""
        self._seeds = tuple(s for s in seeds if s != self._own.bus_address)

    def leave(self) -> None:
        """Announce that this instance is shutting down."""
        if self._own.state is MemberState.ALIVE:
            self._set_own_state(MemberState.LEAVING)

    def stop(self) -> list[SendMembershipMessage]:
        """Stop, and return messages that announce it to some peers."""
        self._set_own_state(MemberState.DEAD)
        self._is_stopped = True
        for name in self._sample(2 * INDIRECT_PROBE_PEERS, exclude=""):
            self._ping(self._members[name])
        return self._drain_outgoing()

    def tick(self, now_s: float) -> list[SendMembershipMessage]:
        """Run everything that is due; called about every 0.1 s."""
        if self._is_stopped:
            return []
        if now_s >= self._ticked_at_s + _PAUSE_THRESHOLD_S:
            # Answers may have arrived unread, so missing ones prove nothing.
            self._pending_probes.clear()
            self._suspected_since_s = dict.fromkeys(
                self._suspected_since_s, now_s
            )
        self._ticked_at_s = now_s
        self._expire_probes(now_s)
        self._expire_suspects(now_s)
        if now_s >= self._next_probe_s:
            self._next_probe_s = max(
                self._next_probe_s + PROBE_PERIOD_S, now_s
            )
            self._probe_next(now_s)
        self._probe_dead_and_seeds(now_s)
        self._join(now_s)
        self._ask_for_unknown_members(now_s)
        return self._drain_outgoing()

    def on_message(
        self, now_s: float, message: MembershipMessage
    ) -> list[SendMembershipMessage]:
        """Handle a message from another instance."""
        if self._is_stopped:
            return []
        try:
            updates = decode_updates(message.updates)
        except WireError:
            return []
        is_from_list = isinstance(message, MemberList)
        for update in updates:
            self._merge(now_s, update, is_from_list=is_from_list)
        if isinstance(message, Ping | PingVia | AskMembers):
            self._record_source(message.reply_to, updates)
        match message:
            case Join(reply_to=reply_to):
                self._send_list(reply_to, self.members())
            case AskMembers(reply_to=reply_to, names=names):
                asked = map(self.member, names[:_MAX_LIST_RECORDS])
                self._send_list(reply_to, [m for m in asked if m])
            case MemberList():
                if not self._has_joined:
                    self._has_joined = True
                    self._next_join_s = now_s + _REJOIN_DELAY_S
            case Ping(seq=seq, reply_to=reply_to):
                self._send(reply_to, Ack(seq=seq, updates=self._updates()))
            case PingVia():
                self._forward_ping(now_s, message)
            case Ack(seq=seq):
                self._on_ack(seq)
        return self._drain_outgoing()

    def _record_source(self, address: str, updates: Iterable[Update]) -> None:
        """Record which instance named members that are not known here."""
        for update in updates:
            if update.name in self._unknown_names:
                self._unknown_names[update.name] = address

    # Probes.

    def _probe_next(self, now_s: float) -> None:
        while True:
            if not self._probe_order:
                self._probe_order = [
                    name
                    for name, member in self._members.items()
                    if member.is_running
                ]
                self._rng.shuffle(self._probe_order)
                if not self._probe_order:
                    return
            member = self._members.get(self._probe_order.pop())
            if member is not None and member.is_running:
                break
        seq = self._ping(member)
        self._pending_probes[seq] = _Probe(
            name=member.name, address=member.bus_address, sent_at_s=now_s
        )

    def _expire_probes(self, now_s: float) -> None:
        for seq, probe in list(self._pending_probes.items()):
            if now_s >= probe.sent_at_s + _PROBE_TIMEOUT_S:
                del self._pending_probes[seq]
                self._suspect(now_s, probe.name)
            elif (
                not probe.is_indirect
                and now_s >= probe.sent_at_s + INDIRECT_PROBE_DELAY_S
            ):
                probe.is_indirect = True
                self._probe_indirectly(seq, probe)
        for seq, forwarded in list(self._forwarded_pings.items()):
            if now_s >= forwarded.sent_at_s + _PROBE_TIMEOUT_S:
                del self._forwarded_pings[seq]

    def _probe_indirectly(self, seq: int, probe: _Probe) -> None:
        for name in self._sample(INDIRECT_PROBE_PEERS, exclude=probe.name):
            self._send(
                self._members[name].bus_address,
                PingVia(
                    seq=seq,
                    reply_to=self._own.bus_address,
                    target=probe.address,
                    updates=self._updates(),
                ),
            )

    def _forward_ping(self, now_s: float, request: PingVia) -> None:
        seq = next(self._seqs)
        self._forwarded_pings[seq] = _ForwardedPing(
            reply_to=request.reply_to, seq=request.seq, sent_at_s=now_s
        )
        self._send(
            request.target,
            Ping(
                seq=seq,
                reply_to=self._own.bus_address,
                updates=self._updates(),
            ),
        )

    def _on_ack(self, seq: int) -> None:
        self._pending_probes.pop(seq, None)
        forwarded = self._forwarded_pings.pop(seq, None)
        if forwarded is not None:
            self._send(
                forwarded.reply_to,
                Ack(seq=forwarded.seq, updates=self._updates()),
            )

    def _suspect(self, now_s: float, name: str) -> None:
        member = self._members.get(name)
        if member is None or not member.is_running:
            return
        self._suspected_since_s.setdefault(name, now_s)
        if member.state is MemberState.ALIVE:
            self._store_record(replace(member, state=MemberState.SUSPECT))
            self._queue_update(name)

    def _expire_suspects(self, now_s: float) -> None:
        for name, since_s in list(self._suspected_since_s.items()):
            if now_s >= since_s + SUSPICION_TIMEOUT_S:
                self._declare_dead(now_s, name)
        if not self._suspected_since_s or now_s < self._next_suspect_ping_s:
            return
        self._next_suspect_ping_s = now_s + _SUSPECT_PING_PERIOD_S
        # The ping tells the suspect of the suspicion, so it can refute it.
        for name in list(self._suspected_since_s)[:INDIRECT_PROBE_PEERS]:
            self._ping(self._members[name])

    def _declare_dead(self, now_s: float, name: str) -> None:
        del self._suspected_since_s[name]
        self._dead_since_s[name] = now_s
        self._store_record(
            replace(self._members[name], state=MemberState.DEAD)
        )
        self._queue_update(name)

    def _probe_dead_and_seeds(self, now_s: float) -> None:
        if now_s >= self._next_dead_probe_s:
            self._next_dead_probe_s = now_s + _DEAD_PROBE_PERIOD_S
            for name, since_s in list(self._dead_since_s.items()):
                if now_s >= since_s + _DEAD_RETENTION_S:
                    self._remove_member(name)
            if self._dead_since_s:
                name = self._rng.choice(list(self._dead_since_s))
                self._ping(self._members[name])
        if self._seeds and now_s >= self._next_seed_probe_s:
            self._next_seed_probe_s = now_s + _SEED_PROBE_PERIOD_S
            address = self._rng.choice(self._seeds)
            self._send(
                address,
                Ping(
                    seq=next(self._seqs),
                    reply_to=self._own.bus_address,
                    updates=self._updates(),
                ),
            )

    def _join(self, now_s: float) -> None:
        if now_s < self._next_join_s:
            return
        if self._has_joined:
            # Many instances may have started at the same time.
            self._next_join_s = float("inf")
            names = self._sample(1, exclude="")
            addresses = [self._members[name].bus_address for name in names]
        else:
            self._next_join_s = now_s + _JOIN_PERIOD_S
            count = min(INDIRECT_PROBE_PEERS, len(self._seeds))
            addresses = self._rng.sample(self._seeds, count)
        for address in addresses:
            self._send(
                address,
                Join(
                    reply_to=self._own.bus_address,
                    updates=encode_updates([self._own]),
                ),
            )

    def _ask_for_unknown_members(self, now_s: float) -> None:
        if not self._unknown_names or now_s < self._next_ask_s:
            return
        self._next_ask_s = now_s + _ASK_MEMBERS_PERIOD_S
        names = tuple(itertools.islice(self._unknown_names, _MAX_LIST_RECORDS))
        # The instance that named a member knows it; the others may not.
        sources = {self._unknown_names[name] for name in names} - {""}
        addresses = sorted(sources)[:INDIRECT_PROBE_PEERS] or [
            self._members[peer].bus_address
            for peer in self._sample(1, exclude="")
        ]
        self._unknown_names.clear()
        for address in addresses:
            self._send(
                address,
                AskMembers(
                    reply_to=self._own.bus_address,
                    names=names,
                    updates=self._updates(),
                ),
            )

    def _send_list(self, address: str, members: Sequence[Member]) -> None:
        for start in range(0, len(members), _MAX_LIST_RECORDS):
            self._send(
                address,
                MemberList(
                    updates=encode_updates(
                        members[start : start + _MAX_LIST_RECORDS]
                    )
                ),
            )

    # Records.

    def _merge(
        self, now_s: float, update: Update, is_from_list: bool = False
    ) -> None:
        if update.name == self._own.name:
            self._refute(update)
            return
        known = self._members.get(update.name)
        if known is not None and _precedence(update) <= _precedence(known):
            # Many members may join at once, so their updates are sent less
            # often. Other updates are rare and must reach all members.
            if update.state is MemberState.ALIVE and (
                isinstance(update, Member)
                and _precedence(update) == _precedence(known)
            ):
                self._count_send(update.name)
            return
        member = _merge_update(known, update)
        if member is None:
            if update.state is not MemberState.DEAD:
                self._unknown_names.setdefault(update.name, "")
            return
        is_change = (
            known is None
            or known.state is not member.state
            or known.incarnation != member.incarnation
        )
        self._store_record(member)
        self._suspected_since_s.pop(member.name, None)
        if self._dead_since_s.pop(member.name, None) is not None:
            # A partition has healed; probe another dead member at once.
            self._next_dead_probe_s = now_s
        if member.state is MemberState.SUSPECT:
            self._suspected_since_s[member.name] = now_s
        elif member.state is MemberState.DEAD:
            self._dead_since_s[member.name] = now_s
        if is_change and not is_from_list:
            self._queue_update(member.name)

    def _refute(self, update: Update) -> None:
        own = self._own
        if update.incarnation > own.incarnation:
            self.is_superseded = True
            return
        if update.incarnation < own.incarnation or _precedence(
            update
        ) <= _precedence(own):
            return
        # A member suspects this instance, or knows a higher counter of it.
        self._own = replace(own, counter=update.counter + 1)
        self._queue_update(own.name)
        self.version += 1
        self.topology_version += 1

    def _set_own_state(self, state: MemberState) -> None:
        self._own = replace(
            self._own, counter=self._own.counter + 1, state=state
        )
        self._queue_update(self._own.name)
        self.version += 1
        self.topology_version += 1

    def _store_record(self, member: Member) -> None:
        known = self._members.get(member.name)
        self._members[member.name] = member
        self.version += 1
        if known is None or _without_reports(known) != _without_reports(
            member
        ):
            self.topology_version += 1

    def _remove_member(self, name: str) -> None:
        del self._dead_since_s[name]
        del self._members[name]
        self._remaining_sends.pop(name, None)
        self.version += 1
        self.topology_version += 1

    def _queue_update(self, name: str) -> None:
        size = len(self._members) + 2
        self._remaining_sends[name] = _RETRANSMIT_FACTOR * math.ceil(
            math.log(size)
        )

    def _count_send(self, name: str) -> None:
        remaining = self._remaining_sends.get(name, 0) - 1
        if remaining > 0:
            self._remaining_sends[name] = remaining
        else:
            self._remaining_sends.pop(name, None)

    def _updates(self, about: str | None = None) -> bytes:
        """Return the encoded records for the next message.

        :param about: the receiver, which is told if it is suspected or dead.
        """
        updates: list[Update] = [brief_update(self._own)]
        chosen = {self._own.name}
        if about is not None and about in self._members:
            member = self._members[about]
            if member.state in (MemberState.SUSPECT, MemberState.DEAD):
                updates.append(brief_update(member))
            chosen.add(about)
        for name in heapq.nlargest(
            _UPDATES_PER_MESSAGE,
            self._remaining_sends,
            key=self._remaining_sends.__getitem__,
        ):
            self._count_send(name)
            if name == self._own.name:
                updates[0] = self._own
            elif name not in chosen:
                updates.append(self._members[name])
                chosen.add(name)
        updates.extend(self._refreshes(chosen))
        return encode_updates(updates)

    def _refreshes(self, chosen: set[str]) -> list[Update]:
        refreshes: list[Update] = []
        for _ in range(_REFRESHES_PER_MESSAGE):
            if not self._refresh_order:
                self._refresh_order = list(self._members)
                self._rng.shuffle(self._refresh_order)
            if not self._refresh_order:
                break
            member = self._members.get(self._refresh_order.pop())
            if member is None or member.name in chosen:
                continue
            chosen.add(member.name)
            self._refresh_count += 1
            is_full = self._refresh_count % _FULL_REFRESH_INTERVAL == 0
            refreshes.append(member if is_full else brief_update(member))
        return refreshes

    # Helpers.

    def _sample(self, count: int, exclude: str) -> list[str]:
        """Return up to ``count`` running members in bounded time."""
        names = list(self._members) if len(self._members) < 32 else None
        found: list[str] = []
        if names is not None:
            running = [
                n
                for n in names
                if n != exclude and self._members[n].is_running
            ]
            return self._rng.sample(running, min(count, len(running)))
        pool = self._probe_order
        if len(pool) < 4 * count:
            pool = self._refresh_order
        for name in self._rng.sample(pool, min(4 * count, len(pool))):
            member = self._members.get(name)
            if member is not None and member.is_running and name != exclude:
                found.append(name)
        return found[:count]

    def _ping(self, member: Member) -> int:
        seq = next(self._seqs)
        self._send(
            member.bus_address,
            Ping(
                seq=seq,
                reply_to=self._own.bus_address,
                updates=self._updates(about=member.name),
            ),
        )
        return seq

    def _send(self, address: str, message: MembershipMessage) -> None:
        self._outgoing.append(
            SendMembershipMessage(address=address, message=message)
        )

    def _drain_outgoing(self) -> list[SendMembershipMessage]:
        outgoing, self._outgoing = self._outgoing, []
        return outgoing


def _without_reports(member: Member) -> Member:
    return replace(member, counter=0, report=0, config_revision=0, load=0.0)


def _precedence(record: Update) -> tuple[int, int, int, int]:
    return (
        record.incarnation,
        record.counter,
        int(record.state),
        record.report,
    )


def _merge_update(known: Member | None, update: Update) -> Member | None:
    if known is None and update.state is MemberState.DEAD:
        # Otherwise a record that was removed would be added again.
        return None
    if isinstance(update, Member):
        return update
    if known is None or known.incarnation != update.incarnation:
        # The brief record of an unknown member has no address.
        return None
    return _apply_brief(known, update)


def _apply_brief(known: Member, update: BriefUpdate) -> Member:
    return replace(
        known,
        counter=update.counter,
        report=update.report,
        state=update.state,
        config_revision=update.config_revision,
        fresh=update.fresh,
        load=update.load_percent / 100,
    )
