"""Servers that need a request although no object asks for them."""

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.cold_start_limiter import ColdStartLimiter
from verbenaworks.steering.server_admission import ServerAdmission
from verbenaworks.steering.server_limits import ServerLimits
from verbenaworks.steering.server_table import ServerTable


class ServerIntroductions:
    """Chooses servers that joined, and those whose limit is not known well.

    A server that joined may be the first choice of no affinity key; without a
    request, its load and health would stay unknown. Each instance that may use
    a cold server sends it one request. A limited server must get a request now
    and then that shows whether its limit still holds.
    """

    def __init__(
        self,
        *,
        table: ServerTable,
        admission: ServerAdmission,
        cold_start_limiter: ColdStartLimiter,
        limits: ServerLimits,
    ) -> None:
        self._table = table
        self._admission = admission
        self._cold_start_limiter = cold_start_limiter
        self._limits = limits
        self._serving_since_s: float | None = None
        # Server incarnations that need no first request from this instance.
        self._introduced: set[tuple[str, int]] = set()
        # Table version at which all servers of a service were introduced.
        self._all_introduced_version: dict[str, int] = {}

    def record_request(self, now_s: float) -> None:
        """Record that this instance serves requests."""
        if self._serving_since_s is None:
            self._serving_since_s = now_s

    def choose(
        self,
        now_s: float,
        service: str,
        region: str,
        cold_requests_per_s: float,
        *,
        is_overloaded: bool,
    ) -> BackendServer | None:
        """Return a server of the region that needs a request, if there is one.

        Requests that run in other regions are no reason to leave them.

        :param is_overloaded: whether requests are refused. Then servers that
            joined get theirs through the load; a limit is still renewed,
            because its end is what the overload waits for.
        """
        joined = None
        if not is_overloaded:
            joined = self._joined(now_s, service, region, cold_requests_per_s)
        return joined or self._limited(
            now_s, service, region, cold_requests_per_s
        )

    def _joined(
        self,
        now_s: float,
        service: str,
        region: str,
        cold_requests_per_s: float,
    ) -> BackendServer | None:
        version = self._table.version
        if self._all_introduced_version.get(service) == version:
            return None
        is_one_left = False
        for server in self._table.usable(service):
            key = server.incarnation
            if key in self._introduced:
                continue
            if not self._needs_introduction(now_s, server):
                self._introduced.add(key)
                continue
            is_one_left = True
            if server.region != region or self._admission.refusal(
                now_s, server, cold_requests_per_s
            ):
                continue
            self._introduced.add(key)
            return server
        if not is_one_left:
            self._all_introduced_version[service] = version
        return None

    def _needs_introduction(self, now_s: float, server: BackendServer) -> bool:
        # Servers that were there before get requests through the affinity
        # keys.
        joined_at_s = self._table.joined_at_s(server.server_id)
        return joined_at_s > (
            self._serving_since_s or now_s
        ) and self._cold_start_limiter.is_sender(server)

    def _limited(
        self,
        now_s: float,
        service: str,
        region: str,
        cold_requests_per_s: float,
    ) -> BackendServer | None:
        if not self._limits.has_limits:
            return None
        servers = self._table.usable_by_region(service).get(region, ())
        for server in servers:
            if self._limits.needs_refresh(
                now_s, server
            ) and not self._admission.refusal(
                now_s, server, cold_requests_per_s
            ):
                return server
        return None
