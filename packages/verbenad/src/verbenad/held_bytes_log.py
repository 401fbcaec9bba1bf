"""Log lines about requests for whose bytes there was no room."""

from collections import Counter

import logbook

from verbenad.held_bytes import HeldBytes

_log = logbook.Logger("verbenad.memory")


class HeldBytesLog:
    """Logs holdings that were refused or dropped since the last line.

    :param held_bytes: the bytes that are held.
    """

    def __init__(self, held_bytes: HeldBytes) -> None:
        self._held_bytes = held_bytes
        self._logged: Counter[str] = Counter()

    def record(self) -> None:
        """Log the events since the last call, if there were any."""
        held_bytes = self._held_bytes
        new = held_bytes.counters - self._logged
        self._logged = held_bytes.counters.copy()
        if new:
            _log.warning(
                "no room for the bytes of requests",
                extra={
                    "refused": new["refused"],
                    "dropped": new["dropped"],
                    "held_bytes": held_bytes.held_bytes,
                    "limit_bytes": held_bytes.limit_bytes,
                },
            )
