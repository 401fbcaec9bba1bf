"""Slots and demand of each region, from the requests in flight."""

import math
from collections.abc import Callable, Iterable, Mapping

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.region_requests import RegionRequests
from verbenaworks.steering.region_splits import RegionSplits, ServiceLoad
from verbenaworks.steering.response_predictor import (
    COLD_START_SLOWDOWN,
    ResponsePredictor,
)
from verbenaworks.steering.server_limits import ServerLimits
from verbenaworks.steering.server_table import ServerTable
from verbenaworks.steering.service_times import ServiceTimes

# Use of a region's caches up to which objects stay in the region.
MAX_CACHE_USE = 0.6


class RegionDemand:
    """Derives the load of each region and updates the shares from it.

    :param region: region of this instance.
    :param recent_objects: returns how many objects of a service were
        requested recently.
    """

    def __init__(
        self,
        *,
        region: str,
        table: ServerTable,
        times: ServiceTimes,
        predictor: ResponsePredictor,
        recent_objects: Callable[[float, str], int],
        limits: ServerLimits,
        splits: RegionSplits,
    ) -> None:
        self._region = region
        self._table = table
        self._times = times
        self._predictor = predictor
        self._recent_objects = recent_objects
        self._limits = limits
        self._splits = splits

    def update(
        self,
        now_s: float,
        by_region: Mapping[str, RegionRequests],
        *,
        is_complete: bool,
    ) -> None:
        """Update the shares of all services.

        :param by_region: requests in flight by region of the sender.
        :param is_complete: whether nearly all instances have reported.
        """
        for service, servers in self._table.usable_by_service.items():
            # Requests whose data is not cached take longer. They are no
            # reason to serve an object elsewhere, where it is not cached too.
            cached_ratio = self._times.cached_ratio(service)
            load = ServiceLoad(
                slots=self._available_slots(now_s, service),
                demand={
                    region: cached_ratio * _count_free(requests, servers)
                    for region, requests in by_region.items()
                },
                bound=_scale(
                    cached_ratio,
                    _count_at(servers, [r.bound for r in by_region.values()]),
                ),
                used=_scale(
                    cached_ratio,
                    _count_at(
                        servers, [r.in_flight for r in by_region.values()]
                    ),
                ),
                max_local_share=self._cached_share(now_s, service),
            )
            self._splits.update(now_s, service, load, is_complete=is_complete)

    def _available_slots(self, now_s: float, service: str) -> dict[str, float]:
        by_region = self._table.usable_by_region(service)
        return {
            region: sum(self._slots(now_s, server) for server in servers)
            for region, servers in by_region.items()
        }

    def _slots(self, now_s: float, server: BackendServer) -> float:
        """Return the slots of a server that can be used now."""
        if self._predictor.load_of(server).is_down(now_s):
            return 0.0
        slots = self._predictor.relative_slots(now_s, server)
        if self._table.cold_left_s(now_s, server.server_id) > 0:
            slots /= COLD_START_SLOWDOWN
        limit_per_s = self._limits.limit_per_s(now_s, server)
        if limit_per_s is not None:
            used_s = self._times.latest_cached_s(server.service)
            slots = min(slots, limit_per_s * used_s)
        return slots

    def _cached_share(self, now_s: float, service: str) -> float:
        """Return the share of the objects that the region keeps cached."""
        max_objects = self._predictor.cache_capacity(service).max_objects
        local = self._table.usable_by_region(service).get(self._region, ())
        # Regions are assumed to have as many objects as this one.
        objects = self._recent_objects(now_s, service)
        if objects == 0 or math.isinf(max_objects):
            return 1.0
        return min(1.0, MAX_CACHE_USE * max_objects * len(local) / objects)


def _count_free(
    requests: RegionRequests, servers: Iterable[BackendServer]
) -> float:
    """Count a region's requests that may run everywhere."""
    return sum(
        requests.in_flight.get(server.server_id, 0.0)
        - requests.bound.get(server.server_id, 0.0)
        for server in servers
    )


def _count_at(
    servers: Iterable[BackendServer],
    counts: Iterable[Mapping[str, float]],
) -> dict[str, float]:
    """Add up numbers of requests by the region of the server."""
    counts = list(counts)
    total: dict[str, float] = {}
    for server in servers:
        count = sum(c.get(server.server_id, 0.0) for c in counts)
        total[server.region] = total.get(server.region, 0.0) + count
    return total


def _scale(factor: float, values: Mapping[str, float]) -> dict[str, float]:
    return {key: factor * value for key, value in values.items()}
