"""Checks a recorded history of requests at targets.

The checker reads only the history and shares no code with the target choice.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

# Time after a leaving signal in which requests may still be sent.
LEAVING_GRACE_S = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LeavingSignalSeen:
    """A signal that the target is leaving became visible."""

    at_s: float
    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class LeavingSignalsCleared:
    """No signal that the target is leaving is active any more."""

    at_s: float
    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RegionLimit:
    """A new limit for a region's requests in flight."""

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
    """An attempt to run a request at a target ended."""

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
    """Return a line for each violation in a history."""
    violations: list[str] = []
    signal_times: dict[str, float] = {}
    limits: dict[str, int] = {}
    in_flight: Counter[str] = Counter()
    running: dict[str, str] = {}
    last_s = float("-inf")
    for event in history:
        if event.at_s < last_s:
            violations.append(f"{event} is earlier than the event before it")
        last_s = event.at_s
        match event:
            case LeavingSignalSeen():
                signal_times.setdefault(event.target, event.at_s)
            case LeavingSignalsCleared():
                signal_times.pop(event.target, None)
            case RegionLimit():
                limits[event.region] = event.limit
            case WorkStarted():
                signal_s = signal_times.get(event.target, float("inf"))
                if event.at_s > signal_s + LEAVING_GRACE_S:
                    violations.append(
                        f"{event} is too late after the leaving signal"
                        f" at {signal_s}"
                    )
                if event.attempt in running:
                    violations.append(f"{event} repeats an attempt")
                running[event.attempt] = event.region
                in_flight[event.region] += 1
                limit = limits.get(event.region)
                if limit is None or in_flight[event.region] > limit:
                    violations.append(f"{event} exceeds the limit {limit}")
            case WorkEnded():
                region = running.pop(event.attempt, None)
                if region is None:
                    violations.append(f"{event} ends no running attempt")
                else:
                    in_flight[region] -= 1
    return violations
