"""File format of export and import, and the edits of an import."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from verbena.cli_errors import UsageError
from verbenaworks.block_table import parse_block
from verbenaworks.config_document import EDIT_BYTES, ConfigDocument
from verbenaworks.edit import (
    Change,
    CreateBranch,
    DeleteBranch,
    SetValue,
    UnsetValue,
)
from verbenaworks.settings_path import BLOCKS, ROOT, is_within, level_of
from verbenaworks.settings_schema import check_value
from verbenaworks.settings_tree import SettingsTree
from verbenaworks.value_kind import Value

FORMAT_NAME = "verbena-settings-1"
# Leaves a tenth of the size limit for the other members of an edit.
_MAX_CHUNK_BYTES = EDIT_BYTES * 9 // 10
# Order of creation: a branch comes after those that it may refer to.
_CREATION_ORDER = (
    "deployment",
    "region",
    "service",
    "target",
    "site",
    "workspace",
    "workspace-service",
    "key",
    "operator",
    "shift",
)


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsFile:
    """The settings of a deployment in an exported file."""

    format: str
    config_revision: int = 0
    branches: dict[str, dict[str, Value]] = field(default_factory=dict)
    blocks: dict[str, str] = field(default_factory=dict)


def export_settings(document: ConfigDocument) -> SettingsFile:
    """Return a document's settings for export."""
    tree = document.tree
    return SettingsFile(
        format=FORMAT_NAME,
        config_revision=document.config_revision,
        branches={path: dict(tree.own_values(path)) for path in tree.paths()},
        blocks={block.cidr: block.site for block in tree.blocks},
    )


def read_settings(data: bytes) -> SettingsFile:
    """Parse and check the content of a settings file.

    :raises UsageError: if the file is malformed.
    :raises SettingError: if it has unknown paths, fields or values.
    """
    try:
        settings: SettingsFile = msgspec.json.decode(data, type=SettingsFile)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _malformed_error(error) from error
    if settings.format != FORMAT_NAME:
        raise _malformed_error(
            f"format {settings.format!r} is not {FORMAT_NAME!r}"
        )
    for path, values in settings.branches.items():
        if level_of(path).is_err():
            raise level_of(path).unwrap_err()
        for name, value in values.items():
            checked = check_value(path, name, value)
            if checked.is_err():
                raise checked.unwrap_err()
            values[name] = checked.unwrap()
    for block in settings.blocks:
        if parse_block(block).is_err():
            raise parse_block(block).unwrap_err()
    return settings


def plan_import(
    tree: SettingsTree, wanted: SettingsFile, replace: bool
) -> list[list[Change]]:
    """Return the edits that apply a file's settings to the tree.

    There are as few edits as the size limit of an edit allows, one if
    possible.

    :param replace: also remove what is not in the file.
    """
    groups = [
        *_branch_groups(tree, wanted, replace),
        *([change] for change in _block_changes(tree, wanted, replace)),
    ]
    if replace:
        groups.extend([change] for change in _deletions(tree, wanted))
    return _split_into_edits(groups)


def _branch_groups(
    tree: SettingsTree, wanted: SettingsFile, replace: bool
) -> Iterator[list[Change]]:
    for path in sorted(wanted.branches, key=_creation_key):
        group: list[Change] = []
        if path not in tree:
            group.append(CreateBranch(path=path))
        current, values = tree.own_values(path), wanted.branches[path]
        if replace:
            group.extend(
                UnsetValue(path=path, field=name)
                for name in current
                if name not in values
            )
        group.extend(
            SetValue(path=path, field=name, value=value)
            for name, value in values.items()
            if current.get(name) != value
        )
        if group:
            yield group


def _block_changes(
    tree: SettingsTree, wanted: SettingsFile, replace: bool
) -> Iterator[Change]:
    current = {block.cidr: block.site for block in tree.blocks}
    for cidr, site in wanted.blocks.items():
        if current.get(cidr) != site:
            yield SetValue(path=BLOCKS, field=cidr, value=site)
    if replace:
        wanted_blocks = {parse_block(cidr).unwrap() for cidr in wanted.blocks}
        for cidr in current:
            if parse_block(cidr).unwrap() not in wanted_blocks:
                yield UnsetValue(path=BLOCKS, field=cidr)


def _deletions(tree: SettingsTree, wanted: SettingsFile) -> Iterator[Change]:
    """Yield deletions, ordered so that no reference is left dangling."""
    surplus = [path for path in tree.paths() if path not in wanted.branches]
    topmost = [
        path
        for path in surplus
        if path != ROOT
        and not any(
            is_within(path, other)
            for other in surplus
            if other not in (path, ROOT)
        )
    ]
    for path in sorted(topmost, key=_creation_key, reverse=True):
        yield DeleteBranch(path=path)


def _creation_key(path: str) -> tuple[int, str]:
    level = level_of(path).ok()
    return (
        _CREATION_ORDER.index(level)
        if level in _CREATION_ORDER
        else len(_CREATION_ORDER),
        path,
    )


def _split_into_edits(groups: Iterable[list[Change]]) -> list[list[Change]]:
    chunks: list[list[Change]] = []
    # Makes the first group start a chunk.
    size_bytes = _MAX_CHUNK_BYTES
    for group in groups:
        group_bytes = len(msgspec.msgpack.encode(group))
        if size_bytes + group_bytes > _MAX_CHUNK_BYTES:
            chunks.append([])
            size_bytes = 0
        chunks[-1].extend(group)
        size_bytes += group_bytes
    return chunks


def _malformed_error(reason: Any) -> UsageError:
    return UsageError(
        f"the file is not an export of verbena: {reason}",
        "write such a file with: verbena export FILE",
    )
