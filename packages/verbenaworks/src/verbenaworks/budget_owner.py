"""State machine of the owner of one shard's budgets."""

from collections.abc import Iterable
from typing import Protocol

from verbenaworks.allocation_table import ClientKey
from verbenaworks.budget_spec import (
    PREVIOUS_OWNER_WAIT_S,
    Budget,
    ConcurrencyBudget,
    RateBudget,
    shard_of,
)
from verbenaworks.concurrency_pool import ConcurrencyPool
from verbenaworks.grant import Grant, GrantReply, GrantRequest
from verbenaworks.rate_pool import RatePool

# Clients that hold nothing are forgotten after this time without a request.
_CLIENT_RETENTION_S = 120.0
# Clients report their demand every second. After a change of owner, their
# first request is answered only with the epoch, so the second one counts.
DEMAND_SETTLE_S = 3.0


class OwnerLease(Protocol):
    """Whether this instance may act as the owner."""

    @property
    def epoch(self) -> int:
        """The epoch for which the instance is the owner."""

    def is_valid(self, now_s: float) -> bool:
        """Return whether the instance is fresh and named as the owner."""


class BudgetOwner:
    """Divides the budgets of one shard during one epoch.

    Each epoch needs a new object.

    :param started_at_s: when the instance learned of its ownership.
    :param wait_s: how long the previous owner may still act; 0 only if it
        stopped issuing grants before the new ownership was written.
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
        self._pools: dict[str, ConcurrencyPool | RatePool] = {}
        self._removed: set[str] = set()
        self._last_seqs: dict[ClientKey, tuple[int, float]] = {}
        self._next_cleanup_s = self._issues_from_s + _CLIENT_RETENTION_S

    @property
    def epoch(self) -> int:
        """The epoch of this owner."""
        return self._epoch

    @property
    def issues_from_s(self) -> float:
        """The time before which requests get no reply."""
        return self._issues_from_s

    def configure(self, now_s: float, budgets: Iterable[Budget]) -> None:
        """Apply the budgets of the shard; ignore those of other shards.

        :raises TypeError: if a name changes between concurrency and rate.
        """
        wanted = {
            budget.name: budget
            for budget in budgets
            if shard_of(budget.name) == self._shard
        }
        for name, pool in self._pools.items():
            if name not in wanted:
                pool.stop_issuing(now_s)
                self._removed.add(name)
        for name, budget in wanted.items():
            self._removed.discard(name)
            self._configure_one(now_s, name, budget)

    def demand(self, now_s: float, budget: str) -> tuple[int, int] | None:
        """Return the demand for a rate budget, and its limit.

        ``None`` while clients may not have reported their demand yet.
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
        """Return the reply to a request; ``None`` if it must get none.

        A reply may be sent late, because the grants expire relative to the
        time at which the request was sent.

        :param now_s: a clock reading made after the request was received.
        """
        if not self._lease.is_valid(now_s):
            return None
        if self._lease.epoch != self._epoch or request.shard != self._shard:
            return None
        if now_s < self._issues_from_s or request.epoch > self._epoch:
            return None
        if request.epoch < self._epoch:
            # The request may have been sent before the previous owner
            # stopped. A request sent after this reply was not.
            return self._reply(request, ())
        client = (request.taker, request.incarnation)
        last_seq, _ = self._last_seqs.get(client, (0, 0.0))
        if request.seq <= last_seq:
            return None
        self._last_seqs[client] = (request.seq, now_s)
        entries = tuple(
            pool.handle_entry(now_s, client, entry)
            for entry in request.entries
            if (pool := self._pools.get(entry.budget)) is not None
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
            case ConcurrencyPool() as pool, ConcurrencyBudget():
                pool.configure(now_s, budget)
            case RatePool() as pool, RateBudget():
                pool.configure(now_s, budget)
            case None, ConcurrencyBudget():
                self._pools[name] = ConcurrencyPool(
                    budget, self._issues_from_s
                )
            case None, RateBudget():
                self._pools[name] = RatePool(budget, self._issues_from_s)
            case _:
                raise TypeError(f"budget {name} changed its kind")

    def _clean_up(self, now_s: float) -> None:
        if now_s < self._next_cleanup_s:
            return
        self._next_cleanup_s = now_s + _CLIENT_RETENTION_S
        for pool in self._pools.values():
            pool.expire(now_s)
        for client, (_, last_request_s) in list(self._last_seqs.items()):
            if now_s - last_request_s > _CLIENT_RETENTION_S and not any(
                pool.has_client(client) for pool in self._pools.values()
            ):
                del self._last_seqs[client]
        for name in list(self._removed):
            if self._pools[name].client_count == 0:
                del self._pools[name]
                self._removed.discard(name)
