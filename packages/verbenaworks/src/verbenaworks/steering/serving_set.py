"""Which instances of a region take the requests of its callers.

Callers choose among the instances that they are told at random, so each of
those gets an equal part. Where instances differ in capacity, a few large ones
serve better than all of them: none is slow, and fewer instances share the
load of a server and the rate of a workspace. The others stay in reserve.
"""

from collections.abc import Iterable

from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.rendezvous import rendezvous_weight

# Named instances for each failure domain of the region and for the region, so
# that the loss of two instances or of a domain leaves a choice.
MIN_PER_DOMAIN = 2
MIN_PER_REGION = 4
# Part of the capacity that is used before more instances are named.
USED_SHARE = 0.4


def serving_set(
    records: Iterable[InstanceRecord], load: float
) -> list[InstanceRecord]:
    """Return the instances that callers should use.

    :param records: instances of one region that can serve.
    :param load: capacity that the region's requests use.
    """
    ranked = _ranked(list(records))
    domains = {record.failure_domain for record in ranked}
    least = max(MIN_PER_REGION, MIN_PER_DOMAIN * len(domains))
    covered = min(2, len(domains))
    seen: set[str] = set()
    best: list[InstanceRecord] = []
    best_capacity = -1.0
    for count, record in enumerate(ranked, 1):
        seen.add(record.failure_domain)
        if len(seen) < covered or count < min(least, len(ranked)):
            continue
        # Each gets the same part, so the smallest one is full first.
        capacity = count * record.capacity
        if capacity > best_capacity:
            best, best_capacity = ranked[:count], capacity
        if best_capacity * USED_SHARE >= load:
            break
    return best


def _ranked(records: list[InstanceRecord]) -> list[InstanceRecord]:
    """Return the largest first; equal ones by turns of their domains."""
    by_group: dict[tuple[float, str], list[InstanceRecord]] = {}
    for record in sorted(records, key=_weight):
        group = (record.capacity, record.failure_domain)
        by_group.setdefault(group, []).append(record)
    turns = [
        (-capacity, turn, _weight(record), record)
        for (capacity, _), group in by_group.items()
        for turn, record in enumerate(group)
    ]
    return [record for *_, record in sorted(turns, key=lambda t: t[:3])]


def _weight(record: InstanceRecord) -> bytes:
    return rendezvous_weight("", record.name)
