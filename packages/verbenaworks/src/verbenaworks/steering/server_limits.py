"""Limits that backend servers name for all instances together.

A server in need states with each response how many requests per second it
takes from all instances together. An instance learns of this from the
responses that it gets, and from the other instances. A few instances share
the limit; the others send nothing until one of them has got a response
without a limit.
"""

import copy
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.report_summary import incarnation_hash
from verbenaworks.steering.server_senders import ServerSenders

# Share of a limit that is used. The rest makes up for instances that do not
# agree on the senders for a moment.
USED_SHARE = 0.9
# Part of a limit that is worth a sender of its own.
REQUESTS_PER_SENDER_PER_S = 2.0
# A server that takes nothing is asked this often whether it still does.
MIN_RATE_PER_S = 0.1
# Requests that one instance may send to a limited server at once.
BURST_REQUESTS = 1.0
# Age of a statement from which on a sender asks the server for a new one.
REFRESH_S = 2.0
# Statements that nobody has renewed for this long no longer count.
LAPSE_S = 60.0
# Time for which the other instances are told that a limit has ended.
REPORT_LIFTED_S = 10.0
# Other changes of a limit are told with the regular reports.
MIN_ANNOUNCED_CHANGE = 0.2
# An instance that does not know the limits yet may have this many requests in
# flight at a server, for the time in which the others tell it.
UNINFORMED_IN_FLIGHT = 2
UNINFORMED_S = 1.0
# A limit that has ended, in reports.
LIFTED = -1
LIMIT_UNITS = 1000

# Limit in thousandths per second and its age in milliseconds, by a short hash
# of the server's incarnation.
PackedLimits = Mapping[int, tuple[int, int]]
LimitCallback = Callable[[BackendServer, float | None], None]


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitStatement:
    """What a server has said of its limit.

    :param limit_per_s: requests per second; none if there is no limit.
    :param stated_at_s: when the response arrived.
    :param is_own: whether it arrived at this instance.
    """

    limit_per_s: float | None
    stated_at_s: float
    is_own: bool


