"""One request as a backend server saw it."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendRun:
    """An entry of a backend server's history.

    :ivar outcome: ``answered``, ``crashed``, ``cancelled`` or ``running``.
    :ivar secrets_seen: header names that carried a caller's key.
    """

    target: str
    request_id: str
    method: str
    path: str
    idempotency_key: str
    body_sha256: str
    body_bytes: int
    started_at_s: float
    outcome: str
    secrets_seen: tuple[str, ...] = ()
