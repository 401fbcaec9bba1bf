"""One read of the store's changes, from the store itself or a relay."""

from dataclasses import dataclass

from verbenaworks.steering.store_item import ItemBatch


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreUpdate:
    """Items that were read together.

    :param confirmed_at_s: time at which nothing newer existed.
    :param store_recovered_at_s: time at which the store recovered from an
        outage; None if there was no recent outage.
    """

    batch: ItemBatch
    confirmed_at_s: float
    store_recovered_at_s: float | None = None
