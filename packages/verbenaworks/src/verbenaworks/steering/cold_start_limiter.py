"""Limits requests to servers that have just started.

A server crashes if it gets many requests during its cold start. A few
instances, chosen by rendezvous hashing over the registered instances, share
the requests that it can handle, so that no messages are needed.
"""

from collections.abc import Iterable

from verbenaworks.steering.rendezvous import first_by_rendezvous

# Instances that may send requests to one cold server. With three, a further
# instance that wrongly counts itself as a sender stays within the servers'
# tolerance.
SENDERS_PER_SERVER = 3
# Requests that one instance may send to a cold server at once.
BURST_REQUESTS = 1.0


class ColdStartLimiter:
    """A token bucket for each cold server.

    :param instance: name of this instance.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._instances: tuple[str, ...] = (instance,)
        self._senders: dict[str, tuple[str, ...]] = {}
        self._tokens: dict[str, tuple[float, float]] = {}

    def set_instances(
        self, names: Iterable[str], *, is_sender: bool = True
    ) -> None:
        """Replace the instances that share the requests to cold servers.

        :param is_sender: whether this instance is one of them.
        """
        own = {self._instance}
        members = {*names} | own if is_sender else {*names} - own
        instances = tuple(sorted(members))
        if instances != self._instances:
            self._instances = instances
            self._senders.clear()

    def allows(self, now_s: float, server_id: str, per_s: float) -> bool:
        """Whether a request may be sent to a cold server now.

        :param per_s: requests per second that the server can handle.
        """
        if not self.is_sender(server_id):
            return False
        return self._token_count(now_s, server_id, per_s) >= 1.0

    def record_request(
        self, now_s: float, server_id: str, per_s: float
    ) -> None:
        """Count a request that is sent to a cold server."""
        tokens = self._token_count(now_s, server_id, per_s)
        self._tokens[server_id] = (tokens - 1.0, now_s)

    def is_sender(self, server_id: str) -> bool:
        """Whether this instance may send requests to a cold server."""
        return self._instance in self._senders_of(server_id)

    def _senders_of(self, server_id: str) -> tuple[str, ...]:
        senders = self._senders.get(server_id)
        if senders is None:
            senders = first_by_rendezvous(
                server_id, self._instances, SENDERS_PER_SERVER
            )
            self._senders[server_id] = senders
        return senders

    def _token_count(
        self, now_s: float, server_id: str, per_s: float
    ) -> float:
        senders = max(1, min(SENDERS_PER_SERVER, len(self._instances)))
        tokens, at_s = self._tokens.get(server_id, (BURST_REQUESTS, now_s))
        return min(BURST_REQUESTS, tokens + (now_s - at_s) * per_s / senders)
