"""Codec for the messages between instances.

A message is a data class that is registered by its name and encoded as the
msgpack array ``[name, fields]``. Unknown names and malformed bytes are
refused, so messages of a peer with another version are not misinterpreted.
"""

from typing import Any, TypeVar

import msgspec

from verbenaworks.errors import WireError

_MessageType = TypeVar("_MessageType", bound=type)
_REMEDY = "check that all instances run compatible versions"

_decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}
_encoder = msgspec.msgpack.Encoder()


class _Envelope(msgspec.Struct, array_like=True, frozen=True):
    name: str
    fields: msgspec.Raw


_envelope_decoder: msgspec.msgpack.Decoder[_Envelope] = (
    msgspec.msgpack.Decoder(_Envelope)
)


def wire_message(message_type: _MessageType) -> _MessageType:
    """Register a data class as a message; used as a class decorator.

    :raises ValueError: if another class has the same name.
    """
    name = message_type.__name__
    if name in _decoders:
        raise ValueError(f"message name {name} is already registered")
    _decoders[name] = msgspec.msgpack.Decoder(message_type)
    return message_type


def encode(message: Any) -> bytes:
    """Encode a registered message."""
    name = type(message).__name__
    if name not in _decoders:
        raise ValueError(f"{name} is not registered as a message")
    return _encoder.encode([name, message])


def decode(data: bytes) -> Any:
    """Decode a message.

    :raises WireError: if the bytes are malformed or the name is unknown.
    """
    try:
        envelope = _envelope_decoder.decode(data)
        decoder = _decoders.get(envelope.name)
        if decoder is None:
            raise WireError(f"unknown message {envelope.name!r}", _REMEDY)
        return decoder.decode(envelope.fields)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise WireError(f"malformed message: {error}", _REMEDY) from error
