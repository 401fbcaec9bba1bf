"""Table of client blocks, compared with a plain dictionary."""

import contextlib

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenaworks.block_table import BlockTable
from verbenaworks.errors import WireError

BLOCKS = st.builds(
    lambda four, number: (
        f"{number}.0.0.0/8" if four else f"2001:db8:{number}::/48"
    ),
    st.booleans(),
    st.integers(1, 9),
)
CHANGES = st.lists(
    st.tuples(BLOCKS, st.sampled_from(["x", "y", None])), max_size=30
)


@settings(derandomize=True, max_examples=200, database=None)
@given(st.lists(CHANGES, max_size=4))
def test_changes(rounds: list[list[tuple[str, str | None]]]) -> None:
    """Guards against clients that are assigned to the wrong site."""
    table, oracle = BlockTable(), dict[str, str]()
    for changes in rounds:
        earlier = {block.cidr: block.site for block in table}
        changed = table.with_changes(changes).unwrap()
        assert {block.cidr: block.site for block in table} == earlier
        for cidr, site in changes:
            oracle.pop(cidr, None)
            if site is not None:
                oracle[cidr] = site
        table = changed
        assert {block.cidr: block.site for block in table} == oracle
        assert table.used_sites == set(oracle.values())
        assert all(table.site_of(c) == s for c, s in oracle.items())
        assert BlockTable.unpack(table.packed) == table


@settings(derandomize=True, max_examples=300, database=None)
@given(st.binary(max_size=80), st.integers(0, 1000))
def test_damaged_bytes_raise_only_wire_errors(data: bytes, at: int) -> None:
    """Guards against damaged blocks that stop the watcher."""
    table = BlockTable().with_changes([("10.0.0.0/8", "x"), ("::/0", "y")])
    good = table.unwrap().packed
    at %= len(good)
    for damaged in (data, good[:at] + data, good[:at] + data + good[at + 1 :]):
        with contextlib.suppress(WireError):
            BlockTable.unpack(damaged)


def test_malformed_blocks_are_refused() -> None:
    """Guards against blocks with host bits, which contain other clients."""
    for cidr in ("10.0.0.1/8", "10.0.0.0/33", "x", "", "10.0.0.0/-1"):
        assert BlockTable().with_changes([(cidr, "x")]).is_err()
