"""Messages of the membership protocol.

``updates`` holds member records in the encoding of ``member_updates``.
Frequent messages are encoded as arrays without field names.
"""

from dataclasses import dataclass

import msgspec

from verbenaworks.wire import wire_message


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class Join:
    """Asks a seed for all members; contains the sender's record."""

    reply_to: str
    updates: bytes


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class MemberList:
    """Answers a Join or an AskMembers with some of the members."""

    updates: bytes


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class AskMembers:
    """Asks for the full records of members known only from brief ones."""

    reply_to: str
    names: tuple[str, ...]
    updates: bytes


@wire_message
class Ping(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Asks whether the receiver is alive."""

    seq: int
    reply_to: str
    updates: bytes


@wire_message
class PingVia(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Asks the receiver to ping ``target`` and to forward its answer."""

    seq: int
    reply_to: str
    target: str
    updates: bytes


@wire_message
class Ack(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Answers a Ping, or a PingVia whose target answered."""

    seq: int
    updates: bytes


MembershipMessage = Join | MemberList | AskMembers | Ping | PingVia | Ack


@dataclass(frozen=True, kw_only=True, slots=True)
class SendMembershipMessage:
    """Send a message to a bus address; it may be lost."""

    address: str
    message: MembershipMessage
