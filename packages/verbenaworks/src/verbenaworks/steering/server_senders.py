"""Which instances may send requests to a server that takes only a few.

The instances share such a server's rate without messages: a few of them,
found by rendezvous hashing over the registered ones, get an equal part each.
They are in the server's region, if there are any: its requests come from
there.
"""

import copy
from collections.abc import Mapping

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.rendezvous import first_by_rendezvous


class ServerSenders:
    """Senders as one instance sees them.

    :param instance: name of this instance.
    :param region: its region.
    """

    def __init__(self, instance: str, region: str) -> None:
        self._instance = instance
        self._region = region
        self._regions: dict[str, str] = {instance: region}
        self._orders: dict[tuple[str, str], tuple[str, ...]] = {}

    def __deepcopy__(self, memo: dict[int, object]) -> "ServerSenders":
        copied = copy.copy(self)
        copied._orders = dict(self._orders)
        memo[id(self)] = copied
        return copied

    def set_instances(
        self, regions: Mapping[str, str], *, is_sender: bool = True
    ) -> None:
        """Replace the instances that share the requests.

        :param regions: regions of the instances by name.
        :param is_sender: whether this instance is one of them.
        """
        members = dict(regions)
        members.pop(self._instance, None)
        if is_sender:
            members[self._instance] = self._region
        if members != self._regions:
            self._regions = members
            self._orders.clear()

    @property
    def is_alone(self) -> bool:
        """Whether there is no other instance."""
        return all(name == self._instance for name in self._regions)

    def count(self, server: BackendServer, most: int) -> int:
        """Return how many instances share a server, at least one."""
        return max(1, min(most, len(self._order(server))))

    def is_sender(self, server: BackendServer, most: int) -> bool:
        """Whether this instance is one of a server's senders.

        :param most: number of senders, if there are so many instances.
        """
        return self._instance in self._order(server)[:most]

    def _order(self, server: BackendServer) -> tuple[str, ...]:
        key = (server.server_id, server.region)
        order = self._orders.get(key)
        if order is None:
            names = [
                name
                for name, region in self._regions.items()
                if region == server.region
            ] or list(self._regions)
            order = first_by_rendezvous(
                server.server_id, sorted(names), len(names)
            )
            self._orders[key] = order
        return order
