"""Commands that read and change settings."""

from dataclasses import dataclass, field
from typing import Annotated, Any

import cappa

from verbena.change_text import parse_assignments
from verbena.console_output import print_json, print_table
from verbena.edit_session import EditSession
from verbena.options import ConnectionOptions, EditOptions
from verbenaworks.edit import (
    Change,
    CreateBranch,
    DeleteBranch,
    UnsetValue,
)
from verbenaworks.settings_path import BLOCKS, is_within
from verbenaworks.settings_tree import SettingsTree
from verbenaworks.value_kind import format_value

Path = Annotated[
    str, cappa.Arg(help="A settings path such as /services/catalogue.")
]
Assignments = Annotated[
    list[str],
    cappa.Arg(
        value_name="FIELD=VALUE",
        help="Values; lists are separated by commas.",
    ),
]


@dataclass(frozen=True, kw_only=True)
class Get(ConnectionOptions):
    """Print the values in force at a path and where they come from.

    A path of a collection, such as /services, prints its branches.

    Examples: `verbena get /` and `verbena get /workspaces/acme burst`
    """

    path: Path = "/"
    field: Annotated[
        str | None, cappa.Arg(help="A field; at /blocks a client block.")
    ] = None

    def run(self) -> None:
        """Run the command."""
        tree = self.client().get_config().tree
        if self.path == BLOCKS and self.field is None:
            self._print_blocks(tree)
        elif self.field is not None:
            self._print_values(tree, self.field)
        elif tree.names(self.path):
            self._print_names(tree.names(self.path))
        else:
            self._print_values(tree, None)

    def _print_names(self, names: list[str]) -> None:
        if self.json:
            print_json(names)
            return
        for name in names:
            print(f"{self.path}/{name}")

    def _print_blocks(self, tree: SettingsTree) -> None:
        pairs = [(block.cidr, block.site) for block in tree.blocks]
        if self.json:
            print_json(dict(pairs))
        else:
            print_table(("block", "site"), pairs)

    def _print_values(self, tree: SettingsTree, field: str | None) -> None:
        if field is None:
            found = dict(tree.effective(self.path))
        else:
            found = {field: tree.get(self.path, field)}
        if self.json:
            print_json(found)
            return
        rows = [
            (name, _format_optional(v.value), v.origin_path or "(default)")
            for name, v in found.items()
        ]
        print_table(("field", "value", "set at"), rows)
        if field is None:
            descendants = [
                path
                for path in tree.paths()
                if path != self.path and is_within(path, self.path)
            ]
            for path in descendants:
                print(path)


@dataclass(frozen=True, kw_only=True)
class Set(EditOptions):
    """Set values of an existing branch, all in one edit.

    Example: `verbena set /workspaces/acme rate_per_s=80 burst=40 --wait`
    """

    path: Path
    assignments: Assignments = field(default_factory=list)

    def run(self) -> None:
        """Run the command."""
        changes = parse_assignments(self.path, self.assignments)
        EditSession(self).run(changes, f"set {self.path}")


@dataclass(frozen=True, kw_only=True)
class Unset(EditOptions):
    """Remove values from a branch, so that it inherits them.

    Example: `verbena unset /workspaces/acme burst`
    """

    path: Path
    fields: Annotated[list[str], cappa.Arg(help="The fields to remove.")]

    def run(self) -> None:
        """Run the command."""
        changes: list[Change] = [
            UnsetValue(path=self.path, field=name) for name in self.fields
        ]
        EditSession(self).run(changes, f"unset {self.path}")


@dataclass(frozen=True, kw_only=True)
class Create(EditOptions):
    """Create a branch with values.

    Example: `verbena create /sites/harbour region=mombasa`
    """

    path: Path
    assignments: Assignments = field(default_factory=list)

    def run(self) -> None:
        """Run the command."""
        create_branch(self, self.path, self.assignments)


@dataclass(frozen=True, kw_only=True)
class Delete(EditOptions):
    """Delete a branch and everything below it.

    Example: `verbena delete /services/catalogue/targets/t7`
    """

    path: Path

    def run(self) -> None:
        """Run the command."""
        changes = [DeleteBranch(path=self.path)]
        EditSession(self).run(changes, f"deleted {self.path}")


def create_branch(
    options: EditOptions, path: str, assignments: list[str]
) -> None:
    """Create a branch with the values of ``FIELD=VALUE`` arguments."""
    changes = [CreateBranch(path=path), *parse_assignments(path, assignments)]
    EditSession(options).run(changes, f"created {path}")


def _format_optional(value: Any) -> str:
    return "-" if value is None else format_value(value)
