"""The log line of one request."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptRecord:
    """One attempt and the figures behind the choice of its server.

    :ivar region: region of the server.
    :ivar choice: why this server was chosen.
    :ivar load: requests at the server as known at the time: those of this
        instance, those of other instances according to their reports, and
        those of all others according to the load that the server reported.
    :ivar reported: load that the server reported with its response.
    :ivar limit: limit that the server named with its response.
    :ivar place: rank of the server in the object's order.
    :ivar objects_since: other objects that this instance has requested of the
        server since the last request for this one.
    :ivar speed_age_ms: age of the server's statement of its machine's speed
        when it was used for the choice; none if it was not.
    :ivar outcome: ``answered``, or why there was no response.
    """

    server: str
    region: str
    choice: str
    load: str
    predicted_ms: int
    place: int | None
    objects_since: int | None
    speed_age_ms: int | None
    outcome: str
    took_ms: int
    reported: str
    limit: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestRecord:
    """How one request ended and why.

    The class has no field for headers or bodies, so that a key cannot get
    into the log.

    :ivar object_digest: tells the objects of a route apart.
    :ivar config_age_ms: age of the last confirmation that the version is in
        force.
    :ivar detail: the figures behind a refusal.
    :ivar code: code of the refusal; empty if a server's response was returned.
    """

    time: str
    channel: str
    request_id: str
    route: str
    workspace: str
    service: str
    object_digest: str
    config_version: int
    config_age_ms: int
    left_ms: int
    attempts: tuple[AttemptRecord, ...]
    status: int
    code: str
    run: str
    detail: str
    took_ms: int
