"""Events of a fault run, as callers, backend servers and operators see them.

All times are readings of the machine's monotonic clock, which all processes
of a local deployment share.
"""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestSent:
    """A caller sent a request; each attempt has its own request id.

    :ivar key_id: public part of the key that was sent.
    :ivar answer_bytes: requested size of the response body, None if the body
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
    """A request ended at its caller, with or without a response.

    :ivar status: HTTP status, 0 if there was no complete response.
    :ivar run: what a refusal states about the run, such as ``not run``;
        empty for the response of a backend server.
    :ivar named_request_id: request id that the response names.
    :ivar named_body_sha256: digest of the request body that the response
        names, empty if it names none.
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
    """A backend server started to run a request."""

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
    """Rate and burst of a workspace, which apply to the whole history."""

    at_s: float
    workspace: str
    rate_per_s: float
    burst: float


@dataclass(frozen=True, kw_only=True, slots=True)
class EditAccepted:
    """An edit of one value was accepted.

    :ivar expected_revision: revision that the operator expected, 0 for none.
    """

    at_s: float
    path: str
    field: str
    value: float
    config_revision: int
    expected_revision: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class EditOutcomeUnknown:
    """The outcome of an edit is unknown to its operator."""

    at_s: float
    path: str
    field: str
    value: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RevisionSeen:
    """A lookup response stated the instance's configuration revision."""

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
