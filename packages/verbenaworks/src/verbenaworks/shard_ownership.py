"""The shards that one instance owns, and when it may act on them."""

from dataclasses import dataclass

from verbenaworks.control_record import ControlRecord, InstanceId
from verbenaworks.freshness import FENCING_WAIT_S, Freshness
from verbenaworks.owner_lease import OwnerLease


@dataclass(frozen=True, kw_only=True, slots=True)
class _Owned:
    epoch: int
    acts_from_s: float


class ShardOwnership:
    """What the newest control record gives to one instance.

    :param freshness: the confirmations of the instance's applied state.
    """

    def __init__(self, instance: InstanceId, freshness: Freshness) -> None:
        self._instance = instance
        self._freshness = freshness
        self._owned: dict[int, _Owned] = {}
        self._released: set[tuple[int, int]] = set()
        self._waited: set[tuple[int, int]] = set()

    def learn(self, now_s: float, control: ControlRecord) -> None:
        """Take the record of a state that has just been applied."""
        owned: dict[int, _Owned] = {}
        for shard, owner in enumerate(control.shards):
            if owner is None or owner.instance != self._instance:
                continue
            known = self._owned.get(shard)
            if known is not None and known.epoch == owner.epoch:
                owned[shard] = known
                continue
            wait_s = 0.0 if owner.handed_over else FENCING_WAIT_S
            owned[shard] = _Owned(
                epoch=owner.epoch, acts_from_s=now_s + wait_s
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
            is_valid=lambda now_s: self._may_act(shard, owned, now_s),
        )

    def leases(self) -> tuple[OwnerLease, ...]:
        """Return the leases on all owned shards."""
        leases = map(self.lease, self._owned)
        return tuple(lease for lease in leases if lease is not None)

    def release(self) -> tuple[tuple[int, int], ...]:
        """Stop acting for good on all shards that are owned now.

        :return: shard and epoch where no earlier owner can be active, so
            that the successor needs no wait.
        """
        for shard, owned in self._owned.items():
            self._released.add((shard, owned.epoch))
            if self._has_waited(owned):
                self._waited.add((shard, owned.epoch))
        return tuple(
            (shard, owned.epoch)
            for shard, owned in self._owned.items()
            if (shard, owned.epoch) in self._waited
        )

    def _may_act(self, shard: int, owned: _Owned, now_s: float) -> bool:
        return (
            self._owned.get(shard) == owned
            and (shard, owned.epoch) not in self._released
            and self._freshness.is_fresh(now_s)
            and self._has_waited(owned)
        )

    def _has_waited(self, owned: _Owned) -> bool:
        """Return whether no earlier owner can still be fresh.

        The wait must end before a confirmation, and the confirmations must
        have gone on without a gap for as long. Otherwise two owners could be
        valid while a store restored to an older state confirms the earlier
        one.
        """
        confirmed_s = self._freshness.confirmed_at_s
        resumed_s = self._freshness.resumed_at_s
        return (
            confirmed_s is not None
            and resumed_s is not None
            and confirmed_s >= owned.acts_from_s
            and confirmed_s >= resumed_s + FENCING_WAIT_S
        )
