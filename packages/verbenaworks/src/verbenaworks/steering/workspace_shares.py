"""Divides each workspace's rate among the instances by demand.

Every instance tells the others how many requests per second each workspace
sends to it, and takes the part of the rate that its own demand is of the sum.
Instances whose reports stop keep their part until their registration ends; an
instance refuses keyed requests before its own registration can end, so parts
are never used twice.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from verbenaworks.steering.workspace_spec import WorkspaceSpec

# Demand is averaged over this time.
DEMAND_WINDOW_S = 2.0
# Part of the even share that an instance without demand keeps, so that the
# first requests of a workspace there are not refused.
FLOOR_SHARE = 0.15


@dataclass(kw_only=True, slots=True)
class _Bucket:
    rate_per_s: float = 0.0
    depth: float = 0.0
    level: float = 0.0
    at_s: float = 0.0
    demand_per_s: float = 0.0
    demand_at_s: float = 0.0


class WorkspaceShares:
    """This instance's part of the rates of all workspaces.

    :param instance: name of this instance.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._members: frozenset[str] = frozenset({instance})
        self._demands: dict[str, Mapping[str, float]] = {}
        self._specs: Mapping[str, WorkspaceSpec] = {}
        self._buckets: dict[str, _Bucket] = {}

    def set_workspaces(
        self, now_s: float, specs: Mapping[str, WorkspaceSpec]
    ) -> None:
        """Replace the workspaces; lower limits bind at once."""
        self._specs = specs
        for name in [n for n in self._buckets if n not in specs]:
            del self._buckets[name]
        self.divide(now_s)

    def set_members(self, now_s: float, names: Iterable[str]) -> None:
        """Replace the registered instances."""
        members = frozenset({*names, self._instance})
        if members == self._members:
            return
        self._members = members
        for name in [n for n in self._demands if n not in members]:
            del self._demands[name]
        self.divide(now_s)

    def set_demand(self, peer: str, demand: Mapping[str, float]) -> None:
        """Enter the requests per second that reach another instance."""
        if peer in self._members:
            self._demands[peer] = demand

    def own_demand(self, now_s: float) -> dict[str, float]:
        """Return the requests per second that reach this instance."""
        demands = {}
        for name, bucket in self._buckets.items():
            demand = self._demand(now_s, bucket)
            if demand >= 0.01:
                demands[name] = round(demand, 2)
        return demands

    def divide(self, now_s: float) -> None:
        """Compute the parts anew; call it regularly."""
        for name, spec in self._specs.items():
            bucket = self._bucket(now_s, name)
            self._fill(now_s, bucket)
            share = self._share(now_s, name, spec, bucket)
            rate_per_s = share * spec.rate_per_s
            depth = max(1.0, share * spec.burst)
            if bucket.depth and depth < bucket.depth:
                bucket.level *= depth / bucket.depth
            bucket.rate_per_s, bucket.depth = rate_per_s, depth

    def take(self, now_s: float, workspace: str) -> bool:
        """Take one request; false if it is over this instance's part."""
        spec = self._specs.get(workspace)
        if spec is None or spec.rate_per_s <= 0:
            return True
        bucket = self._bucket(now_s, workspace)
        demand = self._demand(now_s, bucket) + 1.0 / DEMAND_WINDOW_S
        bucket.demand_per_s, bucket.demand_at_s = demand, now_s
        self._fill(now_s, bucket)
        if bucket.level < 1.0:
            return False
        bucket.level -= 1.0
        return True

    def give_back(self, now_s: float, workspace: str) -> None:
        """Return a request that did not run."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            self._fill(now_s, bucket)
            bucket.level = min(bucket.depth, bucket.level + 1.0)

    def retry_after_s(self, now_s: float, workspace: str) -> float:
        """Return the time until this instance's part has room."""
        bucket = self._buckets.get(workspace)
        if bucket is None or bucket.rate_per_s <= 0:
            return 1.0
        self._fill(now_s, bucket)
        return max(0.0, 1.0 - bucket.level) / bucket.rate_per_s

    def _share(
        self, now_s: float, name: str, spec: WorkspaceSpec, bucket: _Bucket
    ) -> float:
        count = len(self._members)
        floor = FLOOR_SHARE * spec.rate_per_s / count
        own = floor + min(self._demand(now_s, bucket), spec.rate_per_s)
        total = own
        for member in self._members:
            if member == self._instance:
                continue
            demands = self._demands.get(member)
            if demands is None:
                # Nothing is known of it yet: it may use an even share.
                total += floor + spec.rate_per_s / count
            else:
                total += floor + min(demands.get(name, 0.0), spec.rate_per_s)
        return own / total if total > 0 else 1.0 / count

    def _bucket(self, now_s: float, name: str) -> _Bucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            # Empty at first: a restarted instance must not spend a burst
            # that its predecessor has spent already.
            bucket = self._buckets[name] = _Bucket(
                at_s=now_s, demand_at_s=now_s
            )
        return bucket

    def _fill(self, now_s: float, bucket: _Bucket) -> None:
        elapsed_s = max(0.0, now_s - bucket.at_s)
        bucket.at_s = now_s
        bucket.level = min(
            bucket.depth, bucket.level + elapsed_s * bucket.rate_per_s
        )

    def _demand(self, now_s: float, bucket: _Bucket) -> float:
        elapsed_s = max(0.0, now_s - bucket.demand_at_s)
        return bucket.demand_per_s * math.exp(-elapsed_s / DEMAND_WINDOW_S)
