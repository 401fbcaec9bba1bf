"""The targets of one service in the order of their distance."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from verbenaworks.choice_result import ExcludedTarget, ExclusionReason
from verbenaworks.target import TargetInfo
from verbenaworks.target_stats import TargetStats


@dataclass(frozen=True, kw_only=True, slots=True)
class Location:
    """Where an instance is, and its delays to other places.

    :param domain_delay_s: between failure domains of a region, one way.
    :param region_delay_s: between regions, one way.
    """

    instance: str
    region: str
    failure_domain: str
    domain_delay_s: float
    region_delay_s: float


class TargetRow:
    """A target with what the choice reads for each request."""

    __slots__ = (
        "connections",
        "distance",
        "ejected",
        "expected_s",
        "info",
        "name",
        "region",
        "round_trip_s",
        "slower_candidate",
        "stats",
    )

    def __init__(
        self, info: TargetInfo, stats: TargetStats, place: Location
    ) -> None:
        self.info = info
        self.name = info.name
        self.region = info.region
        self.stats = stats
        self.ejected = False
        # Set while a choice considers the row.
        self.expected_s = 0.0
        self.slower_candidate = ExcludedTarget(
            info.name, ExclusionReason.SLOWER
        )
        self.connections = info.connections
        self.distance = 0
        self.round_trip_s = 0.0
        if info.region != place.region:
            self.distance = 2
            self.round_trip_s = 2 * place.region_delay_s
        elif info.failure_domain != place.failure_domain:
            self.distance = 1
            self.round_trip_s = 2 * place.domain_delay_s


class TargetsByDistance:
    """Rows of one service, nearest first."""

    def __init__(
        self,
        place: Location,
        candidates: Sequence[TargetInfo],
        stats: Mapping[str, TargetStats],
    ) -> None:
        self.candidates = candidates
        rows = [TargetRow(c, stats[c.name], place) for c in candidates]
        rows.sort(key=lambda row: (row.distance, row.region, row.name))
        self.rows = rows
        self.by_name = {row.name: row for row in rows}
        self.regions = sorted(
            {(row.region, row.distance == 2) for row in rows}
        )
        self.rows_by_distance = [
            [row for row in rows if row.distance == distance]
            for distance in range(3)
        ]
        self.farther_candidates = [
            tuple(
                ExcludedTarget(row.name, ExclusionReason.FARTHER)
                for row in rows
                if row.distance > distance
            )
            for distance in range(3)
        ]
