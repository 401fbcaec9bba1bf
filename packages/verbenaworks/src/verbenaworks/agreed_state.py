"""The state that all instances agree on, as stored under one key."""

from dataclasses import dataclass, field

import msgspec

from verbenaworks.control_record import SHARD_COUNT, ControlRecord
from verbenaworks.errors import VerbenaError

AGREED_KEY = "verbena/agreed"
_FORMAT = 1


class AgreedStateError(VerbenaError):
    """The bytes of an agreed state are malformed."""

    code = "malformed-agreed-state"


class _Stored(msgspec.Struct, array_like=True, frozen=True):
    format: int
    sequence: int
    config_revision: int
    control: ControlRecord
    config: bytes


_decoder: msgspec.msgpack.Decoder[_Stored] = msgspec.msgpack.Decoder(_Stored)
_REMEDY = "restore the key verbena/agreed from a backup or a live writer"


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigBytes:
    """An encoded configuration document and its revision."""

    document: msgspec.Raw
    config_revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AgreedState:
    """Configuration document and control record under one sequence.

    :param sequence: incremented by each write of the key.
    :param config: encoded configuration document; not interpreted here.
    :param config_revision: revision of that document; each edit increments
        it.
    """

    sequence: int
    config: msgspec.Raw
    config_revision: int
    control: ControlRecord = field(default_factory=ControlRecord)

    def to_bytes(self) -> bytes:
        """Return the encoded state for the store."""
        return msgspec.msgpack.encode(
            _Stored(
                _FORMAT,
                self.sequence,
                self.config_revision,
                self.control,
                bytes(self.config),
            )
        )

    @staticmethod
    def from_bytes(data: bytes) -> "AgreedState":
        """Decode a state.

        :raises AgreedStateError: if the bytes are malformed.
        """
        try:
            stored = _decoder.decode(data)
        except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
            raise AgreedStateError(
                f"malformed agreed state: {error}", _REMEDY
            ) from error
        _check(stored)
        return AgreedState(
            sequence=stored.sequence,
            config=msgspec.Raw(stored.config),
            config_revision=stored.config_revision,
            control=stored.control,
        )


def _check(stored: _Stored) -> None:
    if stored.format != _FORMAT:
        raise AgreedStateError(
            f"agreed state has format {stored.format}, expected {_FORMAT}",
            "run the version of verbenad that wrote it",
        )
    if stored.sequence < 1 or stored.config_revision < 0:
        raise AgreedStateError(
            f"agreed state has sequence {stored.sequence} and configuration "
            f"revision {stored.config_revision}, expected at least 1 and 0",
            _REMEDY,
        )
    if len(stored.control.shards) != SHARD_COUNT:
        raise AgreedStateError(
            f"agreed state has {len(stored.control.shards)} shards, "
            f"expected {SHARD_COUNT}",
            _REMEDY,
        )
