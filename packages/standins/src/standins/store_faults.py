"""Simulated faults of the key-value store stand-in."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreFaults:
    """The faults that are active now.

    :ivar down: requests have no effect and get no response; their
        connections are closed.
    :ivar paused: requests wait until the pause ends.
    :ivar slow_s: additional time before each response.
    :ivar lost_answers: number of the next writes that take effect although
        their response is lost.
    """

    down: bool = False
    paused: bool = False
    slow_s: float = 0.0
    lost_answers: int = 0
