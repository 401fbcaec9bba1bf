"""The taker's part of one rate budget."""

from verbenaworks.demand_meter import DemandMeter
from verbenaworks.grant import Grant, GrantWant, WorkspaceWant
from verbenaworks.token_bucket import TokenBucket


class RateHolding:
    """A local token bucket that ends with its grant."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._bucket = TokenBucket()
        self._expires_at_s = float("-inf")
        self._meters: dict[str, DemandMeter] = {}
        self._asked_at_s = float("-inf")
        self._missing = 0
        self._returning = 0

    @property
    def is_short(self) -> bool:
        """Whether a caller waits for tokens."""
        return self._missing > 0

    @property
    def asked_at_s(self) -> float:
        """When a caller last asked for tokens."""
        return self._asked_at_s

    def held(self, now_s: float) -> tuple[int, int]:
        """Return the rate and the depth."""
        self.expire(now_s)
        return self._bucket.rate_milli_per_s, self._bucket.depth

    def try_take(
        self, now_s: float, workspace: str, amount: int, retry: bool
    ) -> bool:
        """Spend tokens if the bucket has them."""
        self.expire(now_s)
        self._asked_at_s = now_s
        if not retry:
            meter = self._meters.get(workspace)
            if meter is None:
                meter = self._meters[workspace] = DemandMeter()
            meter.add(now_s, amount)
        if self._bucket.take(now_s, amount):
            return True
        self._missing += amount
        return False

    def available(self, now_s: float) -> int:
        """Return the whole tokens in the bucket."""
        self.expire(now_s)
        return self._bucket.tokens(now_s)

    def give_back(self, now_s: float, amount: int) -> None:
        """Return tokens that were taken and not used, up to the depth."""
        self.expire(now_s)
        self._bucket.add(amount)

    def ask(
        self, now_s: float, workspace: str, lack: int, demand: int
    ) -> None:
        """Note demand, and tokens that the next request should ask for."""
        self._asked_at_s = now_s
        if demand:
            meter = self._meters.get(workspace)
            if meter is None:
                meter = self._meters[workspace] = DemandMeter()
            meter.add(now_s, demand)
        self._missing = max(self._missing, lack)

    def wait_s(self, now_s: float, amount: int) -> float:
        """Return when the bucket alone will hold ``amount``."""
        self.expire(now_s)
        return self._bucket.seconds_until(now_s, amount)

    def expire(self, now_s: float) -> None:
        """Empty the bucket if the grant has expired."""
        if now_s >= self._expires_at_s:
            self._bucket.reshape(now_s, 0, 0)
            self._returning = 0

    def want(self, now_s: float, is_idle: bool) -> GrantWant:
        """State what is kept from now on; an idle budget keeps nothing."""
        self.expire(now_s)
        if is_idle:
            self._returning += self._bucket.reshape(now_s, 0, 0)
        returned, self._returning = self._returning, 0
        missing, self._missing = self._missing, 0
        wants = []
        for workspace, meter in list(self._meters.items()):
            amount = int(meter.per_s(now_s) * 1000)
            if amount == 0:
                del self._meters[workspace]
                continue
            wants.append(WorkspaceWant(workspace=workspace, amount=amount))
        return GrantWant(
            budget=self._name,
            kept=self._bucket.rate_milli_per_s,
            kept_depth=self._bucket.depth,
            wants=tuple(wants),
            tokens_returned=returned,
            tokens_wanted=missing,
        )

    def accept(self, now_s: float, grant: Grant, expires_at_s: float) -> bool:
        """Put a grant in force; return whether it freed a part to return."""
        old_rate = self._bucket.rate_milli_per_s
        self._expires_at_s = expires_at_s
        self._returning += self._bucket.reshape(
            now_s, grant.amount, grant.depth
        )
        self._bucket.add(grant.tokens)
        return 16 * (old_rate - grant.amount) > old_rate
