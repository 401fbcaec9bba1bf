"""Why an attempt failed."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from verbenad.protocol_errors import BodyError


class FailureKind(Enum):
    """Why an attempt failed; the value is the code of the refusal."""

    CONNECTION_LIMIT = "overloaded"
    CONNECT_FAILED = "connect-failed"
    REFUSED_NOT_RUN = "backend-refused"
    MISDIRECTED = "backend-misdirected"
    CLOSED = "backend-closed"
    SILENT = "backend-silent"
    DEADLINE = "deadline-exceeded"
    MALFORMED_ANSWER = "malformed-answer"
    CALLER_GONE = "caller-gone"
    BODY = "body-too-short"
    KEY_IN_PATH = "key-misplaced"
    LINK_FULL = "link-full"
    UNSENDABLE_NAME = "unsendable-name"
    PERMISSION_EXPIRED = "not-fresh"


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptFailure:
    """Why an attempt failed.

    :param may_have_run: whether a byte of the request may have reached the
        backend server. Also false if the backend server reported that it did
        not run the request.
    :param looks_like_crash: the connection was closed or reset after bytes
        of the request were sent and before any byte of a response.
    :param reused: whether the connection had carried a request before.
    :param reset_when_idle: the connection was reused and closed at once; the
        backend server had probably dropped it while it was idle.
    :param body_error: what is wrong with the caller's body.
    :param retry_after_s: the Retry-After value of the backend server, if any.
    :param status: status of a refusal by the backend server; 0 without one.
    :param headers: headers of a refusal by the backend server.
    """

    kind: FailureKind
    may_have_run: bool
    looks_like_crash: bool = False
    reused: bool = False
    reset_when_idle: bool = False
    message: str
    body_error: BodyError | None = None
    retry_after_s: float | None = None
    status: int = 0
    headers: Sequence[tuple[str, str]] = ()

    @property
    def refused_not_run(self) -> bool:
        """Whether the backend server refused with ``X-Not-Run: 1``."""
        return self.kind is FailureKind.REFUSED_NOT_RUN

    @property
    def silent(self) -> bool:
        """Whether no byte arrived on a reused connection in time."""
        return self.kind is FailureKind.SILENT

    @property
    def code(self) -> str:
        """Return the code of the refusal for the caller."""
        if self.body_error is not None:
            return self.body_error.code
        return self.kind.value
