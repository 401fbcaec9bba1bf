"""The store's items as one instance knows them, for relaying to others."""

from verbenaworks.steering.store_item import (
    ItemBatch,
    StoreItem,
    StorePosition,
)

# Removals are kept for this long; an instance that is further behind gets all
# items.
REMOVAL_RETENTION_S = 30.0


class ItemLog:
    """Latest state of each item, with its revision.

    :ivar position: position of the store that it has reached; none before the
        first read.
    """

    def __init__(self) -> None:
        self.position: StorePosition | None = None
        self._oldest_revision = 0
        self._items: dict[str, StoreItem] = {}
        self._removed: list[tuple[float, StoreItem]] = []

    def apply(self, now_s: float, batch: ItemBatch) -> None:
        """Apply items that were read from the store or from a relay.

        :raises ValueError: if they follow on another era than the known one.
        """
        position = self.position
        if batch.complete or position is None:
            position = batch.position
        elif batch.era != position.era:
            raise ValueError(
                f"changes of era {batch.era} do not follow on {position};"
                " read all items"
            )
        if batch.complete:
            self._items = {item.key: item for item in batch.items}
            self._removed.clear()
            self._oldest_revision = batch.revision
        for item in batch.items:
            known = self._items.get(item.key)
            if known is not None and known.revision > item.revision:
                continue
            self._items[item.key] = item
            if item.value is None:
                self._removed.append((now_s, item))
        self.position = max(position, batch.position)
        self._prune(now_s)

    def changes_since(self, position: StorePosition) -> ItemBatch:
        """Return the changes after a position.

        These are all items if the position is too old, or of another era.

        :raises ValueError: if nothing was read yet.
        """
        known = self.position
        if known is None:
            raise ValueError("no items are known yet")
        complete = (
            position.era != known.era
            or position.revision < self._oldest_revision
        )
        items = [
            item
            for item in self._items.values()
            if item.revision > position.revision or complete
        ]
        if complete:
            items = [item for item in items if item.value is not None]
        items.sort(key=lambda item: item.revision)
        return ItemBatch(
            items=tuple(items),
            revision=known.revision,
            complete=complete,
            era=known.era,
        )

    def _prune(self, now_s: float) -> None:
        oldest_s = now_s - REMOVAL_RETENTION_S
        while self._removed and self._removed[0][0] < oldest_s:
            _, item = self._removed.pop(0)
            self._oldest_revision = max(self._oldest_revision, item.revision)
            if self._items.get(item.key) is item:
                del self._items[item.key]
