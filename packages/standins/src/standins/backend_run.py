"""The record of one request at a backend server."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendRun:
    """An entry of a backend server's history.

    :ivar outcome: ``running``, ``answered``, ``answer lost``, ``crashed`` or
        ``cancelled``.
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
