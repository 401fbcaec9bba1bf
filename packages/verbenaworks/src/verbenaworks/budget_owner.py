"""State machine of the owner of one shard's budgets."""

from collections.abc import Iterable
from typing import Protocol

from verbenaworks.budget_spec import (
    PREVIOUS_OWNER_WAIT_S,
    Budget,
    ConcurrencyBudget,
    RateBudget,
    shard_of,
)
from verbenaworks.grant import Grant, GrantReply, GrantRequest
from verbenaworks.holding_book import Holder
from verbenaworks.level_pool import LevelPool
from verbenaworks.rate_pool import RatePool

# Sequence numbers of incarnations that were silent for this long and hold
# nothing are forgotten.
_FORGET_S = 120.0
# Takers state their wants every second, and after a change of owner twice in
# a row before the wants count.
DEMAND_SETTLE_S = 3.0


class OwnerLease(Protocol):
    """Tells whether this instance may act as owner."""

    @property
    def epoch(self) -> int:
        """The epoch for which the instance is the owner."""

    def is_valid(self, now_s: float) -> bool:
        """Return whether the instance is fresh and is named as owner."""


class BudgetOwner:
    """Divides the budgets of one shard during one epoch.

    A new epoch needs a new object.

    :param started_at_s: when the instance learned of its ownership.
    :param wait_s: how long the earlier owner may still act; 0 only if it
        stopped issuing before the ownership was written.
    """

    def __init__(
        self,
        *,
        shard: int,
        lease: OwnerLease,
        started_at_s: float,
        wait_s: float = PREVIOUS_OWNER_WAIT_S,
    ) -> None:
        self._shard = shard
        self._lease = lease
        self._epoch = lease.epoch
        self._issues_from_s = started_at_s + wait_s
        self._pools: dict[str, LevelPool | RatePool] = {}
        self._retired: set[str] = set()
        self._last_seqs: dict[Holder, tuple[int, float]] = {}
        self._next_cleanup_s = self._issues_from_s + _FORGET_S

    @property
    def epoch(self) -> int:
        """The epoch of this owner."""
        return self._epoch

    @property
    def issues_from_s(self) -> float:
        """The time before which requests get no answer."""
        return self._issues_from_s

    def configure(self, now_s: float, budgets: Iterable[Budget]) -> None:
        """Put the budgets of the shard in force; ignores other shards'.

        :raises TypeError: if a name changes between level and rate.
        """
        wanted = {
            budget.name: budget
            for budget in budgets
            if shard_of(budget.name) == self._shard
        }
        for name, pool in self._pools.items():
            if name not in wanted:
                pool.retire(now_s)
                self._retired.add(name)
        for name, budget in wanted.items():
            self._retired.discard(name)
            self._configure_one(now_s, name, budget)

    def demand(self, now_s: float, budget: str) -> tuple[int, int] | None:
        """Return the demand for a rate budget, and its limit.

        ``None`` while takers may not have stated their wants to this owner.
        """
        if not self._lease.is_valid(now_s):
            return None
        if now_s < self._issues_from_s + DEMAND_SETTLE_S:
            return None
        match self._pools.get(budget):
            case RatePool() as pool:
                return pool.demand(now_s)
            case _:
                return None

    def handle(self, now_s: float, request: GrantRequest) -> GrantReply | None:
        """Answer a request; ``None`` if it must get no answer.

        A reply may be sent late: what it grants expires by the time at which
        the request was sent.

        :param now_s: a clock reading made after the request was received.
        """
        if not self._lease.is_valid(now_s):
            return None
        if self._lease.epoch != self._epoch or request.shard != self._shard:
            return None
        if now_s < self._issues_from_s or request.epoch > self._epoch:
            return None
        if request.epoch < self._epoch:
            # The request may have been sent before the earlier owner
            # stopped. A report that is sent after this reply was not.
            return self._reply(request, ())
        holder = (request.taker, request.incarnation)
        last_seq, _ = self._last_seqs.get(holder, (0, 0.0))
        if request.seq <= last_seq:
            return None
        self._last_seqs[holder] = (request.seq, now_s)
        entries = tuple(
            pool.exchange(now_s, holder, want)
            for want in request.entries
            if (pool := self._pools.get(want.budget)) is not None
        )
        self._clean_up(now_s)
        return self._reply(request, entries)

    def _reply(
        self, request: GrantRequest, entries: tuple[Grant, ...]
    ) -> GrantReply:
        return GrantReply(
            shard=self._shard,
            epoch=self._epoch,
            incarnation=request.incarnation,
            seq=request.seq,
            entries=entries,
        )

    def _configure_one(self, now_s: float, name: str, budget: Budget) -> None:
        match self._pools.get(name), budget:
            case LevelPool() as pool, ConcurrencyBudget():
                pool.configure(now_s, budget)
            case RatePool() as pool, RateBudget():
                pool.configure(now_s, budget)
            case None, ConcurrencyBudget():
                self._pools[name] = LevelPool(budget, self._issues_from_s)
            case None, RateBudget():
                self._pools[name] = RatePool(budget, self._issues_from_s)
            case _:
                raise TypeError(f"budget {name} changed its kind")

    def _clean_up(self, now_s: float) -> None:
        if now_s < self._next_cleanup_s:
            return
        self._next_cleanup_s = now_s + _FORGET_S
        for pool in self._pools.values():
            pool.lapse(now_s)
        for holder, (_, heard_at_s) in list(self._last_seqs.items()):
            if now_s - heard_at_s > _FORGET_S and not any(
                pool.has_holder(holder) for pool in self._pools.values()
            ):
                del self._last_seqs[holder]
        for name in list(self._retired):
            if self._pools[name].holders == 0:
                del self._pools[name]
                self._retired.discard(name)
