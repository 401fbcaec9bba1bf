"""Log lines about the shares of requests that run in each region."""

import logbook

from verbenaworks.steering.region_balance import moved_share
from verbenaworks.steering.region_splits import Shares

# Smaller changes are not logged, so that slow moves do not fill the log.
MIN_LOGGED_CHANGE = 0.05

_log = logbook.Logger("verbenad.placement")


class RegionShareLog:
    """Logs shares that have changed since their last line."""

    def __init__(self) -> None:
        self._logged: dict[str, dict[str, float]] = {}

    def record(self, shares_by_service: Shares) -> None:
        """Log the shares that have changed."""
        for service, shares in shares_by_service.items():
            logged = self._logged.get(service)
            if (
                logged is not None
                and moved_share(logged, shares) < MIN_LOGGED_CHANGE
            ):
                continue
            self._logged[service] = dict(shares)
            _log.info(
                "region shares changed",
                extra={
                    "service": service,
                    "shares": {k: round(v, 3) for k, v in shares.items()},
                },
            )
