"""Tests of the checker for recorded histories of target choice."""

import pytest

from standins.check_target_choice import (
    Event,
    LeavingSignalsCleared,
    LeavingSignalSeen,
    RegionLimit,
    WorkEnded,
    WorkStarted,
    check,
)


def _start(at_s: float, attempt: str = "a") -> WorkStarted:
    return WorkStarted(at_s=at_s, attempt=attempt, target="t", region="r")


LIMIT = RegionLimit(at_s=0, region="r", limit=1)
SIGNAL = LeavingSignalSeen(at_s=1, target="t")
SECOND_SIGNAL = LeavingSignalSeen(at_s=3, target="t")
END = WorkEnded(at_s=3, attempt="a")


@pytest.mark.parametrize(
    "history",
    [
        [LIMIT, SIGNAL, _start(3.9)],
        [LIMIT, SIGNAL, LeavingSignalsCleared(at_s=2, target="t"), _start(9)],
        [LIMIT, _start(2), END, _start(4, "b")],
    ],
)
def test_good_histories_pass(history: list[Event]) -> None:
    """Guards against a checker that reports correct histories."""
    assert check(history) == []


@pytest.mark.parametrize(
    "history",
    [
        [LIMIT, SIGNAL, _start(4.1)],
        [LIMIT, SIGNAL, SECOND_SIGNAL, _start(5)],
        [LIMIT, _start(1), _start(2, "b")],
        [LIMIT, _start(1), RegionLimit(at_s=2, region="r", limit=0), END]
        + [_start(4, "b")],
        [_start(1)],
        [LIMIT, END],
        [LIMIT, _start(2), WorkEnded(at_s=1, attempt="a")],
    ],
)
def test_bad_histories_are_found(history: list[Event]) -> None:
    """Guards against a checker that misses a violation."""
    assert check(history)
