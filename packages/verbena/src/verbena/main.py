"""Entry point of the verbena command line."""

import sys
from dataclasses import dataclass
from typing import Any

import cappa

from verbena.access_commands import Key, Operator
from verbena.branch_commands import Service, Target, Workspace
from verbena.config_commands import Create, Delete, Get, Set, Unset
from verbena.console_output import print_error
from verbena.exit_codes import EXIT_CODES_TEXT, ExitCode, exit_code_of
from verbena.explain_command import Explain
from verbena.file_commands import Diff, Export, History, Import
from verbena.fleet_commands import Completion, Settle, Status, Writers
from verbena.traffic_commands import Drain, Shift
from verbenaworks.errors import VerbenaError


@cappa.command(
    name="verbena",
    help="Operate a verbenaworks deployment.",
    description=(
        "The entry instances are named by --instance or VERBENA_INSTANCES, "
        "the operator's token is in VERBENA_TOKEN. "
        "Example: `VERBENA_INSTANCES=10.0.0.1:7000 verbena status`"
    ),
    epilog=EXIT_CODES_TEXT,
)
@dataclass(frozen=True, kw_only=True)
class Verbena:
    """The commands."""

    command: cappa.Subcommands[
        Get
        | Set
        | Unset
        | Create
        | Delete
        | Import
        | Export
        | Diff
        | History
        | Key
        | Operator
        | Workspace
        | Service
        | Target
        | Shift
        | Drain
        | Status
        | Explain
        | Settle
        | Writers
        | Completion
    ]


def run(argv: list[str]) -> int:
    """Run a command line and return the exit code."""
    command: Any = cappa.parse(Verbena, argv=argv, color=sys.stdout.isatty())
    while hasattr(command, "command"):
        command = command.command
    try:
        command.run()
    except VerbenaError as error:
        print_error(error, as_json=getattr(command, "json", False))
        return exit_code_of(error)
    return ExitCode.DONE


def main() -> None:
    """Run the command line of this process and exit."""
    sys.exit(run(sys.argv[1:]))
