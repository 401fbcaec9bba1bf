"""Longest-prefix lookup from client addresses to sites.

Blocks may be nested. They are flattened once into disjoint ranges that are
stored in arrays, because 120,000 blocks as separate objects would exceed the
memory that an instance may use for control work.
"""

import ipaddress
import re
from array import array
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from verbenaworks.block_table import BlockTable
from verbenaworks.errors import VerbenaError

# Only the first 64 bits of IPv6 addresses are used. A /64 is one subnet, so a
# longer prefix does not distinguish sites.
IPV6_USED_BITS = 64

_NO_SITE = 0xFFFF
_REMEDY = "use an address or block such as 192.0.2.0/24 or 2001:db8::/32"

# Leading zeros are not allowed, because some programs read them as octal.
_OCTET = "(0|[1-9][0-9]{0,2})"
_PLAIN_IPV4 = re.compile(rf"{_OCTET}\.{_OCTET}\.{_OCTET}\.{_OCTET}", re.ASCII)
_PREFIX_LENGTH = re.compile("[0-9]{1,3}", re.ASCII)

_Network = ipaddress.IPv4Network | ipaddress.IPv6Network


class InvalidAddressError(VerbenaError):
    """An address or block could not be parsed or is not unicast."""

    code = "invalid-address"


class ForeignAddressError(VerbenaError):
    """No configured client block contains the address."""

    code = "foreign-address"


@dataclass(frozen=True, kw_only=True, slots=True)
class BlockMatch:
    """The range that contains an address.

    :ivar site: name of the site.
    :ivar range_id: index of the disjoint range; stable within one table.
    :ivar range_start: first address of the range; the same at each instance.
    """

    site: str
    range_id: int
    range_start: int


class ClientBlocks:
    """Lookup table from address to site.

    :param blocks: pairs of CIDR block and site name.
    :raises InvalidAddressError: if a block is malformed.
    """

    def __init__(self, blocks: Iterable[tuple[str, str]]) -> None:
        self._sites: list[str] = []
        site_ids: dict[str, int] = {}
        by_version: dict[int, list[tuple[int, int, int]]] = {4: [], 6: []}
        for text, site in blocks:
            network = _parse_network(text)
            if site not in site_ids:
                site_ids[site] = len(self._sites)
                self._sites.append(site)
            unused_bits = _unused_bits(network.version)
            first = int(network.network_address) >> unused_bits
            last = int(network.broadcast_address) >> unused_bits
            by_version[network.version].append((first, last, site_ids[site]))
        self._starts = {4: array("Q"), 6: array("Q")}
        self._range_sites = {4: array("H"), 6: array("H")}
        for version, ranges in by_version.items():
            ranges.sort(key=lambda item: (item[0], -item[1]))
            self._flatten(version, ranges)

    @classmethod
    def from_table(cls, table: BlockTable) -> "ClientBlocks":
        """Return the lookup table of a configuration's blocks.

        The table is already sorted, so no list of ranges is built. For
        120,000 blocks, the list alone would take 18 MB.
        """
        blocks = cls([])
        blocks._sites = list(table.sites)
        for version in (4, 6):
            blocks._flatten(version, _ranges(table, version))
        return blocks

    def __len__(self) -> int:
        return sum(len(starts) for starts in self._starts.values())

    def find(self, address: str) -> BlockMatch:
        """Return the most specific block of an address or of a block.

        :raises InvalidAddressError: if the text is not a unicast address.
        :raises ForeignAddressError: if no block contains the address.
        """
        version, number = _parse_address(address)
        number >>= _unused_bits(version)
        index = bisect_right(self._starts[version], number) - 1
        site_id = self._range_sites[version][index] if index >= 0 else _NO_SITE
        if site_id == _NO_SITE:
            raise ForeignAddressError(
                f"no client block holds {address}",
                "use an address that the operators have configured",
            )
        return BlockMatch(
            site=self._sites[site_id],
            range_id=index,
            range_start=self._starts[version][index],
        )

    def ranges(self) -> Iterator[tuple[int, str]]:
        """Yield start and site of each range that has a site."""
        for version, starts in self._starts.items():
            for start, site_id in zip(
                starts, self._range_sites[version], strict=True
            ):
                if site_id != _NO_SITE:
                    yield start, self._sites[site_id]

    def _flatten(
        self, version: int, ranges: Iterable[tuple[int, int, int]]
    ) -> None:
        """Turn nested ranges into disjoint ones; the innermost one wins.

        :param ranges: first address, last address and site, sorted by first
            address; an outer range comes before its inner ones.
        """
        open_ranges: list[tuple[int, int]] = []
        for first, last, site_id in ranges:
            while open_ranges and open_ranges[-1][0] < first:
                self._close_range(version, open_ranges)
            self._append(version, first, site_id)
            open_ranges.append((last, site_id))
        while open_ranges:
            self._close_range(version, open_ranges)

    def _close_range(
        self, version: int, open_ranges: list[tuple[int, int]]
    ) -> None:
        last, _ = open_ranges.pop()
        while open_ranges and open_ranges[-1][0] <= last:
            open_ranges.pop()
        outer_site = open_ranges[-1][1] if open_ranges else _NO_SITE
        self._append(version, last + 1, outer_site)

    def _append(self, version: int, start: int, site_id: int) -> None:
        starts, range_sites = self._starts[version], self._range_sites[version]
        if starts and starts[-1] == start:
            range_sites[-1] = site_id
            return
        starts.append(min(start, 2**64 - 1))
        range_sites.append(site_id)


def _unused_bits(version: int) -> int:
    return 0 if version == 4 else 128 - IPV6_USED_BITS


def _ranges(table: BlockTable, version: int) -> Iterator[tuple[int, int, int]]:
    unused_bits = _unused_bits(version)
    width = 32 if version == 4 else 128
    for start, prefix_length, site_id in table.entries(version):
        last = start | ((1 << (width - prefix_length)) - 1)
        yield start >> unused_bits, last >> unused_bits, site_id


def _parse_network(text: str) -> _Network:
    try:
        return ipaddress.ip_network(text, strict=True)
    except ValueError as error:
        raise InvalidAddressError(
            f"{text!r} is not a client block: {error}", _REMEDY
        ) from error


def _parse_address(text: str) -> tuple[int, int]:
    """Return IP version and integer value of an address or a block's start."""
    host, slash, length = text.partition("/")
    if slash and not _PREFIX_LENGTH.fullmatch(length):
        raise InvalidAddressError(
            f"{text!r} has no valid prefix length", _REMEDY
        )
    match = _PLAIN_IPV4.fullmatch(host)
    if match is not None:
        # Ten times as fast as ipaddress for the usual notation.
        a, b, c, d = map(int, match.groups())
        if 0 < a < 224 and b < 256 and c < 256 and d < 256:
            return 4, a << 24 | b << 16 | c << 8 | d
    try:
        parsed = ipaddress.ip_address(host)
    except ValueError as error:
        raise InvalidAddressError(
            f"{text!r} is not an address: {error}", _REMEDY
        ) from error
    if parsed.is_multicast or parsed.is_unspecified:
        raise InvalidAddressError(f"{text!r} is not unicast", _REMEDY)
    return parsed.version, int(parsed)
