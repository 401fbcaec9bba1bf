"""Which instances of a region serve the requests of its callers.

Callers choose at random among the instances that they are given, so each of
these gets an equal share. If instances differ in capacity, a few large ones
serve better than all of them: none is slow, and fewer instances share the
load of a server and the rate of a workspace. The others stay on standby.
"""

from collections.abc import Iterable

from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.rendezvous import rendezvous_weight

# Least number of serving instances for each failure domain of the region and
# for the region, so that callers have a choice after the loss of two instances
# or of a domain.
MIN_INSTANCES_PER_DOMAIN = 2
MIN_INSTANCES_PER_REGION = 4
# Share of the capacity that is used before more instances are added.
MAX_USED_SHARE = 0.4


def serving_set(
    records: Iterable[InstanceRecord], load: float
) -> list[InstanceRecord]:
    """Return the instances that callers should use.

    :param records: instances of one region that can serve.
    :param load: capacity that the region's requests use.
    """
    ranked = _ranked(list(records))
    domains = {record.failure_domain for record in ranked}
    min_count = max(
        MIN_INSTANCES_PER_REGION, MIN_INSTANCES_PER_DOMAIN * len(domains)
    )
    min_domains = min(2, len(domains))
    covered_domains: set[str] = set()
    best: list[InstanceRecord] = []
    best_capacity = -1.0
    for count, record in enumerate(ranked, 1):
        covered_domains.add(record.failure_domain)
        if len(covered_domains) < min_domains or count < min(
            min_count, len(ranked)
        ):
            continue
        # Each gets an equal share, so the smallest one is full first.
        capacity = count * record.capacity
        if capacity > best_capacity:
            best, best_capacity = ranked[:count], capacity
        if best_capacity * MAX_USED_SHARE >= load:
            break
    return best


def _ranked(records: list[InstanceRecord]) -> list[InstanceRecord]:
    """Return the largest instances first.

    Instances of equal capacity alternate between their failure domains.
    """
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
