"""Reports crashes of backend servers to all instances.

The other instances acknowledge a crash before the caller gets its response,
so that every instance counts the crash before the caller can send the
request again.
"""

import itertools
import secrets
from collections.abc import Callable

import eventlet
from eventlet.event import Event

from verbenad.bus import Bus, Sender
from verbenad.directory import Directory
from verbenaworks.crash_ledger import CrashAssessment, CrashLedger
from verbenaworks.crash_messages import CrashSeen, CrashTaken, SuspectCleared

ACKNOWLEDGEMENT_TIMEOUT_S = 0.5


class CrashReports:
    """The crash ledger of one instance, kept in step with the others."""

    def __init__(
        self,
        *,
        bus: Bus,
        directory: Directory,
        now_s: Callable[[], float],
    ) -> None:
        self._bus = bus
        self._directory = directory
        self._now_s = now_s
        self._ledger = CrashLedger()
        self._prefix = secrets.token_hex(6)
        self._counter = itertools.count()
        self._unacknowledged: dict[str, set[str]] = {}
        self._events: dict[str, Event] = {}
        bus.subscribe(CrashSeen, self._on_crash)
        bus.subscribe(CrashTaken, self._on_acknowledgement)
        bus.subscribe(SuspectCleared, self._on_cleared)

    def assess(self, digest: str) -> CrashAssessment:
        """Return whether a request may run."""
        return self._ledger.assess(self._now_s(), digest)

    def report(self, digests: tuple[str, ...]) -> None:
        """Record a crash and wait until all live instances acknowledge it."""
        crash_id = f"{self._prefix}-{next(self._counter)}"
        for digest in digests:
            self._ledger.record(self._now_s(), digest, crash_id)
        peers = set(self._directory.peers())
        if not peers:
            return
        event = Event()
        self._unacknowledged[crash_id] = peers
        self._events[crash_id] = event
        message = CrashSeen(crash_id=crash_id, age_s=0.0, digests=digests)
        for peer in peers:
            self._bus.send(peer, message)
        with eventlet.Timeout(ACKNOWLEDGEMENT_TIMEOUT_S, False):
            event.wait()
        del self._unacknowledged[crash_id], self._events[crash_id]

    def record_completion(self, digest: str) -> None:
        """Clear the suspicion against a request that completed."""
        crash_ids = self._ledger.crash_ids(digest)
        if not crash_ids:
            return
        self._ledger.clear(self._now_s(), digest, crash_ids)
        message = SuspectCleared(digest=digest, crash_ids=crash_ids)
        for peer in self._directory.peers():
            self._bus.send(peer, message)

    def _on_crash(self, sender: Sender, message: CrashSeen) -> None:
        for digest in message.digests:
            self._ledger.record(
                self._now_s(), digest, message.crash_id, message.age_s
            )
        self._bus.send(sender.address, CrashTaken(crash_id=message.crash_id))

    def _on_acknowledgement(self, sender: Sender, message: CrashTaken) -> None:
        unacknowledged = self._unacknowledged.get(message.crash_id)
        if unacknowledged is None:
            return
        unacknowledged.discard(sender.address)
        event = self._events[message.crash_id]
        if not unacknowledged and not event.ready():
            event.send(None)

    def _on_cleared(self, _sender: Sender, message: SuspectCleared) -> None:
        self._ledger.clear(self._now_s(), message.digest, message.crash_ids)
