"""Which instances probe which target.

Each instance computes the same assignment from the members that it knows, so
no messages are needed. Two probers of a target are in its region, in different
failure domains, and one is in another region. A partitioned region or failure
domain therefore never contains all of them.
"""

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from verbenaworks.member import Member, MemberState
from verbenaworks.target import TargetInfo

PROBERS_PER_TARGET = 3
_PROBERS_IN_OWN_REGION = 2
_UINT64_MASK = (1 << 64) - 1
# Odd multipliers of the splitmix64 generator.
_MIX_1 = 0xBF58476D1CE4E5B9
_MIX_2 = 0x94D049BB133111EB


@dataclass(frozen=True, kw_only=True, slots=True)
class _Region:
    members: tuple[Member, ...]
    keys: tuple[tuple[str, int, MemberState], ...]


class ProbeAssignment:
    """Assigns targets to members by rendezvous hashing."""

    def __init__(self) -> None:
        self._regions: dict[str, _Region] = {}
        self._hashes: dict[str, int] = {}
        self._orders: dict[tuple[str, str], tuple[_Region, list[Member]]] = {}

    def set_members(self, members: Iterable[Member]) -> None:
        """Replace the known members."""
        regions: dict[str, list[Member]] = {}
        for member in members:
            if member.is_available and member.bus_address:
                regions.setdefault(member.region, []).append(member)
        previous = self._regions
        self._regions = {}
        for name in sorted(regions):
            group = tuple(sorted(regions[name], key=lambda m: m.name))
            keys = tuple((m.name, m.incarnation, m.state) for m in group)
            known = previous.get(name)
            # An unchanged region keeps its object and thereby its cached
            # orders: a change of one member out of 1,300 requires new hashes
            # of one region only.
            if known is not None and known.keys == keys:
                self._regions[name] = known
            else:
                self._regions[name] = _Region(members=group, keys=keys)
        self._orders = {
            key: entry
            for key, entry in self._orders.items()
            if self._regions.get(key[1]) is entry[0]
        }

    def probers(self, target: TargetInfo) -> tuple[Member, ...]:
        """Return the probers of a target, the most preferred first.

        A suspected member remains a prober but is not counted, so that its
        replacement starts before the member is declared dead.
        """
        other_regions = sorted(
            (name for name in self._regions if name != target.region),
            key=lambda name: self._rendezvous_hash(target.name, name),
        )
        chosen: list[Member] = []
        _add_probers(
            chosen,
            self._ordered_members(target.name, target.region),
            _PROBERS_IN_OWN_REGION,
        )
        for region in other_regions:
            if _count_alive(chosen) >= PROBERS_PER_TARGET:
                return tuple(chosen)
            order = self._ordered_members(target.name, region)
            _add_probers(chosen, order, _count_alive(chosen) + 1)
        for region in (target.region, *other_regions):
            _add_probers(
                chosen,
                self._ordered_members(target.name, region),
                PROBERS_PER_TARGET,
            )
        return tuple(chosen)

    def _ordered_members(self, target: str, region: str) -> Sequence[Member]:
        """Return the members of a region, the highest hash first."""
        group = self._regions.get(region)
        if group is None:
            return ()
        entry = self._orders.get((target, region))
        if entry is None:
            members = sorted(
                group.members,
                key=lambda m: self._rendezvous_hash(target, m.name),
                reverse=True,
            )
            entry = (group, members)
            self._orders[target, region] = entry
        return entry[1]

    def _rendezvous_hash(self, target: str, name: str) -> int:
        value = self._hash(target) ^ self._hash(name)
        value = ((value ^ (value >> 30)) * _MIX_1) & _UINT64_MASK
        value = ((value ^ (value >> 27)) * _MIX_2) & _UINT64_MASK
        return value ^ (value >> 31)

    def _hash(self, name: str) -> int:
        value = self._hashes.get(name)
        if value is None:
            digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
            value = self._hashes[name] = int.from_bytes(digest)
        return value


def _count_alive(chosen: Sequence[Member]) -> int:
    return sum(m.state is MemberState.ALIVE for m in chosen)


def _add_probers(
    chosen: list[Member], order: Sequence[Member], count: int
) -> None:
    """Append members until ``count`` of the chosen ones are alive.

    Members of failure domains without a chosen live member come first.
    """
    missing = count - _count_alive(chosen)
    if missing <= 0:
        return
    domains = {
        m.failure_domain for m in chosen if m.state is MemberState.ALIVE
    }
    skipped: list[Member] = []
    for member in order:
        if missing == 0:
            return
        if member in chosen:
            continue
        if member.failure_domain in domains:
            skipped.append(member)
            continue
        chosen.append(member)
        if member.state is MemberState.ALIVE:
            domains.add(member.failure_domain)
            missing -= 1
    for member in skipped:
        if missing == 0:
            return
        chosen.append(member)
        missing -= member.state is MemberState.ALIVE
