"""Edits of the configuration.

The changes are msgspec structs because msgspec can tell apart the members of
a union only by their tags, which data classes do not have.
"""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from verbenaworks.block_table import parse_block
from verbenaworks.settings_path import BLOCKS, is_within

# JSON carries longer numbers than msgpack; decoders refuse them.
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

    :ivar edit_id: identifies the edit when it is sent again.
    :ivar read_revision: the revision that the operator had read.
    :ivar expected_revision: if set, the only revision to which the edit
        applies.
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
        """Return whether ``other`` is this edit sent again."""
        return (
            self.edit_id == other.edit_id
            and self.operator == other.operator
            and self.changes == other.changes
        )


def changes_conflict(first: Change, second: Change) -> bool:
    """Return whether one change could overwrite the other.

    Changes of one branch conflict, whichever fields they touch: the operator
    decided on the branch as it was read. Client blocks are independent of
    each other.
    """
    if isinstance(first, DeleteBranch) and is_within(second.path, first.path):
        return True
    if isinstance(second, DeleteBranch) and is_within(first.path, second.path):
        return True
    if first.path != second.path:
        return False
    if first.path == BLOCKS:
        return _block(first) == _block(second)
    return True


def _block(change: Change) -> object:
    """Return what identifies a block, however it is spelled."""
    match change:
        case SetValue(field=text) | UnsetValue(field=text):
            return parse_block(text).unwrap_or(text)
        case _:
            return None
