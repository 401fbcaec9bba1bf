"""Records what backend servers say of themselves in their responses."""

from collections.abc import Callable

import logbook

from verbenad.steering.server_statement import ServerStatement
from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.server_limits import ServerLimits
from verbenaworks.steering.server_load import ServerLoad
from verbenaworks.steering.server_pauses import ServerPauses
from verbenaworks.steering.server_table import ServerTable

MAX_LOGGED_CHARACTERS = 40
# Unreadable values are logged once for each server, up to this many.
MAX_LOGGED_SERVERS = 1000

_log = logbook.Logger("verbenad.servers")


class StatementRecorder:
    """Passes on the parts of each statement.

    :param load_of: returns the load of a server.
    :param on_leaving: called with a server that says for the first time that
        it is leaving.
    """

    def __init__(
        self,
        *,
        load_of: Callable[[BackendServer], ServerLoad],
        table: ServerTable,
        limits: ServerLimits,
        pauses: ServerPauses,
        on_leaving: Callable[[BackendServer], None],
    ) -> None:
        self._load_of = load_of
        self._table = table
        self._limits = limits
        self._pauses = pauses
        self._on_leaving = on_leaving
        self._logged: set[tuple[str, int]] = set()

    def record(
        self, now_s: float, server: BackendServer, statement: ServerStatement
    ) -> None:
        """Record the statement in a response of a server."""
        if statement.load is not None:
            self._load_of(server).record_reported_load(now_s, statement.load)
        if statement.work_factor is not None:
            self._load_of(server).machine_speed.record(
                now_s, statement.work_factor
            )
        if statement.leaving and self._table.record_leaving(now_s, server):
            self._on_leaving(server)
        if statement.pause_s is not None:
            self._pauses.record_pause(now_s, server, statement.pause_s)
        if statement.has_unreadable_limit or statement.has_unreadable_pause:
            self._log_unreadable(server, statement)
        if not statement.has_unreadable_limit:
            # Otherwise a known limit stays: the server still names one.
            self._limits.record_response(now_s, server, statement.limit_per_s)

    def _log_unreadable(
        self, server: BackendServer, statement: ServerStatement
    ) -> None:
        if server.incarnation in self._logged:
            return
        if len(self._logged) >= MAX_LOGGED_SERVERS:
            self._logged.clear()
        self._logged.add(server.incarnation)
        _log.warning(
            "value of a backend server ignored; it is no decimal number",
            extra={
                "server": server.server_id,
                "limit": statement.limit_text[:MAX_LOGGED_CHARACTERS],
                "pause": statement.pause_text[:MAX_LOGGED_CHARACTERS],
            },
        )
