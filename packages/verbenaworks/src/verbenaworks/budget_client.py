"""State machine of an instance that uses the budgets of one shard."""

from collections.abc import Iterable, Mapping

from verbenaworks.budget_spec import (
    GRANT_TTL_S,
    Budget,
    ConcurrencyBudget,
    RateBudget,
    shard_of,
)
from verbenaworks.concurrency_allocation import ConcurrencyAllocation
from verbenaworks.grant import GrantReply, GrantRequest
from verbenaworks.permit import Permit
from verbenaworks.rate_allocation import RateAllocation

EXCHANGE_INTERVAL_S = 1.0

# Several round trips between regions, which take at most 40 ms.
REPLY_TIMEOUT_S = 0.25

# A request sent for another reason replaces the next regular one unless it is
# sent within this share of the regular interval.
EARLY_REQUEST_SHARE = 0.2

# While tokens or units are short, the interval between requests doubles from
# the first value to the second.
SHORTAGE_INTERVAL_S = 0.05
MAX_SHORTAGE_INTERVAL_S = 0.5

# Upper bound while units are short: a unit that moves from another client is
# idle until this client requests it again.
MAX_UNIT_SHORTAGE_INTERVAL_S = 0.1

# An allocation without demand for this long is returned to the owner.
IDLE_S = 3.0


