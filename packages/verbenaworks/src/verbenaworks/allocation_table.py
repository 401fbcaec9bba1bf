"""The owner's record of what each client may hold of one quantity."""

from collections.abc import Callable
from dataclasses import dataclass

# The name of an instance, and its incarnation.
ClientKey = tuple[str, int]


@dataclass(kw_only=True, slots=True)
class _Allocation:
    # Upper bound of what the client holds, whichever messages are lost.
    amount: int
    # What the client holds once it has received the last reply.
    expected: int
    expires_at_s: float


class AllocationTable:
    """Keeps the sum of all allocations within a capacity.

    :param capacity: the amount that all clients together may hold.
    :param unreported_until_s: grants of an earlier owner may be valid until
        this time although no client has reported them; until then they
        count as held.
    """

    def __init__(self, capacity: int, unreported_until_s: float) -> None:
        self._capacity = capacity
        self._initial_capacity = capacity
        self._unreported = capacity
        self._unreported_until_s = unreported_until_s
        self._allocations: dict[ClientKey, _Allocation] = {}
        self._amount_sum = 0
        self._expected_sum = 0
        self._next_expiry_s = float("inf")

    @property
    def client_count(self) -> int:
        """The number of clients with an allocation."""
        return len(self._allocations)

    def has_client(self, client: ClientKey) -> bool:
        """Return whether the client has an allocation."""
        return client in self._allocations

    def set_capacity(self, capacity: int) -> None:
        """Change the capacity; allocations above it are not renewed."""
        self._capacity = capacity

    def limit(self, now_s: float) -> int:
        """Return the capacity in force.

        While unreported grants may exist, an increase has no effect, because
        they may have been issued under a capacity unknown to this owner.
        """
        if now_s < self._unreported_until_s:
            return min(self._capacity, self._initial_capacity)
        return self._capacity

    def free(self, now_s: float) -> int:
        """Return what may be granted; negative after a decrease."""
        return (
            self.limit(now_s) - self._amount_sum - self._unreported_now(now_s)
        )

    def divisible(self, now_s: float) -> int:
        """Return the part of the capacity that may be divided now."""
        return max(0, self.limit(now_s) - self._unreported_now(now_s))

    def expire(
        self,
        now_s: float,
        on_expired: Callable[[ClientKey], None] | None = None,
    ) -> None:
        """Remove the allocations that have expired at their clients."""
        if now_s < self._next_expiry_s:
            return
        self._next_expiry_s = float("inf")
        for client, allocation in list(self._allocations.items()):
            if now_s >= allocation.expires_at_s:
                del self._allocations[client]
                self._amount_sum -= allocation.amount
                self._expected_sum -= allocation.expected
                if on_expired is not None:
                    on_expired(client)
                continue
            self._next_expiry_s = min(
                self._next_expiry_s, allocation.expires_at_s
            )

    def record_report(
        self, now_s: float, client: ClientKey, reported: int
    ) -> int:
        """Record what a client keeps; return the amount it gave up.

        The reported amount is limited to what this owner granted, or what
        an earlier owner may have granted, because a delayed request may
        report a grant that has expired.
        """
        allocation = self._allocations.get(client)
        if allocation is None:
            kept = reported if now_s < self._unreported_until_s else 0
            self._unreported = max(0, self._unreported - kept)
            self._allocations[client] = _Allocation(
                amount=kept, expected=kept, expires_at_s=float("inf")
            )
            self._amount_sum += kept
            self._expected_sum += kept
            return 0
        kept = min(reported, allocation.amount)
        released = allocation.amount - kept
        self._amount_sum -= released
        self._expected_sum += kept - allocation.expected
        allocation.amount = allocation.expected = kept
        return released

    def max_held(self, client: ClientKey) -> int:
        """Return the upper bound of what the client holds."""
        return self._allocations[client].amount

    def grantable(self, now_s: float, client: ClientKey, target: int) -> int:
        """Return the part of ``target`` that may be granted.

        A grant grows only by what no client may hold. It shrinks when the
        expected amounts exceed the capacity, as after a decrease.
        """
        allocation = self._allocations[client]
        max_growth = max(0, self.free(now_s))
        others = self._expected_sum - allocation.expected
        room = max(0, self.limit(now_s) - others)
        return min(target, allocation.amount + max_growth, room)

    def record_grant(
        self, client: ClientKey, expected: int, expires_at_s: float
    ) -> None:
        """Record a reply that grants ``expected`` to the client.

        The reply may be lost, so the amount that the client reported still
        counts as held.
        """
        allocation = self._allocations[client]
        amount = max(allocation.amount, expected)
        self._amount_sum += amount - allocation.amount
        self._expected_sum += expected - allocation.expected
        allocation.amount = amount
        allocation.expected = expected
        allocation.expires_at_s = expires_at_s
        self._next_expiry_s = min(self._next_expiry_s, expires_at_s)

    def _unreported_now(self, now_s: float) -> int:
        return self._unreported if now_s < self._unreported_until_s else 0
