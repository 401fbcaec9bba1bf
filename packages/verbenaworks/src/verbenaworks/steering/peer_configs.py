"""Versions of the configuration that other instances have in force.

A store that was restored from a copy may have an older configuration than
instances that were in touch with it before. Versions grow, so the newest one
that an instance reports was once acknowledged.
"""

from collections.abc import Collection
from dataclasses import dataclass

# Instances that have not reported for this long are left out.
REPORT_VALID_S = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class _Report:
    version: int
    at_s: float


class PeerConfigs:
    """The last version that each other instance has reported."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    def record(self, now_s: float, name: str, version: int) -> None:
        """Record the version that an instance has in force."""
        self._reports[name] = _Report(version=version, at_s=now_s)

    def newest(self, now_s: float) -> int:
        """Return the newest version that is in force anywhere; 0 if none."""
        return max(
            (r.version for r in self._recent(now_s).values()), default=0
        )

    def holders(self, now_s: float, newer_than: int) -> list[str]:
        """Return the instances with a newer version, the newest first."""
        recent = self._recent(now_s)
        names = [n for n, r in recent.items() if r.version > newer_than]
        return sorted(names, key=lambda name: -recent[name].version)

    def has_heard_most(self, since_s: float, names: Collection[str]) -> bool:
        """Whether most of some instances have reported since a time."""
        heard = sum(
            name in self._reports and self._reports[name].at_s >= since_s
            for name in names
        )
        return 2 * heard > len(names) or not names

    def _recent(self, now_s: float) -> dict[str, _Report]:
        oldest_s = now_s - REPORT_VALID_S
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if report.at_s >= oldest_s
        }
        return self._reports
