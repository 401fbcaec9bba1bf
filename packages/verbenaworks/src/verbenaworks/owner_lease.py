"""Lease of a shard by the instance that owns it."""

from collections.abc import Callable


class OwnerLease:
    """Ownership of a shard under one epoch.

    :param shard: number of the shard.
    :param epoch: epoch of the assignment.
    :param is_valid: returns whether the owner may act at a given time.
    """

    def __init__(
        self, *, shard: int, epoch: int, is_valid: Callable[[float], bool]
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        self._is_valid = is_valid

    def is_valid(self, now_s: float) -> bool:
        """Return whether the owner may act on the shard now."""
        return self._is_valid(now_s)
