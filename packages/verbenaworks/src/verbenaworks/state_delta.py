"""Binary deltas between encoded states: copied and literal runs of bytes.

This module does not know the encoding of the configuration document, so a
delta works on bytes. An edit changes a few places and shifts the list of
recent edits; both leave long runs that can be copied.
"""

import hashlib
from dataclasses import dataclass

from verbenaworks.errors import VerbenaError

_BLOCK_BYTES = 32
_MIN_COPY_BYTES = 16
# Searching 400 KB for a block that does not occur takes about 0.1 ms.
_MAX_MISSES = 256


class DeltaMismatchError(VerbenaError):
    """A delta does not fit the state to which it was applied."""

    code = "delta-mismatch"


@dataclass(frozen=True, kw_only=True, slots=True)
class StateDelta:
    """A newer state as a delta to the state with ``base_sequence``.

    :param base_sequence: sequence of the base; 0 for a whole state.
    :param runs: literal bytes, or (offset, length) to copy from the base.
    :param digest: digest of the resulting state. Two states with the same
        sequence can differ after the store was restored, so the sequence
        alone does not identify the base.
    """

    base_sequence: int
    runs: tuple[bytes | tuple[int, int], ...]
    digest: bytes


def digest(data: bytes) -> bytes:
    """Return the digest that identifies an encoded state."""
    return hashlib.blake2b(data, digest_size=12).digest()


def whole_state(data: bytes) -> StateDelta:
    """Return a delta that contains the whole state and needs no base."""
    return StateDelta(base_sequence=0, runs=(data,), digest=digest(data))


def make_delta(base: bytes, base_sequence: int, data: bytes) -> StateDelta:
    """Return the delta that turns ``base`` into ``data``.

    Returns the whole state if the two have little in common.
    """
    runs: list[bytes | tuple[int, int]] = []
    literal_start = position = misses = 0
    while position < len(data):
        offset = _find_block(base, data, position)
        length = (
            0 if offset < 0 else _match_length(base, offset, data, position)
        )
        if length < _MIN_COPY_BYTES:
            misses += 1
            if misses > _MAX_MISSES:
                return whole_state(data)
            position += 1 if position - literal_start < 64 else 16
            continue
        extension = _match_length_before(
            base, offset, data, position, literal_start
        )
        position, offset, length = (
            position - extension,
            offset - extension,
            length + extension,
        )
        if position > literal_start:
            runs.append(data[literal_start:position])
        runs.append((offset, length))
        literal_start = position = position + length
    if literal_start < len(data):
        runs.append(data[literal_start:])
    return StateDelta(
        base_sequence=base_sequence, runs=tuple(runs), digest=digest(data)
    )


def apply_delta(base: bytes, delta: StateDelta) -> bytes:
    """Return the encoded state that the delta describes.

    :raises DeltaMismatchError: if the delta was made from another base.
    """
    data = b"".join(
        run if isinstance(run, bytes) else base[run[0] : run[0] + run[1]]
        for run in delta.runs
    )
    if digest(data) != delta.digest:
        raise DeltaMismatchError(
            f"the delta does not fit the state with sequence "
            f"{delta.base_sequence}",
            "ask the peer for the whole state",
        )
    return data


def _find_block(base: bytes, data: bytes, position: int) -> int:
    if (
        base[position : position + _BLOCK_BYTES]
        == (data[position : position + _BLOCK_BYTES])
    ):
        return position if position < len(base) else -1
    block = data[position : position + _BLOCK_BYTES]
    return base.find(block) if len(block) == _BLOCK_BYTES else -1


def _match_length(base: bytes, offset: int, data: bytes, position: int) -> int:
    length, step = 0, 4096
    limit = min(len(base) - offset, len(data) - position)
    while step:
        end = min(length + step, limit)
        if end > length and (
            base[offset + length : offset + end]
            == data[position + length : position + end]
        ):
            length = end
        else:
            step //= 2
    return length


def _match_length_before(
    base: bytes, offset: int, data: bytes, position: int, start: int
) -> int:
    extension = 0
    while (
        extension < position - start
        and extension < offset
        and base[offset - extension - 1] == data[position - extension - 1]
    ):
        extension += 1
    return extension
