"""The owner's state of one rate budget."""

from verbenaworks.allocation_table import AllocationTable, ClientKey
from verbenaworks.budget_spec import (
    GRANT_TTL_S,
    RateBudget,
    with_drift_margin_s,
)
from verbenaworks.demand_table import DemandTable
from verbenaworks.fair_share import fair_share
from verbenaworks.grant import Grant, GrantRequestEntry
from verbenaworks.token_bucket import TokenBucket

_GRANT_LIFETIME_S = with_drift_margin_s(GRANT_TTL_S)


class RatePool:
    """Divides the rate and the bucket depth of one budget.

    The rate and the depth that no client holds fill a bucket at the owner.
    It starts empty, because the tokens of an earlier owner may have been
    spent.

    :param issues_from_s: when this owner starts to issue grants; those of
        earlier owners were requested before.
    """

    def __init__(self, budget: RateBudget, issues_from_s: float) -> None:
        self._name = budget.name
        unreported_until_s = issues_from_s + _GRANT_LIFETIME_S
        self._rates = AllocationTable(
            budget.rate_milli_per_s, unreported_until_s
        )
        self._depths = AllocationTable(budget.burst, unreported_until_s)
        self._demand = DemandTable(min_reserve=1000)
        self._depth_targets: dict[ClientKey, int] = {}
        self._unallocated_bucket = TokenBucket()

    @property
    def client_count(self) -> int:
        """The number of clients that may hold a part of the budget."""
        return self._depths.client_count

    def demand(self, now_s: float) -> tuple[int, int]:
        """Return the rate that all clients demand, and the limit."""
        self.expire(now_s)
        return self._demand.total_demand(), self._rates.limit(now_s)

    def configure(self, now_s: float, budget: RateBudget) -> None:
        """Apply changed settings."""
        self._set_limits(now_s, budget.rate_milli_per_s, budget.burst)

    def stop_issuing(self, now_s: float) -> None:
        """Stop issuing grants because the budget was removed."""
        self._set_limits(now_s, 0, 0)

    def has_client(self, client: ClientKey) -> bool:
        """Return whether a client may hold a part of the budget."""
        return self._depths.has_client(client)

    def expire(self, now_s: float) -> None:
        """Reclaim the rate and depth whose grants have expired."""
        self._rates.expire(now_s, self._demand.forget)
        self._depths.expire(now_s)

    def handle_entry(
        self, now_s: float, client: ClientKey, entry: GrantRequestEntry
    ) -> Grant:
        """Record what a client keeps and return its new grant."""
        self.expire(now_s)
        self._rates.record_report(now_s, client, entry.kept)
        released = self._depths.record_report(now_s, client, entry.kept_depth)
        self._resize_unallocated_bucket(now_s)
        # Only tokens whose depth was released are added. Otherwise the
        # client's bucket could fill up again besides these tokens.
        self._unallocated_bucket.add(min(entry.tokens_returned, released))
        self._demand.set_demand(client, entry.wants)
        self._divide(now_s, client)
        return self._make_grant(now_s, client, entry.tokens_wanted)

    def _make_grant(
        self, now_s: float, client: ClientKey, tokens_wanted: int
    ) -> Grant:
        expires_at_s = now_s + _GRANT_LIFETIME_S
        rate = self._rates.grantable(
            now_s, client, self._demand.target(client)
        )
        self._rates.record_grant(client, rate, expires_at_s)
        kept_depth = self._depths.max_held(client)
        target = self._depth_targets.get(client, 0)
        depth = self._depths.grantable(now_s, client, target)
        # Depth granted to the client shrinks the unallocated bucket. Tokens
        # that no longer fit there are sent to the client too.
        free = max(0, self._depths.free(now_s) - max(0, depth - kept_depth))
        unallocated_tokens = self._unallocated_bucket.tokens(now_s)
        tokens = max(
            min(tokens_wanted, unallocated_tokens), unallocated_tokens - free
        )
        # The client's bucket may fill up while the tokens are in transit,
        # so the depth must have room for both.
        depth = max(depth, kept_depth + tokens) if tokens else depth
        self._unallocated_bucket.try_acquire(now_s, tokens)
        self._depths.record_grant(client, depth, expires_at_s)
        self._resize_unallocated_bucket(now_s)
        return Grant(
            budget=self._name,
            amount=rate,
            depth=depth,
            tokens=tokens,
            ttl_s=GRANT_TTL_S,
        )

    def _divide(self, now_s: float, client: ClientKey) -> None:
        rate = self._rates.divisible(now_s)
        if not self._demand.divide(now_s, rate, client):
            return
        # Rate that moves between clients fills the unallocated bucket in the
        # meantime, so an eighth of the depth is kept for it.
        burst = self._depths.divisible(now_s)
        burst -= burst // 8
        targets = self._demand.targets()
        # A bucket that cannot hold one token is of no use.
        shares = [
            max(1, -(-burst * target // max(1, rate)))
            for target in targets.values()
        ]
        depths = fair_share(burst, shares, shares)
        self._depth_targets = dict(zip(targets, depths, strict=True))

    def _set_limits(
        self, now_s: float, rate_milli_per_s: int, burst: int
    ) -> None:
        self._rates.set_capacity(rate_milli_per_s)
        self._depths.set_capacity(burst)
        self._resize_unallocated_bucket(now_s)

    def _resize_unallocated_bucket(self, now_s: float) -> None:
        self._unallocated_bucket.resize(
            now_s,
            max(0, self._rates.free(now_s)),
            max(0, self._depths.free(now_s)),
        )
