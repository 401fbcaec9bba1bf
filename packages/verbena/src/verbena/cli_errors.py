"""Errors of the command line."""

from verbenaworks.errors import OutcomeUnknown, VerbenaError


class UsageError(VerbenaError):
    """The command line is invalid."""

    code = "usage"


class NoInstanceReachable(VerbenaError):  # noqa: N818
    """No instance could be reached and no request was sent."""

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


class SecretOutcomeUnknown(OutcomeUnknown):
    """It is not known whether a new key or token is valid.

    The secret is printed nevertheless: if the edit created the first
    operator and was applied, nobody could authenticate without it.

    :param secret: the new key or token.
    """

    def __init__(self, edit_id: str, secret: str) -> None:
        super().__init__(edit_id)
        self.secret = secret
