"""Limits of the HTTP server."""

from dataclasses import dataclass, field

from verbenad.request_body import BodyLimits
from verbenad.request_head import HeadLimits


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpServerLimits:
    """Limits of the HTTP server.

    :param max_connections: open connections; at the limit the longest idle one
        is closed for a new one.
    :param idle_timeout_s: how long a connection may wait for its next request.
    :param head_timeout_s: time for a whole request head, from its first byte.
    :param write_stall_s: longest wait for the caller to accept bytes.
    :param write_min_bytes_per_s: minimum rate at which the caller accepts
        bytes, after ``write_stall_s`` for each piece.
    :param discard_bytes: largest unread remainder of a body that is
        discarded to keep the connection open.
    :param linger_s: how long input is discarded after a refusal, so that the
        caller can read the refusal before the connection is reset.
    :param linger_bytes: how much input is discarded after a refusal.
    :param disconnect_check_period_s: period in which closed callers are
        looked for; none where requests are short.
    """

    max_connections: int = 4000
    idle_timeout_s: float = 60.0
    head_timeout_s: float = 10.0
    write_stall_s: float = 30.0
    write_min_bytes_per_s: int = 1024
    discard_bytes: int = 65536
    linger_s: float = 2.0
    linger_bytes: int = 1 << 20
    disconnect_check_period_s: float | None = 0.25
    head: HeadLimits = field(default_factory=HeadLimits)
    body: BodyLimits = field(default_factory=BodyLimits)
