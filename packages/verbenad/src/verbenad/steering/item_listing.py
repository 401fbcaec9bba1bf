"""Reads all items of the platform's store, page by page."""

from collections.abc import Callable
from random import Random

import eventlet

from verbenad.steering.item_page import ItemPage
from verbenad.steering.platform_client import (
    ListingIncompleteError,
    PlatformBusyError,
    PlatformUnavailableError,
)
from verbenaworks.steering.store_item import (
    ItemBatch,
    StoreItem,
    StorePosition,
)

MAX_PAGES = 200
# Delays before a page is asked for again that was refused for the limit of
# reads.
MIN_BUSY_DELAY_S = 0.1
MAX_BUSY_DELAY_S = 0.4
# A listing that is refused for longer starts again later.
MAX_BUSY_S = 3.0


class ItemListing:
    """One listing of all items.

    :param read_page: returns the page after a key; the first one after an
        empty key.
    :param random: spreads the repeated calls of the instances.
    """

    def __init__(
        self,
        *,
        read_page: Callable[[str], ItemPage],
        random: Random,
        sleep: Callable[[float], object] = eventlet.sleep,
    ) -> None:
        self._read_page = read_page
        self._random = random
        self._sleep = sleep
        self._items: dict[str, StoreItem] = {}
        self._first: StorePosition | None = None

    def read(self) -> ItemBatch:
        """Return all items.

        The batch has the position of the first page, so that a watch from
        there delivers what changed during the listing.

        :raises ListingIncompleteError: if the pages do not lead to the end.
        :raises PlatformUnavailableError: if the store did not serve a page.
        """
        after = ""
        for _ in range(MAX_PAGES):
            page = self._read_admitted_page(after)
            known_count = len(self._items)
            self._add(page)
            if not page.has_more:
                return self._batch()
            if len(self._items) == known_count:
                raise ListingIncompleteError(
                    after, f"does not advance after {known_count} items"
                )
            after = page.items[-1].key
        raise ListingIncompleteError(
            after, f"has not ended after {MAX_PAGES} pages"
        )

    def _read_admitted_page(self, after: str) -> ItemPage:
        """Read a page; after the first, wait while the store is busy.

        Starting again would repeat all pages, so that a fleet that lists at
        the same time would exceed the limit of reads for long.
        """
        if self._first is None:
            return self._read_page(after)
        delay_s = MIN_BUSY_DELAY_S
        left_s = MAX_BUSY_S
        while True:
            try:
                return self._read_page(after)
            except PlatformBusyError:
                if left_s <= 0:
                    raise
            self._sleep(delay_s * self._random.uniform(0.5, 1.0))
            left_s -= delay_s
            delay_s = min(2 * delay_s, MAX_BUSY_DELAY_S)

    def _add(self, page: ItemPage) -> None:
        if self._first is None:
            self._first = page.position
        if page.position.era != self._first.era:
            raise PlatformUnavailableError(
                "the store was restored from a copy during a listing"
            )
        self._items.update((item.key, item) for item in page.items)

    def _batch(self) -> ItemBatch:
        assert self._first is not None, "at least one page is read"
        return ItemBatch(
            items=tuple(self._items.values()),
            revision=self._first.revision,
            complete=True,
            era=self._first.era,
        )
