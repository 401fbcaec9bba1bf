"""Formats changes as text and parses assignments."""

from collections.abc import Sequence

from verbena.cli_errors import UsageError
from verbenaworks.edit import (
    Change,
    CreateBranch,
    DeleteBranch,
    SetValue,
    UnsetValue,
)
from verbenaworks.settings_schema import parse_value
from verbenaworks.value_kind import format_value

_DIGEST_FIELDS = ("digest", "token_digest")


def describe_change(change: Change) -> str:
    """Return one line that describes a change."""
    match change:
        case SetValue(path=path, field=field) if field in _DIGEST_FIELDS:
            return f"set {path} {field}=(digest)"
        case SetValue(path=path, field=field, value=value):
            return f"set {path} {field}={format_value(value)}"
        case UnsetValue(path=path, field=field):
            return f"unset {path} {field}"
        case CreateBranch(path=path):
            return f"create {path}"
        case DeleteBranch(path=path):
            return f"delete {path}"


def parse_assignments(path: str, assignments: Sequence[str]) -> list[Change]:
    """Return the changes for ``FIELD=VALUE`` arguments.

    :raises UsageError: if an argument does not have this form.
    :raises SettingError: if a field or its value is not allowed.
    """
    changes: list[Change] = []
    for assignment in assignments:
        field, separator, text = assignment.partition("=")
        if not separator:
            raise UsageError(
                f"{assignment!r} is not an assignment",
                "write FIELD=VALUE, for example burst=50",
            )
        match parse_value(path, field, text).ok():
            case None:
                raise parse_value(path, field, text).unwrap_err()
            case value:
                changes.append(SetValue(path=path, field=field, value=value))
    return changes
