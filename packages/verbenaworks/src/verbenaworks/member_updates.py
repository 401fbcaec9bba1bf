"""Compact encoding of the member records in messages.

A full record has about 100 bytes. A brief record, for members that the
receiver probably knows, omits what never changes within an incarnation and
has about 35 bytes.
"""

from collections.abc import Iterable

import msgspec

from verbenaworks.errors import WireError
from verbenaworks.member import Member, MemberState


class _Full(msgspec.Struct, array_like=True, tag=0, frozen=True):
    name: str
    incarnation: int
    counter: int
    report: int
    state: MemberState
    config_revision: int
    fresh: bool
    load_percent: int
    caller_address: str
    bus_address: str
    region: str
    failure_domain: str


class BriefUpdate(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """The fields of a member record that change."""

    name: str
    incarnation: int
    counter: int
    report: int
    state: MemberState
    config_revision: int
    fresh: bool
    load_percent: int


Update = Member | BriefUpdate
_Encoded = _Full | BriefUpdate

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[tuple[_Encoded, ...]] = (
    msgspec.msgpack.Decoder(tuple[_Encoded, ...])
)


def brief_update(member: Member) -> BriefUpdate:
    """Return the fields of the record that change."""
    return BriefUpdate(
        member.name,
        member.incarnation,
        member.counter,
        member.report,
        member.state,
        member.config_revision,
        member.fresh,
        round(member.load * 100),
    )


def encode_updates(updates: Iterable[Update]) -> bytes:
    """Encode the updates."""
    return _encoder.encode(
        [u if isinstance(u, BriefUpdate) else _encode_full(u) for u in updates]
    )


def decode_updates(data: bytes) -> list[Update]:
    """Decode the updates.

    :raises WireError: if the bytes are malformed.
    """
    try:
        updates = _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise WireError(
            f"malformed member updates: {error}",
            "check that all instances run compatible versions",
        ) from error
    return [
        u if isinstance(u, BriefUpdate) else _decode_full(u) for u in updates
    ]


def _encode_full(member: Member) -> _Full:
    return _Full(
        member.name,
        member.incarnation,
        member.counter,
        member.report,
        member.state,
        member.config_revision,
        member.fresh,
        round(member.load * 100),
        member.caller_address,
        member.bus_address,
        member.region,
        member.failure_domain,
    )


def _decode_full(full: _Full) -> Member:
    return Member(
        name=full.name,
        incarnation=full.incarnation,
        counter=full.counter,
        report=full.report,
        state=full.state,
        config_revision=full.config_revision,
        fresh=full.fresh,
        load=full.load_percent / 100,
        caller_address=full.caller_address,
        bus_address=full.bus_address,
        region=full.region,
        failure_domain=full.failure_domain,
    )
