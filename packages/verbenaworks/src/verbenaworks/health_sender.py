"""Sends one prober's changes until every instance has acknowledged them.

A change is sent to all instances at once: directly in a small fleet, through
one relay in each failure domain in a large one. A newer change of the same
target replaces an older one.
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

# With up to this many other members, a prober sends to each of them directly.
# A relay saves connections, not bytes, and a dead one delays the change by one
# resend.
MAX_DIRECT_MEMBERS = 64
RESEND_INTERVAL_S = 0.3
_MAX_RESEND_INTERVAL_S = 3.0
# After this many direct attempts, every second one is sent through another
# member, because only the direct path may be broken.
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
class _PendingReport:
    seq: int
    health: Health
    pending: dict[str, _Attempts] = field(default_factory=dict)


class HealthSender:
    """Unacknowledged changes of one prober.

    :param own_address: bus address of this instance.
    :param direct_limit: maximum number of other members for direct sending.
    """

    def __init__(
        self,
        own_address: str,
        incarnation: int,
        rng: Random,
        direct_limit: int = MAX_DIRECT_MEMBERS,
    ) -> None:
        self._direct_limit = direct_limit
        self._own_address = own_address
        self._incarnation = incarnation
        self._rng = rng
        self._members: dict[str, Member] = {}
        self._reports: dict[str, _PendingReport] = {}
        self._retired: set[str] = set()

    @property
    def pending(self) -> int:
        """Return the number of acknowledgements that are missing."""
        return sum(len(report.pending) for report in self._reports.values())

    def last_reported(self, target: str) -> Health:
        """Return the health that was last reported; OK if there is none."""
        report = self._reports.get(target)
        return report.health if report is not None else Health.OK

    def set_members(self, now_s: float, members: Mapping[str, Member]) -> None:
        """Replace the other running members, by bus address.

        A new member or incarnation is sent all reports other than OK.
        """
        previous, self._members = self._members, dict(members)
        for report in self._reports.values():
            for address in report.pending.keys() - members.keys():
                del report.pending[address]
        added = [
            address
            for address, member in members.items()
            if address not in previous
            or previous[address].incarnation != member.incarnation
        ]
        if not added:
            return
        for target, report in self._reports.items():
            if report.health is Health.OK or target in self._retired:
                continue
            for address in added:
                report.pending[address] = _Attempts(next_s=now_s)

    def report_change(self, now_s: float, target: str, health: Health) -> None:
        """Start to send a new health of a target to all members."""
        self._retired.discard(target)
        seq = self._reports[target].seq + 1 if target in self._reports else 1
        self._reports[target] = _PendingReport(
            seq=seq,
            health=health,
            pending={
                address: _Attempts(next_s=now_s) for address in self._members
            },
        )

    def retire(self, target: str) -> None:
        """Record that this instance no longer probes a target.

        The last report is still sent to members that have not acknowledged
        it, but not to new members, which receive the current probers'
        reports.
        """
        if target in self._reports:
            self._retired.add(target)

    def is_retired(self, target: str) -> bool:
        """Return whether this instance no longer reports on a target."""
        return target in self._retired

    def cancel(self, target: str) -> None:
        """Stop sending reports on a target that was removed."""
        self.retire(target)
        if target in self._reports:
            self._reports[target].pending.clear()

    def on_acknowledgement(self, message: HealthTaken) -> None:
        """Handle an acknowledgement."""
        if message.incarnation != self._incarnation:
            return
        for target, seq in message.taken:
            report = self._reports.get(target)
            if report is None or report.seq != seq:
                continue
            for address in message.takers:
                report.pending.pop(address, None)

    def tick(self, now_s: float) -> list[SendHealthMessage]:
        """Return the messages that are due."""
        due: dict[str, dict[str, int]] = defaultdict(dict)
        for target, report in self._reports.items():
            for address, attempts in report.pending.items():
                if now_s < attempts.next_s:
                    continue
                due[address][target] = attempts.count
                wait_s = RESEND_INTERVAL_S * 2 ** max(0, attempts.count - 3)
                attempts.next_s = now_s + min(wait_s, _MAX_RESEND_INTERVAL_S)
                attempts.count = min(attempts.count + 1, 10)
        if not due:
            return []
        if len(self._members) <= self._direct_limit:
            return [
                self._send_directly(address, targets)
                for address, targets in due.items()
            ]
        # Members that two relays did not reach are sent to directly. Until a
        # dead member is detected, a random relay of a few remaining members
        # would often be the dead one.
        remaining = {
            address: targets
            for address, targets in due.items()
            if max(targets.values()) >= _RELAY_ATTEMPTS
        }
        return self._send_by_relays(
            {a: targets for a, targets in due.items() if a not in remaining}
        ) + [
            self._send_directly(address, targets)
            for address, targets in remaining.items()
        ]

    def _send_directly(
        self, address: str, targets: dict[str, int]
    ) -> SendHealthMessage:
        count = max(targets.values())
        if count >= _DIRECT_ATTEMPTS and count % 2 == 0:
            relays = self._alive_members(set(self._members) - {address})
            if relays:
                return SendHealthMessage(
                    address=self._rng.choice(relays),
                    message=self._message(targets, (address,)),
                )
        return SendHealthMessage(
            address=address, message=self._message(targets, ())
        )

    def _send_by_relays(
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
            # A resend chooses another random relay, so a dead one delays the
            # domain by one resend only.
            relay = self._rng.choice(
                self._alive_members(addresses) or addresses
            )
            others = tuple(a for a in addresses if a != relay)
            sends.append(
                SendHealthMessage(
                    address=relay, message=self._message(targets, others)
                )
            )
        return sends

    def _alive_members(self, addresses: Iterable[str]) -> Sequence[str]:
        return sorted(
            address
            for address in addresses
            if self._members[address].state is MemberState.ALIVE
        )

    def _message(
        self, targets: Iterable[str], pass_to: tuple[str, ...]
    ) -> HealthNews:
        return HealthNews(
            origin=self._own_address,
            incarnation=self._incarnation,
            changes=tuple(
                HealthChange(
                    target=target,
                    seq=self._reports[target].seq,
                    health=health_code(self._reports[target].health),
                )
                for target in targets
            ),
            pass_to=pass_to,
        )


def health_code(health: Health) -> int:
    """Return the number that encodes a health in messages."""
    return _CODES.index(health)


def health_from_code(code: int) -> Health | None:
    """Return the health that a number encodes, or None if it is invalid."""
    return _CODES[code] if 0 <= code < len(_CODES) else None
