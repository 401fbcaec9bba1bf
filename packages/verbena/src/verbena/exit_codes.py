"""Exit codes of verbena."""

from enum import IntEnum

from verbena.cli_errors import (
    NoInstanceReachable,
    NotEverywhere,
    NotSettled,
    ReplaceOutcomeUnknown,
    UsageError,
)
from verbenaworks.errors import OutcomeUnknown, SettingError, VerbenaError


class ExitCode(IntEnum):
    """Exit codes of the verbena process; they also appear in the help."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    OUTCOME_UNKNOWN = 3
    NO_INSTANCE = 4
    NOT_EVERYWHERE = 5


EXIT_CODES_TEXT = (
    "Exit codes: 0 done; 1 refused, nothing was changed; 2 wrong usage, "
    "nothing was sent; 3 outcome unknown, see verbena settle; 4 no instance "
    "could be reached, nothing was changed; 5 accepted, but not in force on "
    "every live instance within --timeout-s."
)


def exit_code_of(error: VerbenaError) -> ExitCode:
    """Return the exit code for an error."""
    match error:
        case UsageError() | SettingError():
            return ExitCode.USAGE
        case OutcomeUnknown() | ReplaceOutcomeUnknown() | NotSettled():
            return ExitCode.OUTCOME_UNKNOWN
        case NoInstanceReachable():
            return ExitCode.NO_INSTANCE
        case NotEverywhere():
            return ExitCode.NOT_EVERYWHERE
        case _:
            return ExitCode.REFUSED