class BudgetClient:
    """Requests grants for one instance and spends what they allow.

    Times are readings of the monotonic clock of the instance.

    :param instance: name of the instance.
    :param incarnation: differs between the processes of this name.
    :param exchange_s: interval of the regular requests. It must be short
        enough that no grant expires before a new owner issues its first.
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
        self._instance = instance
        self._incarnation = incarnation
        self._budgets: dict[str, Budget] = {}
        self._allocations: dict[
            str, ConcurrencyAllocation | RateAllocation
        ] = {}
        # The highest known epoch, and the highest from which a reply was
        # received.
        self._highest_epoch = 0
        self._reply_epoch = 0
        self._seq = 0
        self._is_waiting = False
        self._sent_at_s = float("-inf")
        self._is_immediate = False
        # Budgets of which a part must be returned.
        self._surplus: set[str] = set()
        self._full_request_at_s = float("-inf")
        self._shortage_interval_s = SHORTAGE_INTERVAL_S
        self._serial = 0

    def configure(self, now_s: float, budgets: Iterable[Budget]) -> None:
        """Apply the budgets of the shard; ignore those of other shards."""
        self._budgets = {
            budget.name: budget
            for budget in budgets
            if shard_of(budget.name) == self._shard
        }
        for name, allocation in self._allocations.items():
            budget = self._budgets.get(name)
            if isinstance(allocation, ConcurrencyAllocation) and isinstance(
                budget, ConcurrencyBudget
            ):
                allocation.reduce_linger(budget.linger_s)

    def owner_changed(self, epoch: int) -> None:
        """Record that the control record names a new owner of the shard."""
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
        """Spend tokens or use units; ``None`` if there are too few.

        In that case the next request is due at once; the caller tries again
        with ``retry`` when a reply has arrived or :meth:`wait_s` has passed.
        The grant is checked against ``now_s``: a process that pauses after
        reading its clock acts on the state at that reading.
        """
        allocation = self._get_allocation(budget)
        if allocation is None:
            return None
        self._serial += 1
        permit = Permit(
            budget=budget,
            workspace=workspace,
            amount=amount,
            serial=self._serial,
        )
        match allocation:
            case RateAllocation():
                is_acquired = allocation.try_acquire(
                    now_s, workspace, amount, retry
                )
            case ConcurrencyAllocation():
                is_acquired = allocation.try_acquire(now_s, permit, retry)
        return permit if is_acquired else None

    def refund(self, now_s: float, budget: str, amount: int) -> None:
        """Return tokens of a rate budget that were acquired and not used.

        The bucket keeps what fits into its depth. The owner assumes a full
        bucket in any case.
        """
        match self._allocations.get(budget):
            case RateAllocation() as allocation:
                allocation.refund(now_s, amount)
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
        """Record demand for tokens, and how many the caller is missing now.

        For callers that acquire the available tokens and wait for the rest.
        They call :meth:`try_acquire` with ``retry``, so that their demand
        counts once.
        """
        match self._get_allocation(budget):
            case RateAllocation() as allocation:
                allocation.note_demand(now_s, workspace, missing, demand)
            case _:
                return

    def release(self, now_s: float, permit: Permit) -> bool:
        """Release units; false if their linger time had ended already."""
        match self._allocations.get(permit.budget):
            case ConcurrencyAllocation() as allocation:
                return allocation.release(now_s, permit)
            case _:
                return False

    def available(self, now_s: float, budget: str) -> int:
        """Return the granted units that are not in use, or the tokens."""
        allocation = self._allocations.get(budget)
        return 0 if allocation is None else allocation.available(now_s)

    def granted_by_workspace(
        self, now_s: float, budget: str
    ) -> Mapping[str, int]:
        """Return the granted units of a concurrency budget by workspace."""
        match self._allocations.get(budget):
            case ConcurrencyAllocation() as allocation:
                return allocation.granted_by_workspace(now_s)
            case _:
                return {}

    def answered_demand(self, budget: str) -> Mapping[str, int]:
        """Return the demand that the newest grant of units answers.

        It is the same object until the next grant.
        """
        match self._allocations.get(budget):
            case ConcurrencyAllocation() as allocation:
                return allocation.answered_demand
            case _:
                return {}

    def set_demand(
        self, now_s: float, budget: str, demand: Mapping[str, int]
    ) -> None:
        """Set the demand for units by workspace.

        Unless this is called, the demand is derived from the calls of
        :meth:`try_acquire`.
        """
        if budget not in self._allocations and not any(demand.values()):
            return
        match self._get_allocation(budget):
            case ConcurrencyAllocation() as allocation:
                allocation.set_demand(now_s, demand)
            case _:
                return

    def use_deadline_s(self, permit: Permit) -> float:
        """Return when units must be released unless the grant is renewed.

        The linger time of slots is the service's deadline, so requests end
        in time. Other users, such as idle connections, must check this.
        """
        match self._allocations.get(permit.budget):
            case ConcurrencyAllocation() as allocation:
                return allocation.use_deadline_s()
            case _:
                return float("-inf")

    def wait_s(self, now_s: float, budget: str, amount: int = 1) -> float:
        """Return the time until enough tokens exist without a new grant."""
        match self._allocations.get(budget):
            case RateAllocation() as allocation:
                return allocation.wait_s(now_s, amount)
            case _:
                return float("inf")

    def held(self, now_s: float, budget: str) -> tuple[int, int]:
        """Return the held units or rate, and the held bucket depth."""
        match self._allocations.get(budget):
            case RateAllocation() | ConcurrencyAllocation() as allocation:
                return allocation.held(now_s)
            case _:
                return (0, 0)

    def due_at_s(self) -> float:
        """Return when :meth:`next_request` should be called next."""
        if not self._allocations:
            return float("inf")
        if self._is_immediate:
            return self._sent_at_s
        if self._is_waiting:
            return self._sent_at_s + REPLY_TIMEOUT_S
        due_s = self._full_request_at_s + self._exchange_s
        if any(map(self._has_surplus, self._allocations)):
            return min(due_s, self._sent_at_s + SHORTAGE_INTERVAL_S)
        if any(
            allocation.is_short for allocation in self._allocations.values()
        ):
            return min(
                due_s, self._sent_at_s + self._current_shortage_interval_s()
            )
        return due_s

    def next_request(self, now_s: float) -> GrantRequest | None:
        """Return the request to send now, if one is due."""
        if not self._allocations or now_s < self.due_at_s():
            return None
        self._drop_unused(now_s)
        if not self._allocations:
            return None
        if any(
            allocation.is_short for allocation in self._allocations.values()
        ):
            self._shortage_interval_s = min(
                2 * self._shortage_interval_s, MAX_SHORTAGE_INTERVAL_S
            )
        else:
            self._shortage_interval_s = SHORTAGE_INTERVAL_S
        names = self._names_to_report(now_s)
        self._seq += 1
        self._sent_at_s = now_s
        self._is_waiting = True
        self._is_immediate = False
        self._surplus.clear()
        return GrantRequest(
            shard=self._shard,
            epoch=self._reply_epoch,
            taker=self._instance,
            incarnation=self._incarnation,
            seq=self._seq,
            entries=tuple(
                allocation.make_entry(now_s, _is_idle(now_s, allocation))
                for allocation in map(self._allocations.__getitem__, names)
            ),
        )

    def _names_to_report(self, now_s: float) -> list[str]:
        """Return the budgets that the next request reports.

        Between two regular requests these are the budgets with a shortage or
        a surplus. All budgets are reported in a new epoch, and after a
        request without a reply, because a late reply to it is ignored.
        """
        early = (
            now_s
            < self._full_request_at_s + EARLY_REQUEST_SHARE * self._exchange_s
        )
        if early and not self._is_immediate and not self._is_waiting:
            names = [
                name
                for name, allocation in self._allocations.items()
                if allocation.is_short or self._has_surplus(name)
            ]
            if names:
                return names
        self._full_request_at_s = now_s
        return list(self._allocations)

    def accept(self, now_s: float, reply: GrantReply) -> bool:
        """Apply the grants of a reply; false if it is out of date."""
        if reply.shard != self._shard:
            return False
        if reply.incarnation != self._incarnation:
            return False
        if reply.epoch < self._highest_epoch:
            return False
        if reply.epoch > self._reply_epoch:
            self._start_epoch(reply.epoch)
            return False
        if reply.seq != self._seq or not self._is_waiting:
            return False
        self._is_waiting = False
        for grant in reply.entries:
            expires_at_s = self._sent_at_s + min(grant.ttl_s, GRANT_TTL_S)
            allocation = self._allocations.get(grant.budget)
            if allocation is None or now_s >= expires_at_s:
                continue
            if allocation.apply_grant(now_s, grant, expires_at_s):
                self._surplus.add(grant.budget)
        return True

    def _has_surplus(self, name: str) -> bool:
        """Return whether a part of a budget must be returned."""
        allocation = self._allocations[name]
        return name in self._surplus or (
            isinstance(allocation, ConcurrencyAllocation)
            and allocation.has_surplus
        )

    def _current_shortage_interval_s(self) -> float:
        if any(
            isinstance(allocation, ConcurrencyAllocation)
            and allocation.is_short
            for allocation in self._allocations.values()
        ):
            return min(self._shortage_interval_s, MAX_UNIT_SHORTAGE_INTERVAL_S)
        return self._shortage_interval_s

    def _start_epoch(self, epoch: int) -> None:
        # The next request proves to the owner that it was sent after the
        # owner started to issue grants.
        self._highest_epoch = epoch
        self._reply_epoch = epoch
        self._is_waiting = False
        self._is_immediate = True

    def _get_allocation(
        self, name: str
    ) -> ConcurrencyAllocation | RateAllocation | None:
        allocation = self._allocations.get(name)
        if allocation is not None:
            return allocation
        match self._budgets.get(name):
            case RateBudget():
                allocation = RateAllocation(name)
            case ConcurrencyBudget(linger_s=linger_s):
                allocation = ConcurrencyAllocation(name, linger_s)
            case _:
                return None
        self._allocations[name] = allocation
        return allocation

    def _drop_unused(self, now_s: float) -> None:
        for name, allocation in list(self._allocations.items()):
            if _is_idle(now_s, allocation) and allocation.held(now_s) == (
                0,
                0,
            ):
                del self._allocations[name]


def _is_idle(
    now_s: float, allocation: ConcurrencyAllocation | RateAllocation
) -> bool:
    return now_s - allocation.asked_at_s >= IDLE_S
