"""Requests that crash the servers that run them, over all instances."""

import itertools
from collections.abc import Callable, Iterable

from verbenaworks.crash_ledger import CrashLedger, CrashRefused

# A digest that has been answered is innocent of later crashes.
MAX_ANSWERED = 20_000
# Crashes are told to other instances for this long, because datagrams are
# lost.
TELL_FOR_S = 3.0


class CrashNotes:
    """Own crashes and those of other instances.

    :param instance: name and incarnation, part of each crash id.
    """

    def __init__(self, instance: str, now_s: Callable[[], float]) -> None:
        self._instance = instance
        self._now_s = now_s
        self._ledger = CrashLedger()
        self._numbers = itertools.count()
        self._answered: dict[str, None] = {}
        self._recent: list[tuple[float, str, str]] = []

    def crashed(self, digest: str) -> None:
        """Enter that a server crashed while it ran a request."""
        if digest in self._answered:
            return
        crash_id = f"{self._instance}/{next(self._numbers)}"
        now_s = self._now_s()
        self._ledger.record(now_s, digest, crash_id)
        self._recent.append((now_s, digest, crash_id))

    def completed(self, digest: str) -> None:
        """Enter that a server has answered a request."""
        self._answered.pop(digest, None)
        self._answered[digest] = None
        if len(self._answered) > MAX_ANSWERED:
            del self._answered[next(iter(self._answered))]
        crash_ids = self._ledger.crash_ids(digest)
        if crash_ids:
            self._ledger.clear(self._now_s(), digest, crash_ids)

    def is_refused(self, digest: str) -> bool:
        """Whether the request has crashed too many servers."""
        return isinstance(
            self._ledger.assess(self._now_s(), digest), CrashRefused
        )

    def recent(self) -> tuple[tuple[str, str], ...]:
        """Return own crashes that other instances may not know yet."""
        oldest_s = self._now_s() - TELL_FOR_S
        self._recent = [item for item in self._recent if item[0] >= oldest_s]
        return tuple(
            (digest, crash_id) for _, digest, crash_id in self._recent
        )

    def heard(self, crashes: Iterable[tuple[str, str]]) -> None:
        """Enter crashes that another instance has seen."""
        now_s = self._now_s()
        for digest, crash_id in crashes:
            if digest not in self._answered:
                self._ledger.record(now_s, digest, crash_id)
