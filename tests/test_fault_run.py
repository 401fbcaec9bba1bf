"""A workload over real processes under two faults, with all checkers.

The faults are chosen so that no result depends on the speed of the machine.
``tools/fault_runs.py`` runs all faults, and checks the time limits of key
withdrawals and drains.
"""

from fault_runs import run
from standins.history_checkers import CHECKERS

SEED = 11
FAULTS = ("kill", "store-answers-lost")
DURATION_S = 10.0


def test_promises_hold_while_an_instance_and_answers_are_lost() -> None:
    """Guards against guarantees that hold only without failures."""
    result = run(SEED, FAULTS, DURATION_S)
    assert not any(result.violations.values()), result.describe()
    assert result.violations.keys() == CHECKERS.keys()
    assert not result.notes
    assert result.counts["answered"] > 0, result.describe()
