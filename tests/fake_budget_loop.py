"""Takers of budgets whose owners answer in the same process."""

from collections.abc import Callable

from verbenaworks.budget_client import BudgetClient
from verbenaworks.budget_owner import BudgetOwner
from verbenaworks.budget_spec import Budget, shard_of
from verbenaworks.control_record import SHARD_COUNT


class _Lease:
    """A lease that never ends."""

    epoch = 1

    def is_valid(self, now_s: float) -> bool:
        """Return true."""
        return True


class FakeLoop:
    """Takers whose owners answer at once."""

    def __init__(
        self,
        budgets: list[Budget],
        now_s: list[float],
        started_at_s: float = -1e6,
    ) -> None:
        self._now_s = now_s
        self._takers = []
        self._owners = []
        self._requests = 0
        for shard in range(SHARD_COUNT):
            taker = BudgetClient(shard=shard, instance="e1", incarnation=1)
            taker.configure(0.0, budgets)
            taker.owner_changed(1)
            owner = BudgetOwner(
                shard=shard,
                lease=_Lease(),
                started_at_s=started_at_s,
                wait_s=0.0,
            )
            owner.configure(0.0, budgets)
            self._takers.append(taker)
            self._owners.append(owner)

    def demand(self, budget: str) -> tuple[int, int] | None:
        """Return what the owner says of the demand for a budget."""
        return self._owners[shard_of(budget)].demand(self._now_s[0], budget)

    def client_of(self, shard: int) -> BudgetClient:
        """Return the taker of a shard."""
        return self._takers[shard]

    def send_if_due(self, shard: int) -> None:
        """Do nothing: the test exchanges when it advances the time."""

    def requests_in(
        self, duration_s: float, wait: Callable[[float], None]
    ) -> int:
        """Return how many requests are sent in a time."""
        before = self._requests
        wait(duration_s)
        return self._requests - before

    def advance(self, duration_s: float) -> None:
        """Let time pass and exchange requests and replies."""
        self._now_s[0] += duration_s
        now_s = self._now_s[0]
        for taker, owner in zip(self._takers, self._owners, strict=True):
            for _ in range(4):
                request = taker.next_request(now_s)
                reply = request and owner.handle(now_s, request)
                self._requests += request is not None
                if reply:
                    taker.accept(now_s, reply)
