"""Commands for settings files and for the history of edits."""

import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from verbena.change_text import describe_change
from verbena.cli_errors import UsageError
from verbena.console_output import print_json, print_table
from verbena.edit_session import EditSession
from verbena.options import ConnectionOptions, EditOptions
from verbena.settings_file import (
    SettingsFile,
    export_settings,
    plan_import,
    read_settings,
)
from verbenaworks.admin_messages import EditAccepted
from verbenaworks.config_document import AcceptedEdit
from verbenaworks.edit import Change, DeleteBranch
from verbenaworks.errors import EditRefused
from verbenaworks.settings_path import is_within, level_of

FileArgument = Annotated[
    str, cappa.Arg(help="A file of settings; - for standard input.")
]
ReplaceOption = Annotated[
    bool,
    cappa.Arg(long=True, help="Also remove what the file does not have."),
]


@dataclass(frozen=True, kw_only=True)
class Export(ConnectionOptions):
    """Write the whole configuration to a file as JSON.

    Example: `verbena export settings.json`
    """

    file: Annotated[
        str, cappa.Arg(help="The file; - for standard output.")
    ] = "-"

    def run(self) -> None:
        """Run the command."""
        settings = export_settings(self.client().get_config())
        if self.file == "-":
            print_json(settings)
            return
        text = msgspec.json.format(msgspec.json.encode(settings), indent=2)
        try:
            Path(self.file).write_bytes(text + b"\n")
        except OSError as error:
            raise _file_error(self.file, error) from error
        if not self.json:
            print(f"wrote revision {settings.config_revision} to {self.file}")


@dataclass(frozen=True, kw_only=True)
class Import(EditOptions):
    """Give the configuration the settings of a file.

    The settings are one edit if they fit into its size limit; otherwise
    several, each valid by itself, and the first refusal ends the import.

    Example: `verbena import settings.json --dry-run`
    """

    file: FileArgument
    replace: ReplaceOption = False
    restore_access: Annotated[
        bool,
        cappa.Arg(
            long=True,
            help="Let the file create or change keys and operators; an old "
            "file brings withdrawn keys back.",
        ),
    ] = False

    def run(self) -> None:
        """Run the command."""
        wanted = _read_file(self.file)
        session = EditSession(self)
        edits = plan_import(session.document.tree, wanted, self.replace)
        if not self.restore_access:
            _refuse_access_changes(edits)
        if not edits:
            self._report_no_changes()
            return
        if len(edits) > 1 and self.dry_run:
            raise UsageError(
                f"the import needs {len(edits)} edits, of which only the "
                "first can be checked in advance",
                "see all changes with: verbena diff FILE",
            )
        accepted = self._send_edits(session, edits)
        count = sum(len(edit) for edit in edits)
        session.report(
            accepted,
            f"imported {count} changes in {len(edits)} edits",
            changes=count,
            edits=len(edits),
        )

    def _send_edits(
        self, session: EditSession, edits: list[list[Change]]
    ) -> EditAccepted:
        """Send the edits in order and return the last acceptance.

        Each edit names the revision of the one before it as the expected
        one, so no other edit can come between them.
        """
        revision = session.document.config_revision
        if self.expected_revision is not None:
            revision = self.expected_revision
        prefix = self.edit_id or session.new_edit_id()
        accepted = None
        for number, changes in enumerate(edits, start=1):
            edit_id = prefix if len(edits) == 1 else f"{prefix}-{number}"
            try:
                accepted = session.submit(changes, revision, edit_id)
            except EditRefused as error:
                raise EditRefused(
                    error.code,
                    f"edit {number} of {len(edits)} was refused: "
                    f"{error.message}",
                    error.remedy
                    + ("; the earlier edits stay" if number > 1 else ""),
                ) from error
            revision = accepted.config_revision
        assert accepted is not None
        return accepted

    def _report_no_changes(self) -> None:
        if self.json:
            print_json({"changes": 0, "edits": 0})
        else:
            print("nothing to change")


@dataclass(frozen=True, kw_only=True)
class Diff(ConnectionOptions):
    """Print the changes that an import of a file would make.

    Example: `verbena diff settings.json --replace`
    """

    file: FileArgument
    replace: ReplaceOption = False

    def run(self) -> None:
        """Run the command."""
        wanted = _read_file(self.file)
        edits = plan_import(
            self.client().get_config().tree, wanted, self.replace
        )
        changes = [change for edit in edits for change in edit]
        if self.json:
            print_json(changes)
            return
        for change in changes:
            print(describe_change(change))
        print(f"{len(changes)} changes")


@dataclass(frozen=True, kw_only=True)
class History(ConnectionOptions):
    """Print the last edits, the newest first.

    Example: `verbena history --path /workspaces/acme --limit 5`
    """

    path: Annotated[
        str, cappa.Arg(long=True, help="Only edits at or below this path.")
    ] = "/"
    limit: Annotated[int, cappa.Arg(long=True, help="Most edits.")] = 20

    def run(self) -> None:
        """Run the command."""
        history = [
            accepted
            for accepted in reversed(self.client().get_config().history)
            if self.path == "/"
            or any(
                is_within(change.path, self.path)
                for change in accepted.edit.changes
            )
        ][: self.limit]
        if self.json:
            print_json(history)
            return
        print_table(
            ("revision", "time (UTC)", "operator", "edit", "changes"),
            [_history_row(accepted) for accepted in history],
        )


def _refuse_access_changes(edits: list[list[Change]]) -> None:
    for edit in edits:
        for change in edit:
            if isinstance(change, DeleteBranch):
                continue
            if level_of(change.path).ok() in ("key", "operator"):
                raise UsageError(
                    f"the import would {describe_change(change)}, which "
                    "may bring a withdrawn key or operator back",
                    "remove the branch from the file or add --restore-access",
                )


def _history_row(accepted: AcceptedEdit) -> tuple[object, ...]:
    edit = accepted.edit
    sent_at = time.gmtime(edit.sent_at_s)
    changes = [describe_change(change) for change in edit.changes]
    summary = changes[0] if changes else "(cancelled)"
    if len(changes) > 1:
        summary += f" and {len(changes) - 1} more"
    return (
        accepted.config_revision,
        time.strftime("%Y-%m-%d %H:%M:%S", sent_at),
        edit.operator,
        edit.edit_id,
        summary,
    )


def _read_file(file: str) -> SettingsFile:
    try:
        if file == "-":
            return read_settings(sys.stdin.buffer.read())
        return read_settings(Path(file).read_bytes())
    except OSError as error:
        raise _file_error(file, error) from error


def _file_error(file: str, error: OSError) -> UsageError:
    return UsageError(
        f"cannot use {file}: {error.strerror}",
        "name a file that this account may use",
    )
