"""Limits requests to servers that have just started.

A server crashes if it gets many requests during its cold start. A few
instances share the requests that it can handle.
"""

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.server_senders import ServerSenders

# Instances that may send requests to one cold server. With three, a further
# instance that wrongly counts itself as a sender stays within the servers'
# tolerance.
SENDERS_PER_SERVER = 3
# Requests that one instance may send to a cold server at once.
BURST_REQUESTS = 1.0


class ColdStartLimiter:
    """A token bucket for each cold server.

    :param senders: instances that share the requests to a server.
    """

    def __init__(self, senders: ServerSenders) -> None:
        self._senders = senders
        self._tokens: dict[str, tuple[float, float]] = {}

    def allows(
        self, now_s: float, server: BackendServer, per_s: float
    ) -> bool:
        """Whether a request may be sent to a cold server now.

        :param per_s: requests per second that the server can handle.
        """
        if not self.is_sender(server):
            return False
        return self._token_count(now_s, server, per_s) >= 1.0

    def record_request(
        self, now_s: float, server: BackendServer, per_s: float
    ) -> None:
        """Count a request that is sent to a cold server."""
        tokens = self._token_count(now_s, server, per_s)
        self._tokens[server.server_id] = (tokens - 1.0, now_s)

    def is_sender(self, server: BackendServer) -> bool:
        """Whether this instance may send requests to a cold server."""
        return self._senders.is_sender(server, SENDERS_PER_SERVER)

    def _token_count(
        self, now_s: float, server: BackendServer, per_s: float
    ) -> float:
        senders = self._senders.count(server, SENDERS_PER_SERVER)
        tokens, at_s = self._tokens.get(
            server.server_id, (BURST_REQUESTS, now_s)
        )
        return min(BURST_REQUESTS, tokens + (now_s - at_s) * per_s / senders)
