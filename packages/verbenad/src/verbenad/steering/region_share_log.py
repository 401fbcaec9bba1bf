"""Log lines about the shares of objects that regions serve themselves."""

from collections.abc import Mapping

import logbook

# Smaller changes are not logged, so that slow moves do not fill the log.
MIN_LOGGED_CHANGE = 0.05

_log = logbook.Logger("verbenad.placement")


class RegionShareLog:
    """Logs shares that have changed since their last line."""

    def __init__(self) -> None:
        self._logged: dict[tuple[str, str], float] = {}

    def record(self, shares: Mapping[tuple[str, str], float]) -> None:
        """Log the shares that have changed.

        :param shares: shares by region and service.
        """
        for (region, service), share in shares.items():
            logged = self._logged.get((region, service))
            if logged is not None and abs(share - logged) < MIN_LOGGED_CHANGE:
                continue
            self._logged[(region, service)] = share
            _log.info(
                "region share changed",
                extra={
                    "service": service,
                    "region": region,
                    "share": round(share, 3),
                },
            )
