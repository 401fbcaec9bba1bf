"""Encoding of the frame around each message between instances.

Every frame carries its sender, so that frames may be lost, repeated and
reordered, and connections may break at any time. With a short name, the
sender takes 14 bytes: field names are left out and IP addresses are packed.
"""

from functools import lru_cache
from ipaddress import ip_address

import msgspec

from verbenaworks import WireError

# Size of the cache of decoded sender addresses. It is bounded because senders
# choose the addresses in their frames.
_KNOWN_SENDERS = 4096
_PORT_BYTES = 2
# IPv4 and IPv6 addresses with a port. Text addresses are padded with markers
# so that their size differs from these.
_PACKED_SIZES = (4 + _PORT_BYTES, 16 + _PORT_BYTES)
_TEXT_MARK = b"="


class BusFrame(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A message with its sender.

    :ivar name: name of the sender.
    :ivar address: its bus address as packed by :func:`pack_address`.
    :ivar number: number of the frame among those to this receiver.
    :ivar acknowledged: number of the last frame from this receiver.
    :ivar body: the encoded message.
    """

    name: str
    address: bytes
    number: int
    acknowledged: int
    body: msgspec.Raw


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[BusFrame] = msgspec.msgpack.Decoder(BusFrame)


def encode_frame(frame: BusFrame) -> bytes:
    """Return the bytes of a frame."""
    return _encoder.encode(frame)


def decode_frame(data: bytes) -> BusFrame:
    """Return the frame in ``data``.

    :raises WireError: if the bytes are malformed.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _malformed(str(error)) from error


def pack_address(address: str) -> bytes:
    """Return the short form of ``host:port``.

    An address that does not survive a round trip unchanged is kept as text,
    because addresses are compared as text.
    """
    host, _, port = address.rpartition(":")
    try:
        packed = ip_address(host.strip("[]")).packed + int(port).to_bytes(
            _PORT_BYTES
        )
    except (ValueError, OverflowError):
        return _pack_text(address)
    if unpack_address(packed) == address:
        return packed
    return _pack_text(address)


@lru_cache(_KNOWN_SENDERS)
def unpack_address(packed: bytes) -> str:
    """Return ``host:port``.

    :raises WireError: if the bytes are no address.
    """
    if len(packed) not in _PACKED_SIZES:
        return _unpack_text(packed)
    host = ip_address(packed[:-_PORT_BYTES])
    port = int.from_bytes(packed[-_PORT_BYTES:])
    return f"[{host}]:{port}" if host.version == 6 else f"{host}:{port}"


def _pack_text(address: str) -> bytes:
    text = _TEXT_MARK + address.encode()
    return _TEXT_MARK + text if len(text) in _PACKED_SIZES else text


def _unpack_text(packed: bytes) -> str:
    text = packed.lstrip(_TEXT_MARK)
    if len(text) == len(packed):
        raise _malformed("the sender has no address")
    try:
        return text.decode()
    except UnicodeDecodeError as error:
        raise _malformed(str(error)) from error


def _malformed(text: str) -> WireError:
    return WireError(
        f"malformed frame: {text}",
        "check that all instances run compatible versions",
    )
