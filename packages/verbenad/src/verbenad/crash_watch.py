"""Tracks the requests in flight on each backend server."""

import itertools

from verbenad.crash_reports import CrashReports


class CrashWatch:
    """Attempts in flight by target.

    A crash ends all attempts on a target. They are reported together as one
    crash.
    """

    def __init__(self, reports: CrashReports) -> None:
        self._reports = reports
        self._in_flight: dict[str, dict[int, str]] = {}
        self._reported: set[int] = set()
        self._serials = itertools.count()

    def record_start(self, target: str, digest: str) -> int:
        """Record the start of an attempt and return its serial number."""
        serial = next(self._serials)
        self._in_flight.setdefault(target, {})[serial] = digest
        return serial

    def record_end(self, target: str, serial: int) -> None:
        """Record the end of an attempt."""
        in_flight = self._in_flight.get(target, {})
        in_flight.pop(serial, None)
        self._reported.discard(serial)
        if not in_flight:
            self._in_flight.pop(target, None)

    def record_crash(self, target: str, serial: int) -> None:
        """Report the crash that ended an attempt, unless already reported."""
        if serial in self._reported:
            return
        in_flight = self._in_flight.get(target, {})
        self._reported.update(in_flight)
        self._reports.report(tuple(sorted(set(in_flight.values()))))
