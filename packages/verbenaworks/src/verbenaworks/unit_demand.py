"""How many units an instance should hold for one service.

An instance needs more units than requests: a request that arrives while all
units are in use waits for an exchange with the owner of the budget. It holds
a reserve that grows with the square root of its usual number of requests,
because that is how far the number varies around its mean.
"""

from math import ceil, exp, sqrt

_MEMORY_S = 2.0
_RESERVE = 1.5
# An instance without requests keeps one unit for this long.
_KEEP_ONE_S = 30.0
# Fewer requests than this on average are none.
_IDLE = 0.01


class UnitDemand:
    """Wanted units per workspace."""

    def __init__(self) -> None:
        self._busy: dict[str, int] = {}
        self._means: dict[str, float] = {}
        self._at_s = 0.0
        self._seen_s = float("-inf")

    def set_busy(self, now_s: float, workspace: str, busy: int) -> None:
        """Record the requests of a workspace that run or wait."""
        self._age(now_s)
        self._seen_s = now_s
        self._busy[workspace] = busy
        self._means.setdefault(workspace, 0.0)

    def amounts(self, now_s: float) -> dict[str, int]:
        """Return the units to ask for; zero for idle workspaces."""
        self._age(now_s)
        busy = sum(self._busy.values())
        mean = sum(self._means.values())
        if mean < _IDLE:
            mean = 0.0
        least = 1 if now_s - self._seen_s < _KEEP_ONE_S else 0
        wanted = max(busy, least, ceil(mean + _RESERVE * sqrt(mean)))
        amounts = dict(self._busy)
        self._add_reserve(amounts, wanted - busy, mean)
        for workspace, amount in list(amounts.items()):
            if amount == 0 and self._means[workspace] < _IDLE:
                del self._busy[workspace], self._means[workspace]
        return amounts

    def _add_reserve(
        self, amounts: dict[str, int], reserve: int, mean: float
    ) -> None:
        """Spread the reserve over workspaces by their usual requests."""
        if reserve <= 0 or not amounts:
            return
        owed = 0.0
        for workspace in sorted(amounts, key=self._means.__getitem__):
            share = self._means[workspace] / mean if mean > 0 else 0.0
            owed += reserve * share
            whole = int(owed + 1e-9)
            amounts[workspace] += whole
            owed -= whole
        if mean <= 0:
            amounts[min(amounts)] += reserve

    def _age(self, now_s: float) -> None:
        elapsed_s = now_s - self._at_s
        if elapsed_s <= 0:
            return
        self._at_s = now_s
        kept = exp(-elapsed_s / _MEMORY_S)
        for workspace, mean in self._means.items():
            busy = self._busy[workspace]
            self._means[workspace] = busy + kept * (mean - busy)
