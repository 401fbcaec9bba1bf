"""Messages between `verbena` and the operator port of an instance.

They are encoded as JSON. The answers are msgspec structs because a tag
distinguishes the members of their union.
"""

from dataclasses import dataclass
from typing import TypeVar

import msgspec

from verbenaworks.edit import Edit
from verbenaworks.errors import VerbenaError, WireError

CONFIG_PATH = "/v1/admin/config"
EDITS_PATH = "/v1/admin/edits"
STATUS_PATH = "/v1/admin/status"
WRITERS_PATH = "/v1/admin/writers/replace"
REVISION_HEADER = "X-Verbena-Config-Revision"
MAX_REQUEST_BYTES = 1_000_000

_MessageType = TypeVar("_MessageType")


class EditAccepted(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The edit is part of the configuration since this revision.

    :ivar cancelled: whether the edit id was cancelled instead.
    :ivar dry_run: whether the edit was only validated.
    """

    config_revision: int
    cancelled: bool = False
    dry_run: bool = False


class EditRefusedBody(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The edit was refused and changed nothing.

    :ivar config_revision: the revision at which the edit was validated.
    """

    code: str
    message: str
    remedy: str
    config_revision: int


class EditOutcomeUnknown(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The edit may or may not have been applied."""

    edit_id: str


class EditNotFound(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The edit is not in the history; it may still arrive."""

    edit_id: str
    config_revision: int


class RequestRefused(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The request was invalid, for example without a valid token."""

    code: str
    message: str
    remedy: str


class WritersReplaced(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The list of writers was replaced."""

    writers: tuple[str, ...]


Answer = (
    EditAccepted
    | EditRefusedBody
    | EditOutcomeUnknown
    | EditNotFound
    | RequestRefused
    | WritersReplaced
)


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceStatus:
    """Status of an instance according to the membership.

    :ivar state: alive, suspect, leaving or dead.
    :ivar fresh: whether the instance knows that its revision is current.
    :ivar age_s: time since the last update about the instance.
    :ivar load: requests in progress.
    :ivar shifts: status of the traffic shifts that the instance executes.
    """

    name: str
    state: str
    region: str
    failure_domain: str
    config_revision: int
    fresh: bool
    age_s: float
    load: float = 0.0
    address: str = ""
    writer: bool = False
    shifts: tuple[str, ...] = ()


class AdminRequestError(VerbenaError):
    """A request on the operator port was refused.

    :param status: the HTTP status.
    """

    def __init__(
        self, status: str, code: str, message: str, remedy: str
    ) -> None:
        super().__init__(message, remedy)
        self.status = status
        self.code = code


def to_json(message: object) -> bytes:
    """Encode a message as JSON."""
    return msgspec.json.encode(message)


def answer_from_json(data: bytes) -> Answer:
    """Decode an answer.

    :raises WireError: if it is malformed.
    """
    return _decode(data, Answer)  # type: ignore[arg-type]


def edit_from_json(data: bytes) -> Edit:
    """Decode an edit.

    :raises WireError: if it is malformed.
    """
    return _decode(data, Edit)


def status_from_json(data: bytes) -> list[InstanceStatus]:
    """Decode a list of instances.

    :raises WireError: if it is malformed.
    """
    return _decode(data, list[InstanceStatus])


def _decode(data: bytes, message_type: type[_MessageType]) -> _MessageType:
    try:
        return msgspec.json.decode(data, type=message_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise WireError(
            f"malformed message: {error}",
            "check that verbena and verbenad have compatible versions",
        ) from error
