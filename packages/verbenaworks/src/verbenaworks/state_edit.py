"""Edits of the configuration and their outcomes."""

from collections.abc import Callable
from dataclasses import dataclass

from verbenaworks.agreed_state import AgreedState, ConfigBytes
from verbenaworks.errors import VerbenaError


class NotWriterError(VerbenaError):
    """The instance that received the edit is not a writer."""

    code = "not-a-writer"


class StoreDownError(VerbenaError):
    """The store did not accept the edit before the timeout."""

    code = "store-unavailable"


@dataclass(frozen=True, kw_only=True, slots=True)
class AlreadyApplied:
    """The state already contains the edit.

    :param config_revision: revision that the edit produced.
    """

    config_revision: int


EditResult = ConfigBytes | AlreadyApplied | VerbenaError


@dataclass(frozen=True, kw_only=True, slots=True)
class StateEdit:
    """An edit, as a function of the state to which it is applied.

    :param change: returns the new document, AlreadyApplied if the state
        contains the edit id, or the error for which the edit is refused. It
        may be called several times with different states.
    """

    edit_id: str
    change: Callable[[AgreedState], EditResult]


@dataclass(frozen=True, kw_only=True, slots=True)
class EditAccepted:
    """The edit was applied exactly once."""

    edit_id: str
    config_revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class EditRejected:
    """The edit was not applied and never will be."""

    edit_id: str
    error: VerbenaError


@dataclass(frozen=True, kw_only=True, slots=True)
class EditUnknown:
    """The edit may be applied; submit it again under the same id."""

    edit_id: str


EditOutcome = EditAccepted | EditRejected | EditUnknown
