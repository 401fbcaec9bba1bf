"""Limits requests to servers that have just started.

A cold server crashes when it gets many requests. A few instances share what
it bears, chosen by a hash over the registered instances, so that no messages
are needed.
"""

from collections.abc import Iterable

from verbenaworks.steering.rendezvous import first_by_rendezvous

# Instances that may use one cold server. With three, a second instance that
# wrongly counts itself in stays within the servers' tolerance.
SENDERS = 3
# Requests that one instance may send at once.
DEPTH = 1.0


class ColdStartLimiter:
    """Requests that this instance may send to each cold server.

    :param instance: name of this instance.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._instances: tuple[str, ...] = (instance,)
        self._senders: dict[str, tuple[str, ...]] = {}
        self._tokens: dict[str, tuple[float, float]] = {}

    def set_instances(self, names: Iterable[str]) -> None:
        """Replace the registered instances."""
        instances = tuple(sorted({*names, self._instance}))
        if instances != self._instances:
            self._instances = instances
            self._senders.clear()

    def has(self, now_s: float, server_id: str, per_s: float) -> bool:
        """Whether a request may be sent to a cold server now."""
        if not self.is_sender(server_id):
            return False
        return self._level(now_s, server_id, per_s) >= 1.0

    def take(self, now_s: float, server_id: str, per_s: float) -> None:
        """Count a request that is sent to a cold server."""
        level = self._level(now_s, server_id, per_s)
        self._tokens[server_id] = (level - 1.0, now_s)

    def is_sender(self, server_id: str) -> bool:
        """Whether this instance is one of those that use a new server."""
        return self._instance in self._senders_of(server_id)

    def _senders_of(self, server_id: str) -> tuple[str, ...]:
        senders = self._senders.get(server_id)
        if senders is None:
            senders = first_by_rendezvous(server_id, self._instances, SENDERS)
            self._senders[server_id] = senders
        return senders

    def _level(self, now_s: float, server_id: str, per_s: float) -> float:
        senders = min(SENDERS, len(self._instances))
        level, at_s = self._tokens.get(server_id, (DEPTH, now_s))
        return min(DEPTH, level + (now_s - at_s) * per_s / senders)
