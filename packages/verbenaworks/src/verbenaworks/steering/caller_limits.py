"""Limits on what callers may send."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Limits on what callers may send.

    :param header_s: time for a whole request head.
    :param idle_s: how long a connection may wait for its next request.
    """

    header_bytes: int = 32768
    body_bytes: int = 1 << 30
    header_s: float = 10.0
    idle_s: float = 60.0
