"""Items of the platform's store, before decoding."""

from dataclasses import dataclass

import msgspec


class StoreItem(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """An item as it was last written.

    :ivar value: content of the item; none if it was removed.
    :ivar revision: store revision of its last change.
    """

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ItemBatch:
    """Items that were changed up to a revision of the store.

    :param complete: whether these are all items of the store, so that no other
        items exist.
    """

    items: tuple[StoreItem, ...]
    revision: int
    complete: bool = False
