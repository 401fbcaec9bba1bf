"""Items of the platform's store, before decoding."""

import binascii
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


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class StorePosition:
    """A place in the history of the store.

    :param era: rises each time that the store is restored from a copy. It then
        gives out again the revisions after the copy, for other changes.
    """

    era: int
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ItemBatch:
    """Items that were changed up to a position in the store's history.

    :param complete: whether these are all items of the store, so that no other
        items exist.
    """

    items: tuple[StoreItem, ...]
    revision: int
    complete: bool = False
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Position that the batch leads to."""
        return StorePosition(era=self.era, revision=self.revision)


def decode_value(text: str | None) -> bytes:
    """Return the value of an item that the store gave in base64.

    Text that is not base64 is returned as it is. Decoding fails on it later,
    so the item is reported as unreadable.
    """
    if not text:
        return b""
    try:
        return binascii.a2b_base64(text, strict_mode=True)
    except ValueError:
        return text.encode()
