"""The configuration document: revision, settings tree, recent edits."""

import re
import zlib
from dataclasses import dataclass, field, replace
from functools import cached_property
from types import MappingProxyType

import msgspec
from result import Err, Ok, Result

from verbenaworks.block_table import BlockTable, inflate
from verbenaworks.edit import Edit, changes_conflict
from verbenaworks.errors import EditRefused, WireError
from verbenaworks.settings_tree import SettingsTree, branch_problem
from verbenaworks.tree_rules import find_violation
from verbenaworks.value_kind import Value

HISTORY_EDITS = 256
# The store limits a value to 1 MB. These limits leave room for 120,000
# client blocks and the control record.
HISTORY_BYTES = 200_000
EDIT_BYTES = 100_000
DOCUMENT_BYTES = 900_000
_FORMAT = 1
_EDIT_ID = re.compile("[0-9A-Za-z-]{1,64}")
_MAX_INFLATED_BYTES = 64_000_000
_REMEDY = "check that all instances run compatible versions"


@dataclass(frozen=True, kw_only=True, slots=True)
class AcceptedEdit:
    """An edit and the revision that it created."""

    config_revision: int
    edit: Edit


class _Body(msgspec.Struct, array_like=True, frozen=True):
    config_revision: int
    branches: dict[str, dict[str, Value]]
    history: list[AcceptedEdit]


class _Envelope(msgspec.Struct, array_like=True, frozen=True):
    format: int
    body: bytes
    blocks: bytes


_body_decoder: msgspec.msgpack.Decoder[_Body] = msgspec.msgpack.Decoder(_Body)
_envelope_decoder: msgspec.msgpack.Decoder[_Envelope] = (
    msgspec.msgpack.Decoder(_Envelope)
)
_encoder = msgspec.msgpack.Encoder()


