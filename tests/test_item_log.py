"""Items of the store that instances relay to each other."""

import pytest

from verbenaworks.steering.item_log import REMOVAL_RETENTION_S, ItemLog
from verbenaworks.steering.store_item import (
    ItemBatch,
    StoreItem,
    StorePosition,
)


def _item(key: str, revision: int, value: bytes | None = b"v") -> StoreItem:
    return StoreItem(key=key, value=value, revision=revision)


def _at(revision: int, era: int = 0) -> StorePosition:
    return StorePosition(era=era, revision=revision)


def _log(*items: StoreItem, revision: int = 10) -> ItemLog:
    log = ItemLog()
    log.apply(
        0.0, ItemBatch(items=tuple(items), revision=revision, complete=True)
    )
    return log


def _keys(batch: ItemBatch) -> list[str]:
    return [item.key for item in batch.items]


def test_nothing_is_relayed_before_the_first_read() -> None:
    """Guards against an empty list that is mistaken for an empty store."""
    with pytest.raises(ValueError, match="no items"):
        ItemLog().changes_since(_at(0))


def test_changes_after_a_revision_are_relayed_in_order() -> None:
    """Guards against updates that are lost or relayed twice."""
    log = _log(_item("a", 3), _item("b", 7))
    log.apply(1.0, ItemBatch(items=(_item("c", 12),), revision=12))
    log.apply(2.0, ItemBatch(items=(_item("a", 14, None),), revision=15))
    batch = log.changes_since(_at(10))
    assert _keys(batch) == ["c", "a"]
    assert batch.items[1].value is None
    assert (batch.revision, batch.complete) == (15, False)
    assert _keys(log.changes_since(_at(12))) == ["a"]
    assert _keys(log.changes_since(_at(15))) == []


def test_instance_far_behind_gets_all_items() -> None:
    """Guards against removed items that stay in use."""
    log = _log(_item("a", 3), _item("b", 7))
    batch = log.changes_since(_at(5))
    assert batch.complete
    assert _keys(batch) == ["a", "b"]
    removal = ItemBatch(items=(_item("a", 14, None),), revision=14)
    log.apply(1.0, removal)
    log.apply(
        2.0 + REMOVAL_RETENTION_S,
        ItemBatch(items=(_item("d", 20),), revision=20),
    )
    late = log.changes_since(_at(10))
    assert late.complete
    assert _keys(late) == ["b", "d"]
    assert not log.changes_since(_at(14)).complete


def test_item_that_is_written_again_is_kept() -> None:
    """Guards against an old removal that deletes a newer item."""
    log = _log(_item("a", 3))
    log.apply(1.0, ItemBatch(items=(_item("a", 11, None),), revision=11))
    log.apply(2.0, ItemBatch(items=(_item("a", 12),), revision=12))
    log.apply(50.0, ItemBatch(items=(), revision=13))
    assert _keys(log.changes_since(_at(0))) == ["a"]


def test_older_state_does_not_replace_a_newer_one() -> None:
    """Guards against a slow relay that reverts an item."""
    log = _log(_item("a", 3))
    log.apply(1.0, ItemBatch(items=(_item("a", 12, b"new"),), revision=12))
    log.apply(2.0, ItemBatch(items=(_item("a", 11, b"old"),), revision=11))
    assert log.changes_since(_at(10)).items[0].value == b"new"
    assert log.position == _at(12)


def test_restored_store_takes_the_log_back() -> None:
    """Guards against a log that keeps the revisions of a lost span."""
    log = _log(_item("config", 100), revision=100)
    copy = ItemBatch(
        items=(_item("config", 80),), revision=95, complete=True, era=1
    )
    log.apply(1.0, copy)
    log.apply(2.0, ItemBatch(items=(_item("config", 99),), revision=99, era=1))
    assert log.position == _at(99, era=1)
    batch = log.changes_since(_at(95, era=1))
    assert [item.revision for item in batch.items] == [99]
    # Whoever comes from the older era gets everything.
    assert log.changes_since(_at(100)).complete


def test_changes_of_another_era_are_not_mixed_in() -> None:
    """Guards against a log that joins two histories."""
    log = _log(_item("a", 3))
    with pytest.raises(ValueError, match="era"):
        log.apply(1.0, ItemBatch(items=(_item("b", 12),), revision=12, era=1))
