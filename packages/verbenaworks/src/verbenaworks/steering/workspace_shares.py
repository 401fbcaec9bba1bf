"""Shares of the workspaces in the throughput of one service."""

from collections.abc import Mapping, Sequence
from statistics import fmean

from verbenaworks.fair_share import fair_share
from verbenaworks.steering.admission_counts import STARVED_SHARE
from verbenaworks.steering.report_summary import short_hash

# Demand is divided in these units.
UNITS_PER_S = 100
# Credit of a workspace before its first request, in requests.
INITIAL_CREDIT = 0.5

_Key = tuple[int, int]


class WorkspaceShares:
    """Weighted max-min shares by rank and workspace.

    A rank gets the throughput that more urgent ranks leave. Within a rank, no
    workspace gets more than its demand, and those that want more share by
    their weights. The same part of a workspace's requests is within its share
    at each instance, so that the instances need not divide the share.

    :param weights: weights of the workspaces by their short hash; others have
        the mean of these.
    """

    def __init__(self, weights: Mapping[int, float] | None = None) -> None:
        self._weights = weights or {}
        self._mean_weight = fmean(self._weights.values() or (1.0,))
        self._within: dict[_Key, float] = {}
        self._credits: dict[_Key, float] = {}
        self._limits_per_s: dict[int, float] = {}

    def update(
        self,
        local_per_s: Mapping[tuple[int, str], float],
        peers_per_s: Mapping[int, float],
        admitted_share: float,
    ) -> None:
        """Divide the throughput again.

        :param local_per_s: arrivals at this instance by rank and workspace.
        :param peers_per_s: arrivals at other instances by the short hash of
            the workspace.
        :param admitted_share: share of all requests that is admitted.
        """
        demand = _fleet_demand(local_per_s, peers_per_s)
        left = admitted_share * sum(demand.values())
        self._within = {}
        self._limits_per_s = {}
        for rank in sorted({rank for rank, _ in demand}):
            keys = [key for key in demand if key[0] == rank]
            units = [max(1, round(demand[key] * UNITS_PER_S)) for key in keys]
            reserved = STARVED_SHARE * admitted_share * sum(units)
            total = max(round(left * UNITS_PER_S), round(reserved))
            shares = fair_share(total, units, self._weights_of(keys))
            left -= sum(shares) / UNITS_PER_S
            for key, share, wanted in zip(keys, shares, units, strict=True):
                self._within[key] = share / wanted
            if total < sum(units):
                self._limits_per_s[rank] = max(shares) / UNITS_PER_S
        self._credits = {
            key: credit
            for key, credit in self._credits.items()
            if key in self._within
        }

    def _weights_of(self, keys: Sequence[_Key]) -> list[int]:
        return [
            max(1, round(self._weights.get(workspace, self._mean_weight)))
            for _, workspace in keys
        ]

    def limit_per_s(self, rank: int) -> float | None:
        """Return the largest share in a rank; none if it is not short."""
        return self._limits_per_s.get(rank)

    @property
    def first_limit_per_s(self) -> float | None:
        """Largest share in the most urgent rank that is short; else none."""
        if not self._limits_per_s:
            return None
        return self._limits_per_s[min(self._limits_per_s)]

    def take(self, rank: int, workspace: str) -> bool:
        """Return whether a workspace's next request is within its share."""
        key = (rank, short_hash(workspace))
        within = self._within.get(key, 1.0)
        if within >= 1.0:
            return True
        credit = self._credits.get(key, INITIAL_CREDIT) + within
        is_within = credit >= 1.0
        self._credits[key] = credit - is_within
        return is_within


def _fleet_demand(
    local_per_s: Mapping[tuple[int, str], float],
    peers_per_s: Mapping[int, float],
) -> dict[_Key, float]:
    """Return the arrivals in the fleet by rank and workspace.

    Reports do not tell the rank. Another instance's requests of a workspace
    are assumed to have the same ranks as those that arrive here.
    """
    demand: dict[_Key, float] = {}
    by_workspace: dict[int, dict[int, float]] = {}
    by_rank: dict[int, float] = {}
    for (rank, workspace), per_s in local_per_s.items():
        workspace_hash = short_hash(workspace)
        demand[rank, workspace_hash] = per_s
        by_workspace.setdefault(workspace_hash, {})[rank] = per_s
        by_rank[rank] = by_rank.get(rank, 0.0) + per_s
    for workspace_hash, per_s in peers_per_s.items():
        ranks = by_workspace.get(workspace_hash, by_rank)
        local = sum(ranks.values())
        for rank, part in ranks.items():
            key = (rank, workspace_hash)
            if local:
                demand[key] = demand.get(key, 0.0) + per_s * part / local
    return demand
