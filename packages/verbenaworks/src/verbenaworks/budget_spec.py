"""Kinds of budgets and the constants of their protocol.

Amounts are integers, so that sums and comparisons are exact. Concurrency
budgets count whole units; rate budgets count whole tokens, and rates in
thousandths of a token per second.
"""

import zlib
from dataclasses import dataclass
from fractions import Fraction

from verbenaworks.control_record import SHARD_COUNT
from verbenaworks.freshness import FENCING_WAIT_S, MAX_CLOCK_DRIFT

# Token buckets use integers only, so the drift is rounded to thousandths.
MAX_CLOCK_DRIFT_PER_MILLE = round(MAX_CLOCK_DRIFT * 1000)

# Counts from the moment at which the client sent its request.
GRANT_TTL_S = 6


def with_drift_margin_s(duration_s: float) -> float:
    """Return a duration that outlasts ``duration_s`` on any other clock."""
    return duration_s * (1 + 2 * MAX_CLOCK_DRIFT)


# The previous owner may still act while its configuration may be fresh.
PREVIOUS_OWNER_WAIT_S = FENCING_WAIT_S


@dataclass(frozen=True, kw_only=True, slots=True)
class ConcurrencyBudget:
    """Limits the units in use at the same time.

    :param capacity: whole units.
    :param linger_s: how long a unit that is in use when its grant expires
        may stay in use; for slots, this is the deadline of the service.
    """

    name: str
    capacity: int
    linger_s: float = 0.0

    def __post_init__(self) -> None:
        if self.capacity < 0 or self.linger_s < 0:
            raise ValueError(
                f"capacity and linger_s of {self.name} must not be negative"
            )


@dataclass(frozen=True, kw_only=True, slots=True)
class RateBudget:
    """Limits the tokens spent in any time window ``[a, b]``.

    At most ``rate_per_s * (b - a) + burst`` tokens are spent.
    """

    name: str
    rate_per_s: float
    burst: int

    def __post_init__(self) -> None:
        if self.rate_per_s < 0 or self.burst < 0:
            raise ValueError(
                f"rate_per_s and burst of {self.name} must not be negative"
            )

    @property
    def rate_milli_per_s(self) -> int:
        """The rate in thousandths of a token per second, rounded down."""
        return int(Fraction(self.rate_per_s) * 1000)


Budget = ConcurrencyBudget | RateBudget


def shard_of(name: str) -> int:
    """Return the shard that a budget or a shift belongs to."""
    return zlib.crc32(name.encode()) % SHARD_COUNT
