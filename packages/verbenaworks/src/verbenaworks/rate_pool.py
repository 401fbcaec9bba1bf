"""The owner's state of one rate budget."""

from verbenaworks.budget_spec import (
    GRANT_TTL_S,
    RateBudget,
    with_drift_margin_s,
)
from verbenaworks.demand_table import DemandTable
from verbenaworks.fair_share import fair_share
from verbenaworks.grant import Grant, GrantRequestEntry
from verbenaworks.holding_book import Holder, HoldingBook
from verbenaworks.token_bucket import TokenBucket

_HOLD_S = with_drift_margin_s(GRANT_TTL_S)


class RatePool:
    """Divides the rate and the bucket depth of one budget.

    The bank is a bucket with the rate and the depth that nobody holds. It
    starts empty, as the tokens of an earlier owner may have been spent.

    :param issues_from_s: when this owner starts to issue; grants of earlier
        owners were requested before.
    """

    def __init__(self, budget: RateBudget, issues_from_s: float) -> None:
        self._name = budget.name
        unknown_until_s = issues_from_s + _HOLD_S
        self._rates = HoldingBook(budget.rate_milli_per_s, unknown_until_s)
        self._depths = HoldingBook(budget.burst, unknown_until_s)
        self._demand = DemandTable(spare=1000)
        self._depth_targets: dict[Holder, int] = {}
        self._bank = TokenBucket()

    @property
    def holders(self) -> int:
        """The number of takers that may hold a part of the budget."""
        return self._depths.holders

    def demand(self, now_s: float) -> tuple[int, int]:
        """Return the rate that takers want, and the limit."""
        self.lapse(now_s)
        return self._demand.wanted(), self._rates.limit(now_s)

    def configure(self, now_s: float, budget: RateBudget) -> None:
        """Put changed settings in force."""
        self._set(now_s, budget.rate_milli_per_s, budget.burst)

    def retire(self, now_s: float) -> None:
        """Stop issuing, because the budget was removed."""
        self._set(now_s, 0, 0)

    def has_holder(self, holder: Holder) -> bool:
        """Return whether a taker may hold a part of the budget."""
        return self._depths.has(holder)

    def lapse(self, now_s: float) -> None:
        """Take back the parts whose grants have expired."""
        self._rates.lapse(now_s, self._demand.forget)
        self._depths.lapse(now_s)

    def exchange(
        self, now_s: float, holder: Holder, want: GrantRequestEntry
    ) -> Grant:
        """Record what a taker keeps and answer its wants."""
        self.lapse(now_s)
        self._rates.report(now_s, holder, want.kept)
        released = self._depths.report(now_s, holder, want.kept_depth)
        self._resize_bank(now_s)
        # Without this bound the tokens on the way would come on top of a
        # bucket that has filled up again.
        self._bank.add(min(want.tokens_returned, released))
        self._demand.set_wants(holder, want.wants)
        self._divide(now_s, holder)
        return self._issue(now_s, holder, want.tokens_wanted)

    def _issue(
        self, now_s: float, holder: Holder, tokens_wanted: int
    ) -> Grant:
        lapses_at_s = now_s + _HOLD_S
        rate = self._rates.offer(now_s, holder, self._demand.target(holder))
        self._rates.grant(holder, rate, lapses_at_s)
        kept_depth = self._depths.kept(holder)
        target = self._depth_targets.get(holder, 0)
        depth = self._depths.offer(now_s, holder, target)
        # Growth of the taker's depth shrinks the bank; the tokens that no
        # longer fit there go along.
        free = max(0, self._depths.free(now_s) - max(0, depth - kept_depth))
        in_bank = self._bank.tokens(now_s)
        tokens = max(min(tokens_wanted, in_bank), in_bank - free)
        # The taker's bucket may fill up again while the tokens are on the
        # way, so they need room of their own.
        depth = max(depth, kept_depth + tokens) if tokens else depth
        self._bank.take(now_s, tokens)
        self._depths.grant(holder, depth, lapses_at_s)
        self._resize_bank(now_s)
        return Grant(
            budget=self._name,
            amount=rate,
            depth=depth,
            tokens=tokens,
            ttl_s=GRANT_TTL_S,
        )

    def _divide(self, now_s: float, holder: Holder) -> None:
        rate = self._rates.known(now_s)
        if not self._demand.divide(now_s, rate, holder):
            return
        # The rate of a part that moves between takers fills the bank, which
        # needs depth for it.
        burst = self._depths.known(now_s)
        burst -= burst // 8
        targets = self._demand.targets()
        # A bucket without depth for one token is of no use.
        shares = [
            max(1, -(-burst * target // max(1, rate)))
            for target in targets.values()
        ]
        depths = fair_share(burst, shares, shares)
        self._depth_targets = dict(zip(targets, depths, strict=True))

    def _set(self, now_s: float, rate_milli_per_s: int, burst: int) -> None:
        self._rates.set_capacity(rate_milli_per_s)
        self._depths.set_capacity(burst)
        self._resize_bank(now_s)

    def _resize_bank(self, now_s: float) -> None:
        self._bank.reshape(
            now_s,
            max(0, self._rates.free(now_s)),
            max(0, self._depths.free(now_s)),
        )
