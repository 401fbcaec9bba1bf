"""Servers that are compared for a request.

For an object these are the first ones of its order, and a few others that may
be free. Without an affinity key they are drawn at random, near ones first.
"""

from collections.abc import Callable, Mapping, Sequence
from random import Random

from verbenaworks.steering.affinity_order import AffinityOrder, ObjectKey
from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.placement_result import PlacementRequest
from verbenaworks.steering.recent_objects import RecentObjects
from verbenaworks.steering.region_demand import RegionDemand
from verbenaworks.steering.server_load import ServerLoad
from verbenaworks.steering.server_table import ServerTable
from verbenaworks.steering.service_times import ServiceTimes

# Servers of the order that are compared if the preferred ones are busy.
RANKED_CANDIDATES = 6
# Servers of the local region, or of the local failure domain for large bodies,
# that are compared if the request has no affinity key.
NEAR_CANDIDATES = 4
# Servers drawn at random in addition, so that free servers are found in a
# large service whose first choices are all busy.
RANDOM_CANDIDATES = 2
# Bodies of at least this size use a separate server order in each domain.
LARGE_BODY_BYTES = 16_384


class CandidateServers:
    """Candidates as one instance sees them.

    :param region: region of the instance.
    :param failure_domain: failure domain of the instance.
    :param load_of: returns the load and health of a server.
    :param cached_objects: returns how many objects a server of a service
        keeps cached; infinite if its cache is not known to be too small.
    """

    def __init__(
        self,
        *,
        region: str,
        failure_domain: str,
        table: ServerTable,
        times: ServiceTimes,
        load_of: Callable[[BackendServer], ServerLoad],
        cached_objects: Callable[[str], float],
        random: Random,
    ) -> None:
        self._region = region
        self._failure_domain = failure_domain
        self._table = table
        self._times = times
        self._load_of = load_of
        self._cached_objects = cached_objects
        self._random = random
        self._order = AffinityOrder(
            region=region, failure_domain=failure_domain, table=table
        )
        self._demand = RegionDemand()
        self._recent_objects: dict[str, RecentObjects] = {}

    def candidates(
        self, now_s: float, request: PlacementRequest
    ) -> list[tuple[int | None, BackendServer]]:
        """Return the servers to compare, each with its rank in the order.

        The rank is none if the request has no affinity key.
        """
        if not request.affinity_key:
            sampled = self._sample(request, self._available(now_s, request))
            return [(None, server) for server in sampled]
        key = object_key(request)
        recent = self._recent_objects.setdefault(
            request.service, RecentObjects()
        )
        recent.add(now_s, key.text)
        order = self._order.servers(
            key,
            local_share=self._demand.local_share(
                self._region, request.service
            ),
            local_copies=self._demand.local_copies(
                self._region, request.service
            ),
            full_regions=self._full_regions(request.service),
        )
        ranked = [s for s in order if self._is_available(now_s, request, s)]
        if not ranked:
            # The preferred servers are down. All others have the last rank.
            available = self._available(now_s, request)
            drawn = self._draw(available, RANKED_CANDIDATES)
            return [(RANKED_CANDIDATES, server) for server in drawn]
        candidates: list[tuple[int | None, BackendServer]] = []
        candidates += enumerate(ranked[:RANKED_CANDIDATES])
        drawn = self._draw(
            self._table.usable(request.service), RANDOM_CANDIDATES
        )
        for server in drawn:
            if server not in ranked and self._is_available(
                now_s, request, server
            ):
                candidates.append((RANKED_CANDIDATES, server))
        return candidates

    def _is_available(
        self, now_s: float, request: PlacementRequest, server: BackendServer
    ) -> bool:
        """Whether a server may get the request and is not known to be down."""
        return _is_allowed(request, server) and not self._load_of(
            server
        ).is_down(now_s)

    def _available(
        self, now_s: float, request: PlacementRequest
    ) -> list[BackendServer]:
        """Return all servers that may get the request."""
        allowed = [
            server
            for server in self._table.usable(request.service)
            if _is_allowed(request, server)
        ]
        up = [s for s in allowed if not self._load_of(s).is_down(now_s)]
        # If all are down, they are tried anyway: a failed connection attempt
        # costs little, and the next one may succeed.
        return up or allowed

    def _sample(
        self, request: PlacementRequest, usable: list[BackendServer]
    ) -> list[BackendServer]:
        """Return random servers for a request without an affinity key."""
        if request.body_bytes >= LARGE_BODY_BYTES:
            near = [
                s for s in usable if s.failure_domain == self._failure_domain
            ]
        else:
            near = [s for s in usable if s.region == self._region]
        return self._draw(near, NEAR_CANDIDATES) + self._draw(
            usable, RANKED_CANDIDATES - NEAR_CANDIDATES
        )

    def _draw(
        self, servers: Sequence[BackendServer], count: int
    ) -> list[BackendServer]:
        return self._random.sample(servers, min(count, len(servers)))

    def set_region_requests(
        self, now_s: float, by_region: Mapping[str, Mapping[str, float]]
    ) -> None:
        """Set the requests in flight that the instances of regions have sent.

        :param by_region: number of requests by region of the sender and
            server id, those of this instance included.
        """
        for service, servers in self._table.usable_by_service.items():
            recent = self._recent_objects.get(service)
            # Requests whose data is not cached take longer. They are no
            # reason to serve an object elsewhere, where it is not cached too.
            cached_ratio = self._times.cached_ratio(service)
            cached_objects = self._cached_objects(service)
            regions = {server.region for server in servers}
            mean_slots = sum(s.slots for s in servers) / len(regions)
            for region in sorted(regions):
                by_server = by_region.get(region, {})
                local = [s for s in servers if s.region == region]
                slots = sum(server.slots for server in local)
                self._demand.update(
                    now_s,
                    region,
                    service,
                    demand=cached_ratio
                    * sum(by_server.get(s.server_id, 0.0) for s in servers),
                    slots=slots,
                    slots_share=slots / mean_slots,
                    # Regions are assumed to have as many objects as this one.
                    objects=recent.count(now_s) if recent else 0,
                    cached_objects=len(local) * cached_objects,
                )

    def local_shares(self) -> dict[tuple[str, str], float]:
        """Return the shares of objects that regions serve themselves."""
        return self._demand.local_shares()

    def _full_regions(self, service: str) -> frozenset[str]:
        """Return the regions that cannot serve all of their own objects."""
        regions = {s.region for s in self._table.usable(service)}
        return frozenset(
            region
            for region in regions
            if self._demand.local_share(region, service) < 1.0
        )


def _is_allowed(request: PlacementRequest, server: BackendServer) -> bool:
    """Whether the request may run on a server and was not sent to it yet."""
    home_regions = request.home_regions
    return server.server_id not in request.tried_servers and (
        not home_regions or server.region in home_regions
    )


def object_key(request: PlacementRequest) -> ObjectKey:
    """Return the object that a request concerns."""
    return ObjectKey(
        service=request.service,
        route=request.route.name,
        affinity_key=request.affinity_key,
        home_regions=request.home_regions,
        is_large=request.body_bytes >= LARGE_BODY_BYTES,
    )
