"""Token bucket in integer arithmetic."""

from verbenaworks.budget_spec import MAX_CLOCK_DRIFT_PER_MILLE

# The level counts thousandths of a token per second, times nanoseconds, times
# the fill factor in thousandths; one token is 1e15 of these units.
_UNITS_PER_TOKEN = 10**15
_FILL_PER_MILLE = 1000 - MAX_CLOCK_DRIFT_PER_MILLE
# Bounds the error of converting a time in seconds to nanoseconds.
_MAX_ROUNDING_ERROR_NS = 2


class TokenBucket:
    """A bucket that never holds more than an exact one would.

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
        """The maximum number of tokens."""
        return self._depth

    def tokens(self, now_s: float) -> int:
        """Return the whole tokens in the bucket."""
        self._fill(now_s)
        return self._level // _UNITS_PER_TOKEN

    def try_acquire(self, now_s: float, tokens: int) -> bool:
        """Remove ``tokens`` if the bucket holds them."""
        self._fill(now_s)
        if self._level < tokens * _UNITS_PER_TOKEN:
            return False
        self._level -= tokens * _UNITS_PER_TOKEN
        return True

    def resize(self, now_s: float, rate_milli_per_s: int, depth: int) -> int:
        """Change rate and depth; return the whole tokens that overflow."""
        self._fill(now_s)
        if rate_milli_per_s != self._rate_milli_per_s:
            self._rate_milli_per_s = rate_milli_per_s
            self._at_ns = max(
                self._at_ns, int(now_s * 1e9) + _MAX_ROUNDING_ERROR_NS
            )
        self._depth = depth
        excess = self._level - depth * _UNITS_PER_TOKEN
        if excess <= 0:
            return 0
        self._level = depth * _UNITS_PER_TOKEN
        return excess // _UNITS_PER_TOKEN

    def add(self, tokens: int) -> None:
        """Add tokens up to the depth."""
        self._level = min(
            self._depth * _UNITS_PER_TOKEN,
            self._level + tokens * _UNITS_PER_TOKEN,
        )

    def seconds_until(self, now_s: float, tokens: int) -> float:
        """Return the time until the bucket holds ``tokens``."""
        self._fill(now_s)
        missing = tokens * _UNITS_PER_TOKEN - self._level
        if missing <= 0:
            return 0.0
        if tokens > self._depth or self._rate_milli_per_s == 0:
            return float("inf")
        return (
            missing / (self._rate_milli_per_s * _FILL_PER_MILLE) / 1e9 + 1e-8
        )

    def _fill(self, now_s: float) -> None:
        now_ns = int(now_s * 1e9)
        if now_ns <= self._at_ns:
            return
        self._level += (
            self._rate_milli_per_s * (now_ns - self._at_ns) * _FILL_PER_MILLE
        )
        self._at_ns = now_ns
        if self._level >= self._depth * _UNITS_PER_TOKEN:
            self._level = self._depth * _UNITS_PER_TOKEN
            self._at_ns = now_ns + _MAX_ROUNDING_ERROR_NS
