"""Switchable failures of the store."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreFaults:
    """Failures in force.

    :ivar down: connections are closed without an answer, nothing is done.
    :ivar paused: requests are held until the pause ends.
    :ivar slow_s: added time before each answer, in seconds.
    :ivar lost_answers: number of writes to come that take effect although
        their answer is lost.
    """

    down: bool = False
    paused: bool = False
    slow_s: float = 0.0
    lost_answers: int = 0
