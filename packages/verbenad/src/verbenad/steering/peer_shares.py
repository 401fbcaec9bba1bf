"""Shares of requests that the region's other instances use."""

from collections.abc import Mapping

from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.region_splits import Shares
from verbenaworks.steering.report_summary import unpack_shares
from verbenaworks.steering.server_table import ServerTable

# Only every sixth report or so has shares.
VALID_S = 8.0


class PeerShares:
    """Shares in the last complete reports.

    :param region: region of this instance; others have shares of their own.
    """

    def __init__(self, region: str, table: ServerTable) -> None:
        self._region = region
        self._table = table
        self._by_name: dict[str, tuple[float, Shares]] = {}

    def record(
        self,
        now_s: float,
        peer: InstanceRecord,
        packed: Mapping[int, Mapping[int, int]],
    ) -> None:
        """Record the shares in another instance's report."""
        if not packed or peer.region != self._region:
            return
        shares = unpack_shares(
            packed,
            services=self._table.usable_by_service,
            regions=self._table.regions,
        )
        self._by_name[peer.name] = (now_s, shares)

    def recent(self, now_s: float) -> list[Shares]:
        """Return the shares that are recent enough to be used."""
        oldest_s = now_s - VALID_S
        for name, (at_s, _) in list(self._by_name.items()):
            if at_s < oldest_s:
                del self._by_name[name]
        return [shares for _, shares in self._by_name.values()]
