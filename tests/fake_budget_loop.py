"""Budget clients whose owners reply in the same process."""

from collections.abc import Callable

from verbenaworks.budget_client import BudgetClient
from verbenaworks.budget_owner import BudgetOwner
from verbenaworks.budget_spec import Budget, shard_of
from verbenaworks.control_record import SHARD_COUNT


class _Lease:
    """A lease that never expires."""

    epoch = 1

    def is_valid(self, now_s: float) -> bool:
        """Return true."""
        return True


class FakeLoop:
    """Clients whose owners reply at once."""

    def __init__(
        self,
        budgets: list[Budget],
        now_s: list[float],
        started_at_s: float = -1e6,
    ) -> None:
        self._now_s = now_s
        self._clients = []
        self._owners = []
        self._request_count = 0
        for shard in range(SHARD_COUNT):
            client = BudgetClient(shard=shard, instance="e1", incarnation=1)
            client.configure(0.0, budgets)
            client.owner_changed(1)
            owner = BudgetOwner(
                shard=shard,
                lease=_Lease(),
                started_at_s=started_at_s,
                wait_s=0.0,
            )
            owner.configure(0.0, budgets)
            self._clients.append(client)
            self._owners.append(owner)

    def demand(self, budget: str) -> tuple[int, int] | None:
        """Return the demand for a budget as its owner reports it."""
        return self._owners[shard_of(budget)].demand(self._now_s[0], budget)

    def client_of(self, shard: int) -> BudgetClient:
        """Return the client of a shard."""
        return self._clients[shard]

    def send_if_due(self, shard: int) -> None:
        """Do nothing; :meth:`advance` exchanges the messages."""

    def requests_in(
        self, duration_s: float, wait: Callable[[float], None]
    ) -> int:
        """Return how many requests are sent in a time."""
        before = self._request_count
        wait(duration_s)
        return self._request_count - before

    def advance(self, duration_s: float) -> None:
        """Let time pass, and exchange requests and replies."""
        self._now_s[0] += duration_s
        now_s = self._now_s[0]
        for client, owner in zip(self._clients, self._owners, strict=True):
            for _ in range(4):
                request = client.next_request(now_s)
                reply = request and owner.handle(now_s, request)
                self._request_count += request is not None
                if reply:
                    client.accept(now_s, reply)
