"""Backend servers that may get requests."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from verbenaworks.steering.backend_server import BackendServer

# Reports that expired during an outage of the store are renewed within about
# two seconds of its recovery; servers without a report after that are gone.
# The recovery is noticed a moment late, so the grace is a little shorter.
EXPIRY_GRACE_S = 1.9
# A late report of an earlier incarnation must not revive a removed server.
REMOVED_RETENTION_S = 60.0


@dataclass(kw_only=True, slots=True)
class _TableEntry:
    server: BackendServer
    cold_until_s: float
    joined_at_s: float
    remove_at_s: float | None = None


class ServerTable:
    """Reported backend servers by id, and evacuated failure domains.

    :ivar version: grows with each change of the table.
    """

    def __init__(self) -> None:
        self.version = 0
        self._entries: dict[str, _TableEntry] = {}
        self._removed: dict[str, tuple[BackendServer, float]] = {}
        self._evacuated: set[str] = set()
        # Incarnations that have said that they are leaving, and when.
        self._leaving: dict[tuple[str, int], float] = {}
        self._usable: dict[str, tuple[BackendServer, ...]] | None = None
        self._by_region: dict[str, dict[str, tuple[BackendServer, ...]]] = {}
        self._store_recovered_at_s = float("-inf")

    def __deepcopy__(self, memo: dict[int, object]) -> "ServerTable":
        # Decisions only read the table.
        return self

    def record_store_recovery(self, now_s: float) -> None:
        """Record that the store responds again after an outage."""
        self._store_recovered_at_s = now_s

    def report(self, now_s: float, server: BackendServer) -> bool:
        """Record a server's report; false if a newer one is known."""
        entry = self._entries.get(server.server_id)
        if entry is not None and _is_older(server, entry.server):
            return False
        removed = self._removed.get(server.server_id)
        if removed is not None and _is_older(server, removed[0]):
            return False
        self._removed.pop(server.server_id, None)
        is_known = (
            entry is not None
            and entry.server.started_at_ms == server.started_at_ms
        )
        self._entries[server.server_id] = _TableEntry(
            server=server,
            cold_until_s=now_s + server.cold_left_s,
            joined_at_s=entry.joined_at_s if entry and is_known else now_s,
        )
        self._invalidate()
        return True

    def remove(self, now_s: float, server_id: str) -> None:
        """Record that the report of a server is gone.

        Soon after an outage of the store the server stays in use for a grace
        period, because its report may only have expired.
        """
        entry = self._entries.get(server_id)
        if entry is None:
            return
        grace_end_s = self._store_recovered_at_s + EXPIRY_GRACE_S
        if now_s < grace_end_s and not entry.server.draining:
            if entry.remove_at_s is None:
                entry.remove_at_s = grace_end_s
            return
        self._delete(now_s, server_id)

    def remove_unlisted(self, now_s: float, server_ids: Iterable[str]) -> None:
        """Remove all servers that a complete listing does not name."""
        named = set(server_ids)
        for server_id in [i for i in self._entries if i not in named]:
            self.remove(now_s, server_id)

    def expire(self, now_s: float) -> None:
        """Remove servers whose grace period has ended."""
        for server_id, entry in list(self._entries.items()):
            if entry.remove_at_s is not None and now_s >= entry.remove_at_s:
                self._delete(now_s, server_id)

    @property
    def next_expiry_s(self) -> float | None:
        """End of the first grace period; none if there is none."""
        removals_s = [
            entry.remove_at_s
            for entry in self._entries.values()
            if entry.remove_at_s
        ]
        return min(removals_s, default=None)

    def record_leaving(self, now_s: float, server: BackendServer) -> bool:
        """Record that a server says that it is leaving; false if known.

        Unlike its reports this cannot be outdated, so it holds until the
        process of the server has ended, whatever the store says.
        """
        if server.incarnation in self._leaving:
            return False
        self._forget_leaving(now_s)
        self._leaving[server.incarnation] = now_s
        self._invalidate()
        return True

    def leaving_since(self, oldest_s: float) -> list[BackendServer]:
        """Return the servers that have said so since a time."""
        if not self._leaving:
            return []
        return [
            entry.server
            for entry in self._entries.values()
            if self._leaving.get(entry.server.incarnation, oldest_s) > oldest_s
        ]

    def _forget_leaving(self, now_s: float) -> None:
        existing = {e.server.incarnation for e in self._entries.values()}
        oldest_s = now_s - REMOVED_RETENTION_S
        for incarnation, at_s in list(self._leaving.items()):
            if at_s < oldest_s and incarnation not in existing:
                del self._leaving[incarnation]

    def set_evacuated(self, failure_domain: str, evacuated: bool) -> None:
        """Stop or resume the use of a failure domain."""
        if evacuated:
            self._evacuated.add(failure_domain)
        else:
            self._evacuated.discard(failure_domain)
        self._invalidate()

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains that get no requests."""
        return frozenset(self._evacuated)

    def usable(self, service: str) -> tuple[BackendServer, ...]:
        """Return the servers of a service that take new requests."""
        return self.usable_by_service.get(service, ())

    @property
    def usable_by_service(self) -> Mapping[str, tuple[BackendServer, ...]]:
        """The servers that take new requests, by service."""
        if self._usable is None:
            by_service: dict[str, list[BackendServer]] = {}
            for _, entry in sorted(self._entries.items()):
                server = entry.server
                if self.exclusion(server) is not None:
                    continue
                by_service.setdefault(server.service, []).append(server)
            self._usable = {k: tuple(v) for k, v in by_service.items()}
        return self._usable

    def exclusion(self, server: BackendServer) -> str | None:
        """Return why a server takes no new requests; none if it does."""
        if server.draining:
            return "draining"
        if server.incarnation in self._leaving:
            return "leaving"
        if server.failure_domain in self._evacuated:
            return "failure domain evacuated"
        return None

    def usable_by_region(
        self, service: str
    ) -> Mapping[str, tuple[BackendServer, ...]]:
        """Return the servers that take new requests, by region."""
        by_region = self._by_region.get(service)
        if by_region is None:
            lists: dict[str, list[BackendServer]] = {}
            for server in self.usable(service):
                lists.setdefault(server.region, []).append(server)
            by_region = {k: tuple(v) for k, v in sorted(lists.items())}
            self._by_region[service] = by_region
        return by_region

    def is_usable(self, server: BackendServer) -> bool:
        """Whether this incarnation of the server takes new requests."""
        entry = self._entries.get(server.server_id)
        return (
            entry is not None
            and not entry.server.draining
            and entry.server.started_at_ms == server.started_at_ms
            and entry.server.address == server.address
            and entry.server.failure_domain not in self._evacuated
        )

    def joined_at_s(self, server_id: str) -> float:
        """Return when the current incarnation was first reported."""
        return self._entries[server_id].joined_at_s

    def cold_left_s(self, now_s: float, server_id: str) -> float:
        """Return the time until the end of a server's cold start."""
        entry = self._entries.get(server_id)
        return 0.0 if entry is None else max(0.0, entry.cold_until_s - now_s)

    @property
    def regions(self) -> frozenset[str]:
        """Regions of all servers, usable or not."""
        return frozenset(
            entry.server.region for entry in self._entries.values()
        )

    @property
    def servers(self) -> tuple[BackendServer, ...]:
        """All servers, usable or not."""
        return tuple(entry.server for entry in self._entries.values())

    @property
    def server_ids(self) -> tuple[str, ...]:
        """Ids of all servers, usable or not."""
        return tuple(self._entries)

    def __len__(self) -> int:
        return len(self._entries)

    def _delete(self, now_s: float, server_id: str) -> None:
        entry = self._entries.pop(server_id)
        oldest_s = now_s - REMOVED_RETENTION_S
        for removed_id, (_, at_s) in list(self._removed.items()):
            if at_s < oldest_s:
                del self._removed[removed_id]
        self._removed[server_id] = (entry.server, now_s)
        self._invalidate()

    def _invalidate(self) -> None:
        self.version += 1
        self._usable = None
        self._by_region.clear()


def _is_older(report: BackendServer, known: BackendServer) -> bool:
    """Whether a report is older than the known one.

    Sequence numbers restart with each incarnation, so reports are comparable
    only if both contain the start time of the server.
    """
    if not report.started_at_ms or not known.started_at_ms:
        return False
    return report.report_version < known.report_version
