"""The owner's account of who may hold how much of one quantity."""

from collections.abc import Callable
from dataclasses import dataclass

Holder = tuple[str, int]


@dataclass(kw_only=True, slots=True)
class _Holding:
    # The most that the holder may hold, whatever messages were lost.
    amount: int
    # What the holder holds once the last reply reaches it.
    planned: int
    lapses_at_s: float


class HoldingBook:
    """Keeps the sum of what holders may hold within a capacity.

    :param capacity: the amount that may be held in total.
    :param unknown_until_s: until then, grants of an earlier owner that no
        taker has reported may exist; they count as held.
    """

    def __init__(self, capacity: int, unknown_until_s: float) -> None:
        self._capacity = capacity
        self._ceiling = capacity
        self._unknown = capacity
        self._unknown_until_s = unknown_until_s
        self._holdings: dict[Holder, _Holding] = {}
        self._amount_sum = 0
        self._planned_sum = 0
        self._next_lapse_s = float("inf")

    @property
    def holders(self) -> int:
        """The number of holders with an entry."""
        return len(self._holdings)

    def has(self, holder: Holder) -> bool:
        """Return whether the holder has an entry."""
        return holder in self._holdings

    def set_capacity(self, capacity: int) -> None:
        """Change the capacity; what is held above it is not renewed."""
        self._capacity = capacity

    def limit(self, now_s: float) -> int:
        """Return the capacity in force.

        While unreported grants may exist, an increase has no effect: they
        may have been issued under a capacity that this owner never saw.
        """
        if now_s < self._unknown_until_s:
            return min(self._capacity, self._ceiling)
        return self._capacity

    def free(self, now_s: float) -> int:
        """Return what may be issued; negative after a decrease."""
        return self.limit(now_s) - self._amount_sum - self._unknown_now(now_s)

    def known(self, now_s: float) -> int:
        """Return the part of the capacity that may be divided now."""
        return max(0, self.limit(now_s) - self._unknown_now(now_s))

    def lapse(
        self, now_s: float, forget: Callable[[Holder], None] | None = None
    ) -> None:
        """Drop the holdings that have expired at their holders."""
        if now_s < self._next_lapse_s:
            return
        self._next_lapse_s = float("inf")
        for holder, holding in list(self._holdings.items()):
            if now_s >= holding.lapses_at_s:
                del self._holdings[holder]
                self._amount_sum -= holding.amount
                self._planned_sum -= holding.planned
                if forget is not None:
                    forget(holder)
                continue
            self._next_lapse_s = min(self._next_lapse_s, holding.lapses_at_s)

    def report(self, now_s: float, holder: Holder, reported: int) -> int:
        """Record what a holder keeps; return the amount it gave up.

        The reported amount counts only as far as it was granted by this
        owner, or may have been granted by an earlier one: a request that
        was delayed may state a grant that has lapsed.
        """
        holding = self._holdings.get(holder)
        if holding is None:
            kept = reported if now_s < self._unknown_until_s else 0
            self._unknown = max(0, self._unknown - kept)
            self._holdings[holder] = _Holding(
                amount=kept, planned=kept, lapses_at_s=float("inf")
            )
            self._amount_sum += kept
            self._planned_sum += kept
            return 0
        kept = min(reported, holding.amount)
        released = holding.amount - kept
        self._amount_sum -= released
        self._planned_sum += kept - holding.planned
        holding.amount = holding.planned = kept
        return released

    def kept(self, holder: Holder) -> int:
        """Return the most that the holder may hold."""
        return self._holdings[holder].amount

    def offer(self, now_s: float, holder: Holder, target: int) -> int:
        """Return the part of ``target`` that may be granted.

        A grant grows only by what nobody may hold. It shrinks when the
        planned amounts exceed the capacity, as after a decrease.
        """
        holding = self._holdings[holder]
        growth = max(0, self.free(now_s))
        others = self._planned_sum - holding.planned
        room = max(0, self.limit(now_s) - others)
        return min(target, holding.amount + growth, room)

    def grant(self, holder: Holder, planned: int, lapses_at_s: float) -> None:
        """Record a reply that lets the holder hold ``planned``.

        The reply may be lost, so what the holder reported still counts.
        """
        holding = self._holdings[holder]
        amount = max(holding.amount, planned)
        self._amount_sum += amount - holding.amount
        self._planned_sum += planned - holding.planned
        holding.amount = amount
        holding.planned = planned
        holding.lapses_at_s = lapses_at_s
        self._next_lapse_s = min(self._next_lapse_s, lapses_at_s)

    def _unknown_now(self, now_s: float) -> int:
        return self._unknown if now_s < self._unknown_until_s else 0
