"""Whether a backend server may get one more request."""

from dataclasses import dataclass

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.cold_start_limiter import ColdStartLimiter
from verbenaworks.steering.placement_result import RefusalReason
from verbenaworks.steering.response_predictor import ResponsePredictor
from verbenaworks.steering.server_limits import ServerLimits
from verbenaworks.steering.server_pauses import ServerPauses
from verbenaworks.steering.server_table import ServerTable

# Shortest pause after a refusal: the time in which a slot becomes free.
MIN_RETRY_AFTER_S = 0.15
# Pause if servers have named limits: a limit stays for a while, but another
# server may have room for the request.
LIMIT_RETRY_AFTER_S = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerRefusal:
    """Why a server may get no request.

    :param retry_after_s: time after which it may get one again.
    """

    reason: RefusalReason
    retry_after_s: float = MIN_RETRY_AFTER_S

    def sooner(self, other: "ServerRefusal") -> "ServerRefusal":
        """Return the refusal that ends first; having no server is none."""
        if self.reason is RefusalReason.NO_SERVER:
            return other
        if other.reason is RefusalReason.NO_SERVER:
            return self
        return min(self, other, key=lambda refusal: refusal.retry_after_s)


class ServerAdmission:
    """Applies all that restricts a server, for every choice of a server.

    Servers that are leaving are not in the table's choice at all.

    :param limits: limits that servers name.
    :param pauses: pauses that servers ask for.
    """

    def __init__(
        self,
        *,
        table: ServerTable,
        predictor: ResponsePredictor,
        cold_start_limiter: ColdStartLimiter,
        limits: ServerLimits,
        pauses: ServerPauses,
    ) -> None:
        self._table = table
        self._predictor = predictor
        self._cold_start_limiter = cold_start_limiter
        self._limits = limits
        self._pauses = pauses

    def is_cold(self, now_s: float, server: BackendServer) -> bool:
        """Whether a server is in its cold start."""
        return self._table.cold_left_s(now_s, server.server_id) > 0

    def refusal(
        self, now_s: float, server: BackendServer, cold_requests_per_s: float
    ) -> ServerRefusal | None:
        """Return why a server may get no request now; none if it may.

        :param cold_requests_per_s: requests per second that a server can
            handle during its cold start.
        """
        in_flight = self._predictor.load_of(server).in_flight
        if not self._pauses.allows(now_s, server, in_flight):
            return ServerRefusal(
                reason=RefusalReason.SERVER_PAUSED,
                retry_after_s=max(
                    MIN_RETRY_AFTER_S, self._pauses.left_s(now_s, server)
                ),
            )
        if not self._limits.allows(now_s, server, in_flight):
            return ServerRefusal(
                reason=RefusalReason.SERVER_LIMIT,
                retry_after_s=LIMIT_RETRY_AFTER_S,
            )
        if self.is_cold(now_s, server) and not self._cold_start_limiter.allows(
            now_s, server, cold_requests_per_s
        ):
            return ServerRefusal(reason=RefusalReason.COLD_START_LIMIT)
        return None

    def record_request(
        self, now_s: float, server: BackendServer, cold_requests_per_s: float
    ) -> None:
        """Count a request that is sent to a server."""
        self._limits.record_request(now_s, server)
        if self.is_cold(now_s, server):
            self._cold_start_limiter.record_request(
                now_s, server, cold_requests_per_s
            )
