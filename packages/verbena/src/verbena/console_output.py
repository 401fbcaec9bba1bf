"""Prints results as tables or as JSON."""

import sys
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec

from verbena.cli_errors import NotEverywhere, SecretOutcomeUnknown
from verbenaworks.errors import VerbenaError


def print_json(data: Any) -> None:
    """Print data as indented JSON."""
    text = msgspec.json.format(msgspec.json.encode(data), indent=2)
    print(text.decode())


def print_table(
    headings: Sequence[str], rows: Iterable[Sequence[object]]
) -> None:
    """Print rows in aligned columns."""
    lines = [headings, *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = (c.ljust(w) for c, w in zip(line, widths, strict=True))
        print("  ".join(cells).rstrip())


def print_error(error: VerbenaError, as_json: bool) -> None:
    """Print an error, as JSON to stdout or as text to stderr."""
    if as_json and isinstance(error, NotEverywhere):
        # The JSON output of the accepted edit has "in_force": false already.
        return
    if as_json:
        body = {
            "code": error.code,
            "message": error.message,
            "remedy": error.remedy,
        }
        if isinstance(error, SecretOutcomeUnknown):
            body["secret"] = error.secret
        print_json({"error": body})
        return
    if isinstance(error, SecretOutcomeUnknown):
        print(f"{error.secret}\nis valid only if the edit was applied")
    print(f"verbena: {error.message}", file=sys.stderr)
    print(f"  remedy: {error.remedy}", file=sys.stderr)
