"""How many connections an instance may open to each target.

In a small fleet, each instance connects to all targets. In a large one, each
instance gets a subset, which is computed from the names alone, so that all
instances together stay within the connection limit of each target without
exchanging messages.
"""

from collections.abc import Mapping, Sequence
from random import Random

from verbenaworks.target import TargetInfo

# With fewer connections per target, an instance would open a new one for every
# second request that overlaps another.
MIN_CONNECTIONS = 2
# Share of a target's connections for instances of its own region. The rest is
# for requests that spill over from other regions.
_SAME_REGION_SHARE = 0.75


def connection_plan(
    instance: str,
    instances: Mapping[str, str],
    targets: Sequence[TargetInfo],
) -> dict[str, int]:
    """Return the connections that ``instance`` may open, by target name.

    Targets outside the instance's subset are omitted.

    :param instances: region of each live instance, by name.
    """
    if not targets:
        return {}
    min_connections = min(target.connections for target in targets)
    if min_connections >= MIN_CONNECTIONS * len(instances):
        return {
            target.name: target.connections // len(instances)
            for target in targets
        }
    plan: dict[str, int] = {}
    for region in sorted({target.region for target in targets}):
        group = sorted(
            (t for t in targets if t.region == region), key=lambda t: t.name
        )
        plan.update(_group_plan(instance, instances, region, group))
    return plan


def _group_plan(
    instance: str,
    instances: Mapping[str, str],
    region: str,
    group: list[TargetInfo],
) -> dict[str, int]:
    is_same_region = instances[instance] == region
    peers = sorted(
        name
        for name, peer_region in instances.items()
        if (peer_region == region) == is_same_region
    )
    share = 1.0
    if 0 < len(peers) < len(instances):
        share = (
            _SAME_REGION_SHARE if is_same_region else 1.0 - _SAME_REGION_SHARE
        )
    limit = int(min(t.connections for t in group) * share)
    max_users = limit // MIN_CONNECTIONS
    if max_users == 0:
        return {}
    return dict.fromkeys(
        _subset(peers.index(instance), len(peers), max_users, group, region),
        MIN_CONNECTIONS,
    )


def _subset(
    index: int,
    peer_count: int,
    max_users: int,
    group: list[TargetInfo],
    region: str,
) -> list[str]:
    """Return the targets of the peer with this index.

    Peers form rounds. In each round a target is assigned to at most one
    peer, in an order that depends on the round. There are at most
    ``max_users`` rounds.
    """
    names = [target.name for target in group]
    if peer_count > max_users * len(names):
        # More peers than connections: only the first ones connect.
        return (
            [names[index % len(names)]]
            if index < max_users * len(names)
            else []
        )
    size = len(names)
    while -(-peer_count // (len(names) // size)) > max_users:
        size -= 1
    round_number, position = divmod(index, len(names) // size)
    Random(f"{region}/{round_number}").shuffle(names)
    return names[position * size : (position + 1) * size]
