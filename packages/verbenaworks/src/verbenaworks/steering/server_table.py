"""Backend servers that may get requests."""

from collections.abc import Iterable
from dataclasses import dataclass

from verbenaworks.steering.backend_server import BackendServer

# Reports that expired while the store was away are renewed within about two
# seconds of its return; what is missing after that is gone. The return is
# noticed a moment late.
EXPIRY_GRACE_S = 1.9
# A late report of an earlier incarnation must not revive a removed server.
REMEMBER_REMOVED_S = 60.0


@dataclass(kw_only=True, slots=True)
class _Held:
    server: BackendServer
    cold_until_s: float
    joined_at_s: float
    drop_at_s: float | None = None


class ServerTable:
    """Servers by id, as reported; knows evacuated failure domains."""

    def __init__(self) -> None:
        self.generation = 0
        self._held: dict[str, _Held] = {}
        self._removed: dict[str, tuple[BackendServer, float]] = {}
        self._evacuated: set[str] = set()
        self._usable: dict[str, tuple[BackendServer, ...]] | None = None
        self._back_at_s = float("-inf")

    def record_store_recovery(self, now_s: float) -> None:
        """Enter that the store answers again after an outage."""
        self._back_at_s = now_s

    def report(self, now_s: float, server: BackendServer) -> bool:
        """Enter a report; false if a newer one is known."""
        held = self._held.get(server.server_id)
        if held is not None and _is_older(server, held.server):
            return False
        removed = self._removed.get(server.server_id)
        if removed is not None and _is_older(server, removed[0]):
            return False
        self._removed.pop(server.server_id, None)
        is_known = (
            held is not None
            and held.server.started_at_ms == server.started_at_ms
        )
        self._held[server.server_id] = _Held(
            server=server,
            cold_until_s=now_s + server.cold_left_s,
            joined_at_s=held.joined_at_s if held and is_known else now_s,
        )
        self._changed()
        return True

    def remove(self, now_s: float, server_id: str) -> None:
        """Enter that the report of a server is gone.

        Soon after an outage of the store the server stays in use, because
        its report may only have expired.
        """
        held = self._held.get(server_id)
        if held is None:
            return
        grace_end_s = self._back_at_s + EXPIRY_GRACE_S
        if now_s < grace_end_s and not held.server.draining:
            if held.drop_at_s is None:
                held.drop_at_s = grace_end_s
            return
        self._drop(now_s, server_id)

    def remove_unlisted(self, now_s: float, server_ids: Iterable[str]) -> None:
        """Remove all servers that a complete listing does not name."""
        named = set(server_ids)
        for server_id in [i for i in self._held if i not in named]:
            self.remove(now_s, server_id)

    def expire(self, now_s: float) -> None:
        """Remove servers whose grace has ended."""
        for server_id, held in list(self._held.items()):
            if held.drop_at_s is not None and now_s >= held.drop_at_s:
                self._drop(now_s, server_id)

    @property
    def next_expiry_s(self) -> float | None:
        """When the first grace ends; none if there is none."""
        drops_s = [h.drop_at_s for h in self._held.values() if h.drop_at_s]
        return min(drops_s, default=None)

    def set_evacuated(self, failure_domain: str, evacuated: bool) -> None:
        """Stop or resume the use of a failure domain."""
        if evacuated:
            self._evacuated.add(failure_domain)
        else:
            self._evacuated.discard(failure_domain)
        self._changed()

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains that get no requests."""
        return frozenset(self._evacuated)

    def usable(self, service: str) -> tuple[BackendServer, ...]:
        """Return the servers of a service that take new requests."""
        if self._usable is None:
            by_service: dict[str, list[BackendServer]] = {}
            for _, held in sorted(self._held.items()):
                server = held.server
                if server.draining:
                    continue
                if server.failure_domain in self._evacuated:
                    continue
                by_service.setdefault(server.service, []).append(server)
            self._usable = {k: tuple(v) for k, v in by_service.items()}
        return self._usable.get(service, ())

    def is_usable(self, server: BackendServer) -> bool:
        """Whether the incarnation still takes new requests."""
        held = self._held.get(server.server_id)
        return (
            held is not None
            and not held.server.draining
            and held.server.started_at_ms == server.started_at_ms
            and held.server.address == server.address
            and held.server.failure_domain not in self._evacuated
        )

    def joined_at_s(self, server_id: str) -> float:
        """Return when the running incarnation was first reported."""
        return self._held[server_id].joined_at_s

    def cold_left_s(self, now_s: float, server_id: str) -> float:
        """Return how long a server stays cold."""
        held = self._held.get(server_id)
        return 0.0 if held is None else max(0.0, held.cold_until_s - now_s)

    @property
    def server_ids(self) -> tuple[str, ...]:
        """Ids of all servers, usable or not."""
        return tuple(self._held)

    def __len__(self) -> int:
        return len(self._held)

    def _drop(self, now_s: float, server_id: str) -> None:
        held = self._held.pop(server_id)
        oldest_s = now_s - REMEMBER_REMOVED_S
        for gone_id, (_, at_s) in list(self._removed.items()):
            if at_s < oldest_s:
                del self._removed[gone_id]
        self._removed[server_id] = (held.server, now_s)
        self._changed()

    def _changed(self) -> None:
        self.generation += 1
        self._usable = None


def _is_older(report: BackendServer, known: BackendServer) -> bool:
    """Whether a report was made before the known one.

    Sequences start anew with each incarnation, so they can be compared only
    where both reports tell their time of birth.
    """
    if not report.started_at_ms or not known.started_at_ms:
        return False
    return report.report_version < known.report_version
