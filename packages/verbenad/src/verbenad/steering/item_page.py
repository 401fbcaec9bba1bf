"""One page of a listing of the platform's store."""

from dataclasses import dataclass

from verbenaworks.steering.store_item import StoreItem, StorePosition


@dataclass(frozen=True, kw_only=True, slots=True)
class ItemPage:
    """Items that follow on a key, in the order of their keys.

    :param position: position of the store when it was read. The pages of a
        listing are not one snapshot.
    :param has_more: whether items follow on the last one.
    """

    items: tuple[StoreItem, ...]
    position: StorePosition
    has_more: bool
