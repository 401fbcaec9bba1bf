"""The shards that one instance owns, and when its leases are valid."""

from dataclasses import dataclass

from verbenaworks.control_record import ControlRecord, InstanceId
from verbenaworks.freshness import FENCING_WAIT_S, Freshness
from verbenaworks.owner_lease import OwnerLease


@dataclass(frozen=True, kw_only=True, slots=True)
class _Owned:
    epoch: int
    wait_ends_s: float


class ShardOwnership:
    """Leases of one instance under the newest control record.

    :param freshness: freshness of the instance's applied state.
    """

    def __init__(self, instance: InstanceId, freshness: Freshness) -> None:
        self._instance = instance
        self._freshness = freshness
        self._owned: dict[int, _Owned] = {}
        self._released: set[tuple[int, int]] = set()
        self._wait_completed: set[tuple[int, int]] = set()

    def update_control(self, now_s: float, control: ControlRecord) -> None:
        """Apply the control record of a newly applied state."""
        owned: dict[int, _Owned] = {}
        for shard, owner in enumerate(control.shards):
            if owner is None or owner.instance != self._instance:
                continue
            current = self._owned.get(shard)
            if current is not None and current.epoch == owner.epoch:
                owned[shard] = current
                continue
            wait_s = 0.0 if owner.handed_over else FENCING_WAIT_S
            owned[shard] = _Owned(
                epoch=owner.epoch, wait_ends_s=now_s + wait_s
            )
        self._owned = owned

    def lease(self, shard: int) -> OwnerLease | None:
        """Return the lease on a shard, or None if another owns it."""
        owned = self._owned.get(shard)
        if owned is None:
            return None
        return OwnerLease(
            shard=shard,
            epoch=owned.epoch,
            is_valid=lambda now_s: self._is_lease_valid(shard, owned, now_s),
        )

    def leases(self) -> tuple[OwnerLease, ...]:
        """Return the leases on all owned shards."""
        leases = map(self.lease, self._owned)
        return tuple(lease for lease in leases if lease is not None)

    def release(self) -> tuple[tuple[int, int], ...]:
        """Stop acting permanently on all shards that are owned now.

        :return: pairs of shard and epoch for which no previous owner can be
            active, so that the next owner need not wait.
        """
        for shard, owned in self._owned.items():
            self._released.add((shard, owned.epoch))
            if self._is_wait_over(owned):
                self._wait_completed.add((shard, owned.epoch))
        return tuple(
            (shard, owned.epoch)
            for shard, owned in self._owned.items()
            if (shard, owned.epoch) in self._wait_completed
        )

    def _is_lease_valid(self, shard: int, owned: _Owned, now_s: float) -> bool:
        return (
            self._owned.get(shard) == owned
            and (shard, owned.epoch) not in self._released
            and self._freshness.is_fresh(now_s)
            and self._is_wait_over(owned)
        )

    def _is_wait_over(self, owned: _Owned) -> bool:
        """Return whether no previous owner can still be fresh.

        The newest confirmation must be later than the end of the wait, and
        the confirmations must have continued without a gap for as long as
        the wait. Otherwise two owners could hold valid leases while a store
        that was restored to an older state confirms the previous owner.
        """
        confirmed_s = self._freshness.confirmed_at_s
        resumed_s = self._freshness.resumed_at_s
        return (
            confirmed_s is not None
            and resumed_s is not None
            and confirmed_s >= owned.wait_ends_s
            and confirmed_s >= resumed_s + FENCING_WAIT_S
        )
