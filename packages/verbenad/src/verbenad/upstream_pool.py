"""Pool of connections to backend servers."""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from result import Err, Ok, Result
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from verbenad.target_address import TargetAddress
from verbenad.upstream_connection import UpstreamConnection

# A backend server that closes idle connections early usually keeps doing so
# for a while. For this long after a reset, a connection is reused only if it
# has been idle for much less time than the one that was reset.
_IDLE_RESET_MEMORY_S = 15.0
_SAFE_IDLE_SHARE = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class PoolSettings:
    """Settings of the pool.

    :param connect_timeout_s: timeout for opening a connection.
    :param idle_timeout_s: idle time after which a connection is closed.
    :param source_ip: source address of the connections; None lets the
        operating system choose.
    :param non_idempotent_max_idle_s: a non-idempotent request reuses a
        connection only if it has been idle for less than this. The backend
        server may be closing one that has been idle for longer, and the
        request cannot be retried safely.
    :param peer_timeout_s: time after which a backend server that acknowledges
        nothing is considered lost; None for the system's defaults.
    """

    connect_timeout_s: float = 1.0
    idle_timeout_s: float = 15.0
    source_ip: str | None = None
    non_idempotent_max_idle_s: float = 1.0
    peer_timeout_s: float | None = None


class ConnectFailure(Enum):
    """Why no connection was returned; no byte of a request was sent."""

    LIMIT = "the connection limit of the target is reached"
    REFUSED = "the connection was refused or is unreachable"
    TIMEOUT = "the connection was not opened in time"


@dataclass(kw_only=True, slots=True)
class _TargetConnections:
    idle: list[UpstreamConnection] = field(default_factory=list)
    in_use: int = 0

    @property
    def total(self) -> int:
        return self.in_use + len(self.idle)


