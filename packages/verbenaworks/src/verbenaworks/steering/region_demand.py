"""Share of a service's objects that a region's servers can serve.

A region with few servers cannot serve all of its requests, or cannot keep the
data of all their objects cached. The instances agree on the share of a
region's objects that are served in the region, from the demand that they
report to one another. The share changes slowly, so that few objects move.
"""

import math
from dataclasses import dataclass

# Time constant of the moving average of the demand.
DEMAND_TIME_CONSTANT_S = 4.0
# Use of the region's slots and caches up to which objects stay in the region.
MAX_SLOT_USE = 0.6
MAX_CACHE_USE = 0.6
# Use of the fleet's slots that is assumed before the demand is known.
INITIAL_SLOT_USE = 0.5
# Change of a share per second. A faster one would move many requests to other
# regions at once.
MAX_CHANGE_PER_S = 0.03
# An object is not cached at more servers than this on purpose.
MAX_COPIES = 8
# Part of a share by which it may differ from the wanted one.
TOLERANCE = 0.1


@dataclass(kw_only=True, slots=True)
class _ServiceDemand:
    updated_s: float
    share: float
    demand: float = 0.0
    copies: int = 1


class RegionDemand:
    """Demand of each region for each service."""

    def __init__(self) -> None:
        self._demands: dict[tuple[str, str], _ServiceDemand] = {}

    def update(
        self,
        now_s: float,
        region: str,
        service: str,
        *,
        demand: float,
        slots: int,
        slots_share: float,
        objects: int,
        cached_objects: float,
    ) -> None:
        """Record what a service's servers in the region have to serve.

        :param demand: slots that the region's requests use in all regions.
        :param slots: slots of the region's servers.
        :param slots_share: these slots as a multiple of the mean of all
            regions.
        :param objects: objects that the region's requests concern.
        :param cached_objects: objects that the region's servers keep cached.
        """
        state = self._demands.get((region, service))
        if state is None:
            share = MAX_SLOT_USE * slots_share / INITIAL_SLOT_USE
            state = self._demands[(region, service)] = _ServiceDemand(
                updated_s=now_s, share=min(1.0, share)
            )
        elapsed_s = now_s - state.updated_s
        state.updated_s = now_s
        new_share = 1.0 - math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)
        state.demand += new_share * (demand - state.demand)
        cache_share = MAX_CACHE_USE * cached_objects / max(objects, 1)
        state.copies = int(min(max(cache_share, 1.0), MAX_COPIES))
        wanted = min(
            1.0, MAX_SLOT_USE * slots / max(state.demand, 0.1), cache_share
        )
        if abs(wanted - state.share) > TOLERANCE * state.share:
            change = MAX_CHANGE_PER_S * elapsed_s
            state.share += max(-change, min(change, wanted - state.share))

    def local_copies(self, region: str, service: str) -> int:
        """Return at how many of its servers a region can cache an object."""
        state = self._demands.get((region, service))
        return state.copies if state else 1

    def local_share(self, region: str, service: str) -> float:
        """Return the share of its objects that a region serves itself."""
        state = self._demands.get((region, service))
        return state.share if state else 1.0

    def local_shares(self) -> dict[tuple[str, str], float]:
        """Return the shares of all regions and services."""
        return {key: state.share for key, state in self._demands.items()}
