"""The log line of one request."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptRecord:
    """One attempt and what it was decided on.

    :ivar load: requests at the server as known at the time: own ones, those
        of other instances by their reports, and those of others by what the
        server stated.
    :ivar reported: load that the server stated with its answer.
    :ivar place: place of the server in the object's order.
    :ivar outcome: ``answered`` or why there was no answer.
    """

    server: str
    load: str
    predicted_ms: int
    place: int | None
    outcome: str
    took_ms: int
    reported: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestRecord:
    """How one request ended and why.

    The class has no field for headers or bodies, so that a key cannot get
    into the log.

    :ivar config_age_ms: age of the last proof that the version is in force.
    :ivar detail: the figures behind a refusal.
    :ivar code: code of the refusal; empty if a server's answer was returned.
    """

    time: str
    channel: str
    request_id: str
    route: str
    workspace: str
    service: str
    config_version: int
    config_age_ms: int
    left_ms: int
    attempts: tuple[AttemptRecord, ...]
    status: int
    code: str
    run: str
    detail: str
    took_ms: int
