"""Tracks requests that crash backend servers, over all instances."""

import itertools
from collections.abc import Callable, Iterable

from verbenaworks.crash_ledger import CrashLedger, CrashRefused

# Most digests of completed requests that are remembered. A request that a
# server has completed before is not blamed for a crash.
MAX_COMPLETED_DIGESTS = 20_000
# A crash is included in reports to other instances for this long, because
# datagrams may be lost.
CRASH_REPORT_DURATION_S = 3.0
# Time for which a crash is remembered: longer than a request may run.
CRASH_MEMORY_S = 60.0


class CrashTracker:
    """Counts the crashes that this and other instances have seen.

    :param instance: name and incarnation, which are part of each crash id.
    """

    def __init__(self, instance: str, now_s: Callable[[], float]) -> None:
        self._instance = instance
        self._now_s = now_s
        self._ledger = CrashLedger()
        self._crash_numbers = itertools.count()
        self._completed: dict[str, None] = {}
        # Digest and server of each crash, and when it was noticed.
        self._latest_crashes: dict[tuple[str, str], float] = {}
        self._recent: list[tuple[float, str, str]] = []

    def record_crash(
        self, digest: str, server_id: str, started_s: float
    ) -> None:
        """Record that a server crashed while it ran a request.

        Equal requests that it ran at the same time count once: those that were
        sent before the crash was noticed.

        :param started_s: when the request was sent to the server.
        """
        if digest in self._completed:
            return
        now_s = self._now_s()
        oldest_s = now_s - CRASH_MEMORY_S
        self._latest_crashes = {
            crash: at_s
            for crash, at_s in self._latest_crashes.items()
            if at_s > oldest_s
        }
        if started_s <= self._latest_crashes.get(
            (digest, server_id), float("-inf")
        ):
            return
        self._latest_crashes[digest, server_id] = now_s
        crash_id = f"{self._instance}/{next(self._crash_numbers)}"
        self._ledger.record(now_s, digest, crash_id)
        self._recent.append((now_s, digest, crash_id))

    def record_completed(self, digest: str) -> None:
        """Record that a server completed a request."""
        self._completed.pop(digest, None)
        self._completed[digest] = None
        if len(self._completed) > MAX_COMPLETED_DIGESTS:
            del self._completed[next(iter(self._completed))]
        crash_ids = self._ledger.crash_ids(digest)
        if crash_ids:
            self._ledger.clear(self._now_s(), digest, crash_ids)

    def is_blocked(self, digest: str) -> bool:
        """Whether the request has crashed too many servers."""
        return isinstance(
            self._ledger.assess(self._now_s(), digest), CrashRefused
        )

    def recent_crashes(self) -> tuple[tuple[str, str], ...]:
        """Return local crashes that other instances may not know yet."""
        oldest_s = self._now_s() - CRASH_REPORT_DURATION_S
        self._recent = [item for item in self._recent if item[0] >= oldest_s]
        return tuple(
            (digest, crash_id) for _, digest, crash_id in self._recent
        )

    def record_peer_crashes(self, crashes: Iterable[tuple[str, str]]) -> None:
        """Record crashes that another instance has reported."""
        now_s = self._now_s()
        for digest, crash_id in crashes:
            if digest not in self._completed:
                self._ledger.record(now_s, digest, crash_id)
