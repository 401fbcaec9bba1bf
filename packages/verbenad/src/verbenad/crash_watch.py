"""Knows which requests were in flight on a backend server that crashed."""

import itertools

from verbenad.crash_reports import CrashReports


class CrashWatch:
    """Attempts in flight by target.

    One crash ends all attempts on a target; they are reported together and
    counted once.
    """

    def __init__(self, reports: CrashReports) -> None:
        self._reports = reports
        self._in_flight: dict[str, dict[int, str]] = {}
        self._blamed: set[int] = set()
        self._serials = itertools.count()

    def started(self, target: str, digest: str) -> int:
        """Enter an attempt and return its number."""
        serial = next(self._serials)
        self._in_flight.setdefault(target, {})[serial] = digest
        return serial

    def ended(self, target: str, serial: int) -> None:
        """Remove an attempt."""
        in_flight = self._in_flight.get(target, {})
        in_flight.pop(serial, None)
        self._blamed.discard(serial)
        if not in_flight:
            self._in_flight.pop(target, None)

    def crashed(self, target: str, serial: int) -> None:
        """Report the crash that ended an attempt, unless it is reported."""
        if serial in self._blamed:
            return
        in_flight = self._in_flight.get(target, {})
        self._blamed.update(in_flight)
        self._reports.report(tuple(sorted(set(in_flight.values()))))
