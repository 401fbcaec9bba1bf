"""Order of entry instances for a client block."""

from collections import Counter
from dataclasses import replace

from verbenaworks.entry_lookup import EntryInstance, EntryLookup, hash_block


def _instances(count: int) -> list[EntryInstance]:
    return [
        EntryInstance(
            name=f"i{number}",
            caller_address=f"127.0.0.1:{9000 + number}",
            region=f"r{number % 3}",
            failure_domain=f"d{number % 6}",
        )
        for number in range(count)
    ]


def _names(
    lookup: EntryLookup, block: int, removed: frozenset[str]
) -> list[str]:
    found = lookup.find(
        ["r0", "r1", "r2"], hash_block(block), lambda name: name not in removed
    )
    return [instance.name for instance in found]


def test_order_does_not_depend_on_the_order_of_members() -> None:
    """Guards against instances that answer differently."""
    forward = EntryLookup(_instances(11))
    backward = EntryLookup(reversed(_instances(11)))
    for block in range(200):
        none: frozenset[str] = frozenset()
        assert _names(forward, block, none) == _names(backward, block, none)


def test_a_lost_instance_changes_only_its_own_blocks() -> None:
    """Guards against cold caches everywhere when one instance dies."""
    lookup = EntryLookup(_instances(11))
    for block in range(500):
        before = _names(lookup, block, frozenset())
        after = _names(lookup, block, frozenset({"i3"}))
        assert "i3" not in after
        if before[0] != "i3":
            assert after[0] == before[0]


def test_blocks_spread_over_the_instances_of_a_region() -> None:
    """Guards against one instance getting most of a region's callers."""
    lookup = EntryLookup(_instances(33))
    first = Counter(
        _names(lookup, block, frozenset())[0] for block in range(5000)
    )
    assert len(first) == 11
    assert max(first.values()) < 2 * 5000 / 11


def test_reused_rings_give_the_same_results() -> None:
    """Guards against results with removed or outdated instances."""
    earlier = EntryLookup(_instances(11))
    moved = [
        replace(instance, caller_address="127.0.0.1:1")
        if instance.name == "i4"
        else instance
        for instance in _instances(11)
        if instance.name != "i3"
    ]
    reused, rebuilt = EntryLookup(moved, earlier), EntryLookup(moved)
    for block in range(200):
        start = hash_block(block)
        order = ["r0", "r1", "r2"]
        found = reused.find(order, start, lambda name: True)
        assert found == rebuilt.find(order, start, lambda name: True)
