"""Recognises requests whose runs repeatedly crash backend servers.

For each request digest, a ledger has a set of crash ids and a set of cleared
ids. Both only grow by union, so that ledgers of different instances can be
merged in any order and repeatedly.
"""

from dataclasses import dataclass, field

MAX_CRASHES = 3
REFUSAL_DURATION_S = 3600.0
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
        """Record a crash; recording it again has no effect."""
        entry = self._get_entry(now_s, digest)
        entry.crash_ids.add(crash_id)
        entry.last_crash_at_s = max(entry.last_crash_at_s, now_s - age_s)

    def clear(
        self, now_s: float, digest: str, crash_ids: tuple[str, ...]
    ) -> None:
        """Record that the request did not cause these crashes."""
        self._get_entry(now_s, digest).cleared_ids.update(crash_ids)

    def crash_ids(self, digest: str) -> tuple[str, ...]:
        """Return the crashes that count against a request."""
        entry = self._entries.get(digest)
        if entry is None:
            return ()
        return tuple(sorted(entry.crash_ids - entry.cleared_ids))

    def assess(self, now_s: float, digest: str) -> CrashAssessment:
        """Return whether a request may run."""
        entry = self._entries.get(digest)
        if entry is None:
            return NoCrash()
        remaining_s = entry.last_crash_at_s + REFUSAL_DURATION_S - now_s
        if remaining_s <= 0:
            del self._entries[digest]
            return NoCrash()
        count = entry.count()
        if count == 0:
            return NoCrash()
        if count >= MAX_CRASHES:
            return CrashRefused(crashes=count, retry_after_s=remaining_s)
        return Suspect(crashes=count)

    def _get_entry(self, now_s: float, digest: str) -> _Entry:
        entry = self._entries.get(digest)
        if entry is None:
            self._evict(now_s)
            entry = self._entries[digest] = _Entry(last_crash_at_s=now_s)
        return entry

    def _evict(self, now_s: float) -> None:
        """Remove expired entries, then the oldest that refuse no request."""
        if len(self._entries) < MAX_DIGESTS:
            return
        for digest in list(self._entries):
            self.assess(now_s, digest)
        by_priority = sorted(
            self._entries,
            key=lambda digest: (
                self._entries[digest].count() >= MAX_CRASHES,
                self._entries[digest].last_crash_at_s,
            ),
        )
        for digest in by_priority[
            : max(0, len(by_priority) - MAX_DIGESTS + 1)
        ]:
            del self._entries[digest]