@dataclass(frozen=True, kw_only=True)
class ConfigDocument:
    """The configuration at one revision.

    :ivar history: the most recent edits, the newest last.
    """

    config_revision: int = 0
    tree: SettingsTree = field(default_factory=SettingsTree)
    history: tuple[AcceptedEdit, ...] = ()

    def find_edit(self, edit_id: str) -> AcceptedEdit | None:
        """Return the edit with this id if it is in the history."""
        for accepted in reversed(self.history):
            if accepted.edit.edit_id == edit_id:
                return accepted
        return None

    def edits_since(self, revision: int) -> tuple[AcceptedEdit, ...] | None:
        """Return the edits after ``revision``, or None if some are lost."""
        if not self._has_history_since(revision):
            return None
        return tuple(a for a in self.history if a.config_revision > revision)

    def apply_edit(self, edit: Edit) -> Result["ConfigDocument", EditRefused]:
        """Return the document after an edit.

        If the edit was already applied, the document is returned unchanged.
        An edit without changes cancels its id: another edit with this id that
        arrives later is refused.
        """
        earlier = self.find_edit(edit.edit_id)
        if earlier is not None:
            return self._resolve_resent(earlier, edit)
        refusal = _check_edit(edit) or self._check_revision(edit)
        if refusal is not None:
            return Err(refusal)
        return self.tree.apply(edit).and_then(
            lambda tree: self._with_edit(edit, tree)
        )

    def replay(
        self, accepted: AcceptedEdit
    ) -> Result["ConfigDocument", EditRefused]:
        """Return the document after the next accepted edit.

        Used by instances that receive edits from a relay. The writer has
        already validated the edit.
        """
        if accepted.config_revision != self.config_revision + 1:
            return Err(
                EditRefused(
                    "revision-mismatch",
                    f"revision {accepted.config_revision} does not follow "
                    f"revision {self.config_revision}",
                    "read the whole document",
                )
            )
        return self.tree.replay(accepted.edit).map(
            lambda tree: self._with_accepted(accepted, tree)
        )

    def to_bytes(self) -> bytes:
        """Return the encoded document for the store."""
        return self._bytes

    @classmethod
    def from_bytes(
        cls, data: bytes, earlier: "ConfigDocument | None" = None
    ) -> "ConfigDocument":
        """Decode a document.

        :param earlier: a document whose client blocks are reused if they are
            the same. Most edits change no block, and decoding 120,000 blocks
            takes longer than everything else.
        :raises WireError: if the bytes are malformed or break a rule.
        """
        try:
            envelope = _envelope_decoder.decode(data)
            if envelope.format != _FORMAT:
                raise ValueError(f"unknown format {envelope.format}")
            body = _body_decoder.decode(
                inflate(envelope.body, _MAX_INFLATED_BYTES)
            )
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            raise _malformed(error) from error
        blocks = _shared_blocks(earlier, envelope.blocks)
        if blocks is None:
            blocks = BlockTable.unpack(envelope.blocks)
        document = cls(
            config_revision=body.config_revision,
            tree=SettingsTree(_checked_branches(body), blocks),
            history=tuple(body.history),
        )
        document._check()
        return document

    @cached_property
    def _bytes(self) -> bytes:
        body = _Body(
            config_revision=self.config_revision,
            branches={
                path: dict(self.tree.own_values(path))
                for path in self.tree.paths()
            },
            history=list(self.history),
        )
        return _encoder.encode(
            _Envelope(
                format=_FORMAT,
                body=zlib.compress(_encoder.encode(body), 6),
                blocks=self.tree.blocks.packed,
            )
        )

    def _check(self) -> None:
        violation = find_violation(self.tree)
        if violation is not None:
            raise _malformed(violation)
        first = self.config_revision - len(self.history) + 1
        for revision, accepted in enumerate(self.history, start=first):
            if accepted.config_revision != revision:
                raise _malformed("the history has gaps")

    def _resolve_resent(
        self, earlier: AcceptedEdit, edit: Edit
    ) -> Result["ConfigDocument", EditRefused]:
        both_cancel = not edit.changes and not earlier.edit.changes
        if both_cancel or earlier.edit.same_request(edit):
            return Ok(self)
        if not edit.changes:
            return Err(
                EditRefused(
                    "already-accepted",
                    f"edit {edit.edit_id} was accepted at revision "
                    f"{earlier.config_revision}",
                    "undo it with a new edit if it is not wanted",
                )
            )
        if not earlier.edit.changes:
            return Err(
                EditRefused(
                    "edit-cancelled",
                    f"edit {edit.edit_id} was cancelled at revision "
                    f"{earlier.config_revision}",
                    "send the changes under a new edit id",
                )
            )
        return Err(
            EditRefused(
                "edit-id-reused",
                f"edit {edit.edit_id} was accepted at revision "
                f"{earlier.config_revision} with other changes",
                "send the changes under a new edit id",
            )
        )

    def _check_revision(self, edit: Edit) -> EditRefused | None:
        current = self.config_revision
        if edit.expected_revision == current:
            return None
        if edit.expected_revision is not None:
            return EditRefused(
                "revision-mismatch",
                f"the edit expects revision {edit.expected_revision}, the "
                f"configuration is at {current}",
                "read the configuration and decide again",
            )
        if edit.read_revision > current:
            return EditRefused(
                "revision-ahead",
                f"the edit was made at revision {edit.read_revision}, but "
                f"the configuration is at {current}",
                "wait a moment and send the edit again",
            )
        if not self._has_history_since(edit.read_revision):
            return EditRefused(
                "revision-too-old",
                f"the edit was made at revision {edit.read_revision}, whose "
                "successors are no longer in the history",
                "read the configuration and decide again",
            )
        return self._check_conflicts(edit)

    def _check_conflicts(self, edit: Edit) -> EditRefused | None:
        for accepted in self.history:
            if accepted.config_revision <= edit.read_revision:
                continue
            for earlier_change in accepted.edit.changes:
                if any(
                    changes_conflict(change, earlier_change)
                    for change in edit.changes
                ):
                    return EditRefused(
                        "concurrent-edit",
                        f"{accepted.edit.operator} changed "
                        f"{earlier_change.path} at "
                        f"revision {accepted.config_revision}, after "
                        f"revision {edit.read_revision} was read",
                        "read the configuration and decide again",
                    )
        return None

    def _has_history_since(self, revision: int) -> bool:
        """Return whether the history has all edits after ``revision``."""
        return revision >= self.config_revision - len(self.history)

    def _with_accepted(
        self, accepted: AcceptedEdit, tree: SettingsTree
    ) -> "ConfigDocument":
        return replace(
            self,
            config_revision=accepted.config_revision,
            tree=tree,
            history=_trimmed((*self.history, accepted)),
        )

    def _with_edit(
        self, edit: Edit, tree: SettingsTree
    ) -> Result["ConfigDocument", EditRefused]:
        accepted = AcceptedEdit(
            config_revision=self.config_revision + 1, edit=edit
        )
        document = self._with_accepted(accepted, tree)
        size_bytes = len(document.to_bytes())
        if size_bytes > DOCUMENT_BYTES:
            return Err(
                EditRefused(
                    "document-too-large",
                    f"the configuration would have {size_bytes} bytes, more "
                    f"than {DOCUMENT_BYTES}",
                    "delete branches or client blocks that are not needed",
                )
            )
        return Ok(document)


def _check_edit(edit: Edit) -> EditRefused | None:
    if not _EDIT_ID.fullmatch(edit.edit_id):
        return EditRefused(
            "invalid-edit-id",
            f"{edit.edit_id!r} is not an edit id",
            "use 1 to 64 letters, digits and -",
        )
    size_bytes = len(_encoder.encode(edit))
    if size_bytes > EDIT_BYTES:
        return EditRefused(
            "edit-too-large",
            f"the edit has {size_bytes} bytes, more than {EDIT_BYTES}",
            "split it into several edits",
        )
    return None


def _shared_blocks(
    earlier: ConfigDocument | None, packed: bytes
) -> BlockTable | None:
    if earlier is None or earlier.tree.blocks.packed != packed:
        return None
    return earlier.tree.blocks


def _trimmed(
    history: tuple[AcceptedEdit, ...],
) -> tuple[AcceptedEdit, ...]:
    recent = history[-HISTORY_EDITS:]
    sizes = [len(_encoder.encode(accepted)) for accepted in recent]
    excess_bytes = sum(sizes) - HISTORY_BYTES
    first = 0
    while excess_bytes > 0:
        excess_bytes -= sizes[first]
        first += 1
    return recent[first:]


def _checked_branches(body: _Body) -> dict[str, MappingProxyType[str, Value]]:
    branches = {}
    for path, values in body.branches.items():
        problem = branch_problem(path, values)
        if problem is not None:
            raise _malformed(problem)
        branches[path] = MappingProxyType(values)
    return branches


def _malformed(reason: object) -> WireError:
    return WireError(f"malformed configuration: {reason}", _REMEDY)
