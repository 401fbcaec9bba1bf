"""Connections to backend servers."""

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

# Backend servers that drop idle connections early do so for some time. For
# this long, connections are used only well before the idle time at which one
# was reset.
_RESETS_LAST_S = 15.0
_SAFE_SHARE = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class PoolSettings:
    """Settings of the pool.

    :param connect_timeout_s: time to open a connection.
    :param idle_timeout_s: idle time after which a connection is closed.
    :param source_ip: source address of the connections, if one is set.
    :param non_idempotent_max_idle_s: a request that must not be repeated
        uses a pooled connection only if it was idle for less than this,
        because the backend server may be closing an older one at that
        moment.
    :param peer_timeout_s: time after which a backend server that acknowledges
        nothing is taken as lost; none for the system's defaults.
    """

    connect_timeout_s: float = 1.0
    idle_timeout_s: float = 15.0
    source_ip: str | None = None
    non_idempotent_max_idle_s: float = 1.0
    peer_timeout_s: float | None = None


class ConnectFailure(Enum):
    """Why no connection was handed out; no byte of a request was sent."""

    LIMIT = "the connection limit of the target is reached"
    REFUSED = "the connection was refused or is unreachable"
    TIMEOUT = "the connection was not opened in time"


@dataclass(kw_only=True, slots=True)
class _Target:
    idle: list[UpstreamConnection] = field(default_factory=list)
    in_use: int = 0

    @property
    def total(self) -> int:
        return self.in_use + len(self.idle)


class UpstreamPool:
    """Hands out connections; each one serves one request at a time.

    A connection comes back through :meth:`release` only when its last answer
    was read to the end; everything else ends in :meth:`discard`.

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
        self._targets: dict[TargetAddress, _Target] = {}
        self._safe_idle_s = float("inf")
        self._reset_at_s = float("-inf")

    def acquire(
        self,
        address: TargetAddress,
        *,
        limit: int,
        idempotent: bool,
        timeout_s: float | None = None,
        fresh: bool = False,
    ) -> Result[UpstreamConnection, ConnectFailure]:
        """Return a connection that is in nobody else's use.

        :param limit: most connections to the target, idle ones included.
        :param timeout_s: time to connect, if below the setting.
        :param fresh: open a new connection in any case.
        """
        target = self._targets.get(address)
        if target is None:
            target = self._targets[address] = _Target()
        if not fresh:
            pooled = self._take_idle(target, idempotent)
            if pooled is not None:
                target.in_use += 1
                self.counters["reused"] += 1
                return Ok(pooled)
        while target.idle and target.total >= limit:
            self._close(target.idle.pop(0), "closed_for_limit")
        if target.total >= limit:
            self.counters["limit_reached"] += 1
            return Err(ConnectFailure.LIMIT)
        return self._open(target, address, timeout_s)

    def release(self, connection: UpstreamConnection) -> None:
        """Take back a connection whose last answer was read to the end."""
        target = self._targets[connection.address]
        target.in_use -= 1
        if connection.stream.buffered_bytes:
            # Bytes after the end of an answer belong to no request.
            self._close(connection, "closed_in_doubt")
            return
        connection.idle_since_s = self._now_s()
        connection.reused = True
        target.idle.append(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Close a connection whose state is in doubt."""
        self._targets[connection.address].in_use -= 1
        self._close(connection, "discarded")

    def record_idle_reset(self, connection: UpstreamConnection) -> None:
        """Enter that a reused connection was reset by the next request.

        The backend server had dropped it while it was idle, without a word.
        """
        now_s = self._now_s()
        if now_s - self._reset_at_s > _RESETS_LAST_S:
            self._safe_idle_s = float("inf")
        self._reset_at_s = now_s
        safe_idle_s = _SAFE_SHARE * connection.idled_s
        self._safe_idle_s = min(self._safe_idle_s, safe_idle_s)
        self.counters["reset_when_idle"] += 1

    def close_expired(self) -> None:
        """Close connections that are idle for too long; call it regularly."""
        oldest_s = self._now_s() - self.settings.idle_timeout_s
        for address, target in list(self._targets.items()):
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

    def _take_idle(
        self, target: _Target, idempotent: bool
    ) -> UpstreamConnection | None:
        settings = self.settings
        limit_s = (
            settings.idle_timeout_s
            if idempotent
            else settings.non_idempotent_max_idle_s
        )
        now_s = self._now_s()
        if now_s - self._reset_at_s <= _RESETS_LAST_S:
            limit_s = min(limit_s, self._safe_idle_s)
        while target.idle:
            connection = target.idle[-1]
            connection.idled_s = now_s - connection.idle_since_s
            if connection.idled_s >= limit_s:
                # The ones below have been idle for longer still.
                return None
            target.idle.pop()
            if not connection.stream.has_input():
                return connection
            self._close(connection, "closed_by_target")
        return None

    def _open(
        self,
        target: _Target,
        address: TargetAddress,
        timeout_s: float | None,
    ) -> Result[UpstreamConnection, ConnectFailure]:
        connect_s = self.settings.connect_timeout_s
        if timeout_s is not None:
            connect_s = min(connect_s, timeout_s)
        if connect_s <= 0:
            return Err(ConnectFailure.TIMEOUT)
        # Counted while connecting, so that concurrent calls keep the limit.
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
            # urllib3 derives the refused connection from the timeout.
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
