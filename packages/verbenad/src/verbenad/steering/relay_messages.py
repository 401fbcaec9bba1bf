"""Message in which a relay passes on an update of the store."""

import msgspec

from verbenaworks.steering.store_item import StoreItem
from verbenaworks.wire import wire_message


@wire_message
class RelayedNews(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """An update of the store.

    :ivar items: changed items, in the order of their revisions.
    :ivar revision: revision of the store that the update leads to.
    :ivar complete: whether these are all items of the store.
    :ivar proof_age_ms: age of the last confirmation that nothing newer
        existed, at the time of the response.
    :ivar held_ms: how long the relay waited for a change.
    :ivar back_age_ms: how long ago the store recovered from an outage; None
        if there was no recent outage.
    :ivar era: era of the store that the revision belongs to.
    """

    items: tuple[StoreItem, ...]
    revision: int
    complete: bool
    proof_age_ms: int
    held_ms: int
    back_age_ms: int | None
    era: int = 0
