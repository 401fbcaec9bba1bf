"""Capacities of all backend servers as one instance knows them."""

import copy
from collections.abc import Iterable
from statistics import median

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.capacity_estimate import (
    MIN_SAMPLES,
    CapacityEstimate,
)
from verbenaworks.steering.peer_capacities import (
    PackedCapacity,
    PeerCapacities,
    pack_capacity,
)
from verbenaworks.steering.peer_report import PeerReport
from verbenaworks.steering.report_summary import incarnation_hash
from verbenaworks.steering.server_capacity import ServerCapacity

# The level of a service is known from this many of its servers.
MIN_LEVEL_SERVERS = 4
# Capacities and levels are derived anew after this time.
REFRESH_S = 0.25
# Added to times before they are compared, so that differences that are no
# longer than a detour through the network do not count as speed.
TIME_MARGIN_S = 0.010


class LearnedCapacities:
    """Learns from responses and adopts what peers report.

    :param region: region of this instance. Times at servers of other regions
        contain the way there; their capacities come from instances there.
    :param is_enabled: whether to use anything but the configured values.
    """

    def __init__(self, *, region: str, is_enabled: bool = True) -> None:
        self._region = region
        self._is_enabled = is_enabled
        self._estimates: dict[tuple[str, int], CapacityEstimate] = {}
        self._services: dict[str, set[tuple[str, int]]] = {}
        self._levels: dict[str, tuple[float, float | None]] = {}
        self._peers = PeerCapacities()
        self._current: dict[tuple[str, int], tuple[float, ServerCapacity]] = {}

    def __deepcopy__(self, memo: dict[int, object]) -> "LearnedCapacities":
        # A decision derives capacities, but learns nothing.
        copied = copy.copy(self)
        copied._current = dict(self._current)
        memo[id(self)] = copied
        return copied

    def capacity(self, now_s: float, server: BackendServer) -> ServerCapacity:
        """Return the capacity to count with."""
        known = self._current.get(server.incarnation)
        if known is not None and 0.0 <= now_s - known[0] < REFRESH_S:
            return known[1]
        capacity = self._derive(now_s, server)
        self._current[server.incarnation] = (now_s, capacity)
        return capacity

    def observe(
        self,
        now_s: float,
        server: BackendServer,
        *,
        load: float,
        took_s: float,
        usual_s: float,
    ) -> None:
        """Record a response.

        :param load: requests that ran or waited at the server, this one
            included.
        :param took_s: time at the server, without a slow spell.
        :param usual_s: usual time of such a request in the service.
        """
        if not self._is_enabled or server.region != self._region:
            return
        estimate = self._estimates.get(server.incarnation)
        if estimate is None:
            estimate = CapacityEstimate(server.slots)
            self._estimates[server.incarnation] = estimate
            self._services.setdefault(server.service, set()).add(
                server.incarnation
            )
        estimate.observe(
            now_s,
            load,
            (took_s + TIME_MARGIN_S) / (usual_s + TIME_MARGIN_S),
            self._level(now_s, server.service),
        )

    def record(self, now_s: float, report: PeerReport) -> None:
        """Record the capacities in a peer's report."""
        if self._is_enabled and report.capacity:
            self._peers.record(now_s, report.beat.name, report.capacity)

    def packed(
        self, now_s: float, servers: Iterable[BackendServer]
    ) -> dict[int, PackedCapacity]:
        """Return what this instance has learned itself, for a report.

        Values of peers are not passed on: they would circulate for ever.
        """
        packed = {}
        for server in servers:
            own = self._own(now_s, server)
            if own is not None and own.differs(server.slots):
                packed[incarnation_hash(server)] = pack_capacity(own)
        return packed

    def that_differ(
        self, now_s: float, servers: Iterable[BackendServer]
    ) -> dict[BackendServer, ServerCapacity]:
        """Return the capacities that differ from the configured ones."""
        capacities = {
            server: self.capacity(now_s, server) for server in servers
        }
        return {
            server: capacity
            for server, capacity in capacities.items()
            if capacity.differs(server.slots)
        }

    def forget_removed(self, servers: Iterable[BackendServer]) -> None:
        """Delete what is known of incarnations that no longer exist."""
        servers = list(servers)
        existing = {server.incarnation for server in servers}
        self._estimates = {
            key: estimate
            for key, estimate in self._estimates.items()
            if key in existing
        }
        self._current.clear()
        for incarnations in self._services.values():
            incarnations &= existing
        self._peers.forget({incarnation_hash(server) for server in servers})

    def _derive(self, now_s: float, server: BackendServer) -> ServerCapacity:
        configured = ServerCapacity(usable_slots=float(server.slots))
        if not self._is_enabled:
            return configured
        estimate = self._estimates.get(server.incarnation)
        own = configured if estimate is None else estimate.capacity(now_s)
        reported = self._peers.capacity(
            now_s, incarnation_hash(server), server.slots
        )
        if reported is None:
            return own
        # Samples below a limit say nothing about it, however many there are.
        is_own_limit = own.usable_slots < server.slots or (
            estimate is not None
            and estimate.contradicts(now_s, reported.usable_slots)
        )
        is_own_time = own.samples >= MIN_SAMPLES
        return ServerCapacity(
            usable_slots=(own if is_own_limit else reported).usable_slots,
            time_factor=(own if is_own_time else reported).time_factor,
            samples=max(own.samples, reported.samples),
        )

    def _own(
        self, now_s: float, server: BackendServer
    ) -> ServerCapacity | None:
        """Return the capacity from own samples; none if there are few."""
        estimate = self._estimates.get(server.incarnation)
        if estimate is None or estimate.count(now_s) < MIN_SAMPLES:
            return None
        return estimate.capacity(now_s)

    def _level(self, now_s: float, service: str) -> float | None:
        """Return the typical ratio of observed to usual times, if known.

        A change that concerns all servers of a service is none of their
        speeds.
        """
        known = self._levels.get(service)
        if known is not None and 0.0 <= now_s - known[0] < REFRESH_S:
            return known[1]
        ratios = [
            ratio
            for incarnation in self._services.get(service, ())
            if (ratio := self._estimates[incarnation].typical_ratio(now_s))
        ]
        level = median(ratios) if len(ratios) >= MIN_LEVEL_SERVERS else None
        self._levels[service] = (now_s, level)
        return level
