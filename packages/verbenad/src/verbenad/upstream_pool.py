"""Pool of connections to backend servers."""

import functools
import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum

import logbook
from result import Err, Ok, Result
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from verbenad.receive_windows import RESPONSE_BYTES, ReceiveWindows
from verbenad.target_address import TargetAddress
from verbenad.upstream_connection import UpstreamConnection

_log = logbook.Logger("verbenad.pool")
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
    :param overdue_after_s: time after the deadline of its request at which a
        connection in use is logged; None if bodies may take longer than that.
    """

    connect_timeout_s: float = 1.0
    idle_timeout_s: float = 15.0
    source_ip: str | None = None
    non_idempotent_max_idle_s: float = 1.0
    peer_timeout_s: float | None = None
    overdue_after_s: float | None = None


class ConnectFailure(Enum):
    """Why no connection was returned; no byte of a request was sent."""

    LIMIT = "the connection limit of the target is reached"
    REFUSED = "the connection was refused or is unreachable"
    TIMEOUT = "the connection was not opened in time"


@dataclass(kw_only=True, slots=True)
class _Use:
    """Use of a connection by one request.

    :ivar deadline_s: deadline of the request; None without one.
    """

    since_s: float
    deadline_s: float | None
    logged: bool = False


@dataclass(kw_only=True, slots=True)
class _TargetConnections:
    idle: list[UpstreamConnection] = field(default_factory=list)
    uses: dict[UpstreamConnection, _Use] = field(default_factory=dict)
    opening: int = 0

    @property
    def in_use(self) -> int:
        return self.opening + len(self.uses)

    @property
    def total(self) -> int:
        return self.in_use + len(self.idle)


class UpstreamPool:
    """Pool of connections, each of which carries one request at a time.

    A connection is returned with :meth:`release` if its last response was
    read completely, otherwise with :meth:`discard`.

    :param now_s: monotonic clock.
    :param receive_windows: bounds what servers send before it is read; by
        default, nothing does.
    """

    def __init__(
        self,
        settings: PoolSettings | None = None,
        now_s: Callable[[], float] = time.monotonic,
        receive_windows: ReceiveWindows | None = None,
    ) -> None:
        self.settings = settings or PoolSettings()
        self._receive_windows = receive_windows
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
        deadline_s: float | None = None,
    ) -> Result[UpstreamConnection, ConnectFailure]:
        """Return a connection that no other request uses.

        :param connection_limit: maximum number of connections to the target,
            including idle ones.
        :param timeout_s: timeout for connecting, if below the setting.
        :param new_connection: do not reuse a connection.
        :param deadline_s: deadline of the request that will use it.
        """
        use = _Use(since_s=self._now_s(), deadline_s=deadline_s)
        target = self._targets.get(address)
        if target is None:
            target = self._targets[address] = _TargetConnections()
        if not new_connection:
            idle_connection = self._pop_idle(target, idempotent)
            if idle_connection is not None:
                target.uses[idle_connection] = use
                self.counters["reused"] += 1
                return Ok(idle_connection)
        while target.idle and target.total >= connection_limit:
            self._close(target.idle.pop(0), "closed_for_limit")
        if target.total >= connection_limit:
            self.counters["limit_reached"] += 1
            return Err(ConnectFailure.LIMIT)
        return self._open(target, address, timeout_s, use)

    def receive_long(self, connection: UpstreamConnection) -> None:
        """Prepare a connection for a response of more than a narrow buffer."""
        if self._receive_windows is not None:
            self._receive_windows.widen(
                connection.stream,
                functools.partial(self._close_if_idle, connection),
            )

    def release(self, connection: UpstreamConnection) -> None:
        """Return a connection whose last response was read completely."""
        target = self._end_use(connection)
        if self._receive_windows is not None:
            self._receive_windows.end_use(connection.stream)
        if connection.stream.buffered_bytes:
            # Bytes after the end of a response belong to no request.
            self._close(connection, "closed_in_doubt")
            return
        connection.idle_since_s = self._now_s()
        connection.reused = True
        target.idle.append(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Close a connection that may not be reused."""
        self._end_use(connection)
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
            self._log_overdue(address, target)
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

    def in_use_by_target(self) -> Mapping[str, float]:
        """Return how many connections are in use, by address."""
        return {
            f"{host}:{port}": float(target.in_use)
            for (host, port), target in self._targets.items()
        }

    def oldest_use_by_target_s(self) -> Mapping[str, float]:
        """Return how long a connection has been in use, by address."""
        now_s = self._now_s()
        return {
            f"{host}:{port}": max(
                (now_s - use.since_s for use in target.uses.values()),
                default=0.0,
            )
            for (host, port), target in self._targets.items()
        }

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
        use: _Use,
    ) -> Result[UpstreamConnection, ConnectFailure]:
        connect_s = self.settings.connect_timeout_s
        if timeout_s is not None:
            connect_s = min(connect_s, timeout_s)
        if connect_s <= 0:
            return Err(ConnectFailure.TIMEOUT)
        # Counted while connecting, so that concurrent calls respect the
        # limit.
        target.opening += 1
        try:
            connection = UpstreamConnection(
                address,
                connect_s,
                self.settings.source_ip,
                self.settings.peer_timeout_s,
                RESPONSE_BYTES if self._receive_windows else None,
            )
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
            target.opening -= 1
        target.uses[connection] = use
        self.counters["opened"] += 1
        return Ok(connection)

    def _close_if_idle(self, connection: UpstreamConnection) -> bool:
        target = self._targets.get(connection.address)
        if target is None or connection not in target.idle:
            return False
        target.idle.remove(connection)
        self._close(connection, "closed_for_buffer")
        return True

    def _end_use(self, connection: UpstreamConnection) -> _TargetConnections:
        target = self._targets[connection.address]
        del target.uses[connection]
        return target

    def _log_overdue(
        self, address: TargetAddress, target: _TargetConnections
    ) -> None:
        """Log connections that their requests should have returned."""
        overdue_after_s = self.settings.overdue_after_s
        if overdue_after_s is None:
            return
        now_s = self._now_s()
        for use in target.uses.values():
            if use.logged or use.deadline_s is None:
                continue
            overdue_s = now_s - use.deadline_s
            if overdue_s > overdue_after_s:
                use.logged = True
                self.counters["overdue"] += 1
                _log.warning(
                    "connection held past its request's deadline",
                    extra={
                        "server": f"{address[0]}:{address[1]}",
                        "in_use_ms": int((now_s - use.since_s) * 1000),
                        "overdue_ms": int(overdue_s * 1000),
                    },
                )

    def _close(self, connection: UpstreamConnection, reason: str) -> None:
        self.counters[reason] += 1
        if self._receive_windows is not None:
            self._receive_windows.forget(connection.stream)
        connection.close()
