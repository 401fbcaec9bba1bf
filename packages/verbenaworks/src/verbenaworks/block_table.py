"""The immutable table of client blocks and their sites.

Blocks are stored in sorted arrays, because 120,000 dictionary entries would
take more than half of the 32 MB that control work may use.
"""

import ipaddress
import sys
import zlib
from array import array
from bisect import bisect_left
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from functools import cached_property

import msgspec
from result import Err, Ok, Result

from verbenaworks.errors import SettingError, WireError

_LENGTH_BITS = 8
_LENGTH_MASK = 0xFF
_WIDTH_BITS = {4: 32, 6: 128}
_MAX_PACKED_BYTES = 64_000_000
_REMEDY = "check that all instances run compatible versions"


@dataclass(frozen=True, kw_only=True, slots=True)
class ClientBlock:
    """A network of clients.

    :ivar version: 4 or 6.
    :ivar start: the first address as an integer.
    """

    version: int
    start: int
    prefix_length: int
    site: str

    @property
    def cidr(self) -> str:
        """Return the block in CIDR notation."""
        address: ipaddress.IPv4Address | ipaddress.IPv6Address
        if self.version == 4:
            address = ipaddress.IPv4Address(self.start)
        else:
            address = ipaddress.IPv6Address(self.start)
        return f"{address}/{self.prefix_length}"


class _Packed(msgspec.Struct, array_like=True, frozen=True):
    sites: list[str]
    starts4: list[int]
    lengths4: bytes
    starts6: list[bytes]
    lengths6: bytes
    site_indexes: bytes


def parse_block(cidr: str) -> Result[tuple[int, int], SettingError]:
    """Return (IP version, sort key) of a block in CIDR notation."""
    try:
        network = ipaddress.ip_network(cidr)
    except ValueError as error:
        return Err(
            SettingError(
                f"{cidr!r} is not a client block: {error}",
                "use CIDR notation such as 10.1.0.0/16 or 2001:db8::/32",
            )
        )
    start = int(network.network_address)
    return Ok((network.version, start << _LENGTH_BITS | network.prefixlen))


