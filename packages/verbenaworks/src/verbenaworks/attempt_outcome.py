"""How one attempt at a target ended."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Completed:
    """The target answered in full."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Failed:
    """The attempt failed.

    :param bytes_sent: a byte of the request may have reached the target.
    """

    bytes_sent: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class RefusedLeaving:
    """The target refused and did not say that it sheds load.

    A refused connection counts too. This is a sign that it is leaving.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class RefusedOverload:
    """The target said that it did not run the request because of load."""

    retry_after_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Cancelled:
    """The caller gave up; this says nothing about the target."""


Outcome = Completed | Failed | RefusedLeaving | RefusedOverload | Cancelled
