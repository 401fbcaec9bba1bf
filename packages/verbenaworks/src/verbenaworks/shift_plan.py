"""Which client blocks a traffic shift has moved at each step.

Blocks are ordered by a hash of the shift and the block. Each step moves the
longest prefix of that order whose weight is within the step's share.
Therefore all instances move the same blocks, a moved block stays moved, and
no step exceeds the cap.
"""

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass
from fractions import Fraction
from hashlib import blake2b


@dataclass(frozen=True, kw_only=True, slots=True)
class ShiftSpec:
    """The settings of a shift.

    :ivar cap_share: largest share of the source's weight that may be moved.
    :ivar step_share: share of the source's weight that one step adds.
    """

    name: str
    from_region: str
    to_region: str
    cap_share: float
    step_share: float


class ShiftPlan:
    """The order in which a shift moves blocks.

    :param spec: the shift.
    :param blocks: start and weight of each block of the source region.
    """

    def __init__(
        self, spec: ShiftSpec, blocks: Iterable[tuple[int, int]]
    ) -> None:
        self.spec = spec
        ordered = sorted(
            (_hash_position(spec.name, start), start, weight)
            for start, weight in blocks
        )
        self._ranks = {start: i for i, (_, start, _) in enumerate(ordered)}
        self._cumulative_weights: list[int] = []
        total = 0
        for _, _, weight in ordered:
            total += weight
            self._cumulative_weights.append(total)
        self.total_weight = total

    def last_step(self) -> int:
        """Return the first step at which the cap is reached."""
        cap, step = Fraction(self.spec.cap_share), self.spec.step_share
        return -(-cap // Fraction(step)) if step > 0 else 0

    def moved_count(self, step: int) -> int:
        """Return how many blocks are moved at ``step``."""
        return bisect_right(
            self._cumulative_weights, self._allowed_weight(step)
        )

    def moved_weight(self, step: int) -> int:
        """Return the weight of the blocks moved at ``step``."""
        count = self.moved_count(step)
        return self._cumulative_weights[count - 1] if count else 0

    def is_moved(self, block_start: int, step: int) -> bool:
        """Return whether a block of the source is moved at ``step``."""
        rank = self._ranks.get(block_start)
        return rank is not None and rank < self.moved_count(step)

    def _allowed_weight(self, step: int) -> Fraction:
        # Exact fractions, because a rounded product could exceed the cap.
        share = min(
            max(step, 0) * Fraction(self.spec.step_share),
            Fraction(self.spec.cap_share),
        )
        return share * self.total_weight


def _hash_position(shift: str, block_start: int) -> bytes:
    return blake2b(f"{shift}/{block_start}".encode(), digest_size=8).digest()
