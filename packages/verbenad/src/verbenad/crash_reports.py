"""Shares crashes of backend servers with all instances.

A crash is acknowledged by the other instances before the caller gets its
answer, so that a resend through another instance is already counted there.
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

ACKNOWLEDGE_LIMIT_S = 0.5


class CrashReports:
    """The crash ledger of one instance and its exchange with the others."""

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
        self._missing: dict[str, set[str]] = {}
        self._events: dict[str, Event] = {}
        bus.subscribe(CrashSeen, self._on_crash)
        bus.subscribe(CrashTaken, self._on_taken)
        bus.subscribe(SuspectCleared, self._on_cleared)

    def verdict(self, digest: str) -> CrashAssessment:
        """Tell whether a request may run."""
        return self._ledger.assess(self._now_s(), digest)

    def report(self, digests: tuple[str, ...]) -> None:
        """Enter a crash and wait until the live instances know it."""
        crash_id = f"{self._prefix}-{next(self._counter)}"
        for digest in digests:
            self._ledger.record(self._now_s(), digest, crash_id)
        peers = set(self._directory.peers())
        if not peers:
            return
        event = Event()
        self._missing[crash_id] = peers
        self._events[crash_id] = event
        message = CrashSeen(crash_id=crash_id, age_s=0.0, digests=digests)
        for peer in peers:
            self._bus.send(peer, message)
        with eventlet.Timeout(ACKNOWLEDGE_LIMIT_S, False):
            event.wait()
        del self._missing[crash_id], self._events[crash_id]

    def completed(self, digest: str) -> None:
        """Clear a suspect that completed."""
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

    def _on_taken(self, sender: Sender, message: CrashTaken) -> None:
        missing = self._missing.get(message.crash_id)
        if missing is None:
            return
        missing.discard(sender.address)
        event = self._events[message.crash_id]
        if not missing and not event.ready():
            event.send(None)

    def _on_cleared(self, _sender: Sender, message: SuspectCleared) -> None:
        self._ledger.clear(self._now_s(), message.digest, message.crash_ids)
