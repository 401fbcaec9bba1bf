"""A client's allocation of one rate budget."""

from collections import Counter, deque

from verbenaworks.demand_meter import DemandMeter
from verbenaworks.grant import Grant, GrantRequestEntry, WorkspaceAmount
from verbenaworks.token_bucket import TokenBucket

# Must equal RATE_WAIT_S of the daemon's rate limiter.
_MAX_CALLER_WAIT_S = 1.0


class RateAllocation:
    """A local token bucket that is valid as long as its grant."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._bucket = TokenBucket()
        self._expires_at_s = float("-inf")
        self._meters: dict[str, DemandMeter] = {}
        self._asked_at_s = float("-inf")
        # Time, workspace and amount of calls that found no token. Failed
        # retries are not counted: a call makes many of them, and requested
        # all unallocated tokens for itself.
        self._waiting: deque[tuple[float, str, int]] = deque()
        self._is_short = False
        # Tokens that callers of note_demand lack.
        self._missing_tokens = 0
        self._tokens_to_return = 0
        # Depth granted for the tokens of the newest grant.
        self._extra_depth = 0

    @property
    def is_short(self) -> bool:
        """Whether a caller waits for tokens."""
        return self._is_short or self._missing_tokens > 0

    @property
    def asked_at_s(self) -> float:
        """When a caller last asked for tokens."""
        return self._asked_at_s

    def held(self, now_s: float) -> tuple[int, int]:
        """Return the rate and the depth."""
        self.expire(now_s)
        return self._bucket.rate_milli_per_s, self._bucket.depth

    def try_acquire(
        self, now_s: float, workspace: str, amount: int, retry: bool
    ) -> bool:
        """Spend tokens if the bucket has them."""
        self.expire(now_s)
        self._asked_at_s = now_s
        if not retry:
            self._count_demand(now_s, workspace, amount)
        if self._bucket.try_acquire(now_s, amount):
            if retry and self._waiting:
                self._waiting.popleft()
            return True
        if not retry:
            self._drop_timed_out(now_s)
            self._waiting.append((now_s, workspace, amount))
        self._is_short = True
        return False

    def available(self, now_s: float) -> int:
        """Return the whole tokens in the bucket."""
        self.expire(now_s)
        return self._bucket.tokens(now_s)

    def refund(self, now_s: float, amount: int) -> None:
        """Return tokens that were acquired and not used, up to the depth."""
        self.expire(now_s)
        self._bucket.add(amount)

    def note_demand(
        self, now_s: float, workspace: str, missing: int, demand: int
    ) -> None:
        """Record demand, and tokens that the next request should ask for."""
        self._asked_at_s = now_s
        if demand:
            self._count_demand(now_s, workspace, demand)
        self._missing_tokens = max(self._missing_tokens, missing)

    def wait_s(self, now_s: float, amount: int) -> float:
        """Return the time until the bucket alone holds ``amount``."""
        self.expire(now_s)
        return self._bucket.seconds_until(now_s, amount)

    def expire(self, now_s: float) -> None:
        """Empty the bucket if the grant has expired."""
        if now_s >= self._expires_at_s:
            self._bucket.resize(now_s, 0, 0)
            self._tokens_to_return = 0

    def make_entry(self, now_s: float, is_idle: bool) -> GrantRequestEntry:
        """Return what to report to the owner; an idle budget keeps nothing."""
        self.expire(now_s)
        if is_idle:
            self._tokens_to_return += self._bucket.resize(now_s, 0, 0)
        self._return_unused_depth(now_s)
        returned, self._tokens_to_return = self._tokens_to_return, 0
        waiting = self._waiting_amounts(now_s)
        missing = max(1, waiting.total()) if self._is_short else 0
        missing = max(missing, self._missing_tokens)
        self._is_short, self._missing_tokens = False, 0
        wants = []
        for workspace, meter in list(self._meters.items()):
            amount = int(meter.per_s(now_s) * 1000)
            if amount == 0:
                del self._meters[workspace]
                continue
            # With the mean alone, a queue that has built up never drains.
            # Without the limit, rate moves between overloaded clients all
            # the time.
            amount += min(1000 * waiting[workspace], amount // 4)
            wants.append(WorkspaceAmount(workspace=workspace, amount=amount))
        return GrantRequestEntry(
            budget=self._name,
            kept=self._bucket.rate_milli_per_s,
            kept_depth=self._bucket.depth,
            wants=tuple(wants),
            tokens_returned=returned,
            tokens_wanted=missing,
        )

    def _count_demand(self, now_s: float, workspace: str, amount: int) -> None:
        meter = self._meters.get(workspace)
        if meter is None:
            meter = self._meters[workspace] = DemandMeter()
        meter.add(now_s, amount)

    def _waiting_amounts(self, now_s: float) -> Counter[str]:
        """Return the amounts that callers are waiting for, by workspace."""
        self._drop_timed_out(now_s)
        amounts: Counter[str] = Counter()
        for _, workspace, amount in self._waiting:
            amounts[workspace] += amount
        return amounts

    def _drop_timed_out(self, now_s: float) -> None:
        while (
            self._waiting and now_s - self._waiting[0][0] >= _MAX_CALLER_WAIT_S
        ):
            self._waiting.popleft()

    def _return_unused_depth(self, now_s: float) -> None:
        """Return depth that was granted for tokens which have been spent.

        Otherwise the owner gets it one request later, and its bucket has no
        room for the rate that no client holds.
        """
        extra, self._extra_depth = self._extra_depth, 0
        if extra == 0:
            return
        bucket = self._bucket
        filled = bucket.tokens(now_s) + 1
        depth = max(filled, bucket.depth - extra)
        if depth < bucket.depth:
            bucket.resize(now_s, bucket.rate_milli_per_s, depth)

    def apply_grant(
        self, now_s: float, grant: Grant, expires_at_s: float
    ) -> bool:
        """Apply a grant; return whether enough rate was freed to return it."""
        old_rate = self._bucket.rate_milli_per_s
        self._expires_at_s = expires_at_s
        self._tokens_to_return += self._bucket.resize(
            now_s, grant.amount, grant.depth
        )
        self._bucket.add(grant.tokens)
        self._extra_depth = grant.tokens
        return 16 * (old_rate - grant.amount) > old_rate
