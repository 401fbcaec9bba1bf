"""Which targets are out of service for this instance, and their return.

Own failures are evidence; a failing probe may be the health endpoint's fault.
Failing probes therefore never leave fewer than half of a service's targets,
and own failures always leave one.
"""

from dataclasses import dataclass
from enum import Enum, auto

FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 2.0
LONGEST_EJECTION_S = 60.0
SUCCESSES_TO_READMIT = 2


class Standing(Enum):
    """How far a target may be used."""

    IN = auto()
    PROBATION = auto()
    OUT = auto()


@dataclass(kw_only=True, slots=True)
class _Record:
    failures: int = 0
    ejected_until_s: float | None = None
    ejections: int = 0
    successes: int = 0
    probe_failing_since_s: float | None = None
    gone: bool = False


class Ejection:
    """Ejected targets of one service."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._by_probe: frozenset[str] = frozenset()

    def set_targets(self, targets: frozenset[str]) -> None:
        """Replace the list of the service's targets."""
        self._records = {
            name: self._records.get(name) or _Record()
            for name in sorted(targets)
        }
        self._recount()

    def standing(self, now_s: float, target: str) -> Standing:
        """Return how far the target may be used now."""
        record = self._records[target]
        if record.ejected_until_s is not None:
            if now_s < record.ejected_until_s:
                return Standing.OUT
            return Standing.PROBATION
        return Standing.OUT if target in self._by_probe else Standing.IN

    def failed(self, now_s: float, target: str) -> None:
        """Count an own failure; in probation, one ejects again."""
        record = self._records[target]
        record.failures += 1
        record.successes = 0
        on_trial = record.ejected_until_s is not None
        if record.failures < FAILURES_TO_EJECT and not on_trial:
            return
        if not on_trial and not self._another_serves(target):
            return
        if on_trial and now_s < (record.ejected_until_s or 0.0):
            return
        self._eject(now_s, record)
        self._recount()

    def succeeded(self, target: str) -> bool:
        """Count an own success; true if this re-admits the target."""
        record = self._records[target]
        record.failures = 0
        if record.ejected_until_s is None:
            return False
        record.successes += 1
        if record.successes < SUCCESSES_TO_READMIT:
            return False
        record.ejected_until_s = None
        record.ejections = 0
        self._recount()
        return True

    def probed(self, now_s: float, target: str, *, failing: bool) -> None:
        """Record whether the probes of a target fail."""
        record = self._records[target]
        if failing == (record.probe_failing_since_s is not None):
            return
        record.probe_failing_since_s = now_s if failing else None
        self._recount()

    def set_leaving(self, target: str, leaving: bool) -> None:
        """Record that a target is out of service because it leaves."""
        record = self._records[target]
        if record.gone != leaving:
            record.gone = leaving
            self._recount()

    def _eject(self, now_s: float, record: _Record) -> None:
        length_s = FIRST_EJECTION_S * 2**record.ejections
        record.ejected_until_s = now_s + min(length_s, LONGEST_EJECTION_S)
        record.ejections = min(record.ejections + 1, 10)
        record.failures = 0

    def _another_serves(self, target: str) -> bool:
        return any(
            not record.gone and record.ejected_until_s is None
            for name, record in self._records.items()
            if name != target
        )

    def _recount(self) -> None:
        """Choose the targets that probes take out, longest failing first.

        Targets that leave or that own failures ejected come off the number
        that probes may take out.
        """
        floor = (len(self._records) + 1) // 2
        out = 0
        failing: list[tuple[float, str]] = []
        for name, record in self._records.items():
            if record.gone or record.ejected_until_s is not None:
                out += 1
            elif record.probe_failing_since_s is not None:
                failing.append((record.probe_failing_since_s, name))
        allowed = max(0, len(self._records) - out - floor)
        failing.sort()
        self._by_probe = frozenset(name for _, name in failing[:allowed])
