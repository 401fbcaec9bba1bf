"""The owner's state of one concurrency budget."""

from verbenaworks.allocation_table import AllocationTable, ClientKey
from verbenaworks.budget_spec import (
    GRANT_TTL_S,
    ConcurrencyBudget,
    with_drift_margin_s,
)
from verbenaworks.demand_table import DemandTable
from verbenaworks.grant import Grant, GrantRequestEntry


class ConcurrencyPool:
    """Divides the units of one budget.

    :param issues_from_s: when this owner starts to issue grants; those of
        earlier owners were requested before.
    """

    def __init__(
        self, budget: ConcurrencyBudget, issues_from_s: float
    ) -> None:
        self._name = budget.name
        self._linger_s = budget.linger_s
        self._units = AllocationTable(
            budget.capacity, issues_from_s + self._grant_lifetime_s()
        )
        self._demand = DemandTable(min_reserve=1, name=budget.name)

    @property
    def client_count(self) -> int:
        """The number of clients that may hold units."""
        return self._units.client_count

    def configure(self, now_s: float, budget: ConcurrencyBudget) -> None:
        """Apply changed settings."""
        self._units.set_capacity(budget.capacity)
        # Units acquired before a decrease keep the longer linger time.
        self._linger_s = max(self._linger_s, budget.linger_s)

    def stop_issuing(self, now_s: float) -> None:
        """Stop issuing grants because the budget was removed."""
        self._units.set_capacity(0)

    def has_client(self, client: ClientKey) -> bool:
        """Return whether a client may hold units."""
        return self._units.has_client(client)

    def expire(self, now_s: float) -> None:
        """Reclaim the units whose grants have expired."""
        self._units.expire(now_s, self._demand.forget)

    def handle_entry(
        self, now_s: float, client: ClientKey, entry: GrantRequestEntry
    ) -> Grant:
        """Record what a client keeps and return its new grant."""
        self.expire(now_s)
        units = self._units
        units.record_report(now_s, client, entry.kept)
        self._demand.set_demand(client, entry.wants)
        self._demand.divide(now_s, units.limit(now_s), client)
        amount = units.grantable(now_s, client, self._demand.target(client))
        units.record_grant(client, amount, now_s + self._grant_lifetime_s())
        return Grant(
            budget=self._name,
            amount=amount,
            depth=0,
            tokens=0,
            ttl_s=GRANT_TTL_S,
            parts=self._demand.workspace_amounts(client),
        )

    def _grant_lifetime_s(self) -> float:
        return with_drift_margin_s(GRANT_TTL_S + self._linger_s)