class BlockTable:
    """Client blocks, sorted by IP version, address and prefix length."""

    def __init__(self) -> None:
        self._keys4 = array("Q")
        self._keys6: list[int] = []
        self._indexes4 = array("H")
        self._indexes6 = array("H")
        self._sites: tuple[str, ...] = ()

    def __len__(self) -> int:
        return len(self._keys4) + len(self._keys6)

    def __iter__(self) -> Iterator[ClientBlock]:
        for version, keys, indexes in self._parts():
            for key, index in zip(keys, indexes, strict=True):
                yield ClientBlock(
                    version=version,
                    start=key >> _LENGTH_BITS,
                    prefix_length=key & _LENGTH_MASK,
                    site=self._sites[index],
                )

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, BlockTable):
            return NotImplemented
        return self is other or (
            len(self) == len(other)
            and all(a == b for a, b in zip(self, other, strict=True))
        )

    __hash__ = None  # type: ignore[assignment]

    @property
    def sites(self) -> tuple[str, ...]:
        """Return the sites by index; some may have no block."""
        return self._sites

    def entries(self, version: int) -> Iterator[tuple[int, int, int]]:
        """Yield start, prefix length and site index of each block, sorted.

        This is several times faster than iterating over the table.
        """
        keys, indexes = self._part(version)
        for key, index in zip(keys, indexes, strict=True):
            yield key >> _LENGTH_BITS, key & _LENGTH_MASK, index

    def site_of(self, cidr: str) -> str | None:
        """Return the site of this block; containing blocks do not count."""
        match parse_block(cidr):
            case Ok((version, key)):
                keys, indexes = self._part(version)
                position = bisect_left(keys, key)
                found = position < len(keys) and keys[position] == key
                return self._sites[indexes[position]] if found else None
            case _:
                return None

    def with_changes(
        self, changes: Iterable[tuple[str, str | None]]
    ) -> Result["BlockTable", SettingError]:
        """Return a copy of the table with changed blocks.

        :param changes: pairs of block and site; None removes the block.
        """
        table = self._copy()
        for cidr, site in changes:
            match parse_block(cidr):
                case Ok((version, key)):
                    table._set_site(version, key, site)
                case Err(error):
                    return Err(error)
        return Ok(table)

    @cached_property
    def used_sites(self) -> frozenset[str]:
        """Return the sites that have at least one block."""
        indexes = set(self._indexes4) | set(self._indexes6)
        return frozenset(self._sites[index] for index in indexes)

    @cached_property
    def packed(self) -> bytes:
        """Return the encoded table for the store."""
        packed = _Packed(
            sites=list(self._sites),
            starts4=_differences(key >> _LENGTH_BITS for key in self._keys4),
            lengths4=bytes(key & _LENGTH_MASK for key in self._keys4),
            starts6=[
                (key >> _LENGTH_BITS).to_bytes(16, "big")
                for key in self._keys6
            ],
            lengths6=bytes(key & _LENGTH_MASK for key in self._keys6),
            site_indexes=_big_endian(self._indexes4 + self._indexes6),
        )
        return zlib.compress(msgspec.msgpack.encode(packed))

    @classmethod
    def unpack(cls, data: bytes) -> "BlockTable":
        """Decode a table from its :attr:`packed` form.

        :raises WireError: if the bytes are malformed.
        """
        try:
            raw = inflate(data, _MAX_PACKED_BYTES)
            table = cls._from_packed(msgspec.msgpack.decode(raw, type=_Packed))
        except (msgspec.DecodeError, ValueError, OverflowError) as error:
            raise WireError(f"malformed blocks: {error}", _REMEDY) from error
        # An edit that does not change the blocks then need not encode them
        # again, which takes about 0.1 s for 120,000 blocks.
        table.__dict__["packed"] = data
        return table

    @classmethod
    def _from_packed(cls, packed: _Packed) -> "BlockTable":
        table = cls()
        table._sites = tuple(packed.sites)
        start = 0
        for delta, length in zip(packed.starts4, packed.lengths4, strict=True):
            start += delta
            table._keys4.append(start << _LENGTH_BITS | length)
        for start6, length in zip(
            packed.starts6, packed.lengths6, strict=True
        ):
            start = int.from_bytes(start6, "big")
            table._keys6.append(start << _LENGTH_BITS | length)
        indexes = array("H", packed.site_indexes)
        if sys.byteorder == "little":
            indexes.byteswap()
        table._indexes4.extend(indexes[: len(table._keys4)])
        table._indexes6.extend(indexes[len(table._keys4) :])
        table._check()
        return table

    def _check(self) -> None:
        for version, keys, indexes in self._parts():
            width = _WIDTH_BITS[version]
            if len(keys) != len(indexes):
                raise ValueError("blocks and sites differ in number")
            previous = -1
            for key, index in zip(keys, indexes, strict=True):
                start, length = key >> _LENGTH_BITS, key & _LENGTH_MASK
                host_bits = width - length
                if key <= previous or host_bits < 0 or start >> width:
                    raise ValueError("blocks are out of order or range")
                if start & ((1 << host_bits) - 1) or index >= len(self._sites):
                    raise ValueError("a block has host bits or no site")
                previous = key

    def _parts(
        self,
    ) -> tuple[tuple[int, "array[int] | list[int]", "array[int]"], ...]:
        return (
            (4, self._keys4, self._indexes4),
            (6, self._keys6, self._indexes6),
        )

    def _part(
        self, version: int
    ) -> tuple["array[int] | list[int]", "array[int]"]:
        if version == 4:
            return self._keys4, self._indexes4
        return self._keys6, self._indexes6

    def _copy(self) -> "BlockTable":
        table = BlockTable()
        table._keys4, table._keys6 = self._keys4[:], self._keys6[:]
        table._indexes4 = self._indexes4[:]
        table._indexes6 = self._indexes6[:]
        table._sites = self._sites
        return table

    def _set_site(self, version: int, key: int, site: str | None) -> None:
        keys, indexes = self._part(version)
        position = bisect_left(keys, key)
        found = position < len(keys) and keys[position] == key
        if site is None:
            if found:
                del keys[position], indexes[position]
            return
        index = self._index_of(site)
        if found:
            indexes[position] = index
            return
        keys.insert(position, key)
        indexes.insert(position, index)

    def _index_of(self, site: str) -> int:
        if site not in self._sites:
            self._sites += (site,)
        return self._sites.index(site)


def inflate(data: bytes, limit_bytes: int) -> bytes:
    """Decompress zlib data.

    :raises ValueError: if it is malformed or longer than the limit.
    """
    inflater = zlib.decompressobj()
    try:
        raw = inflater.decompress(data, limit_bytes)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not inflater.eof or inflater.unused_data:
        raise ValueError("compressed data is cut off or too long")
    return raw


def _big_endian(numbers: "array[int]") -> bytes:
    big_endian = numbers[:]
    if sys.byteorder == "little":
        big_endian.byteswap()
    return big_endian.tobytes()


def _differences(numbers: Iterable[int]) -> list[int]:
    previous = 0
    differences = []
    for number in numbers:
        differences.append(number - previous)
        previous = number
    return differences
