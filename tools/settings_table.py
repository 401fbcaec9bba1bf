"""Generates docs/settings.md from the declarations of the settings.

Usage: python tools/settings_table.py
"""

from collections.abc import Iterator
from pathlib import Path

from verbenad.daemon_settings import PROCESS_SETTINGS, default_text
from verbenaworks.settings_path import LEVEL_FORMS
from verbenaworks.settings_schema import FIELDS, FieldSpec, fields_of_level
from verbenaworks.value_kind import allowed, format_value

PAGE = Path(__file__).parent.parent / "docs" / "settings.md"

_INTRODUCTION = """\
# Settings

This page is generated from the declarations in
`verbenaworks.settings_schema` and `verbenad.daemon_settings` by
`python tools/settings_table.py`; do not edit it.

## Process settings

Each process reads these once at its start. A flag takes precedence over the
variable. A wrong value ends the process with exit code 2.
"""

_CONFIGURATION = """\
## Configuration

Operators change these with `verbena` while the deployment runs. A branch
that does not set a field inherits it: from the path without its last name and
collection, and so on up to the deployment `/`.
`/workspaces/<workspace>/services/<service>` looks in
`/workspaces/<workspace>` first and then in `/services/<service>`. A value
that no branch sets is the default. "required" means that each such branch
sets the field itself.
"""

_BLOCKS = """\
At `/blocks` each field is a client block in CIDR notation, and its value is
the name of a site. The most specific block that contains an address counts.
"""


def render() -> str:
    """Return the page."""
    lines = [
        _INTRODUCTION,
        *_process_table(),
        "",
        _CONFIGURATION,
        "### Levels",
        "",
        *_level_table(),
        "",
        _BLOCKS,
        "### Fields",
        "",
        *_field_table(),
    ]
    return "\n".join(lines) + "\n"


def _process_table() -> Iterator[str]:
    yield from _row("flag", "variable", "allowed", "default", "description")
    yield from _row(*["---"] * 5)
    for setting in PROCESS_SETTINGS:
        yield from _row(
            f"`{setting.flag}`",
            f"`{setting.variable}`",
            allowed(setting.kind),
            default_text(setting),
            setting.description,
        )


def _level_table() -> Iterator[str]:
    yield from _row("level", "path", "fields")
    yield from _row(*["---"] * 3)
    for level, form in LEVEL_FORMS.items():
        fields = ", ".join(f"`{name}`" for name in fields_of_level(level))
        yield from _row(level, f"`{form}`", fields or "client blocks")


def _field_table() -> Iterator[str]:
    yield from _row("field", "levels", "allowed", "default", "description")
    yield from _row(*["---"] * 5)
    for name, spec in FIELDS.items():
        yield from _row(
            f"`{name}`",
            ", ".join(spec.levels),
            allowed(spec.kind),
            _default(spec),
            spec.description,
        )


def _default(spec: FieldSpec) -> str:
    if spec.required_at:
        return "required"
    return "none" if spec.default is None else format_value(spec.default)


def _row(*cells: str) -> Iterator[str]:
    yield "| " + " | ".join(cell.replace("|", r"\|") for cell in cells) + " |"


if __name__ == "__main__":
    PAGE.write_text(render(), encoding="utf-8")
