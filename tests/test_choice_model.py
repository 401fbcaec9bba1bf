"""Recorded runs of the queueing model for the choice of targets."""

import pytest

from choice_model import HOT_WORKSPACE, Model, Scenario
from standins.check_target_choice import LeavingSignalSeen, WorkStarted, check
from standins.deployments import MATUNDA


@pytest.mark.parametrize(("seed", "load"), [(1, 0.7), (2, 2.0)])
def test_leaving_targets_and_region_limits(seed: int, load: float) -> None:
    """Guards against new work at leaving targets and overloaded regions.

    The health endpoints of the leaving targets still report that they serve,
    and the instance list shows the change only after 3 s.
    """
    model = Model(
        Scenario(
            deployment=MATUNDA,
            load=load,
            seed=seed,
            duration_s=7.0,
            warm_up_s=1.0,
            leave_at_s=2.0,
            record=True,
        )
    )
    model.run()
    assert any(isinstance(e, LeavingSignalSeen) for e in model.history)
    assert sum(isinstance(e, WorkStarted) for e in model.history) > 1000
    assert check(model.history) == []


def test_lost_region_and_hot_workspace() -> None:
    """Guards against lost capacity and one workspace that takes it all."""
    model = Model(
        Scenario(
            deployment=MATUNDA,
            load=0.8,
            hot=True,
            lose_region=True,
            seed=3,
            warm_up_s=10.0,
            duration_s=18.0,
            record=True,
        )
    )
    result = model.run()
    assert check(model.history) == []
    assert sum(result.good.values()) > 0.8 * result.capacity_work
    for workspace in result.offered:
        if workspace != HOT_WORKSPACE:
            share = result.good[workspace] / result.offered[workspace]
            assert share > 0.8, workspace
