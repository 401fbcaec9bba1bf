"""Order in which the servers of a service are preferred for an object.

An object is the data that requests with one affinity key on one route concern.
All instances of a region send the requests for an object to the same server,
its home, which keeps the data cached. The home is in the local region, so that
requests do not cross regions, unless the region has too few servers: then the
homes of some objects are elsewhere, always the same ones.
"""

import heapq
from dataclasses import dataclass

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.rendezvous import rendezvous_weight
from verbenaworks.steering.server_table import ServerTable

# Servers that are kept of an object's order, from each side.
KEPT_SERVERS = 8
# Servers of other regions that follow the copies in the local region.
REMOTE_COPIES = 1
MAX_CACHED_ORDERS = 4096
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
    """First servers of an object in and outside the local region.

    :ivar position: position of the object among all objects, from 0 to 1.
    """

    local: tuple[BackendServer, ...]
    remote: tuple[BackendServer, ...]
    position: float


class AffinityOrder:
    """Orders of servers as one instance sees them.

    :param region: region of the instance.
    :param failure_domain: failure domain of the instance.
    """

    def __init__(
        self, *, region: str, failure_domain: str, table: ServerTable
    ) -> None:
        self._region = region
        self._failure_domain = failure_domain
        self._table = table
        self._table_version = -1
        self._orders: dict[ObjectKey, _Order] = {}

    def servers(
        self,
        key: ObjectKey,
        *,
        local_share: float,
        local_copies: int,
        full_regions: frozenset[str],
    ) -> list[BackendServer]:
        """Return the preferred servers of an object, its home first.

        :param local_share: share of the objects whose homes are in the local
            region.
        :param local_copies: servers of the region that can keep an object
            cached. More than these would displace other objects, so a server
            of another region follows.
        :param full_regions: regions that cannot serve all of their own
            objects.
        """
        order = self._order(key)
        local = order.local
        remote = [s for s in order.remote if s.region not in full_regions]
        remote = remote or list(order.remote)
        if not key.is_large and order.position >= local_share:
            return [*remote, *local]
        return [
            *local[:local_copies],
            *remote[:REMOTE_COPIES],
            *local[local_copies:],
            *remote[REMOTE_COPIES:],
        ]

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
        local: list[_Weighted] = []
        remote: list[_Weighted] = []
        for server in self._table.usable(key.service):
            if key.home_regions and server.region not in key.home_regions:
                continue
            side = local if server.region == self._region else remote
            weight = rendezvous_weight(key.text, server.server_id)
            is_near = (
                key.is_large and server.failure_domain == self._failure_domain
            )
            side.append((is_near, weight, server.server_id, server))
        position = int.from_bytes(rendezvous_weight(key.text, ""))
        return _Order(
            local=_first_servers(local),
            remote=_first_servers(remote),
            position=position / WEIGHT_RANGE,
        )


def _first_servers(
    weighted: list[_Weighted],
) -> tuple[BackendServer, ...]:
    first = heapq.nlargest(KEPT_SERVERS, weighted, key=lambda item: item[:3])
    return tuple(server for *_, server in first)
