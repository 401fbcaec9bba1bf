"""Outlier ejection of targets at this instance, and their re-admission.

Failures of the instance's own requests are reliable evidence; a failing probe
may be the fault of the health endpoint alone. Failing probes therefore never
leave fewer than half of a service's targets in service, and failures of own
requests leave at least one.
"""

from dataclasses import dataclass
from enum import Enum, auto

FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
SUCCESSES_TO_READMIT = 2


class EjectionState(Enum):
    """Whether and how a target may be used."""

    IN_SERVICE = auto()
    PROBATION = auto()
    EJECTED = auto()


@dataclass(kw_only=True, slots=True)
class _Record:
    failures: int = 0
    ejected_until_s: float | None = None
    ejections: int = 0
    successes: int = 0
    probe_failing_since_s: float | None = None
    is_leaving: bool = False


class Ejection:
    """Ejected targets of one service."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._ejected_by_probes: frozenset[str] = frozenset()

    def set_targets(self, targets: frozenset[str]) -> None:
        """Replace the list of the service's targets."""
        self._records = {
            name: self._records.get(name) or _Record()
            for name in sorted(targets)
        }
        self._update_probe_ejections()

    def state(self, now_s: float, target: str) -> EjectionState:
        """Return whether and how the target may be used now."""
        record = self._records[target]
        if record.ejected_until_s is not None:
            if now_s < record.ejected_until_s:
                return EjectionState.EJECTED
            return EjectionState.PROBATION
        return (
            EjectionState.EJECTED
            if target in self._ejected_by_probes
            else EjectionState.IN_SERVICE
        )

    def record_failure(self, now_s: float, target: str) -> None:
        """Record a failed request; on probation, one failure ejects again."""
        record = self._records[target]
        record.failures += 1
        record.successes = 0
        on_probation = record.ejected_until_s is not None
        if record.failures < FAILURES_TO_EJECT and not on_probation:
            return
        if not on_probation and not self._has_other_in_service(target):
            return
        if on_probation and now_s < (record.ejected_until_s or 0.0):
            return
        self._eject(now_s, record)
        self._update_probe_ejections()

    def record_success(self, target: str) -> bool:
        """Record a successful request; true if this re-admits the target."""
        record = self._records[target]
        record.failures = 0
        if record.ejected_until_s is None:
            return False
        record.successes += 1
        if record.successes < SUCCESSES_TO_READMIT:
            return False
        record.ejected_until_s = None
        record.ejections = 0
        self._update_probe_ejections()
        return True

    def record_probe(
        self, now_s: float, target: str, *, failing: bool
    ) -> None:
        """Record whether the probes of a target fail."""
        record = self._records[target]
        if failing == (record.probe_failing_since_s is not None):
            return
        record.probe_failing_since_s = now_s if failing else None
        self._update_probe_ejections()

    def set_leaving(self, target: str, leaving: bool) -> None:
        """Record whether a target is leaving and so out of service."""
        record = self._records[target]
        if record.is_leaving != leaving:
            record.is_leaving = leaving
            self._update_probe_ejections()

    def _eject(self, now_s: float, record: _Record) -> None:
        duration_s = FIRST_EJECTION_S * 2**record.ejections
        record.ejected_until_s = now_s + min(duration_s, MAX_EJECTION_S)
        record.ejections = min(record.ejections + 1, 10)
        record.failures = 0

    def _has_other_in_service(self, target: str) -> bool:
        return any(
            not record.is_leaving and record.ejected_until_s is None
            for name, record in self._records.items()
            if name != target
        )

    def _update_probe_ejections(self) -> None:
        """Choose the targets that probes eject, longest failing first.

        Targets that are leaving or ejected for failed requests reduce the
        number that probes may eject.
        """
        min_in_service = (len(self._records) + 1) // 2
        unavailable_count = 0
        failing: list[tuple[float, str]] = []
        for name, record in self._records.items():
            if record.is_leaving or record.ejected_until_s is not None:
                unavailable_count += 1
            elif record.probe_failing_since_s is not None:
                failing.append((record.probe_failing_since_s, name))
        max_ejections = max(
            0, len(self._records) - unavailable_count - min_in_service
        )
        failing.sort()
        self._ejected_by_probes = frozenset(
            name for _, name in failing[:max_ejections]
        )
