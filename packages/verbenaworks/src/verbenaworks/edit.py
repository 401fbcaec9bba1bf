"""Edits of the configuration.

The changes are msgspec structs because msgspec distinguishes the members of a
union by their tags, which data classes do not have.
"""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from verbenaworks.block_table import parse_block
from verbenaworks.settings_path import BLOCKS, is_within

# JSON allows larger numbers than msgpack, so decoders refuse them.
WholeNumber = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]


class SetValue(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Sets a field of a branch; at ``/blocks`` the field is a block."""

    path: str
    field: str
    value: bool | WholeNumber | float | str | tuple[str, ...]


class UnsetValue(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Removes a field from a branch, so that it inherits the value."""

    path: str
    field: str


class CreateBranch(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Creates a branch without values."""

    path: str


class DeleteBranch(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Deletes a branch and everything below it."""

    path: str


Change = SetValue | UnsetValue | CreateBranch | DeleteBranch


@dataclass(frozen=True, kw_only=True, slots=True)
class Edit:
    """Changes that are applied together or not at all.

    :ivar edit_id: identifies the edit if it is sent again.
    :ivar read_revision: the revision that the operator had read.
    :ivar expected_revision: if set, the edit is refused at any other
        revision.
    :ivar sent_at_s: Unix time at which the edit reached an instance; it is
        informational.
    """

    edit_id: str
    operator: str
    read_revision: WholeNumber
    changes: tuple[Change, ...]
    expected_revision: WholeNumber | None = None
    sent_at_s: float = 0.0

    def same_request(self, other: "Edit") -> bool:
        """Return whether ``other`` is a resent copy of this edit."""
        return (
            self.edit_id == other.edit_id
            and self.operator == other.operator
            and self.changes == other.changes
        )


def changes_conflict(first: Change, second: Change) -> bool:
    """Return whether one change could overwrite the other.

    Changes of the same branch conflict even if their fields differ, because
    the operator decided on the basis of the whole branch. Client blocks are
    independent of each other.
    """
    if isinstance(first, DeleteBranch) and is_within(second.path, first.path):
        return True
    if isinstance(second, DeleteBranch) and is_within(first.path, second.path):
        return True
    if first.path != second.path:
        return False
    if first.path == BLOCKS:
        return _block_identity(first) == _block_identity(second)
    return True


def _block_identity(change: Change) -> object:
    """Return the identity of a block, independent of its notation."""
    match change:
        case SetValue(field=text) | UnsetValue(field=text):
            return parse_block(text).unwrap_or(text)
        case _:
            return None
