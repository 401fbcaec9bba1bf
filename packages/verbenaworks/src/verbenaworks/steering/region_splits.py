"""Shares of all services' requests that run in each region.

The instances report their requests in flight to one another. Each one derives
the shares of its region from these reports, and moves its own shares towards
those of the region's other instances.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from verbenaworks.steering.region_balance import RegionLoad, wanted_shares
from verbenaworks.steering.region_split import RegionSplit

# Time constant of the moving average of the demand.
DEMAND_TIME_CONSTANT_S = 4.0
# Use of the service's slots that is assumed before there is traffic, and the
# use from which on there is.
INITIAL_SLOT_USE = 0.5
MIN_TRAFFIC_USE = 0.05
# When a region loses servers, requests leave it at once if the others would be
# used more than this.
MAX_USE_AFTER_LOSS = 0.9

# Shares by region, of each service.
Shares = Mapping[str, Mapping[str, float]]


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceLoad:
    """Slots and demand of a service, by region.

    :param slots: slots of the available servers.
    :param demand: slots that the requests from a region use, in all regions.
    :param bound: slots in a region that requests use which may not run
        everywhere; they are not part of the demand.
    :param used: slots in a region that all requests use.
    :param max_local_share: share of its objects that the local region's
        servers can keep cached.
    """

    slots: Mapping[str, float]
    demand: Mapping[str, float]
    bound: Mapping[str, float]
    used: Mapping[str, float]
    max_local_share: float = 1.0


@dataclass(kw_only=True, slots=True)
class _ServiceState:
    split: RegionSplit
    slots: Mapping[str, float] = field(default_factory=dict)
    demand: dict[str, float] = field(default_factory=dict)
    bound: dict[str, float] = field(default_factory=dict)
    used: dict[str, float] = field(default_factory=dict)
    has_traffic: bool = False
    updated_s: float = float("-inf")


class RegionSplits:
    """Shares as one instance uses them.

    :param region: region of the instance.
    """

    def __init__(self, region: str) -> None:
        self._region = region
        self._services: dict[str, _ServiceState] = {}
        self._peers: tuple[Shares, ...] = ()
        self._bound_parts: Mapping[str, float] = {}

    def shares(self, service: str) -> Mapping[str, float]:
        """Return the share of a service's requests by region."""
        state = self._services.get(service)
        return state.split.shares if state else {}

    @property
    def settled_shares(self) -> dict[str, Mapping[str, float]]:
        """Return the shares by service that are more than a guess."""
        return {
            service: state.split.shares
            for service, state in self._services.items()
            if state.split.is_settled
        }

    def set_peers(self, peers: Iterable[Shares]) -> None:
        """Set the shares of the region's other instances."""
        self._peers = tuple(peers)

    def set_bound_parts(self, parts: Mapping[str, float]) -> None:
        """Set what part of the requests may run in one region only.

        It is used until requests show it.

        :param parts: parts by region.
        """
        self._bound_parts = parts

    def update(
        self,
        now_s: float,
        service: str,
        load: ServiceLoad,
        *,
        is_complete: bool,
    ) -> None:
        """Update the shares of a service; call it a few times a second.

        :param is_complete: whether the demand includes nearly all instances;
            otherwise the shares are kept.
        """
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _ServiceState(
                split=RegionSplit(self._region)
            )
        elapsed_s = max(0.0, now_s - state.updated_s)
        state.updated_s = now_s
        overloaded = _overloaded_parts(state, load.slots)
        state.slots = load.slots
        has_traffic = self._observe_demand(state, elapsed_s, load, is_complete)
        # The others may know of traffic that this instance does not see yet.
        state.split.align(
            elapsed_s, [p[service] for p in self._peers if p.get(service)]
        )
        if not has_traffic:
            return
        wanted = self._wanted(state, load)
        if overloaded:
            state.split.leave(overloaded, wanted)
        if is_complete:
            state.split.follow(elapsed_s, wanted)

    def _observe_demand(
        self,
        state: _ServiceState,
        elapsed_s: float,
        load: ServiceLoad,
        is_complete: bool,
    ) -> bool:
        """Average the demand; false while there is no traffic."""
        if not state.has_traffic:
            slots = sum(load.slots.values())
            self._guess_demand(state, load, INITIAL_SLOT_USE * slots)
            if not state.split.is_settled:
                state.split.guess(self._wanted(state, load))
            total = sum(load.demand.values()) + sum(load.bound.values())
            state.has_traffic = total >= MIN_TRAFFIC_USE * max(slots, 1.0)
            return state.has_traffic
        if is_complete:
            weight = 1.0 - math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)
            _average(state.demand, load.demand, weight)
            _average(state.bound, load.bound, weight)
            _average(state.used, load.used, weight)
        return True

    def _guess_demand(
        self, state: _ServiceState, load: ServiceLoad, used_slots: float
    ) -> None:
        """Assume that all regions ask for the same number of slots."""
        state.bound = {
            region: used_slots * self._bound_parts.get(region, 0.0)
            for region in load.slots
        }
        free = max(0.0, used_slots - sum(state.bound.values()))
        state.demand = dict.fromkeys(
            load.slots, free / max(1, len(load.slots))
        )

    def _wanted(
        self, state: _ServiceState, load: ServiceLoad
    ) -> dict[str, float]:
        loads = {
            region: RegionLoad(
                slots=load.slots.get(region, 0.0),
                demand=state.demand.get(region, 0.0),
                bound=state.bound.get(region, 0.0),
            )
            for region in {*load.slots, *state.demand}
        }
        return wanted_shares(
            self._region, loads, max_local_share=load.max_local_share
        )


def _average(
    averages: dict[str, float], values: Mapping[str, float], weight: float
) -> None:
    """Update moving averages; missing values are zero."""
    for region in {*averages, *values}:
        average = averages.get(region, 0.0)
        value = values.get(region, 0.0)
        averages[region] = average + weight * (value - average)


def _overloaded_parts(
    state: _ServiceState, slots: Mapping[str, float]
) -> dict[str, float]:
    """Return the parts of the requests for which lost slots would be needed.

    :param slots: slots of each region now.
    :returns: parts by region, without zeros.
    """
    parts = {}
    for region, before in state.slots.items():
        now = slots.get(region, 0.0)
        used = state.used.get(region, 0.0)
        if now < before and used > MAX_USE_AFTER_LOSS * now:
            parts[region] = 1.0 - max(
                now / before, MAX_USE_AFTER_LOSS * now / used
            )
    return parts