class UpstreamPool:
    """Pool of connections, each of which carries one request at a time.

    A connection is returned with :meth:`release` if its last response was
    read completely, otherwise with :meth:`discard`.

    :param now_s: monotonic clock.
    """

    def __init__(
        self,
        settings: PoolSettings | None = None,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings or PoolSettings()
        self.counters: Counter[str] = Counter()
        self._now_s = now_s
        self._targets: dict[TargetAddress, _TargetConnections] = {}
        self._safe_idle_s = float("inf")
        self._last_idle_reset_s = float("-inf")

    def acquire(
        self,
        address: TargetAddress,
        *,
        connection_limit: int,
        idempotent: bool,
        timeout_s: float | None = None,
        new_connection: bool = False,
    ) -> Result[UpstreamConnection, ConnectFailure]:
        """Return a connection that no other request uses.

        :param connection_limit: maximum number of connections to the target,
            including idle ones.
        :param timeout_s: timeout for connecting, if below the setting.
        :param new_connection: do not reuse a connection.
        """
        target = self._targets.get(address)
        if target is None:
            target = self._targets[address] = _TargetConnections()
        if not new_connection:
            idle_connection = self._pop_idle(target, idempotent)
            if idle_connection is not None:
                target.in_use += 1
                self.counters["reused"] += 1
                return Ok(idle_connection)
        while target.idle and target.total >= connection_limit:
            self._close(target.idle.pop(0), "closed_for_limit")
        if target.total >= connection_limit:
            self.counters["limit_reached"] += 1
            return Err(ConnectFailure.LIMIT)
        return self._open(target, address, timeout_s)

    def release(self, connection: UpstreamConnection) -> None:
        """Return a connection whose last response was read completely."""
        target = self._targets[connection.address]
        target.in_use -= 1
        if connection.stream.buffered_bytes:
            # Bytes after the end of a response belong to no request.
            self._close(connection, "closed_in_doubt")
            return
        connection.idle_since_s = self._now_s()
        connection.reused = True
        target.idle.append(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Close a connection that may not be reused."""
        self._targets[connection.address].in_use -= 1
        self._close(connection, "discarded")

    def record_idle_reset(self, connection: UpstreamConnection) -> None:
        """Record that a reused connection was reset by the next request.

        The backend server had silently dropped it while it was idle.
        """
        now_s = self._now_s()
        if now_s - self._last_idle_reset_s > _IDLE_RESET_MEMORY_S:
            self._safe_idle_s = float("inf")
        self._last_idle_reset_s = now_s
        safe_idle_s = _SAFE_IDLE_SHARE * connection.idle_time_s
        self._safe_idle_s = min(self._safe_idle_s, safe_idle_s)
        self.counters["reset_when_idle"] += 1

    def close_expired(self) -> None:
        """Close connections past the idle timeout; call it regularly.

        Connections on which bytes arrived while they were idle are closed
        too. The bytes belong to no request, and a faulty server may send them
        without end.
        """
        oldest_s = self._now_s() - self.settings.idle_timeout_s
        for address, target in list(self._targets.items()):
            for connection in list(target.idle):
                if connection.stream.has_input():
                    target.idle.remove(connection)
                    self._close(connection, "closed_by_target")
            while target.idle and target.idle[0].idle_since_s < oldest_s:
                self._close(target.idle.pop(0), "closed_idle")
            if not target.total:
                del self._targets[address]

    def close_target(self, address: TargetAddress) -> None:
        """Close the idle connections to a target."""
        target = self._targets.get(address)
        while target is not None and target.idle:
            self._close(target.idle.pop(), "closed_target")

    def in_use(self, address: TargetAddress) -> int:
        """Return how many connections to the target are in use."""
        target = self._targets.get(address)
        return target.in_use if target else 0

    def total(self, address: TargetAddress) -> int:
        """Return how many connections to the target are open."""
        target = self._targets.get(address)
        return target.total if target else 0

    def _pop_idle(
        self, target: _TargetConnections, idempotent: bool
    ) -> UpstreamConnection | None:
        settings = self.settings
        max_idle_s = (
            settings.idle_timeout_s
            if idempotent
            else settings.non_idempotent_max_idle_s
        )
        now_s = self._now_s()
        if now_s - self._last_idle_reset_s <= _IDLE_RESET_MEMORY_S:
            max_idle_s = min(max_idle_s, self._safe_idle_s)
        while target.idle:
            connection = target.idle[-1]
            connection.idle_time_s = now_s - connection.idle_since_s
            if connection.idle_time_s >= max_idle_s:
                # The connections below it have been idle for longer.
                return None
            target.idle.pop()
            if not connection.stream.has_input():
                return connection
            self._close(connection, "closed_by_target")
        return None

    def _open(
        self,
        target: _TargetConnections,
        address: TargetAddress,
        timeout_s: float | None,
    ) -> Result[UpstreamConnection, ConnectFailure]:
        connect_s = self.settings.connect_timeout_s
        if timeout_s is not None:
            connect_s = min(connect_s, timeout_s)
        if connect_s <= 0:
            return Err(ConnectFailure.TIMEOUT)
        # Counted while connecting, so that concurrent calls respect the
        # limit.
        target.in_use += 1
        opened = False
        try:
            connection = UpstreamConnection(
                address,
                connect_s,
                self.settings.source_ip,
                self.settings.peer_timeout_s,
            )
            opened = True
        except (HTTPError, OSError) as error:
            # In urllib3, NewConnectionError (connection refused) is a
            # subclass of ConnectTimeoutError.
            if isinstance(error, ConnectTimeoutError) and not isinstance(
                error, NewConnectionError
            ):
                self.counters["connect_timeouts"] += 1
                return Err(ConnectFailure.TIMEOUT)
            self.counters["connect_failures"] += 1
            return Err(ConnectFailure.REFUSED)
        finally:
            if not opened:
                target.in_use -= 1
        self.counters["opened"] += 1
        return Ok(connection)

    def _close(self, connection: UpstreamConnection, reason: str) -> None:
        self.counters[reason] += 1
        connection.close()
