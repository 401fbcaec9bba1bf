"""Selects the entry instances that a caller should use, in order.

The instances of a region form a consistent-hashing ring. The order for a
client block depends only on the names on the ring, so all instances return
the same result, and the removal of an instance changes the result only of the
blocks that used it.
"""

from array import array
from bisect import bisect_right
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from hashlib import blake2b

# With 5 to 130 instances in a region, the busiest instance then has about 1.3
# times the mean number of blocks.
POINTS_PER_INSTANCE = 64
DEFAULT_MAX_INSTANCES = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryInstance:
    """An entry instance as callers know it.

    :ivar caller_address: ``host:port`` for callers.
    """

    name: str
    caller_address: str
    region: str
    failure_domain: str


class EntryLookup:
    """Hash rings of all regions, built once for a set of instances.

    :param earlier: a lookup whose rings are reused for regions with the same
        instances. A ring of 130 instances takes over 10 ms to build, and the
        loss of a failure domain changes one region's ring dozens of times.
    """

    def __init__(
        self,
        instances: Iterable[EntryInstance],
        earlier: "EntryLookup | None" = None,
    ) -> None:
        by_region: dict[str, list[EntryInstance]] = {}
        for instance in instances:
            by_region.setdefault(instance.region, []).append(instance)
        earlier_rings: dict[str, _Ring] = earlier._rings if earlier else {}
        self._rings: dict[str, _Ring] = {
            region: ring
            if (ring := earlier_rings.get(region))
            and ring.has_same_instances(members)
            else _Ring(members)
            for region, members in by_region.items()
        }

    def has_usable(
        self, region: str, is_usable: Callable[[str], bool]
    ) -> bool:
        """Return whether a region has at least one usable instance."""
        ring = self._rings.get(region)
        return ring is not None and ring.has_usable(is_usable)

    def find(
        self,
        regions: Sequence[str],
        block_hash: int,
        is_usable: Callable[[str], bool],
        limit: int = DEFAULT_MAX_INSTANCES,
    ) -> list[EntryInstance]:
        """Return up to ``limit`` usable instances, the best first.

        :param regions: regions in order of preference.
        :param block_hash: hash of the caller's block, see
            :func:`hash_block`.
        :param is_usable: returns by name whether an instance may be
            included.
        """
        found: list[EntryInstance] = []
        for region in regions:
            ring = self._rings.get(region)
            if ring is None:
                continue
            found += ring.walk(block_hash, is_usable, limit - len(found))
            if len(found) >= limit:
                break
        return found


def hash_block(range_start: int) -> int:
    """Return the position of a client block on the rings."""
    return _hash(str(range_start))


class _Ring:
    def __init__(self, instances: list[EntryInstance]) -> None:
        points = sorted(
            (_hash(f"{instance.name}/{point}"), index)
            for index, instance in enumerate(instances)
            for point in range(POINTS_PER_INSTANCE)
        )
        self._instances = instances
        self._instance_set = frozenset(instances)
        self._positions = array("Q", (position for position, _ in points))
        self._indexes = array("H", (index for _, index in points))

    def has_same_instances(self, instances: list[EntryInstance]) -> bool:
        return self._instance_set == frozenset(instances)

    def has_usable(self, is_usable: Callable[[str], bool]) -> bool:
        return any(is_usable(instance.name) for instance in self._instances)

    def walk(
        self, start: int, is_usable: Callable[[str], bool], limit: int
    ) -> list[EntryInstance]:
        seen: set[int] = set()
        found: list[EntryInstance] = []
        first = bisect_right(self._positions, start)
        for offset in range(len(self._indexes)):
            index = self._indexes[(first + offset) % len(self._indexes)]
            if index in seen:
                continue
            seen.add(index)
            instance = self._instances[index]
            if is_usable(instance.name):
                found.append(instance)
            if len(found) >= limit or len(seen) == len(self._instances):
                break
        return found


def _hash(text: str) -> int:
    digest = blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
