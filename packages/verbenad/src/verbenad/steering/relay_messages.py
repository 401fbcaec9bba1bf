"""What a relay answers to an instance that asks for news."""

import msgspec

from verbenaworks.steering.store_item import StoreItem
from verbenaworks.wire import wire_message


@wire_message
class RelayedNews(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """News of the store.

    :ivar items: changed items, in the order of their revisions.
    :ivar revision: up to which the news goes.
    :ivar complete: whether these are all items.
    :ivar proof_age_ms: age of the proof that there was nothing newer, when
        the answer was sent.
    :ivar held_ms: how long the relay waited for news.
    :ivar back_age_ms: how long ago the store came back after an outage;
        none if there was none lately.
    """

    items: tuple[StoreItem, ...]
    revision: int
    complete: bool
    proof_age_ms: int
    held_ms: int
    back_age_ms: int | None
