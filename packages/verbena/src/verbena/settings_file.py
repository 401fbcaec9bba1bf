"""The file format of export and import, and the edits an import makes."""

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

FORMAT = "verbena-settings-1"
# Leaves room for the other members of the edit.
_CHUNK_BYTES = EDIT_BYTES * 9 // 10
# A branch comes after the branches that it may refer to.
_ORDER = (
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
        format=FORMAT,
        config_revision=document.config_revision,
        branches={path: dict(tree.own_values(path)) for path in tree.paths()},
        blocks={block.cidr: block.site for block in tree.blocks},
    )


def read_settings(data: bytes) -> SettingsFile:
    """Return the settings in a file.

    :raises UsageError: if the file is malformed.
    :raises SettingError: if it has unknown paths, fields or values.
    """
    try:
        settings: SettingsFile = msgspec.json.decode(data, type=SettingsFile)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _malformed(error) from error
    if settings.format != FORMAT:
        raise _malformed(f"format {settings.format!r} is not {FORMAT!r}")
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
    """Return the edits that give the tree the file's settings.

    The edits are as few as the size limit of an edit allows, one if
    possible.

    :param replace: also remove what the file does not have.
    """
    groups = [
        *_branch_groups(tree, wanted, replace),
        *([change] for change in _block_changes(tree, wanted, replace)),
    ]
    if replace:
        groups.extend([c] for c in _deletes(tree, wanted))
    return _chunks(groups)


def _branch_groups(
    tree: SettingsTree, wanted: SettingsFile, replace: bool
) -> Iterator[list[Change]]:
    for path in sorted(wanted.branches, key=_order_of):
        group: list[Change] = []
        if path not in tree:
            group.append(CreateBranch(path=path))
        own, values = tree.own_values(path), wanted.branches[path]
        if replace:
            group.extend(
                UnsetValue(path=path, field=name)
                for name in own
                if name not in values
            )
        group.extend(
            SetValue(path=path, field=name, value=value)
            for name, value in values.items()
            if own.get(name) != value
        )
        if group:
            yield group


def _block_changes(
    tree: SettingsTree, wanted: SettingsFile, replace: bool
) -> Iterator[Change]:
    have = {block.cidr: block.site for block in tree.blocks}
    for cidr, site in wanted.blocks.items():
        if have.get(cidr) != site:
            yield SetValue(path=BLOCKS, field=cidr, value=site)
    if replace:
        known = {parse_block(cidr).unwrap() for cidr in wanted.blocks}
        for cidr in have:
            if parse_block(cidr).unwrap() not in known:
                yield UnsetValue(path=BLOCKS, field=cidr)


def _deletes(tree: SettingsTree, wanted: SettingsFile) -> Iterator[Change]:
    """Yield deletions in the order in which no reference dangles."""
    surplus = [p for p in tree.paths() if p not in wanted.branches]
    tops = [
        path
        for path in surplus
        if path != ROOT
        and not any(
            is_within(path, o) for o in surplus if o not in (path, ROOT)
        )
    ]
    for path in sorted(tops, key=_order_of, reverse=True):
        yield DeleteBranch(path=path)


def _order_of(path: str) -> tuple[int, str]:
    level = level_of(path).ok()
    return (_ORDER.index(level) if level in _ORDER else len(_ORDER), path)


def _chunks(groups: Iterable[list[Change]]) -> list[list[Change]]:
    chunks: list[list[Change]] = []
    size_bytes = _CHUNK_BYTES
    for group in groups:
        group_bytes = len(msgspec.msgpack.encode(group))
        if size_bytes + group_bytes > _CHUNK_BYTES:
            chunks.append([])
            size_bytes = 0
        chunks[-1].extend(group)
        size_bytes += group_bytes
    return chunks


def _malformed(reason: Any) -> UsageError:
    return UsageError(
        f"the file is not an export of verbena: {reason}",
        "write such a file with: verbena export FILE",
    )
