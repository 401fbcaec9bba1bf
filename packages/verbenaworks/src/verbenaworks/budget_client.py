"""State machine of an instance that takes from one shard's budgets."""

from collections.abc import Iterable, Mapping

from verbenaworks.budget_spec import (
    GRANT_TTL_S,
    Budget,
    ConcurrencyBudget,
    RateBudget,
    shard_of,
)
from verbenaworks.grant import GrantReply, GrantRequest
from verbenaworks.level_holding import LevelHolding
from verbenaworks.permit import Permit
from verbenaworks.rate_holding import RateHolding

EXCHANGE_INTERVAL_S = 1.0

# A request without a reply is replaced after several round trips between
# regions (40 ms at most).
RETRY_S = 0.25

# A request that is due for another reason after this part of the interval
# replaces the regular one.
EARLY_SHARE = 0.2

# Requests because of a lack follow each other at this interval; it doubles
# up to the second value while callers still wait.
SHORTAGE_INTERVAL_S = 0.05
LACK_GAP_MAX_S = 0.5

# The same while units are wanted that others hold. Each unit that moves is
# idle until the taker asks again.
UNIT_GAP_MAX_S = 0.1

# A budget nobody asked for during this time is returned.
IDLE_S = 3.0


class BudgetClient:
    """Takes tokens and units from the grants of one instance.

    Times are readings of one monotonic clock of the instance.

    :param incarnation: differs for each start of a process of this name.
    :param exchange_s: interval of the regular requests. A change of owner
        costs no service if no grant expires before the new owner issues.
    """

    def __init__(
        self,
        *,
        shard: int,
        instance: str,
        incarnation: int,
        exchange_s: float = EXCHANGE_INTERVAL_S,
    ) -> None:
        self._exchange_s = exchange_s
        self._shard = shard
        self._taker = instance
        self._incarnation = incarnation
        self._budgets: dict[str, Budget] = {}
        self._holdings: dict[str, LevelHolding | RateHolding] = {}
        # The highest epoch that was heard of, and the highest from which a
        # reply arrived.
        self._highest_epoch = 0
        self._reply_epoch = 0
        self._seq = 0
        self._is_waiting = False
        self._sent_at_s = float("-inf")
        self._is_immediate = False
        # Budgets of which a part is to be returned.
        self._surplus: set[str] = set()
        self._full_at_s = float("-inf")
        self._lack_gap_s = SHORTAGE_INTERVAL_S
        self._serial = 0

    def configure(self, now_s: float, budgets: Iterable[Budget]) -> None:
        """Put the budgets of the shard in force; ignores other shards'."""
        self._budgets = {
            budget.name: budget
            for budget in budgets
            if shard_of(budget.name) == self._shard
        }
        for name, holding in self._holdings.items():
            budget = self._budgets.get(name)
            if isinstance(holding, LevelHolding) and isinstance(
                budget, ConcurrencyBudget
            ):
                holding.limit_linger(budget.linger_s)

    def owner_changed(self, epoch: int) -> None:
        """Learn from the control record that the shard has a new owner."""
        if epoch > self._highest_epoch:
            self._highest_epoch = epoch
            self._is_immediate = True

    def try_acquire(
        self,
        now_s: float,
        budget: str,
        workspace: str,
        amount: int = 1,
        retry: bool = False,
    ) -> Permit | None:
        """Spend tokens or start to use units; ``None`` if there are none.

        On a lack the next request is due at once; the caller tries again
        with ``retry`` when a reply has arrived or :meth:`wait_s` has passed.
        The grant is checked against ``now_s``: a process that pauses after
        reading its clock acts on the state at that reading.
        """
        holding = self._holding(budget)
        if holding is None:
            return None
        self._serial += 1
        hold = Permit(
            budget=budget,
            workspace=workspace,
            amount=amount,
            serial=self._serial,
        )
        match holding:
            case RateHolding():
                taken = holding.try_take(now_s, workspace, amount, retry)
            case LevelHolding():
                taken = holding.try_take(now_s, hold, retry)
        return hold if taken else None

    def refund(self, now_s: float, budget: str, amount: int) -> None:
        """Return tokens of a rate budget that were taken and not used.

        The bucket keeps what fits into its depth, which the owner counts as
        full in any case.
        """
        match self._holdings.get(budget):
            case RateHolding() as holding:
                holding.refund(now_s, amount)
            case _:
                return

    def note_demand(
        self,
        now_s: float,
        budget: str,
        workspace: str,
        *,
        missing: int,
        demand: int,
    ) -> None:
        """Note demand for tokens and how many the caller lacks now.

        For users that take what there is and wait for the rest; with
        ``retry`` in :meth:`try_acquire`, the demand counts once.
        """
        match self._holding(budget):
            case RateHolding() as holding:
                holding.note_demand(now_s, workspace, missing, demand)
            case _:
                return

    def release(self, now_s: float, hold: Permit) -> bool:
        """End the use of units; false if it had ended by itself."""
        match self._holdings.get(hold.budget):
            case LevelHolding() as holding:
                return holding.release(now_s, hold)
            case _:
                return False

    def available(self, now_s: float, budget: str) -> int:
        """Return the granted units that are not in use, or the tokens."""
        holding = self._holdings.get(budget)
        return 0 if holding is None else holding.available(now_s)

    def granted_by_workspace(
        self, now_s: float, budget: str
    ) -> Mapping[str, int]:
        """Return the granted units of a level budget by workspace."""
        match self._holdings.get(budget):
            case LevelHolding() as holding:
                return holding.granted_by_workspace(now_s)
            case _:
                return {}

    def answered_demand(self, budget: str) -> Mapping[str, int]:
        """Return the wants that the newest grant of units answers.

        It is the same object until the next grant.
        """
        match self._holdings.get(budget):
            case LevelHolding() as holding:
                return holding.answered
            case _:
                return {}

    def set_demand(
        self, now_s: float, budget: str, demand: Mapping[str, int]
    ) -> None:
        """Set the demand for units by workspace.

        Without it, the demand is observed from the calls of
        :meth:`try_acquire`.
        """
        if budget not in self._holdings and not any(demand.values()):
            return
        match self._holding(budget):
            case LevelHolding() as holding:
                holding.set_demand(now_s, demand)
            case _:
                return

    def must_end_at_s(self, hold: Permit) -> float:
        """Return when a use of units must end unless the grant is renewed.

        The linger time of slots is the service's deadline, so requests end
        before it. Other users, such as idle connections, must check.
        """
        match self._holdings.get(hold.budget):
            case LevelHolding() as holding:
                return holding.must_end_at_s()
            case _:
                return float("-inf")

    def wait_s(self, now_s: float, budget: str, amount: int = 1) -> float:
        """Return when a lack of tokens ends without another grant."""
        match self._holdings.get(budget):
            case RateHolding() as holding:
                return holding.wait_s(now_s, amount)
            case _:
                return float("inf")

    def held(self, now_s: float, budget: str) -> tuple[int, int]:
        """Return the units or the rate, and the depth, held at a time."""
        match self._holdings.get(budget):
            case RateHolding() | LevelHolding() as holding:
                return holding.held(now_s)
            case _:
                return (0, 0)

    def due_at_s(self) -> float:
        """Return when :meth:`next_request` should be called next."""
        if not self._holdings:
            return float("inf")
        if self._is_immediate:
            return self._sent_at_s
        if self._is_waiting:
            return self._sent_at_s + RETRY_S
        due_s = self._full_at_s + self._exchange_s
        if any(map(self._has_surplus, self._holdings)):
            return min(due_s, self._sent_at_s + SHORTAGE_INTERVAL_S)
        if any(holding.is_short for holding in self._holdings.values()):
            return min(due_s, self._sent_at_s + self._short_gap_s())
        return due_s

    def next_request(self, now_s: float) -> GrantRequest | None:
        """Return the request to send now, if one is due."""
        if not self._holdings or now_s < self.due_at_s():
            return None
        self._drop_unused(now_s)
        if not self._holdings:
            return None
        if any(holding.is_short for holding in self._holdings.values()):
            self._lack_gap_s = min(2 * self._lack_gap_s, LACK_GAP_MAX_S)
        else:
            self._lack_gap_s = SHORTAGE_INTERVAL_S
        names = self._names_to_state(now_s)
        self._seq += 1
        self._sent_at_s = now_s
        self._is_waiting = True
        self._is_immediate = False
        self._surplus.clear()
        return GrantRequest(
            shard=self._shard,
            epoch=self._reply_epoch,
            taker=self._taker,
            incarnation=self._incarnation,
            seq=self._seq,
            entries=tuple(
                holding.want(now_s, _is_idle(now_s, holding))
                for holding in map(self._holdings.__getitem__, names)
            ),
        )

    def _names_to_state(self, now_s: float) -> list[str]:
        """Return the budgets that the next request is about.

        Between two regular requests it is about those with a lack or a
        surplus. It is about all if an earlier one got no reply, because the
        reply to that does not count any more, and in a new epoch.
        """
        early = now_s < self._full_at_s + EARLY_SHARE * self._exchange_s
        if early and not self._is_immediate and not self._is_waiting:
            names = [
                name
                for name, holding in self._holdings.items()
                if holding.is_short or self._has_surplus(name)
            ]
            if names:
                return names
        self._full_at_s = now_s
        return list(self._holdings)

    def accept(self, now_s: float, reply: GrantReply) -> bool:
        """Put the grants of a reply in force; false if it does not count."""
        if reply.shard != self._shard:
            return False
        if reply.incarnation != self._incarnation:
            return False
        if reply.epoch < self._highest_epoch:
            return False
        if reply.epoch > self._reply_epoch:
            self._greet(reply.epoch)
            return False
        if reply.seq != self._seq or not self._is_waiting:
            return False
        self._is_waiting = False
        for grant in reply.entries:
            expires_at_s = self._sent_at_s + min(grant.ttl_s, GRANT_TTL_S)
            holding = self._holdings.get(grant.budget)
            if holding is None or now_s >= expires_at_s:
                continue
            if holding.accept(now_s, grant, expires_at_s):
                self._surplus.add(grant.budget)
        return True

    def _has_surplus(self, name: str) -> bool:
        """Return whether a part of a budget is to be returned."""
        holding = self._holdings[name]
        return name in self._surplus or (
            isinstance(holding, LevelHolding) and holding.has_surplus
        )

    def _short_gap_s(self) -> float:
        if any(
            isinstance(holding, LevelHolding) and holding.is_short
            for holding in self._holdings.values()
        ):
            return min(self._lack_gap_s, UNIT_GAP_MAX_S)
        return self._lack_gap_s

    def _greet(self, epoch: int) -> None:
        # The next request proves to the owner that it was sent after it
        # started to issue.
        self._highest_epoch = epoch
        self._reply_epoch = epoch
        self._is_waiting = False
        self._is_immediate = True

    def _holding(self, name: str) -> LevelHolding | RateHolding | None:
        holding = self._holdings.get(name)
        if holding is not None:
            return holding
        match self._budgets.get(name):
            case RateBudget():
                holding = RateHolding(name)
            case ConcurrencyBudget(linger_s=linger_s):
                holding = LevelHolding(name, linger_s)
            case _:
                return None
        self._holdings[name] = holding
        return holding

    def _drop_unused(self, now_s: float) -> None:
        for name, holding in list(self._holdings.items()):
            if _is_idle(now_s, holding) and holding.held(now_s) == (0, 0):
                del self._holdings[name]


def _is_idle(now_s: float, holding: LevelHolding | RateHolding) -> bool:
    return now_s - holding.asked_at_s >= IDLE_S
