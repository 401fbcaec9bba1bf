"""SWIM-style failure detection and dissemination.

Every instance probes one other instance per period. Records of members ride
on the probes, a bounded number on each, so the cost per instance does not
grow with the fleet. Each record is ordered by incarnation, then by a counter
that only the member itself raises, then by state, then by report.
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
    brief,
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
INDIRECT_AFTER_S = 0.3
INDIRECT_PEERS = 3
SUSPECT_S = 1.0
# Indirect probes have as long for their answer as the direct one had.
_PROBE_LIMIT_S = 2 * INDIRECT_AFTER_S
_SUSPECT_PING_S = 0.25
# A longer time between two ticks means that the process was paused.
_PAUSE_S = 0.4
_JOIN_PERIOD_S = 1.0
_JOIN_AGAIN_S = 4.0
_ASK_PERIOD_S = 1.0
# A partition heals when one side probes a member that it believes dead.
_DEAD_PROBE_S = 5.0
_SEED_PROBE_S = 10.0
_DEAD_KEPT_S = 86_400.0
_NEWS_PER_MESSAGE = 4
# News is sent this many times the logarithm of the number of members. News
# of a live member is sent once less for each time that it is heard again.
_NEWS_FACTOR = 3
# Every message also repeats known records in turn. That makes up for lost
# messages and spreads the reports of load and configuration revision.
_REPEATS_PER_MESSAGE = 2
_FULL_REPEAT_EVERY = 16
_LIST_CHUNK = 64
_LOAD_STEP = 0.05


@dataclass(kw_only=True, slots=True)
class _Probe:
    name: str
    address: str
    sent_at_s: float
    is_indirect: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class _PassOn:
    reply_to: str
    seq: int
    sent_at_s: float


class Membership:
    """The members as one instance knows them.

    :param own: this instance's record; its incarnation must be higher than
        that of any earlier run under the same name.
    :param seeds: bus addresses from the platform's list.
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
        self._suspected: dict[str, float] = {}
        self._dead: dict[str, float] = {}
        self._unknown: set[str] = set()
        self._news: dict[str, int] = {}
        self._order: list[str] = []
        self._repeat_order: list[str] = []
        self._repeat_count = 0
        self._seqs = itertools.count(1)
        self._probes: dict[int, _Probe] = {}
        self._passed_on: dict[int, _PassOn] = {}
        self._joined = False
        self._stopped = False
        self._next_join_s = now_s
        self._next_probe_s = now_s + rng.random() * PROBE_PERIOD_S
        self._next_dead_probe_s = now_s + rng.random() * _DEAD_PROBE_S
        self._next_seed_probe_s = now_s + _SEED_PROBE_S * rng.random()
        self._next_suspect_ping_s = now_s
        self._next_ask_s = now_s
        self._ticked_at_s = now_s
        self._out: list[SendMembershipMessage] = []
        self.version = 1
        # Counts the changes of the members themselves: who exists, in which
        # incarnation and state, and whether it is fresh. Reports of load and
        # revision, which are far more frequent, leave it alone.
        self.topology_version = 1
        self.is_superseded = False
        self._note_news(own.name)

    @property
    def own(self) -> Member:
        """Return this instance's own record."""
        return self._own

    def members(self) -> tuple[Member, ...]:
        """Return all known records, this instance's and dead ones too.

        ``version`` changes whenever the result does.
        """
        return (self._own, *self._members.values())

    def member(self, name: str) -> Member | None:
        """Return the record of one member."""
        return self._own if name == self._own.name else self._members.get(name)

    def report(
        self, *, config_revision: int, fresh: bool, load: float
    ) -> None:
        """Set what this instance tells about itself."""
        own = self._own
        if (config_revision, fresh) == (own.config_revision, own.fresh) and (
            abs(load - own.load) < _LOAD_STEP
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
        """Take over the bus addresses that the platform's list shows now."""
        self._seeds = tuple(s for s in seeds if s != self._own.bus_address)

    def leave(self) -> None:
        """Tell the others that this instance is shutting down."""
        if self._own.state is MemberState.ALIVE:
            self._raise_own(MemberState.LEAVING)

    def stop(self) -> list[SendMembershipMessage]:
        """Tell some peers that this instance has ended."""
        self._raise_own(MemberState.DEAD)
        self._stopped = True
        for name in self._sample(2 * INDIRECT_PEERS, exclude=""):
            self._ping(self._members[name])
        return self._take()

    def tick(self, now_s: float) -> list[SendMembershipMessage]:
        """Do what is due; called about every 0.1 s."""
        if self._stopped:
            return []
        if now_s >= self._ticked_at_s + _PAUSE_S:
            # The answers may be waiting unread, so silence proves nothing.
            self._probes.clear()
            self._suspected = dict.fromkeys(self._suspected, now_s)
        self._ticked_at_s = now_s
        self._expire_probes(now_s)
        self._expire_suspects(now_s)
        if now_s >= self._next_probe_s:
            self._next_probe_s = max(
                self._next_probe_s + PROBE_PERIOD_S, now_s
            )
            self._probe_next(now_s)
        self._probe_lost(now_s)
        self._join(now_s)
        self._ask_unknown(now_s)
        return self._take()

    def on_message(
        self, now_s: float, message: MembershipMessage
    ) -> list[SendMembershipMessage]:
        """Take a message from another instance."""
        if self._stopped:
            return []
        try:
            updates = decode_updates(message.updates)
        except WireError:
            return []
        is_list = isinstance(message, MemberList)
        for update in updates:
            self._merge(now_s, update, is_list=is_list)
        match message:
            case Join(reply_to=reply_to):
                self._send_list(reply_to, self.members())
            case AskMembers(reply_to=reply_to, names=names):
                asked = map(self.member, names[:_LIST_CHUNK])
                self._send_list(reply_to, [m for m in asked if m])
            case MemberList():
                if not self._joined:
                    self._joined = True
                    self._next_join_s = now_s + _JOIN_AGAIN_S
            case Ping(seq=seq, reply_to=reply_to):
                self._send(reply_to, Ack(seq=seq, updates=self._updates()))
            case PingVia():
                self._ping_for(now_s, message)
            case Ack(seq=seq):
                self._on_ack(seq)
        return self._take()

    # Probes.

    def _probe_next(self, now_s: float) -> None:
        while True:
            if not self._order:
                self._order = [
                    name
                    for name, member in self._members.items()
                    if member.is_running
                ]
                self._rng.shuffle(self._order)
                if not self._order:
                    return
            member = self._members.get(self._order.pop())
            if member is not None and member.is_running:
                break
        seq = self._ping(member)
        self._probes[seq] = _Probe(
            name=member.name, address=member.bus_address, sent_at_s=now_s
        )

    def _expire_probes(self, now_s: float) -> None:
        for seq, probe in list(self._probes.items()):
            if now_s >= probe.sent_at_s + _PROBE_LIMIT_S:
                del self._probes[seq]
                self._suspect(now_s, probe.name)
            elif (
                not probe.is_indirect
                and now_s >= probe.sent_at_s + INDIRECT_AFTER_S
            ):
                probe.is_indirect = True
                self._probe_indirectly(seq, probe)
        for seq, passed in list(self._passed_on.items()):
            if now_s >= passed.sent_at_s + _PROBE_LIMIT_S:
                del self._passed_on[seq]

    def _probe_indirectly(self, seq: int, probe: _Probe) -> None:
        for name in self._sample(INDIRECT_PEERS, exclude=probe.name):
            self._send(
                self._members[name].bus_address,
                PingVia(
                    seq=seq,
                    reply_to=self._own.bus_address,
                    target=probe.address,
                    updates=self._updates(),
                ),
            )

    def _ping_for(self, now_s: float, request: PingVia) -> None:
        seq = next(self._seqs)
        self._passed_on[seq] = _PassOn(
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
        self._probes.pop(seq, None)
        passed = self._passed_on.pop(seq, None)
        if passed is not None:
            self._send(
                passed.reply_to,
                Ack(seq=passed.seq, updates=self._updates()),
            )

    def _suspect(self, now_s: float, name: str) -> None:
        member = self._members.get(name)
        if member is None or not member.is_running:
            return
        self._suspected.setdefault(name, now_s)
        if member.state is MemberState.ALIVE:
            self._set(replace(member, state=MemberState.SUSPECT))
            self._note_news(name)

    def _expire_suspects(self, now_s: float) -> None:
        for name, since_s in list(self._suspected.items()):
            if now_s >= since_s + SUSPECT_S:
                self._declare_dead(now_s, name)
        if not self._suspected or now_s < self._next_suspect_ping_s:
            return
        self._next_suspect_ping_s = now_s + _SUSPECT_PING_S
        # The suspect hears of the suspicion and can refute it.
        for name in list(self._suspected)[:INDIRECT_PEERS]:
            self._ping(self._members[name])

    def _declare_dead(self, now_s: float, name: str) -> None:
        del self._suspected[name]
        self._dead[name] = now_s
        self._set(replace(self._members[name], state=MemberState.DEAD))
        self._note_news(name)

    def _probe_lost(self, now_s: float) -> None:
        if now_s >= self._next_dead_probe_s:
            self._next_dead_probe_s = now_s + _DEAD_PROBE_S
            for name, since_s in list(self._dead.items()):
                if now_s >= since_s + _DEAD_KEPT_S:
                    self._forget(name)
            if self._dead:
                name = self._rng.choice(list(self._dead))
                self._ping(self._members[name])
        if self._seeds and now_s >= self._next_seed_probe_s:
            self._next_seed_probe_s = now_s + _SEED_PROBE_S
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
        if self._joined:
            # Many instances may have started at the same time.
            self._next_join_s = float("inf")
            names = self._sample(1, exclude="")
            addresses = [self._members[name].bus_address for name in names]
        else:
            self._next_join_s = now_s + _JOIN_PERIOD_S
            count = min(INDIRECT_PEERS, len(self._seeds))
            addresses = self._rng.sample(self._seeds, count)
        for address in addresses:
            self._send(
                address,
                Join(
                    reply_to=self._own.bus_address,
                    updates=encode_updates([self._own]),
                ),
            )

    def _ask_unknown(self, now_s: float) -> None:
        if not self._unknown or now_s < self._next_ask_s:
            return
        self._next_ask_s = now_s + _ASK_PERIOD_S
        names = tuple(itertools.islice(self._unknown, _LIST_CHUNK))
        self._unknown.clear()
        for peer in self._sample(1, exclude=""):
            self._send(
                self._members[peer].bus_address,
                AskMembers(
                    reply_to=self._own.bus_address,
                    names=names,
                    updates=self._updates(),
                ),
            )

    def _send_list(self, address: str, members: Sequence[Member]) -> None:
        for start in range(0, len(members), _LIST_CHUNK):
            self._send(
                address,
                MemberList(
                    updates=encode_updates(
                        members[start : start + _LIST_CHUNK]
                    )
                ),
            )

    # Records.

    def _merge(
        self, now_s: float, update: Update, is_list: bool = False
    ) -> None:
        if update.name == self._own.name:
            self._refute(update)
            return
        known = self._members.get(update.name)
        if known is not None and _rank(update) <= _rank(known):
            # Joins come in crowds; other news is rare and must reach all.
            if update.state is MemberState.ALIVE and (
                isinstance(update, Member) and _rank(update) == _rank(known)
            ):
                self._spend_news(update.name)
            return
        member = _merged(known, update)
        if member is None:
            if update.state is not MemberState.DEAD:
                self._unknown.add(update.name)
            return
        is_news = (
            known is None
            or known.state is not member.state
            or known.incarnation != member.incarnation
        )
        self._set(member)
        self._suspected.pop(member.name, None)
        if self._dead.pop(member.name, None) is not None:
            # A partition has healed; look for other members at once.
            self._next_dead_probe_s = now_s
        if member.state is MemberState.SUSPECT:
            self._suspected[member.name] = now_s
        elif member.state is MemberState.DEAD:
            self._dead[member.name] = now_s
        if is_news and not is_list:
            self._note_news(member.name)

    def _refute(self, update: Update) -> None:
        own = self._own
        if update.incarnation > own.incarnation:
            self.is_superseded = True
            return
        if update.incarnation < own.incarnation or _rank(update) <= _rank(own):
            return
        # Someone suspects this instance, or remembers a later counter.
        self._own = replace(own, counter=update.counter + 1)
        self._note_news(own.name)
        self.version += 1
        self.topology_version += 1

    def _raise_own(self, state: MemberState) -> None:
        self._own = replace(
            self._own, counter=self._own.counter + 1, state=state
        )
        self._note_news(self._own.name)
        self.version += 1
        self.topology_version += 1

    def _set(self, member: Member) -> None:
        known = self._members.get(member.name)
        self._members[member.name] = member
        self.version += 1
        if known is None or _duty(known) != _duty(member):
            self.topology_version += 1

    def _forget(self, name: str) -> None:
        del self._dead[name]
        del self._members[name]
        self._news.pop(name, None)
        self.version += 1
        self.topology_version += 1

    def _note_news(self, name: str) -> None:
        size = len(self._members) + 2
        self._news[name] = _NEWS_FACTOR * math.ceil(math.log(size))

    def _spend_news(self, name: str) -> None:
        left = self._news.get(name, 0) - 1
        if left > 0:
            self._news[name] = left
        else:
            self._news.pop(name, None)

    def _updates(self, about: str | None = None) -> bytes:
        """Return the records that ride on the next message.

        :param about: the receiver, which should hear how it is seen.
        """
        updates: list[Update] = [brief(self._own)]
        chosen = {self._own.name}
        if about is not None and about in self._members:
            member = self._members[about]
            if member.state in (MemberState.SUSPECT, MemberState.DEAD):
                updates.append(brief(member))
            chosen.add(about)
        for name in heapq.nlargest(
            _NEWS_PER_MESSAGE, self._news, key=self._news.__getitem__
        ):
            self._spend_news(name)
            if name == self._own.name:
                updates[0] = self._own
            elif name not in chosen:
                updates.append(self._members[name])
                chosen.add(name)
        updates.extend(self._repeats(chosen))
        return encode_updates(updates)

    def _repeats(self, chosen: set[str]) -> list[Update]:
        repeats: list[Update] = []
        for _ in range(_REPEATS_PER_MESSAGE):
            if not self._repeat_order:
                self._repeat_order = list(self._members)
                self._rng.shuffle(self._repeat_order)
            if not self._repeat_order:
                break
            member = self._members.get(self._repeat_order.pop())
            if member is None or member.name in chosen:
                continue
            chosen.add(member.name)
            self._repeat_count += 1
            is_full = self._repeat_count % _FULL_REPEAT_EVERY == 0
            repeats.append(member if is_full else brief(member))
        return repeats

    # Helpers.

    def _sample(self, count: int, exclude: str) -> list[str]:
        """Return up to ``count`` running members, in constant time."""
        names = list(self._members) if len(self._members) < 32 else None
        found: list[str] = []
        if names is not None:
            running = [
                n
                for n in names
                if n != exclude and self._members[n].is_running
            ]
            return self._rng.sample(running, min(count, len(running)))
        pool = self._order
        if len(pool) < 4 * count:
            pool = self._repeat_order
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
        self._out.append(
            SendMembershipMessage(address=address, message=message)
        )

    def _take(self) -> list[SendMembershipMessage]:
        out, self._out = self._out, []
        return out


def _duty(member: Member) -> Member:
    return replace(member, counter=0, report=0, config_revision=0, load=0.0)


def _rank(record: Update) -> tuple[int, int, int, int]:
    return (
        record.incarnation,
        record.counter,
        int(record.state),
        record.report,
    )


def _merged(known: Member | None, update: Update) -> Member | None:
    if known is None and update.state is MemberState.DEAD:
        # Otherwise a record that was dropped would come back.
        return None
    if isinstance(update, Member):
        return update
    if known is None or known.incarnation != update.incarnation:
        # A brief record of a member that is not known has no address.
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
