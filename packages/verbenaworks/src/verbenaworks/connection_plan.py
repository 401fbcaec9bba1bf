"""How many connections an instance may open to each target.

In a small fleet each instance reaches each target. In a large one each
instance gets a subset, computed from the names alone, so that the instances
together stay within each target's connection limit without an exchange.
"""

from collections.abc import Mapping, Sequence
from random import Random

from verbenaworks.target import TargetInfo

# Fewer connections per target would make an instance open a connection for
# every second request that overlaps another.
MIN_CONNECTIONS = 2
# Share of a target's connections for instances of its own region; the rest
# is for requests that spill over from other regions.
_NEAR_SHARE = 0.75


def connection_plan(
    instance: str,
    instances: Mapping[str, str],
    targets: Sequence[TargetInfo],
) -> dict[str, int]:
    """Return the connections that ``instance`` may open, by target name.

    Targets outside the instance's subset are left out.

    :param instances: region of each live instance, by name.
    """
    if not targets:
        return {}
    fewest = min(target.connections for target in targets)
    if fewest >= MIN_CONNECTIONS * len(instances):
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
    near = instances[instance] == region
    peers = sorted(
        name for name, home in instances.items() if (home == region) == near
    )
    share = 1.0
    if 0 < len(peers) < len(instances):
        share = _NEAR_SHARE if near else 1.0 - _NEAR_SHARE
    limit = int(min(t.connections for t in group) * share)
    users = limit // MIN_CONNECTIONS
    if users == 0:
        return {}
    return dict.fromkeys(
        _subset(peers.index(instance), len(peers), users, group, region),
        MIN_CONNECTIONS,
    )


def _subset(
    index: int, peers: int, users: int, group: list[TargetInfo], region: str
) -> list[str]:
    """Return the targets of the peer with this index.

    Peers form rounds; in each round a target goes to at most one peer, in an
    order that depends on the round, and there are at most ``users`` rounds.
    """
    names = [target.name for target in group]
    if peers > users * len(names):
        # More instances than connections: only the first ones connect.
        return (
            [names[index % len(names)]] if index < users * len(names) else []
        )
    size = len(names)
    while -(-peers // (len(names) // size)) > users:
        size -= 1
    turn, place = divmod(index, len(names) // size)
    Random(f"{region}/{turn}").shuffle(names)
    return names[place * size : (place + 1) * size]
