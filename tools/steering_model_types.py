"""Sizes and results of the replay of load patterns."""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

CACHED_SERVICE_TIME_S = 0.2


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelRegion:
    """One region of a modelled deployment."""

    name: str
    instances: int
    servers: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelSize:
    """Sizes of a modelled deployment.

    The defaults are the sizes of the users' deployment.

    :ivar slots: requests that a server runs at the same time.
    :ivar affinity_keys: number of distinct affinity keys of the requests.
    :ivar max_cached_keys: affinity keys that fit in the cache of a server.
    """

    regions: tuple[ModelRegion, ...] = (
        ModelRegion(name="r", instances=10, servers=16),
    )
    slots: int = 6
    affinity_keys: int = 47
    max_cached_keys: int = 37

    @property
    def capacity_per_s(self) -> float:
        """Requests per second that all servers run with warm caches."""
        servers = sum(region.servers for region in self.regions)
        return servers * self.slots / CACHED_SERVICE_TIME_S


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelTraffic:
    """Requests of one rank and workspace.

    :param per_s: returns the requests per second at a given time.
    """

    per_s: Callable[[float], float]
    rank: int = 0
    workspace: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelRun:
    """One request that ran.

    :ivar from_region: region of its caller.
    :ivar in_region: region of the server.
    """

    arrived_s: float
    from_region: str
    in_region: str


@dataclass(kw_only=True, slots=True)
class ModelResult:
    """Counts of requests by their outcome.

    :ivar requests: requests that arrived.
    :ivar useful: requests answered within the latency objective.
    :ivar late: requests answered after the objective but before the timeout.
    :ivar refused: requests refused by placement or by a full server queue.
    :ivar failed: requests that timed out.
    :ivar sent_in_pauses: requests sent to servers that wanted a pause.
    :ivar returned: requests that were refused once and sent again.
    :ivar useful_at_s: end times of the useful requests.
    :ivar runs: requests that ran, in the order of their ends.
    :ivar by_class: counts by outcome, by rank and workspace.
    """

    requests: int = 0
    useful: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    sent_in_pauses: int = 0
    returned: int = 0
    useful_at_s: list[float] = field(default_factory=list)
    runs: list[ModelRun] = field(default_factory=list)
    by_class: dict[tuple[int, str], Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter)
    )

    @property
    def useful_share(self) -> float:
        """Share of requests answered within the latency objective."""
        return self.useful / max(1, self.requests)

    def useful_share_of(
        self, rank: int | None = None, workspace: str | None = None
    ) -> float:
        """Return the useful share of the requests of a rank or workspace."""
        total: Counter[str] = Counter()
        for key, counts in self.by_class.items():
            if rank in (None, key[0]) and workspace in (None, key[1]):
                total.update(counts)
        return total["useful"] / max(1, total["requests"])

    @property
    def served_return_share(self) -> float:
        """Share of the requests that were sent again that were not refused."""
        return 1.0 - self.refused / max(1, self.returned)

    def answered_share(self) -> float:
        """Return the share of counted requests answered before the timeout."""
        total: Counter[str] = Counter()
        for counts in self.by_class.values():
            total.update(counts)
        return total["answered"] / max(1, total["requests"])

    def useful_per_s(self, from_s: float, to_s: float) -> float:
        """Return the rate of useful responses between two times."""
        count = sum(from_s <= at_s < to_s for at_s in self.useful_at_s)
        return count / (to_s - from_s)

    def moved_share(self, region: str, at_s: float, window_s: float) -> float:
        """Return the share of a region's requests that changed their region.

        :param at_s: end of the first and start of the second window.
        """
        before: Counter[str] = Counter()
        after: Counter[str] = Counter()
        for run in self.runs:
            if run.from_region != region:
                continue
            if at_s - window_s <= run.arrived_s < at_s:
                before[run.in_region] += 1
            elif at_s <= run.arrived_s < at_s + window_s:
                after[run.in_region] += 1
        if not before or not after:
            return 0.0
        return sum(
            max(0.0, after[r] / after.total() - before[r] / before.total())
            for r in after
        )
