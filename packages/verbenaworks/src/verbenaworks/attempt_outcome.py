"""How one attempt at a target ended."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Completed:
    """The target sent a complete response."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Failed:
    """The attempt failed.

    :param bytes_sent: whether bytes of the request may have reached the
        target.
    """

    bytes_sent: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class RefusedLeaving:
    """The target refused without giving overload as the reason.

    A refused connection counts too. It signals that the target is leaving.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class RefusedOverload:
    """The target reported that overload kept it from running the request."""

    retry_after_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Cancelled:
    """The caller cancelled; this says nothing about the target."""


Outcome = Completed | Failed | RefusedLeaving | RefusedOverload | Cancelled
