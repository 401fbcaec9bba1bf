"""Sends one prober's changes until each instance has acknowledged them.

A change goes to all instances at once: directly in a small fleet, through
one relay in each failure domain in a large one. A newer change of the same
target supersedes an older one.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random

from verbenaworks.health_messages import (
    HealthChange,
    HealthMessage,
    HealthNews,
    HealthTaken,
)
from verbenaworks.load_report import Health
from verbenaworks.member import Member, MemberState

# Up to this many members a prober sends to each one itself. A relay saves
# connections, not bytes, and costs up to one resend when it is dead.
MAX_DIRECT_MEMBERS = 64
RESEND_S = 0.3
_LONGEST_RESEND_S = 3.0
# After this many direct attempts every second one goes through a helper,
# because only the path between the two may be broken.
_DIRECT_ATTEMPTS = 2
_RELAY_ATTEMPTS = 2
_CODES = tuple(Health)


@dataclass(frozen=True, kw_only=True, slots=True)
class SendHealthMessage:
    """Send a message to a bus address; it may be lost."""

    address: str
    message: HealthMessage


@dataclass(kw_only=True, slots=True)
class _Attempts:
    next_s: float
    count: int = 0


@dataclass(kw_only=True, slots=True)
class _News:
    seq: int
    health: Health
    pending: dict[str, _Attempts] = field(default_factory=dict)


class HealthSender:
    """Unacknowledged changes of one prober.

    :param own: bus address of this instance.
    :param direct_limit: most members that get changes without a relay.
    """

    def __init__(
        self,
        own: str,
        incarnation: int,
        rng: Random,
        direct_limit: int = MAX_DIRECT_MEMBERS,
    ) -> None:
        self._direct_limit = direct_limit
        self._own = own
        self._incarnation = incarnation
        self._rng = rng
        self._members: dict[str, Member] = {}
        self._news: dict[str, _News] = {}
        self._retired: set[str] = set()

    @property
    def pending(self) -> int:
        """Return the number of acknowledgements that are missing."""
        return sum(len(news.pending) for news in self._news.values())

    def last(self, target: str) -> Health:
        """Return what was said last; the first report is taken as good."""
        news = self._news.get(target)
        return news.health if news is not None else Health.OK

    def set_members(self, now_s: float, members: Mapping[str, Member]) -> None:
        """Take over the other running members by bus address.

        A new member, or a new run of one, gets what is not good.
        """
        old, self._members = self._members, dict(members)
        for news in self._news.values():
            for address in news.pending.keys() - members.keys():
                del news.pending[address]
        added = [
            address
            for address, member in members.items()
            if address not in old
            or old[address].incarnation != member.incarnation
        ]
        if not added:
            return
        for target, news in self._news.items():
            if news.health is Health.OK or target in self._retired:
                continue
            for address in added:
                news.pending[address] = _Attempts(next_s=now_s)

    def change(self, now_s: float, target: str, health: Health) -> None:
        """Say something new of a target to all."""
        self._retired.discard(target)
        seq = self._news[target].seq + 1 if target in self._news else 1
        self._news[target] = _News(
            seq=seq,
            health=health,
            pending={
                address: _Attempts(next_s=now_s) for address in self._members
            },
        )

    def retire(self, target: str) -> None:
        """Note that this instance no longer probes a target.

        The last report still goes to those that miss it, but not to new
        members, which hear from the current probers.
        """
        if target in self._news:
            self._retired.add(target)

    def is_retired(self, target: str) -> bool:
        """Return whether the last report on a target is not kept up."""
        return target in self._retired

    def drop(self, target: str) -> None:
        """Stop sending what was said of a target that was removed."""
        self.retire(target)
        if target in self._news:
            self._news[target].pending.clear()

    def taken(self, message: HealthTaken) -> None:
        """Take an acknowledgement."""
        if message.incarnation != self._incarnation:
            return
        for target, seq in message.taken:
            news = self._news.get(target)
            if news is None or news.seq != seq:
                continue
            for address in message.takers:
                news.pending.pop(address, None)

    def tick(self, now_s: float) -> list[SendHealthMessage]:
        """Return the messages that are due."""
        due: dict[str, dict[str, int]] = defaultdict(dict)
        for target, news in self._news.items():
            for address, attempts in news.pending.items():
                if now_s < attempts.next_s:
                    continue
                due[address][target] = attempts.count
                wait_s = RESEND_S * 2 ** max(0, attempts.count - 3)
                attempts.next_s = now_s + min(wait_s, _LONGEST_RESEND_S)
                attempts.count = min(attempts.count + 1, 10)
        if not due:
            return []
        if len(self._members) <= self._direct_limit:
            return [
                self._direct(address, targets)
                for address, targets in due.items()
            ]
        # The few that two relays did not reach are sent to one by one: as
        # long as a dead member is not known as such, a random relay of a
        # small rest would often be the dead one.
        rest = {
            address: targets
            for address, targets in due.items()
            if max(targets.values()) >= _RELAY_ATTEMPTS
        }
        return self._by_relays(
            {a: targets for a, targets in due.items() if a not in rest}
        ) + [
            self._direct(address, targets) for address, targets in rest.items()
        ]

    def _direct(
        self, address: str, targets: dict[str, int]
    ) -> SendHealthMessage:
        count = max(targets.values())
        if count >= _DIRECT_ATTEMPTS and count % 2 == 0:
            helpers = self._helpers(set(self._members) - {address})
            if helpers:
                return SendHealthMessage(
                    address=self._rng.choice(helpers),
                    message=self._message(targets, (address,)),
                )
        return SendHealthMessage(
            address=address, message=self._message(targets, ())
        )

    def _by_relays(
        self, due: dict[str, dict[str, int]]
    ) -> list[SendHealthMessage]:
        groups: dict[str, list[str]] = defaultdict(list)
        for address in due:
            groups[self._members[address].failure_domain].append(address)
        sends = []
        for addresses in groups.values():
            targets: dict[str, int] = {}
            for address in addresses:
                targets |= due[address]
            # A resend takes another random relay, so a dead one costs one
            # resend and not the whole domain.
            relay = self._rng.choice(self._helpers(addresses) or addresses)
            others = tuple(a for a in addresses if a != relay)
            sends.append(
                SendHealthMessage(
                    address=relay, message=self._message(targets, others)
                )
            )
        return sends

    def _helpers(self, addresses: Iterable[str]) -> Sequence[str]:
        return sorted(
            address
            for address in addresses
            if self._members[address].state is MemberState.ALIVE
        )

    def _message(
        self, targets: Iterable[str], pass_to: tuple[str, ...]
    ) -> HealthNews:
        return HealthNews(
            origin=self._own,
            incarnation=self._incarnation,
            changes=tuple(
                HealthChange(
                    target=target,
                    seq=self._news[target].seq,
                    health=health_code(self._news[target].health),
                )
                for target in targets
            ),
            pass_to=pass_to,
        )


def health_code(health: Health) -> int:
    """Return the number of a health in messages."""
    return _CODES.index(health)


def health_of(code: int) -> Health | None:
    """Return the health with a number, none if there is none."""
    return _CODES[code] if 0 <= code < len(_CODES) else None
