"""The immutable tree of configuration settings."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from functools import cached_property
from types import MappingProxyType
from typing import Any

from result import Err, Ok, Result

from verbenaworks.block_table import BlockTable, parse_block
from verbenaworks.edit import (
    Change,
    CreateBranch,
    DeleteBranch,
    Edit,
    SetValue,
    UnsetValue,
)
from verbenaworks.errors import EditRefused, SettingError, VerbenaError
from verbenaworks.settings_path import (
    BLOCKS,
    ROOT,
    is_within,
    level_of,
    lookup_order,
    parent_of,
)
from verbenaworks.settings_schema import (
    BLOCK_SITE,
    FIELDS,
    check_value,
    field_at,
)
from verbenaworks.tree_rules import find_violation
from verbenaworks.value_kind import Value, check

Branch = Mapping[str, Value]


@dataclass(frozen=True, kw_only=True, slots=True)
class EffectiveValue:
    """A value and the branch that set it.

    :ivar origin_path: None if the value is the field's default.
    """

    value: Value | None
    origin_path: str | None


class SettingsTree:
    """Branches with the values that are set on them.

    :param branches: values by path; the deployment is added if missing.
    """

    def __init__(
        self,
        branches: Mapping[str, Branch] | None = None,
        blocks: BlockTable | None = None,
    ) -> None:
        self._branches: dict[str, Branch] = {ROOT: MappingProxyType({})}
        self._branches.update(branches or {})
        self._blocks = blocks if blocks is not None else BlockTable()

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, SettingsTree):
            return NotImplemented
        return (
            self._branches == other._branches and self._blocks == other._blocks
        )

    __hash__ = None  # type: ignore[assignment]

    @property
    def blocks(self) -> BlockTable:
        """Return the client blocks."""
        return self._blocks

    def __contains__(self, path: str) -> bool:
        return path == BLOCKS or path in self._branches

    def paths(self) -> list[str]:
        """Return the sorted paths of all branches, without /blocks."""
        return sorted(self._branches)

    def own_values(self, path: str) -> Branch:
        """Return the values that are set on the branch itself."""
        return self._branches.get(path, MappingProxyType({}))

    def names(self, collection: str) -> list[str]:
        """Return the names of a collection such as ``/services``."""
        return list(self._collections.get(collection, ()))

    def get(self, path: str, field: str) -> EffectiveValue:
        """Return the effective value at ``path`` and its origin.

        :raises SettingError: if the path or the field does not exist.
        """
        if path == BLOCKS:
            site = self._blocks.site_of(field)
            origin = BLOCKS if site is not None else None
            return EffectiveValue(value=site, origin_path=origin)
        if path not in self._branches:
            raise _missing_branch_error(path)
        return self.resolve(path, field)

    def value(self, path: str, field: str) -> Any:
        """Return only the value of :meth:`get`."""
        return self.get(path, field).value

    def effective(self, path: str) -> Iterator[tuple[str, EffectiveValue]]:
        """Yield each field that may be set at ``path`` with its value.

        :raises SettingError: if the path does not exist.
        """
        if path not in self._branches:
            raise _missing_branch_error(path)
        level = level_of(path).unwrap()
        for name, spec in FIELDS.items():
            if level in spec.levels:
                yield name, self.resolve(path, name)

    def apply(self, edit: Edit) -> Result["SettingsTree", EditRefused]:
        """Return the tree after an edit, validated as a whole."""
        match self.replay(edit):
            case Err(refusal):
                return Err(refusal)
            case Ok(tree):
                violation = find_violation(tree)
                return Ok(tree) if violation is None else Err(violation)

    def replay(self, edit: Edit) -> Result["SettingsTree", EditRefused]:
        """Return the tree after an edit that another instance has accepted.

        The rules between values are not checked again.
        """
        draft = _Draft(self)
        for change in edit.changes:
            refusal = draft.apply(change)
            if refusal is not None:
                return Err(refusal)
        return draft.finish()

    @cached_property
    def _collections(self) -> dict[str, list[str]]:
        collections: dict[str, list[str]] = {}
        for path in self.paths():
            collection, _, name = path.rpartition("/")
            if name:
                collections.setdefault(collection, []).append(name)
        return collections

    def resolve(self, path: str, field: str) -> EffectiveValue:
        """Return the value that a branch at ``path`` has or would have.

        :raises SettingError: if the field does not exist.
        """
        spec = FIELDS.get(field)
        if spec is None:
            raise field_at(path, field).unwrap_err()
        for origin in lookup_order(path):
            branch = self._branches.get(origin)
            if branch is not None and field in branch:
                return EffectiveValue(value=branch[field], origin_path=origin)
        return EffectiveValue(value=spec.default, origin_path=None)


class _Draft:
    """A mutable copy of a tree to which the changes of an edit are applied."""

    def __init__(self, tree: SettingsTree) -> None:
        self._branches = {p: tree.own_values(p) for p in tree.paths()}
        self._blocks = tree.blocks
        self._block_changes: list[tuple[str, str | None]] = []

    def apply(self, change: Change) -> EditRefused | None:
        match change:
            case CreateBranch(path=path):
                return self._create(path)
            case DeleteBranch(path=path):
                return self._delete(path)
            case SetValue(path=path) | UnsetValue(path=path):
                if path == BLOCKS:
                    return self._change_block(change)
                if path not in self._branches:
                    return _to_refusal(
                        "unknown-path", _missing_branch_error(path)
                    )
                return self._change_value(change)

    def finish(self) -> Result[SettingsTree, EditRefused]:
        if not self._block_changes:
            return Ok(SettingsTree(self._branches, self._blocks))
        match self._blocks.with_changes(self._block_changes):
            case Ok(blocks):
                return Ok(SettingsTree(self._branches, blocks))
            case Err(error):
                return Err(_to_refusal("invalid-value", error))

    def _create(self, path: str) -> EditRefused | None:
        match level_of(path):
            case Err(error):
                return _to_refusal("invalid-path", error)
            case Ok(level) if level in ("deployment", "blocks"):
                return _exists_refusal(path)
        if path in self._branches:
            return _exists_refusal(path)
        parent = parent_of(path)
        if parent not in self._branches:
            return _to_refusal(
                "unknown-path", _missing_branch_error(parent or ROOT)
            )
        self._branches[path] = MappingProxyType({})
        return None

    def _delete(self, path: str) -> EditRefused | None:
        if path in (ROOT, BLOCKS):
            return EditRefused(
                "permanent-path",
                f"{path} cannot be deleted",
                "unset its values instead",
            )
        if path not in self._branches:
            return _to_refusal("unknown-path", _missing_branch_error(path))
        self._branches = {
            other: values
            for other, values in self._branches.items()
            if not is_within(other, path)
        }
        return None

    def _change_value(
        self, change: SetValue | UnsetValue
    ) -> EditRefused | None:
        path, field = change.path, change.field
        values = dict(self._branches[path])
        match change:
            case SetValue(value=value):
                match check_value(path, field, value):
                    case Ok(normalized):
                        values[field] = normalized
                    case Err(error):
                        return _to_refusal("invalid-value", error)
            case UnsetValue():
                if field not in values:
                    return EditRefused(
                        "not-set",
                        f"{path} does not set {field}",
                        "see which branch sets it with: "
                        f"verbena get {path} {field}",
                    )
                del values[field]
        self._branches[path] = MappingProxyType(values)
        return None

    def _change_block(
        self, change: SetValue | UnsetValue
    ) -> EditRefused | None:
        match parse_block(change.field):
            case Err(error):
                return _to_refusal("invalid-value", error)
        match change:
            case SetValue(value=value):
                match check(BLOCK_SITE, value):
                    case Ok(site):
                        self._block_changes.append((change.field, str(site)))
                    case Err(hint):
                        return EditRefused(
                            "invalid-value",
                            f"{value!r} is not a site",
                            f"use {hint}",
                        )
            case UnsetValue(field=block):
                if not self._has_block(block):
                    return EditRefused(
                        "not-set",
                        f"{BLOCKS} has no block {block}",
                        f"list the blocks with: verbena get {BLOCKS}",
                    )
                self._block_changes.append((block, None))
        return None

    def _has_block(self, block: str) -> bool:
        key = parse_block(block).unwrap()
        for other, site in reversed(self._block_changes):
            if parse_block(other).unwrap() == key:
                return site is not None
        return self._blocks.site_of(block) is not None


def _missing_branch_error(path: str) -> SettingError:
    match level_of(path):
        case Err(error):
            return error
        case _:
            return SettingError(
                f"{path} does not exist",
                f"create it with: verbena create {path}",
            )


def _exists_refusal(path: str) -> EditRefused:
    return EditRefused(
        "exists",
        f"{path} exists already",
        "choose another name, or change the existing branch",
    )


def _to_refusal(code: str, error: VerbenaError) -> EditRefused:
    return EditRefused(code, error.message, error.remedy)


def branch_problem(path: str, values: Branch) -> str | None:
    """Return a description of what is wrong with a decoded branch, or None.

    Fields that this version does not know are accepted and kept, so that
    instances of two versions can share one document during an upgrade.
    """
    if level_of(path).is_err() or path == BLOCKS:
        return f"{path!r} is not a branch"
    for field, value in values.items():
        if field in FIELDS and check_value(path, field, value).is_err():
            return f"{field} = {value!r} at {path}"
    return None
