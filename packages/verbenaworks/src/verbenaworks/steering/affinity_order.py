"""Order in which regions and their servers are preferred for an object.

An object is the data that requests with one affinity key on one route concern.
All instances of a region send the requests for an object to the same server,
its home, which keeps the data cached. The shares of the regions determine how
many objects have their homes in each of them. When the shares change, only as
many objects move as the change requires.
"""

import heapq
import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.rendezvous import rendezvous_weight
from verbenaworks.steering.server_table import ServerTable

# Servers of each region that are kept of an object's order.
KEPT_SERVERS = 8
MAX_CACHED_ORDERS = 4096
# Share of a region that gets no requests, so that it is the last choice.
MIN_SHARE = 1e-6
# Values of the eight bytes of a rendezvous weight.
WEIGHT_RANGE = 2**64

# Whether a server is near, its weight, its id and the server itself.
_Weighted = tuple[bool, bytes, str, BackendServer]


@dataclass(frozen=True, kw_only=True, slots=True)
class ObjectKey:
    """Identifies an object, and where its requests may run.

    :param route: name of the route; equal affinity keys on two routes belong
        to different objects.
    :param home_regions: regions in which its requests may run; empty for all.
    :param is_large: whether its requests have large bodies, which stay in the
        failure domain.
    """

    service: str
    route: str
    affinity_key: str
    home_regions: frozenset[str]
    is_large: bool

    @property
    def text(self) -> str:
        """Text that identifies the object."""
        return f"{self.route}\0{self.affinity_key}"


@dataclass(frozen=True, kw_only=True, slots=True)
class _Order:
    """Regions and first servers of an object.

    :ivar distances: distance of the object from each region; divided by the
        region's share, the least one is the object's home.
    """

    distances: dict[str, float]
    servers: dict[str, tuple[BackendServer, ...]] = field(default_factory=dict)


class AffinityOrder:
    """Orders of servers as one instance sees them.

    :param failure_domain: failure domain of the instance.
    """

    def __init__(self, *, failure_domain: str, table: ServerTable) -> None:
        self._failure_domain = failure_domain
        self._table = table
        self._table_version = -1
        self._orders: dict[ObjectKey, _Order] = {}

    def __deepcopy__(self, memo: dict[int, object]) -> "AffinityOrder":
        # Orders are only kept to save time.
        copied = AffinityOrder(
            failure_domain=self._failure_domain, table=self._table
        )
        memo[id(self)] = copied
        return copied

    def regions(
        self, key: ObjectKey, shares: Mapping[str, float]
    ) -> list[str]:
        """Return the regions in which the object's requests may run.

        :param shares: share of the requests by region.
        :returns: the home region first.
        """
        distances = self._order(key).distances
        return sorted(
            distances,
            key=lambda region: (
                distances[region] / max(shares.get(region, 0.0), MIN_SHARE)
            ),
        )

    def servers(
        self, key: ObjectKey, region: str
    ) -> tuple[BackendServer, ...]:
        """Return a region's preferred servers for an object."""
        order = self._order(key)
        servers = order.servers.get(region)
        if servers is None:
            servers = self._first_servers(key, region)
            order.servers[region] = servers
        return servers

    def _order(self, key: ObjectKey) -> _Order:
        if self._table_version != self._table.version:
            self._table_version = self._table.version
            self._orders.clear()
        order = self._orders.get(key)
        if order is None:
            if len(self._orders) >= MAX_CACHED_ORDERS:
                self._orders.clear()
            order = self._orders[key] = self._make_order(key)
        return order

    def _make_order(self, key: ObjectKey) -> _Order:
        regions = self._table.usable_by_region(key.service)
        return _Order(
            distances={
                region: _distance(key, region)
                for region in regions
                if not key.home_regions or region in key.home_regions
            }
        )

    def _first_servers(
        self, key: ObjectKey, region: str
    ) -> tuple[BackendServer, ...]:
        weighted: list[_Weighted] = []
        servers = self._table.usable_by_region(key.service)
        for server in servers.get(region, ()):
            weight = rendezvous_weight(key.text, server.server_id)
            is_near = (
                key.is_large and server.failure_domain == self._failure_domain
            )
            weighted.append((is_near, weight, server.server_id, server))
        first = heapq.nlargest(
            KEPT_SERVERS, weighted, key=lambda item: item[:3]
        )
        return tuple(server for *_, server in first)


def _distance(key: ObjectKey, region: str) -> float:
    weight = int.from_bytes(rendezvous_weight(key.text, f"region {region}"))
    return -math.log((weight + 1) / (WEIGHT_RANGE + 1))
