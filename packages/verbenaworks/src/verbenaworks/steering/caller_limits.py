"""Limits on what callers may send."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Limits on what callers may send.

    :param header_timeout_s: time in which a whole request head must arrive.
    :param idle_timeout_s: time for which a connection may wait for its next
        request.
    """

    max_header_bytes: int = 32768
    max_body_bytes: int = 1 << 30
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
