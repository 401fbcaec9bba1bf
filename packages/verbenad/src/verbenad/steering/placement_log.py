"""Log lines and gauges of what the choice of servers is based on."""

from collections.abc import Callable

import logbook

from verbenad.metrics import Metrics
from verbenad.steering.region_share_log import RegionShareLog
from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.placement import Placement
from verbenaworks.steering.server_capacity import ServerCapacity
from verbenaworks.steering.server_table import ServerTable

# Smaller changes of a learned capacity, as a share, have no line of their own.
MIN_LOGGED_CHANGE = 0.2

_log = logbook.Logger("verbenad.placement")


class PlacementLog:
    """Shows region shares, and capacities that differ from configured ones."""

    def __init__(
        self,
        *,
        placement: Placement,
        table: ServerTable,
        metrics: Metrics,
        now_s: Callable[[], float],
    ) -> None:
        self._placement = placement
        self._table = table
        self._now_s = now_s
        self._shares = RegionShareLog()
        self._logged: dict[tuple[str, int], ServerCapacity] = {}
        metrics.gauges_source(
            "verbenad_server_usable_slots",
            "Learned usable slots of servers that differ from the others.",
            "server",
            lambda: {
                server.server_id: capacity.usable_slots
                for server, capacity in self._differing().items()
            },
        )
        metrics.gauges_source(
            "verbenad_server_configured_slots",
            "Configured slots of the servers with learned ones.",
            "server",
            lambda: {s.server_id: float(s.slots) for s in self._differing()},
        )
        metrics.gauges_source(
            "verbenad_server_time_factor",
            "Learned time per request of these servers; 1 is usual.",
            "server",
            lambda: {
                server.server_id: capacity.time_factor
                for server, capacity in self._differing().items()
            },
        )

    def record(self) -> None:
        """Log what has changed since the last call."""
        self._shares.record(self._placement.region_shares())
        differing = self._differing()
        known = {server.incarnation for server in differing}
        for incarnation in [i for i in self._logged if i not in known]:
            del self._logged[incarnation]
            _log.info(
                "capacity of a backend server is the configured one",
                extra={"server": incarnation[0]},
            )
        for server, capacity in differing.items():
            if self._is_logged(server, capacity):
                continue
            self._logged[server.incarnation] = capacity
            _log.info(
                "capacity of a backend server learned",
                extra={
                    "server": server.server_id,
                    "slots": server.slots,
                    "usable_slots": round(capacity.usable_slots, 1),
                    "time_factor": round(capacity.time_factor, 2),
                    "samples": capacity.samples,
                },
            )

    def _is_logged(
        self, server: BackendServer, capacity: ServerCapacity
    ) -> bool:
        logged = self._logged.get(server.incarnation)
        return logged is not None and all(
            abs(new - old) <= MIN_LOGGED_CHANGE * old
            for new, old in (
                (capacity.usable_slots, logged.usable_slots),
                (capacity.time_factor, logged.time_factor),
            )
        )

    def _differing(self) -> dict[BackendServer, ServerCapacity]:
        return self._placement.capacities.that_differ(
            self._now_s(), self._table.servers
        )
