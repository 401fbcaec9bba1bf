"""The owner's state of one level budget."""

from verbenaworks.budget_spec import (
    GRANT_TTL_S,
    ConcurrencyBudget,
    with_drift_margin_s,
)
from verbenaworks.demand_table import DemandTable
from verbenaworks.grant import Grant, GrantRequestEntry
from verbenaworks.holding_book import Holder, HoldingBook


class LevelPool:
    """Divides the units of one budget.

    :param issues_from_s: when this owner starts to issue; grants of earlier
        owners were requested before.
    """

    def __init__(
        self, budget: ConcurrencyBudget, issues_from_s: float
    ) -> None:
        self._name = budget.name
        self._linger_s = budget.linger_s
        self._units = HoldingBook(
            budget.capacity, issues_from_s + self._hold_s()
        )
        self._demand = DemandTable(spare=1, name=budget.name)

    @property
    def holders(self) -> int:
        """The number of takers that may hold units."""
        return self._units.holders

    def configure(self, now_s: float, budget: ConcurrencyBudget) -> None:
        """Put changed settings in force."""
        self._units.set_capacity(budget.capacity)
        # Units taken before a decrease may linger as long as before.
        self._linger_s = max(self._linger_s, budget.linger_s)

    def retire(self, now_s: float) -> None:
        """Stop issuing, because the budget was removed."""
        self._units.set_capacity(0)

    def has_holder(self, holder: Holder) -> bool:
        """Return whether a taker may hold units."""
        return self._units.has(holder)

    def lapse(self, now_s: float) -> None:
        """Take back the units whose grants have expired."""
        self._units.lapse(now_s, self._demand.forget)

    def exchange(
        self, now_s: float, holder: Holder, want: GrantRequestEntry
    ) -> Grant:
        """Record what a taker keeps and answer its wants."""
        self.lapse(now_s)
        units = self._units
        units.report(now_s, holder, want.kept)
        self._demand.set_wants(holder, want.wants)
        self._demand.divide(now_s, units.limit(now_s), holder)
        amount = units.offer(now_s, holder, self._demand.target(holder))
        units.grant(holder, amount, now_s + self._hold_s())
        return Grant(
            budget=self._name,
            amount=amount,
            depth=0,
            tokens=0,
            ttl_s=GRANT_TTL_S,
            parts=self._demand.parts(holder),
        )

    def _hold_s(self) -> float:
        return with_drift_margin_s(GRANT_TTL_S + self._linger_s)
