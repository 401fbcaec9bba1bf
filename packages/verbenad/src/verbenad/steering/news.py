"""What was read of the store, from itself or from a relay."""

from dataclasses import dataclass

from verbenaworks.steering.store_item import ItemBatch


@dataclass(frozen=True, kw_only=True, slots=True)
class News:
    """Items that were read.

    :param proved_s: time at which there was nothing newer.
    :param back_at_s: when the store came back after an outage; none if there
        was none lately.
    """

    batch: ItemBatch
    proved_s: float
    back_at_s: float | None = None
