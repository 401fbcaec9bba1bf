"""Addresses of other instances and of the owners of shards."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerView:
    """The owner of a shard as this instance knows it.

    :ivar bus_address: ``host:port`` on the bus.
    """

    bus_address: str
    epoch: int
    is_self: bool


class Directory(Protocol):
    """The view of the fleet that the parts of the daemon need."""

    def owner(self, shard: int) -> OwnerView | None:
        """Return the owner of a shard, None if it cannot be reached."""

    def peers(self) -> list[str]:
        """Return the bus addresses of all other live instances."""
