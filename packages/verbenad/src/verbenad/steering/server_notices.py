"""Logs and counts what backend servers say of themselves, and tells peers."""

from collections.abc import Callable

import logbook

from verbenad.metrics import Metrics
from verbenaworks.steering.backend_server import BackendServer

_log = logbook.Logger("verbenad.servers")


class ServerNotices:
    """Called on each change, not with each response.

    :param announce: tells the other instances at once.
    :param call_later: calls a function once after a delay in seconds.
    """

    def __init__(
        self,
        *,
        metrics: Metrics,
        announce: Callable[[], None],
        call_later: Callable[[float, Callable[[], None]], object],
    ) -> None:
        self._announce = announce
        self._call_later = call_later
        self._count = metrics.counter(
            "verbenad_server_notices_total",
            "Changes of what backend servers say of themselves.",
            ("kind",),
        )

    def limit_changed(
        self, server: BackendServer, limit_per_s: float | None
    ) -> None:
        """Record a server's limit; none if it has ended."""
        self._count.add(("limit",))
        _log.info(
            "limit of a backend server changed",
            extra={"server": server.server_id, "limit": limit_per_s},
        )
        self._announce()

    def leaving(self, server: BackendServer) -> None:
        """Record that a server is leaving."""
        self._count.add(("leaving",))
        _log.info(
            "backend server is leaving", extra={"server": server.server_id}
        )
        self._announce()

    def paused(self, server: BackendServer, left_s: float) -> None:
        """Record that a server wants a pause of this instance."""
        self._count.add(("pause",))
        _log.info(
            "backend server wants a pause",
            extra={"server": server.server_id, "left_s": round(left_s, 3)},
        )
        self._call_later(left_s, lambda: self._log_pause_end(server))

    def _log_pause_end(self, server: BackendServer) -> None:
        _log.info(
            "pause of a backend server ended",
            extra={"server": server.server_id},
        )
