"""Division of a region's requests between the regions of its service.

Requests that may not run everywhere take their slots first. A region serves
its own callers as far as its servers then have room. The others run in regions
that have room left after serving theirs. If none has, all regions are used to
the same degree.
"""

from collections.abc import Mapping
from dataclasses import dataclass

# Use of a region's slots up to which requests stay there. It follows the use
# of all slots: waits are long in a region that is much fuller than the others.
# Calm regions need not exchange requests, and none may be full.
MAX_RELATIVE_USE = 1.5
MIN_SLOT_USE = 0.4
MAX_SLOT_USE = 0.6
# Room that every region is assumed to have, as a share of its slots, so that
# requests from a region without servers always have a place.
MIN_ROOM = 0.02


@dataclass(frozen=True, kw_only=True, slots=True)
class RegionLoad:
    """Servers of one service in a region, and what the region asks for.

    :param slots: slots of the servers that are available.
    :param demand: slots that requests from the region use, in all regions.
    :param bound: slots of its servers that requests use which may not run
        everywhere; they are not part of the demand.
    """

    slots: float
    demand: float
    bound: float = 0.0

    def room(self, use: float) -> float:
        """Return the slots for other requests at a given use of the slots."""
        return max(0.0, use * self.slots - self.bound)


def wanted_shares(
    region: str,
    loads: Mapping[str, RegionLoad],
    *,
    max_local_share: float = 1.0,
) -> dict[str, float]:
    """Return the share of a region's requests that each region should serve.

    :param max_local_share: share that the region may serve itself.
    :returns: shares with the sum 1; empty if there are no slots.
    """
    slots = sum(load.slots for load in loads.values())
    if slots <= 0:
        return {}
    used = sum(load.demand + load.bound for load in loads.values())
    use = _max_use(used / slots)
    local_share = _local_share(use, loads.get(region), max_local_share)
    rooms = {
        name: max(load.room(use) - load.demand, MIN_ROOM * load.slots)
        for name, load in loads.items()
        if name != region and load.slots > 0
    }
    if not rooms:
        return {region: 1.0}
    room = sum(rooms.values())
    shares = {
        name: (1.0 - local_share) * part / room for name, part in rooms.items()
    }
    if local_share > 0:
        shares[region] = local_share
    return shares


def moved_share(
    before: Mapping[str, float], after: Mapping[str, float]
) -> float:
    """Return the share of requests that change their region."""
    return sum(
        max(0.0, share - before.get(region, 0.0))
        for region, share in after.items()
    )


def _max_use(mean_use: float) -> float:
    """Return the use of a region's slots up to which requests stay there."""
    relative = min(MAX_SLOT_USE, MAX_RELATIVE_USE * mean_use)
    return max(MIN_SLOT_USE, relative, mean_use)


def _local_share(
    use: float, load: RegionLoad | None, max_local_share: float
) -> float:
    if load is None or load.slots <= 0:
        return 0.0
    if load.demand <= 0:
        return max_local_share
    return min(max_local_share, load.room(use) / load.demand)
