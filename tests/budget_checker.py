"""Checks histories of uses against the limits.

It shares no code with the modules under test. Times are seconds of one exact
clock that no process of the model can read. A lowered limit still allows the
earlier amount for a settling time, until grants issued under it have expired.
"""

from bisect import bisect_right
from dataclasses import dataclass
from fractions import Fraction

# Staleness of the owner (2 s) plus validity of a grant (6 s), measured by
# clocks that are up to 0.5% slow.
SETTLE_S = 8.08


@dataclass(frozen=True, kw_only=True)
class Limit:
    """The limit of a budget from a time on."""

    at_s: float
    rate_per_s: int = 0
    burst: int = 0
    capacity: int = 0


@dataclass(frozen=True, kw_only=True)
class Use:
    """Tokens spent, units acquired (positive) or released (negative)."""

    at_s: float
    amount: int


def _in_force(
    limits: list[Limit], field: str, settle_s: float
) -> tuple[list[float], list[int]]:
    """Return the highest limit in force as a step function of time."""
    edges = sorted(
        {limit.at_s for limit in limits}
        | {limit.at_s + settle_s for limit in limits}
    )
    ends = [limit.at_s for limit in limits[1:]] + [float("inf")]
    values = [
        max(
            (
                getattr(limit, field)
                for limit, end_s in zip(limits, ends, strict=True)
                if limit.at_s <= edge_s < end_s + settle_s
            ),
            default=0,
        )
        for edge_s in edges
    ]
    return edges, values


def _at(steps: tuple[list[float], list[int]], at_s: float) -> int:
    return steps[1][max(0, bisect_right(steps[0], at_s) - 1)]


def _integral(steps: tuple[list[float], list[int]], at_s: float) -> Fraction:
    total = Fraction(0)
    edges, values = steps
    ends = edges[1:] + [float("inf")]
    for start_s, end_s, value in zip(edges, ends, values, strict=True):
        if at_s <= start_s:
            break
        total += value * (Fraction(min(end_s, at_s)) - Fraction(start_s))
    return total


def rate_excess(limits: list[Limit], uses: list[Use]) -> Fraction:
    """Return the most tokens above ``rate * (b - a) + burst``.

    All windows ``[a, b]`` that begin and end with a use are checked; no
    other window of the same length contains more. At most 0 is correct.
    """
    rates = _in_force(limits, "rate_per_s", SETTLE_S)
    bursts = _in_force(limits, "burst", SETTLE_S)
    spent = 0
    worst = Fraction(-(10**9))
    bound: Fraction | None = None
    for use in sorted(uses, key=lambda use: use.at_s):
        filled = _integral(rates, use.at_s)
        start = spent - filled + _at(bursts, use.at_s)
        bound = start if bound is None else min(bound, start)
        spent += use.amount
        worst = max(worst, spent - filled - bound)
    return worst


def concurrency_excess(
    limits: list[Limit], uses: list[Use], linger_s: float
) -> int:
    """Return the most units held above the capacity; at most 0 is correct.

    Units released at a time count before those acquired at the same time.
    """
    capacities = _in_force(limits, "capacity", SETTLE_S + 1.01 * linger_s)
    held = 0
    worst = -(10**9)
    for use in sorted(uses, key=lambda use: (use.at_s, use.amount)):
        held += use.amount
        worst = max(worst, held - _at(capacities, use.at_s))
    return worst


@dataclass(frozen=True, kw_only=True)
class Held:
    """What all processes together may spend or use from a time on."""

    at_s: float
    amount: int
    depth: int


def held_excess(limits: list[Limit], held: list[Held], linger_s: float) -> int:
    """Return the most that was held above a limit; at most 0 is correct.

    Amounts of rate budgets are in thousandths. This finds amounts that were
    granted twice even if no caller used them.
    """
    settle_s = SETTLE_S + 1.01 * linger_s
    capacities = _in_force(limits, "capacity", settle_s)
    rates = _in_force(limits, "rate_per_s", settle_s)
    bursts = _in_force(limits, "burst", settle_s)
    worst = -(10**9)
    for sample in held:
        at_s = sample.at_s
        limit = _at(capacities, at_s) + 1000 * _at(rates, at_s)
        worst = max(
            worst,
            sample.amount - limit,
            sample.depth - _at(bursts, at_s),
        )
    return worst
