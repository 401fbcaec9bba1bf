"""Token bucket in integer arithmetic."""

from verbenaworks.budget_spec import DRIFT_PER_MILLE

# One token in units of 1e-15: thousandths of a token per second, times
# nanoseconds, times the per-mille factor of the clock difference.
_TOKEN = 10**15
_FILL = 1000 - DRIFT_PER_MILLE
# The conversion of a time to nanoseconds is off by at most this much.
_ROUNDING_NS = 2


class TokenBucket:
    """A bucket that never holds more than the exact one would.

    It fills at ``rate * (1 - MAX_CLOCK_DRIFT)``, because its clock may run
    faster than others, and starts empty.
    """

    __slots__ = ("_at_ns", "_depth", "_level", "_rate_milli_per_s")

    def __init__(self) -> None:
        self._rate_milli_per_s = 0
        self._depth = 0
        self._level = 0
        self._at_ns = 0

    @property
    def rate_milli_per_s(self) -> int:
        """The fill rate in thousandths of a token per second."""
        return self._rate_milli_per_s

    @property
    def depth(self) -> int:
        """The most tokens that the bucket holds."""
        return self._depth

    def tokens(self, now_s: float) -> int:
        """Return the whole tokens in the bucket."""
        self._fill(now_s)
        return self._level // _TOKEN

    def take(self, now_s: float, tokens: int) -> bool:
        """Remove ``tokens`` if the bucket holds them."""
        self._fill(now_s)
        if self._level < tokens * _TOKEN:
            return False
        self._level -= tokens * _TOKEN
        return True

    def reshape(self, now_s: float, rate_milli_per_s: int, depth: int) -> int:
        """Change rate and depth; return the whole tokens that overflow."""
        self._fill(now_s)
        if rate_milli_per_s != self._rate_milli_per_s:
            self._rate_milli_per_s = rate_milli_per_s
            self._at_ns = max(self._at_ns, int(now_s * 1e9) + _ROUNDING_NS)
        self._depth = depth
        excess = self._level - depth * _TOKEN
        if excess <= 0:
            return 0
        self._level = depth * _TOKEN
        return excess // _TOKEN

    def add(self, tokens: int) -> None:
        """Add tokens up to the depth."""
        self._level = min(self._depth * _TOKEN, self._level + tokens * _TOKEN)

    def seconds_until(self, now_s: float, tokens: int) -> float:
        """Return the time until the bucket holds ``tokens``."""
        self._fill(now_s)
        missing = tokens * _TOKEN - self._level
        if missing <= 0:
            return 0.0
        if tokens > self._depth or self._rate_milli_per_s == 0:
            return float("inf")
        return missing / (self._rate_milli_per_s * _FILL) / 1e9 + 1e-8

    def _fill(self, now_s: float) -> None:
        now_ns = int(now_s * 1e9)
        if now_ns <= self._at_ns:
            return
        self._level += self._rate_milli_per_s * (now_ns - self._at_ns) * _FILL
        self._at_ns = now_ns
        if self._level >= self._depth * _TOKEN:
            self._level = self._depth * _TOKEN
            self._at_ns = now_ns + _ROUNDING_NS
