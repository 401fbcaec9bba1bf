"""Regions and servers that are compared for a request.

For an object these are its home region and the first servers of its order
there, and a few others that may be free. Without an affinity key they are
drawn at random, by the shares of the regions.
"""

from collections.abc import Callable, Mapping, Sequence
from random import Random

from verbenaworks.steering.affinity_order import AffinityOrder, ObjectKey
from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.placement_result import PlacementRequest
from verbenaworks.steering.recent_objects import RecentObjects
from verbenaworks.steering.server_load import ServerLoad
from verbenaworks.steering.server_table import ServerTable

# Servers of the order that are compared if the preferred ones are busy.
RANKED_CANDIDATES = 6
# Servers of the failure domain that are compared for large bodies if the
# request has no affinity key.
NEAR_CANDIDATES = 4
# Servers drawn at random in addition, so that free servers are found in a
# large service whose first choices are all busy.
RANDOM_CANDIDATES = 2
# Bodies of at least this size use a separate server order in each domain.
LARGE_BODY_BYTES = 16_384

# A server with its rank in the object's order; none without an affinity key.
Candidate = tuple[int | None, BackendServer]


class CandidateServers:
    """Candidates as one instance sees them.

    :param failure_domain: failure domain of the instance.
    :param load_of: returns the load and health of a server.
    :param shares_of: returns the share of a service's requests by region.
    """

    def __init__(
        self,
        *,
        failure_domain: str,
        table: ServerTable,
        load_of: Callable[[BackendServer], ServerLoad],
        shares_of: Callable[[float, str], Mapping[str, float]],
        random: Random,
    ) -> None:
        self._failure_domain = failure_domain
        self._table = table
        self._load_of = load_of
        self._shares_of = shares_of
        self._random = random
        self._order = AffinityOrder(failure_domain=failure_domain, table=table)
        self._recent_objects: dict[str, RecentObjects] = {}

    def regions(self, now_s: float, request: PlacementRequest) -> list[str]:
        """Return the regions where a request may run, its own first."""
        shares = self._shares_of(now_s, request.service)
        if not request.affinity_key:
            return self._draw_regions(request, shares)
        key = object_key(request)
        recent = self._recent_objects.setdefault(
            request.service, RecentObjects()
        )
        recent.add(now_s, key.text)
        return self._order.regions(key, shares)

    def in_region(
        self, now_s: float, request: PlacementRequest, region: str
    ) -> list[Candidate]:
        """Return the servers of a region to compare, preferred ones first.

        Servers that the request was sent to, or that are down, are left out.
        """
        if not request.affinity_key:
            available = self._available(now_s, request, region)
            sampled = self._sample(request, available)
            return [(None, server) for server in sampled]
        order = self._order.servers(object_key(request), region)
        ranked = [s for s in order if self._is_available(now_s, request, s)]
        candidates: list[Candidate] = []
        candidates += enumerate(ranked[:RANKED_CANDIDATES])
        if len(order) < len(self._usable(request.service, region)):
            others = self._available(now_s, request, region)
            for server in self._draw(others, RANDOM_CANDIDATES):
                if server not in ranked:
                    candidates.append((RANKED_CANDIDATES, server))
        return candidates

    def that_are_down(self, request: PlacementRequest) -> list[Candidate]:
        """Return servers of all regions, down or not, for a last attempt.

        A failed connection attempt costs little, and the next one may succeed.
        """
        allowed = [
            server
            for server in self._table.usable(request.service)
            if _is_allowed(request, server)
        ]
        drawn = self._draw(allowed, RANKED_CANDIDATES)
        rank = RANKED_CANDIDATES if request.affinity_key else None
        return [(rank, server) for server in drawn]

    def count_recent_objects(self, now_s: float, service: str) -> int:
        """Return the number of objects that were requested recently."""
        recent = self._recent_objects.get(service)
        return recent.count(now_s) if recent else 0

    def _draw_regions(
        self, request: PlacementRequest, shares: Mapping[str, float]
    ) -> list[str]:
        names = [
            name
            for name in self._table.usable_by_region(request.service)
            if not request.home_regions or name in request.home_regions
        ]
        names.sort(key=lambda name: shares.get(name, 0.0), reverse=True)
        weights = [shares.get(name, 0.0) for name in names]
        if len(names) < 2 or not any(weights):
            return names
        drawn = self._random.choices(names, weights)[0]
        return [drawn, *(name for name in names if name != drawn)]

    def _usable(self, service: str, region: str) -> Sequence[BackendServer]:
        return self._table.usable_by_region(service).get(region, ())

    def _available(
        self, now_s: float, request: PlacementRequest, region: str
    ) -> list[BackendServer]:
        return [
            server
            for server in self._usable(request.service, region)
            if self._is_available(now_s, request, server)
        ]

    def _is_available(
        self, now_s: float, request: PlacementRequest, server: BackendServer
    ) -> bool:
        """Whether a server may get the request and is not known to be down."""
        return _is_allowed(request, server) and not self._load_of(
            server
        ).is_down(now_s)

    def _sample(
        self, request: PlacementRequest, available: list[BackendServer]
    ) -> list[BackendServer]:
        """Return random servers for a request without an affinity key."""
        if request.body_bytes < LARGE_BODY_BYTES:
            return self._draw(available, RANKED_CANDIDATES)
        near = [
            s for s in available if s.failure_domain == self._failure_domain
        ]
        drawn = self._draw(near, NEAR_CANDIDATES)
        others = [s for s in available if s not in drawn]
        return drawn + self._draw(others, RANKED_CANDIDATES - len(drawn))

    def _draw(
        self, servers: Sequence[BackendServer], count: int
    ) -> list[BackendServer]:
        return self._random.sample(servers, min(count, len(servers)))


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
