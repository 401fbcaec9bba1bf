"""Checks a recorded history of work at targets.

It reads only the history and shares no code with the choice of target.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

LEAVING_LIMIT_S = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LeavingSignalSeen:
    """A sign that the target leaves became visible."""

    at_s: float
    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class LeavingSignalsCleared:
    """Every sign of the target's leaving was withdrawn."""

    at_s: float
    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RegionLimit:
    """The region's limit of requests in flight, from now on."""

    at_s: float
    region: str
    limit: int


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkStarted:
    """An instance sent a request to a target."""

    at_s: float
    attempt: str
    target: str
    region: str


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkEnded:
    """The attempt ended."""

    at_s: float
    attempt: str


Event = (
    LeavingSignalSeen
    | LeavingSignalsCleared
    | RegionLimit
    | WorkStarted
    | WorkEnded
)


def check(history: Sequence[Event]) -> list[str]:
    """Return what is wrong with a history; an empty list if nothing is."""
    wrong: list[str] = []
    signs: dict[str, float] = {}
    limits: dict[str, int] = {}
    load: Counter[str] = Counter()
    running: dict[str, str] = {}
    last_s = float("-inf")
    for event in history:
        if event.at_s < last_s:
            wrong.append(f"{event} is earlier than the event before it")
        last_s = event.at_s
        match event:
            case LeavingSignalSeen():
                signs.setdefault(event.target, event.at_s)
            case LeavingSignalsCleared():
                signs.pop(event.target, None)
            case RegionLimit():
                limits[event.region] = event.limit
            case WorkStarted():
                sign_s = signs.get(event.target, float("inf"))
                if event.at_s > sign_s + LEAVING_LIMIT_S:
                    wrong.append(f"{event} is after the sign at {sign_s}")
                if event.attempt in running:
                    wrong.append(f"{event} repeats an attempt")
                running[event.attempt] = event.region
                load[event.region] += 1
                limit = limits.get(event.region)
                if limit is None or load[event.region] > limit:
                    wrong.append(f"{event} exceeds the limit {limit}")
            case WorkEnded():
                region = running.pop(event.attempt, None)
                if region is None:
                    wrong.append(f"{event} ends no running attempt")
                else:
                    load[region] -= 1
    return wrong
