"""Longest-prefix lookup from client addresses to sites."""

import ipaddress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenaworks.block_table import BlockTable
from verbenaworks.client_blocks import (
    ClientBlocks,
    ForeignAddressError,
    InvalidAddressError,
)

_block = st.tuples(st.integers(0, 2**32 - 1), st.integers(0, 32)).map(
    lambda pair: ipaddress.ip_network(pair, strict=False)
)


@settings(derandomize=True, max_examples=300, database=None)
@given(
    st.dictionaries(_block, st.sampled_from("abc"), max_size=12),
    st.data(),
)
def test_agrees_with_a_linear_search(
    blocks: dict[ipaddress.IPv4Network, str], data: st.DataObject
) -> None:
    """Guards against wrong flattening of nested and adjacent blocks."""
    table = ClientBlocks((str(block), site) for block, site in blocks.items())
    edges = [
        min(max(int(edge) + step, 1), 2**32 - 1)
        for block in blocks
        for edge in (block.network_address, block.broadcast_address)
        for step in (-1, 0, 1)
    ]
    number = data.draw(st.sampled_from(edges) if edges else st.just(1))
    address = ipaddress.IPv4Address(number)
    if address.is_multicast:
        return
    containing = [block for block in blocks if address in block]
    if not containing:
        with pytest.raises(ForeignAddressError):
            table.find(str(address))
        return
    best = max(containing, key=lambda block: block.prefixlen)
    assert table.find(str(address)).site == blocks[best]


@pytest.mark.parametrize(
    "text",
    ["", "10.0.0", "x", "224.0.0.1", "0.0.0.0", "010.0.0.1", "10.0.0.256"]
    + ["10.0.0.1/x", "10.0.0.1/", "1.2.3.4.5", "10.0.0.1 ", "ff02::1"],
)
def test_malformed_address_is_a_typed_error(text: str) -> None:
    """Guards against a malformed address causing a crash or a wrong site."""
    with pytest.raises(InvalidAddressError):
        ClientBlocks([("0.0.0.0/0", "a")]).find(text)


@settings(derandomize=True, max_examples=300, database=None)
@given(st.integers(0, 2**32 - 1))
def test_plain_addresses_are_parsed_like_the_standard_library(
    number: int,
) -> None:
    """Guards against a fast path that parses another address."""
    address = ipaddress.IPv4Address(number)
    table = ClientBlocks([(f"{address}/32", "a")])
    if address.is_multicast or address.is_unspecified:
        with pytest.raises(InvalidAddressError):
            table.find(str(address))
        return
    assert table.find(str(address)).range_start == number


def test_ipv6_blocks_nest() -> None:
    """Guards against ignoring the more specific block of an IPv6 caller."""
    table = ClientBlocks([("2001:db8::/32", "a"), ("2001:db8:1::/48", "b")])
    assert table.find("2001:db8:1::5").site == "b"
    assert table.find("2001:db8:2::5").site == "a"


_block6 = st.tuples(
    st.sampled_from([0x20010DB8 << 96, 0x20010DB9 << 96]),
    st.integers(0, 3),
    st.integers(0, 3),
    st.integers(28, 128),
).map(
    lambda parts: ipaddress.ip_network(
        (parts[0] + (parts[1] << 63) + parts[2], parts[3]), strict=False
    )
)


@settings(derandomize=True, max_examples=300, database=None)
@given(
    st.dictionaries(_block | _block6, st.sampled_from("abc"), max_size=16),
)
def test_table_of_a_configuration_gives_the_same_ranges(
    blocks: dict[ipaddress.IPv4Network | ipaddress.IPv6Network, str],
) -> None:
    """Guards against a direct construction that gives other results."""
    pairs = [(str(block), site) for block, site in blocks.items()]
    table = BlockTable().with_changes(pairs).unwrap()
    in_order = [(block.cidr, block.site) for block in table]
    expected = list(ClientBlocks(in_order).ranges())
    assert list(ClientBlocks.from_table(table).ranges()) == expected
