"""Arrivals at the other instances, by service and workspace."""

from collections.abc import Collection, Mapping

# Arrivals are reported in hundredths per second.
UNITS_PER_S = 100
# Most workspaces per service in a report. A workspace above its share is among
# those with the largest demand.
MAX_REPORTED_WORKSPACES = 32


class FleetDemand:
    """Demand in the last reports of the other instances.

    Old reports are ignored, unless there are no others: an instance that is
    cut off goes on with what it knew last.
    """

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, Mapping[int, dict[int, int]]]]
        self._reports = {}
        self._valid_s = float("inf")

    def record(
        self,
        now_s: float,
        instance: str,
        demand: Mapping[int, dict[int, int]],
        valid_s: float,
    ) -> None:
        """Record the demand in a report.

        :param demand: arrivals per second in hundredths, by short hashes of
            the service and of the workspace.
        :param valid_s: time for which a report is used.
        """
        self._reports[instance] = (now_s, demand)
        self._valid_s = valid_s

    def set_instances(self, names: Collection[str]) -> None:
        """Delete the reports of instances that are not registered."""
        for name in self._reports.keys() - set(names):
            del self._reports[name]

    def age_s(self, now_s: float) -> float | None:
        """Return the age of the newest report; none without any report."""
        if not self._reports:
            return None
        return now_s - max(at_s for at_s, _ in self._reports.values())

    def per_s(self, now_s: float, service_hash: int) -> dict[int, float]:
        """Return the arrivals per second by short hash of the workspace."""
        oldest_s = now_s - self._valid_s
        used = [
            demand
            for at_s, demand in self._reports.values()
            if at_s >= oldest_s
        ] or [demand for _, demand in self._reports.values()]
        total: dict[int, float] = {}
        for demand in used:
            for workspace, units in demand.get(service_hash, {}).items():
                total[workspace] = total.get(workspace, 0.0) + (
                    max(0, units) / UNITS_PER_S
                )
        return total
