"""Errors of the command line."""

from verbenaworks.errors import VerbenaError


class UsageError(VerbenaError):
    """The command line is wrong."""

    code = "usage"


class NoInstanceReachable(VerbenaError):  # noqa: N818
    """No instance answered and no edit was sent."""

    code = "no-instance-reachable"


class ReplaceOutcomeUnknown(VerbenaError):  # noqa: N818
    """It is not known whether the writers were replaced."""

    code = "outcome-unknown"


class NotEverywhere(VerbenaError):  # noqa: N818
    """An accepted edit is not in force on every live instance."""

    code = "not-everywhere"


class NotSettled(VerbenaError):  # noqa: N818
    """The outcome of an edit could not be determined."""

    code = "outcome-unknown"
