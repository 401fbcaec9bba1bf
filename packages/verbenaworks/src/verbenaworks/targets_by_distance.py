"""The targets of one service, sorted by network distance."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from verbenaworks.choice_result import ExcludedTarget, ExclusionReason
from verbenaworks.target import TargetInfo
from verbenaworks.target_stats import TargetStats


@dataclass(frozen=True, kw_only=True, slots=True)
class Location:
    """Location of an instance, and its network delays.

    :param domain_delay_s: one-way delay between failure domains of a region.
    :param region_delay_s: one-way delay between regions.
    """

    instance: str
    region: str
    failure_domain: str
    domain_delay_s: float
    region_delay_s: float


class TargetRow:
    """A target with the values that each choice of a target reads.

    :ivar distance: 0 in the same failure domain, 1 in the same region, 2 in
        another region.
    """

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
        self, info: TargetInfo, stats: TargetStats, location: Location
    ) -> None:
        self.info = info
        self.name = info.name
        self.region = info.region
        self.stats = stats
        self.ejected = False
        # Set by the choice of a target for each request.
        self.expected_s = 0.0
        self.slower_candidate = ExcludedTarget(
            info.name, ExclusionReason.SLOWER
        )
        self.connections = info.connections
        self.distance = 0
        self.round_trip_s = 0.0
        if info.region != location.region:
            self.distance = 2
            self.round_trip_s = 2 * location.region_delay_s
        elif info.failure_domain != location.failure_domain:
            self.distance = 1
            self.round_trip_s = 2 * location.domain_delay_s


class TargetsByDistance:
    """Rows of one service, nearest first."""

    def __init__(
        self,
        location: Location,
        candidates: Sequence[TargetInfo],
        stats: Mapping[str, TargetStats],
    ) -> None:
        self.candidates = candidates
        rows = [TargetRow(c, stats[c.name], location) for c in candidates]
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
