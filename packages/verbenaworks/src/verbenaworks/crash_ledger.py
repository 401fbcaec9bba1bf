"""Recognises requests whose runs keep crashing backend servers.

A ledger is a set of crash ids per request digest and a set of cleared ids.
Both only grow by union, so ledgers of different instances can be merged in
any order and repeatedly.
"""

from dataclasses import dataclass, field

MAX_CRASHES = 3
REFUSE_FOR_S = 3600.0
MAX_DIGESTS = 10_000


@dataclass(frozen=True, kw_only=True, slots=True)
class NoCrash:
    """No crash is known."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Suspect:
    """The request was in flight at one or more crashes."""

    crashes: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashRefused:
    """The request was in flight at too many crashes.

    :ivar retry_after_s: time until the refusal ends.
    """

    crashes: int
    retry_after_s: float


CrashAssessment = NoCrash | Suspect | CrashRefused


@dataclass(kw_only=True, slots=True)
class _Entry:
    crash_ids: set[str] = field(default_factory=set)
    cleared_ids: set[str] = field(default_factory=set)
    last_crash_at_s: float = 0.0

    def count(self) -> int:
        return len(self.crash_ids - self.cleared_ids)


class CrashLedger:
    """Crashes by request digest."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def record(
        self, now_s: float, digest: str, crash_id: str, age_s: float = 0.0
    ) -> None:
        """Enter a crash; entering it again changes nothing."""
        entry = self._entry(now_s, digest)
        entry.crash_ids.add(crash_id)
        entry.last_crash_at_s = max(entry.last_crash_at_s, now_s - age_s)

    def clear(
        self, now_s: float, digest: str, crash_ids: tuple[str, ...]
    ) -> None:
        """Enter that the request did not cause these crashes."""
        self._entry(now_s, digest).cleared_ids.update(crash_ids)

    def crash_ids(self, digest: str) -> tuple[str, ...]:
        """Return the crashes that count against a request."""
        entry = self._entries.get(digest)
        if entry is None:
            return ()
        return tuple(sorted(entry.crash_ids - entry.cleared_ids))

    def assess(self, now_s: float, digest: str) -> CrashAssessment:
        """Tell whether a request may run."""
        entry = self._entries.get(digest)
        if entry is None:
            return NoCrash()
        left_s = entry.last_crash_at_s + REFUSE_FOR_S - now_s
        if left_s <= 0:
            del self._entries[digest]
            return NoCrash()
        count = entry.count()
        if count == 0:
            return NoCrash()
        if count >= MAX_CRASHES:
            return CrashRefused(crashes=count, retry_after_s=left_s)
        return Suspect(crashes=count)

    def _entry(self, now_s: float, digest: str) -> _Entry:
        entry = self._entries.get(digest)
        if entry is None:
            self._make_room(now_s)
            entry = self._entries[digest] = _Entry(last_crash_at_s=now_s)
        return entry

    def _make_room(self, now_s: float) -> None:
        """Drop expired entries, then the oldest that refuse nothing."""
        if len(self._entries) < MAX_DIGESTS:
            return
        for digest in list(self._entries):
            self.assess(now_s, digest)
        by_weight = sorted(
            self._entries,
            key=lambda digest: (
                self._entries[digest].count() >= MAX_CRASHES,
                self._entries[digest].last_crash_at_s,
            ),
        )
        for digest in by_weight[: max(0, len(by_weight) - MAX_DIGESTS + 1)]:
            del self._entries[digest]
