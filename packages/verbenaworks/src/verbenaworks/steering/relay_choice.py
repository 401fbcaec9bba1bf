"""Which instances watch the store and relay its updates.

Each watch costs calls, so in a large fleet a few instances watch the store and
the others ask them. All instances choose the relays from the registrations in
the same way. While their registrations differ, an instance may ask a relay
with older updates; it turns to the store if they are too old.
"""

from collections.abc import Iterable

from verbenaworks.steering.active_peers import SMALL_FLEET_MAX_INSTANCES
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.rendezvous import (
    first_by_rendezvous,
    rendezvous_weight,
)

# Instances for each relay, and the least number of relays.
INSTANCES_PER_RELAY = 16
MIN_RELAYS = 3


def choose_relays(records: Iterable[InstanceRecord]) -> list[InstanceRecord]:
    """Choose the relays of a fleet.

    There are none in a small fleet, where each instance watches the store.
    Instances with a large capacity come first, and each failure domain gets
    its first relay before any domain gets a second one.

    :param records: all registered instances.
    """
    ranked = sorted(
        records, key=lambda r: (-r.capacity, rendezvous_weight("", r.name))
    )
    if len(ranked) <= SMALL_FLEET_MAX_INSTANCES:
        return []
    count = max(MIN_RELAYS, len(ranked) // INSTANCES_PER_RELAY)
    turns: dict[str, int] = {}
    keyed = []
    for rank, record in enumerate(ranked):
        turn = turns.get(record.failure_domain, 0)
        turns[record.failure_domain] = turn + 1
        keyed.append((turn, rank, record))
    keyed.sort(key=lambda item: item[:2])
    return [record for _, _, record in keyed[:count]]


def relay_order(
    own: InstanceRecord, chosen: Iterable[InstanceRecord]
) -> list[InstanceRecord]:
    """Return the relays in the order in which an instance asks them.

    Relays of its region come first. The order differs between instances, so
    that the relays share the load.
    """
    by_name = {record.name: record for record in chosen}
    names = first_by_rendezvous(own.name, sorted(by_name), len(by_name))
    return sorted(
        (by_name[name] for name in names),
        key=lambda record: record.region != own.region,
    )
