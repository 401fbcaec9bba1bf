"""Replays the seeds that have failed in fuzzing."""

from pathlib import Path

import fuzz

_SEEDS_FILE = Path(__file__).parent / "failing_seeds.txt"


def test_seeds_that_failed_once() -> None:
    """Guards against the return of faults that fuzzing has found."""
    failures = []
    for line in _SEEDS_FILE.read_text().splitlines():
        if line.startswith("#"):
            continue
        kind, seed = line.split()
        violations = fuzz.check(kind, int(seed))
        if violations:
            failures.append(f"{kind} {seed}: {violations}")
    assert not failures


def test_check_runs_a_history_of_each_kind() -> None:
    """Guards against a replay that checks nothing."""
    assert fuzz.check("budgets", 1) == ""
    assert fuzz.check("agreement", 1) == ""
