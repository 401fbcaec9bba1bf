"""Exception hierarchy of verbenaworks.

Every expected failure has its own type, a message that says what is wrong,
and a remedy that says what the reader can do about it.
"""


class VerbenaError(Exception):
    """Base class of all expected failures.

    :cvar code: stable identifier for programs.
    :param message: what is wrong.
    :param remedy: what the reader can do about it.
    """

    code = "error"

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy

    def __str__(self) -> str:
        return f"{self.message}; {self.remedy}"


class WireError(VerbenaError):
    """A message from a peer could not be decoded."""

    code = "malformed-message"


class SettingError(VerbenaError):
    """A path, field or value does not conform to the settings schema."""

    code = "invalid-setting"


class EditRefused(VerbenaError):  # noqa: N818 (name fixed by the design)
    """An edit was not applied; nothing was changed.

    :param code: the reason, as a stable identifier.
    """

    def __init__(self, code: str, message: str, remedy: str) -> None:
        super().__init__(message, remedy)
        self.code = code


class OutcomeUnknown(VerbenaError):  # noqa: N818 (name fixed by the design)
    """It is not known whether an edit was applied.

    :param edit_id: id with which the outcome can be determined.
    """

    code = "outcome-unknown"

    def __init__(self, edit_id: str) -> None:
        super().__init__(
            f"it is not known whether edit {edit_id} was applied",
            f"determine the outcome with: verbena settle {edit_id}",
        )
        self.edit_id = edit_id