class ServerLimits:
    """Limits as one instance knows and keeps them.

    :param senders: instances that share the requests to a server.
    """

    def __init__(self, *, senders: ServerSenders) -> None:
        self._senders = senders
        self._is_connected: Callable[[], bool] = lambda: True
        self._on_change: LimitCallback = lambda server, limit_per_s: None
        self._statements: dict[tuple[str, int], LimitStatement] = {}
        self._tokens: dict[str, tuple[float, float]] = {}
        self._started_s: float | None = None
        self._is_informed = False

    def __deepcopy__(self, memo: dict[int, object]) -> "ServerLimits":
        # The callbacks belong to the process and are not copied.
        copied = copy.copy(self)
        copied._statements = dict(self._statements)
        copied._tokens = dict(self._tokens)
        memo[id(self)] = copied
        return copied

    def connect(
        self,
        *,
        is_connected: Callable[[], bool],
        on_change: LimitCallback,
    ) -> None:
        """Connect the limits with those of the other instances.

        :param is_connected: returns whether the others count on this instance,
            so that none of them takes over its part of a limit.
        :param on_change: called with a server and its limit, none if it has
            none, if the server has named its first limit, changed it a lot, or
            ended it, in a response to this instance.
        """
        self._is_connected = is_connected
        self._on_change = on_change

    def limit_per_s(self, now_s: float, server: BackendServer) -> float | None:
        """Return the limit of a server; none if it has none."""
        statement = self._statement(now_s, server)
        return statement.limit_per_s if statement else None

    def allows(
        self, now_s: float, server: BackendServer, in_flight: int
    ) -> bool:
        """Whether a request may be sent to a server now.

        :param in_flight: requests of this instance at the server.
        """
        statement = self._statement(now_s, server)
        if statement is None:
            return in_flight < UNINFORMED_IN_FLIGHT or self._knows_limits(
                now_s
            )
        limit_per_s = statement.limit_per_s
        if limit_per_s is None:
            return True
        return (
            self._senders.is_sender(server, _max_senders(limit_per_s))
            and self._is_connected()
            and self._token_count(now_s, server, limit_per_s) >= 1.0
        )

    def record_request(self, now_s: float, server: BackendServer) -> None:
        """Count a request that is sent to a server."""
        limit_per_s = self.limit_per_s(now_s, server)
        if limit_per_s is not None:
            tokens = self._token_count(now_s, server, limit_per_s)
            self._tokens[server.server_id] = (tokens - 1.0, now_s)

    def needs_refresh(self, now_s: float, server: BackendServer) -> bool:
        """Whether a request should be sent to learn the limit again."""
        statement = self._statement(now_s, server)
        return (
            statement is not None
            and statement.limit_per_s is not None
            and now_s - statement.stated_at_s >= REFRESH_S
            and self.allows(now_s, server, 0)
        )

    @property
    def has_limits(self) -> bool:
        """Whether any server may have a limit."""
        return bool(self._statements)

    def record_response(
        self, now_s: float, server: BackendServer, limit_per_s: float | None
    ) -> None:
        """Record a response of a server.

        :param limit_per_s: the limit that it names; none if it names none.
        """
        known = self._statement(now_s, server)
        if known is None and limit_per_s is None:
            return
        self._statements[server.incarnation] = LimitStatement(
            limit_per_s=limit_per_s, stated_at_s=now_s, is_own=True
        )
        if _is_announced(known.limit_per_s if known else None, limit_per_s):
            self._on_change(server, limit_per_s)

    def record_peer(
        self,
        now_s: float,
        packed: PackedLimits,
        servers: Iterable[BackendServer],
    ) -> None:
        """Record what servers have told another instance.

        :param servers: all servers; limits of others are left out.
        """
        self._is_informed = True
        if not packed:
            return
        for server in servers:
            entry = packed.get(incarnation_hash(server))
            if entry is None:
                continue
            units, age_ms = entry
            statement = LimitStatement(
                limit_per_s=None if units == LIFTED else units / LIMIT_UNITS,
                stated_at_s=now_s - age_ms / 1000,
                is_own=False,
            )
            known = self._statements.get(server.incarnation)
            if known is None or known.stated_at_s < statement.stated_at_s:
                self._statements[server.incarnation] = statement

    def packed(
        self, now_s: float, servers: Iterable[BackendServer]
    ) -> dict[int, tuple[int, int]]:
        """Return the limits that servers have named to this instance.

        What comes from other instances is not passed on: it would never age.
        """
        packed: dict[int, tuple[int, int]] = {}
        if not self._statements:
            return packed
        for server in servers:
            statement = self._statement(now_s, server)
            if statement is None or not statement.is_own:
                continue
            units = LIFTED
            if statement.limit_per_s is not None:
                units = round(statement.limit_per_s * LIMIT_UNITS)
            age_ms = round(1000 * (now_s - statement.stated_at_s))
            packed[incarnation_hash(server)] = (units, age_ms)
        return packed

    def forget(self, now_s: float) -> None:
        """Delete statements that no longer count."""
        for key, statement in list(self._statements.items()):
            lapse_s = (
                REPORT_LIFTED_S if statement.limit_per_s is None else LAPSE_S
            )
            if now_s - statement.stated_at_s > lapse_s:
                del self._statements[key]

    def _statement(
        self, now_s: float, server: BackendServer
    ) -> LimitStatement | None:
        statement = self._statements.get(server.incarnation)
        if statement is None or now_s - statement.stated_at_s > LAPSE_S:
            return None
        return statement

    def _knows_limits(self, now_s: float) -> bool:
        """Whether the other instances have had time to tell their limits."""
        if self._is_informed or self._senders.is_alone:
            return True
        if self._started_s is None:
            self._started_s = now_s
        return now_s - self._started_s >= UNINFORMED_S

    def _token_count(
        self, now_s: float, server: BackendServer, limit_per_s: float
    ) -> float:
        senders = self._senders.count(server, _max_senders(limit_per_s))
        rate_per_s = max(USED_SHARE * limit_per_s, MIN_RATE_PER_S) / senders
        # A server that has just named its limit has enough to do.
        tokens, at_s = self._tokens.setdefault(server.server_id, (0.0, now_s))
        return min(BURST_REQUESTS, tokens + (now_s - at_s) * rate_per_s)


def _max_senders(limit_per_s: float) -> int:
    return max(1, int(limit_per_s / REQUESTS_PER_SENDER_PER_S))


def _is_announced(before: float | None, now: float | None) -> bool:
    """Whether the other instances are told of a change at once."""
    if before is None or now is None:
        return before is not now
    return abs(now - before) > MIN_ANNOUNCED_CHANGE * max(before, now)
