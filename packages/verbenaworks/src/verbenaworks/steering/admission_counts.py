"""Recent arrivals and admissions of one service, by rank and workspace."""

import math
from collections.abc import Hashable
from typing import TypeVar

from verbenaworks.steering.decaying_count import DecayingCount

# Requests are forgotten with this time constant: a class must not wait longer
# than a few seconds for its minimum share.
TIME_CONSTANT_S = 4.0
# A rank or workspace counts as starved if it is admitted less often than this
# share of how often all requests are. The deployments require a quarter.
STARVED_SHARE = 0.4
# A rate of admission from few requests is noise; this many requests that are
# admitted as often as all others are added to it.
PRIOR_REQUESTS = 3.0
# Smaller counts are deleted, and their rank is not present any more.
MIN_COUNT = 0.05

_Key = TypeVar("_Key", bound=Hashable)


class _Counts:
    """Arrivals and admissions of one class."""

    __slots__ = ("admitted", "arrived")

    def __init__(self) -> None:
        self.arrived = DecayingCount(TIME_CONSTANT_S)
        self.admitted = DecayingCount(TIME_CONSTANT_S)

    def record(self, now_s: float, *, is_admitted: bool) -> None:
        self.arrived.add(now_s)
        if is_admitted:
            self.admitted.add(now_s)


class AdmissionCounts:
    """Requests of one service that arrived at this instance."""

    def __init__(self) -> None:
        self._all = _Counts()
        self._by_rank: dict[int, _Counts] = {}
        self._by_workspace: dict[str, _Counts] = {}
        self._by_both: dict[tuple[int, str], _Counts] = {}

    def record(
        self, now_s: float, rank: int, workspace: str, *, is_admitted: bool
    ) -> None:
        """Count a request."""
        for counts in (
            self._all,
            self._by_rank.setdefault(rank, _Counts()),
            self._by_workspace.setdefault(workspace, _Counts()),
            self._by_both.setdefault((rank, workspace), _Counts()),
        ):
            counts.record(now_s, is_admitted=is_admitted)

    def admitted_share(self, now_s: float) -> float:
        """Return the share of all requests that were admitted."""
        arrived = self._all.arrived.value(now_s)
        if not arrived:
            return 1.0
        return self._all.admitted.value(now_s) / arrived

    def rank_count(self, now_s: float, below: float = math.inf) -> int:
        """Return how many ranks have requests.

        :param below: counts only more urgent ranks than this one.
        """
        return sum(
            rank < below and counts.arrived.value(now_s) >= MIN_COUNT
            for rank, counts in self._by_rank.items()
        )

    def is_starved(self, now_s: float, rank: int, workspace: str) -> bool:
        """Whether a rank or a workspace is admitted far too seldom."""
        usual = self.admitted_share(now_s)
        return any(
            counts is not None and self._is_starved(now_s, counts, usual)
            for counts in (
                self._by_rank.get(rank),
                self._by_workspace.get(workspace),
            )
        )

    def demand_per_s(self, now_s: float) -> dict[tuple[int, str], float]:
        """Return the arrivals per second by rank and workspace."""
        return {
            key: counts.arrived.per_s(now_s)
            for key, counts in self._by_both.items()
        }

    def forget_old(self, now_s: float) -> None:
        """Delete the counts of classes without recent requests."""
        _delete_small(now_s, self._by_rank)
        _delete_small(now_s, self._by_workspace)
        _delete_small(now_s, self._by_both)

    def _is_starved(self, now_s: float, counts: _Counts, usual: float) -> bool:
        arrived = counts.arrived.value(now_s) + PRIOR_REQUESTS
        admitted = counts.admitted.value(now_s) + PRIOR_REQUESTS * usual
        return admitted < STARVED_SHARE * usual * arrived


def _delete_small(now_s: float, by_key: dict[_Key, _Counts]) -> None:
    for key, counts in list(by_key.items()):
        if counts.arrived.value(now_s) < MIN_COUNT:
            del by_key[key]
