"""Codec of the messages between instances."""

import contextlib
from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenaworks import WireError, decode, encode, wire_message


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class _Sample:
    name: str
    values: tuple[int, ...] = ()


def test_round_trip() -> None:
    """Guards against lost or reordered fields."""
    message = _Sample(name="a", values=(1, 2))
    assert decode(encode(message)) == message


def test_unknown_name_is_refused() -> None:
    """Guards against misinterpreting a message of another version."""
    with pytest.raises(WireError, match="unknown message"):
        decode(encode(_Sample(name="a")).replace(b"_Sample", b"_Sampla"))


@settings(derandomize=True, max_examples=300, database=None)
@given(st.binary(max_size=64))
def test_arbitrary_bytes_raise_only_wire_errors(data: bytes) -> None:
    """Guards against a malformed datagram that ends the receive loop."""
    with contextlib.suppress(WireError):
        decode(data)
