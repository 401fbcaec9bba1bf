"""Shares of one service's requests that run in each region.

The shares follow the demand, but slowly: a fast change would move many
requests to other regions at once, where their data is not cached and where
there may be no room for all of them.
"""

from collections.abc import Iterable, Mapping

from verbenaworks.steering.region_balance import moved_share

# Share of the requests that may leave a region per second, and that may return
# to the callers' region. Demand that falls often rises again soon.
MAX_CHANGE_PER_S = 0.02
MAX_RETURN_PER_S = 0.01
# The same for an instance whose shares differ from those of the region's other
# instances, and the difference from which on it changes them. Smaller ones are
# due to the age of reports and would keep all instances from changing.
MAX_ALIGNMENT_PER_S = 0.05
MIN_ALIGNED_DIFFERENCE = 0.1
# Smaller differences from the wanted shares are ignored, so that objects do
# not move to and fro.
TOLERANCE = 0.03
# A process that was paused makes up for no more than this.
MAX_ELAPSED_S = 1.0


class RegionSplit:
    """The shares that one instance uses.

    :param region: region of the instance.
    :ivar shares: share of the requests by region; their sum is 1.
    :ivar is_settled: whether the shares are more than an initial guess.
    """

    def __init__(self, region: str) -> None:
        self._region = region
        self.shares: dict[str, float] = {}
        self.is_settled = False

    def guess(self, shares: Mapping[str, float]) -> None:
        """Set the shares before there is any traffic."""
        self.shares = dict(shares)

    def follow(self, elapsed_s: float, wanted: Mapping[str, float]) -> None:
        """Move the shares towards the wanted ones."""
        self.is_settled = True
        if moved_share(self.shares, wanted) <= TOLERANCE:
            return
        local_share = self.shares.get(self._region, 0.0)
        returns = wanted.get(self._region, 0.0) > local_share
        per_s = MAX_RETURN_PER_S if returns else MAX_CHANGE_PER_S
        self._move(wanted, per_s * min(elapsed_s, MAX_ELAPSED_S))

    def leave(
        self, parts: Mapping[str, float], wanted: Mapping[str, float]
    ) -> None:
        """Move requests at once from regions that have lost servers.

        :param parts: part of the requests in a region for which its servers
            no longer suffice.
        :param wanted: shares by which the other regions take them over.
        """
        others = {
            region: share
            for region, share in wanted.items()
            if region not in parts
        }
        total = sum(others.values())
        if total <= 0:
            return
        for region, part in parts.items():
            moved = part * self.shares.get(region, 0.0)
            self.shares[region] = self.shares.get(region, 0.0) - moved
            for other, share in others.items():
                self.shares[other] = (
                    self.shares.get(other, 0.0) + moved * share / total
                )

    def align(
        self, elapsed_s: float, peers: Iterable[Mapping[str, float]]
    ) -> None:
        """Move the shares towards those of the region's other instances.

        An instance that has only guessed takes them over at once.
        """
        mean = _mean(peers)
        if not mean:
            return
        if not self.is_settled:
            self.shares = mean
            self.is_settled = True
            return
        if moved_share(self.shares, mean) > MIN_ALIGNED_DIFFERENCE:
            self._move(
                mean, MAX_ALIGNMENT_PER_S * min(elapsed_s, MAX_ELAPSED_S)
            )

    def _move(self, wanted: Mapping[str, float], max_moved: float) -> None:
        moved = moved_share(self.shares, wanted)
        if moved <= 0 or max_moved <= 0 or not wanted:
            return
        part = min(1.0, max_moved / moved)
        self.shares = {
            region: (1.0 - part) * self.shares.get(region, 0.0)
            + part * wanted.get(region, 0.0)
            for region in {*self.shares, *wanted}
        }


def _mean(
    splits: Iterable[Mapping[str, float]],
) -> dict[str, float]:
    splits = list(splits)
    regions = {region for split in splits for region in split}
    return {
        region: sum(split.get(region, 0.0) for split in splits) / len(splits)
        for region in sorted(regions)
    }
