"""Events of a run, as callers, backend servers and operators saw them.

All times are readings of the machine's monotonic clock, which all processes
of a local deployment share.
"""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestSent:
    """A caller sent a request; each try has a request id of its own.

    :ivar key_id: public part of the key that was sent.
    :ivar answer_bytes: stated size of the answer's body, None if the body
        is a JSON object that names the request.
    """

    at_s: float
    request_id: str
    workspace: str
    key_id: str
    service: str
    instance: str
    idempotency_key: str
    body_sha256: str
    answer_bytes: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseReceived:
    """The end of a request at its caller.

    :ivar status: HTTP status, 0 if there was no whole answer.
    :ivar run: what a refusal says about the run, empty for an answer.
    :ivar named_request_id: request that the answer's content names.
    :ivar named_body_sha256: digest of the request's body that the answer's
        content names, empty if it names none.
    """

    at_s: float
    request_id: str
    status: int
    run: str
    code: str
    body_sha256: str
    body_bytes: int
    named_request_id: str
    named_body_sha256: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RunStarted:
    """A backend server started a request."""

    at_s: float
    request_id: str
    target: str
    idempotency_key: str
    outcome: str
    body_sha256: str
    secrets_seen: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyWithdrawn:
    """The withdrawal of a key was accepted."""

    at_s: float
    key_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainStarted:
    """The drain of a target was accepted."""

    at_s: float
    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RateSet:
    """Rate and burst of a workspace, in force during the whole history."""

    at_s: float
    workspace: str
    rate_per_s: float
    burst: float


@dataclass(frozen=True, kw_only=True, slots=True)
class EditAccepted:
    """An edit of one value was accepted.

    :ivar expected_revision: revision that the operator named, 0 if none.
    """

    at_s: float
    path: str
    field: str
    value: float
    config_revision: int
    expected_revision: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class EditOutcomeUnknown:
    """An operator was told that an edit may or may not have been applied."""

    at_s: float
    path: str
    field: str
    value: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RevisionSeen:
    """An instance showed its configuration revision in a lookup answer."""

    at_s: float
    instance: str
    config_revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ValueSeen:
    """An operator read a value after all faults had ended."""

    at_s: float
    path: str
    field: str
    value: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ShutdownStarted:
    """An instance was asked to shut down gracefully.

    :ivar instance: its caller address.
    """

    at_s: float
    instance: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ShutdownEnded:
    """The process of an instance that was shutting down has ended.

    :ivar instance: its caller address.
    :ivar exit_code: negative number of the signal that ended it, if any.
    """

    at_s: float
    instance: str
    exit_code: int


Event = (
    RequestSent
    | ResponseReceived
    | RunStarted
    | KeyWithdrawn
    | DrainStarted
    | RateSet
    | EditAccepted
    | EditOutcomeUnknown
    | RevisionSeen
    | ValueSeen
    | ShutdownStarted
    | ShutdownEnded
)
History = tuple[Event, ...]
