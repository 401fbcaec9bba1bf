"""Bytes around the messages between instances."""

import msgspec
import pytest

from verbenad.bus_frame import (
    BusFrame,
    decode_frame,
    encode_frame,
    pack_address,
    unpack_address,
)
from verbenaworks import WireError


@pytest.mark.parametrize(
    ("address", "size"),
    [
        ("10.0.0.7:8080", 6),
        ("[2001:db8::1]:443", 18),
        ("[2001:0db8::1]:443", 19),
        ("[2001:0db8:0::1]:44", 20),
        ("localhost:1", 12),
        ("a.b:1", 7),
        ("10.0.0.7:65536", 15),
    ],
)
def test_addresses_come_back_letter_by_letter(address: str, size: int) -> None:
    """Guards against answers that go to an address nobody listens on."""
    packed = pack_address(address)
    assert unpack_address(packed) == address
    assert len(packed) == size


def test_malformed_frames_are_refused() -> None:
    """Guards against bytes of unknown peers that end the receiving loop."""
    good = BusFrame("e1", b"\x0a\x00\x00\x07\x1f\x90", 1, 2, msgspec.Raw(b"x"))
    data = encode_frame(good)
    assert decode_frame(data) == good
    for bad in (b"", b"x", data[:-1], data + b"x", b"\x91" * 5000):
        with pytest.raises(WireError):
            decode_frame(bad)
    for address in (b"", b"\x00", b"\x00" * 7, b"=\xff"):
        with pytest.raises(WireError):
            unpack_address(address)
