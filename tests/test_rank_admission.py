"""Admission by rank and share while a service is short of capacity."""

from collections import Counter
from collections.abc import Callable
from functools import cache

import pytest

from admission_model import (
    LENGTH_S,
    AdmissionLoad,
    others_useful_share,
    rank_burst,
    ranks,
    workspace_surge,
)
from steering_factories import route, workspace
from steering_model import SERVICE, SteeringModel, constant
from steering_model_types import ModelResult, ModelSize, ModelTraffic
from verbenad.metrics import Metrics
from verbenad.steering.admission_metrics import declare_admission_metrics
from verbenaworks.steering.competing_services import (
    competing_services,
    effective_rank,
)
from verbenaworks.steering.decaying_count import DecayingCount
from verbenaworks.steering.fleet_demand import FleetDemand
from verbenaworks.steering.rank_admission import RankAdmission
from verbenaworks.steering.report_summary import short_hash
from verbenaworks.steering.steering_config import SteeringConfig
from verbenaworks.steering.workspace_shares import WorkspaceShares

TWO_RANKS = ranks(1.5, 2)
ONE_CLASS = (ModelTraffic(per_s=constant(1000.0)),)


def _run(load: AdmissionLoad, *, is_on: bool) -> ModelResult:
    return load.model(is_on=is_on).run(LENGTH_S)


@cache
def _two_ranks_result(*, is_on: bool) -> ModelResult:
    return _run(TWO_RANKS, is_on=is_on)


def test_urgent_rank_is_served_first_and_no_capacity_is_lost() -> None:
    """Guards against ranks that are refused alike, or idle slots."""
    off, on = (_two_ranks_result(is_on=is_on) for is_on in (False, True))
    assert on.useful_share_of(rank=0) > 1.2 * off.useful_share_of(rank=0)
    assert on.useful_share_of(rank=0) > on.useful_share_of(rank=1)
    assert on.useful_share_of() > 0.97 * off.useful_share_of()


def test_low_rank_is_neither_starved_nor_switched_off() -> None:
    """Guards against a rank that gets nothing, always or for a time.

    The deployments require that a class is served at least a quarter as often
    as all requests.
    """
    model = ranks(3.0, 2).model(is_on=True)
    seen: list[tuple[int, int]] = []

    def look() -> None:
        total: Counter[str] = Counter()
        for (rank, _), counts in model.result.by_class.items():
            if rank == 1:
                total.update(counts)
        seen.append((total["requests"], total["refused"]))

    for step in range(20, 40):
        model.at(0.4 * step, look)
    result = model.run(LENGTH_S)
    assert result.useful_share_of(rank=1) >= 0.25 * result.useful_share_of()
    served = [
        1.0 - (after[1] - before[1]) / (after[0] - before[0])
        for before, after in zip(seen, seen[1:], strict=False)
    ]
    # Of any 0.4 s, the time between two reports, some is served and no window
    # is served far more often than the one before.
    assert min(served) > 0.0
    assert max(
        abs(a - b) for a, b in zip(served, served[1:], strict=False)
    ) < (0.2)


def test_burst_of_a_low_rank_leaves_the_others_served() -> None:
    """Guards against a burst of one request class that displaces others."""
    off, on = (_run(rank_burst(), is_on=is_on) for is_on in (False, True))
    for rank in (0, 1):
        assert on.useful_share_of(rank=rank) > 1.1 * off.useful_share_of(
            rank=rank
        )
    assert on.useful_share_of() > 0.97 * off.useful_share_of()


def test_workspace_above_its_share_is_refused_first() -> None:
    """Guards against one workspace that takes the capacity of the others."""
    off, on = (_run(workspace_surge(), is_on=is_on) for is_on in (False, True))
    assert others_useful_share(on) > 1.1 * others_useful_share(off)
    assert on.useful_share_of() > 0.97 * off.useful_share_of()


def test_urgent_rank_keeps_its_service_when_half_the_servers_leave() -> None:
    """Guards against an evacuation that hits all ranks alike."""
    off, on = (
        _run(ranks(0.9, 2, halved_at_s=6.0), is_on=is_on)
        for is_on in (False, True)
    )
    assert on.useful_share_of(rank=0) > 1.2 * off.useful_share_of(rank=0)
    assert on.useful_share_of() > 0.97 * off.useful_share_of()


@pytest.mark.parametrize(
    "fail",
    [
        lambda model, n: model.set_cut_off(n, True),
        lambda model, n: model.restart_instance(n),
    ],
)
def test_ranks_hold_without_reports_and_after_restarts(
    fail: Callable[[SteeringModel, int], None],
) -> None:
    """Guards against a decision that needs other instances or old counts."""
    model = TWO_RANKS.model(is_on=True)
    for number in range(10):
        model.at(6.0, lambda n=number: fail(model, n))
    result = model.run(LENGTH_S)
    assert result.useful_share_of(rank=0) > 1.3 * result.useful_share_of(
        rank=1
    )


@pytest.mark.parametrize(
    "load", [ranks(0.2, 3), AdmissionLoad(traffic=ONE_CLASS)]
)
def test_calm_and_one_class_are_as_without_ranks(load: AdmissionLoad) -> None:
    """Guards against any effect without a shortage or without competition."""
    on, off = (_run(load, is_on=is_on) for is_on in (True, False))
    assert on == off


def test_only_competing_requests_have_classes() -> None:
    """Guards against classes in a deployment that has only one."""
    one = SteeringConfig(version=1, routes=[route()], services=[])
    assert not competing_services(one)
    for config in (
        SteeringConfig(
            version=1,
            routes=[route(), route("buy", priority=0)],
            services=[],
        ),
        SteeringConfig(
            version=1,
            routes=[route()],
            services=[],
            workspaces=[workspace("a"), workspace("b")],
        ),
    ):
        assert competing_services(config) == {SERVICE}


def test_rank_of_the_workspace_takes_precedence() -> None:
    """Guards against the rank of the route for a workspace with its own."""
    assert effective_rank(route(priority=2), None) == 2
    assert effective_rank(route(priority=2), workspace("a")) == 2
    assert effective_rank(route(priority=2), workspace("a", priority=0)) == 0


def test_refusals_and_shares_are_shown() -> None:
    """Guards against refusals whose reason an operator cannot see."""
    metrics = Metrics()
    admission = RankAdmission()
    admission.set_services([SERVICE])
    declare_admission_metrics(metrics, admission)
    admission.on_refusal(SERVICE, 2, "share")
    page = metrics.render().decode()
    labels = f'{{rank="2",reason="share",service="{SERVICE}"}}'
    assert f"verbenad_placement_refusals_total{labels} 1" in page
    assert f'verbenad_shortage_level{{service="{SERVICE}"}} 0' in page


def test_share_follows_the_demand_of_the_fleet() -> None:
    """Guards against shares from what this instance alone sees."""
    shares = WorkspaceShares()
    shares.update(
        {(0, "big"): 10.0, (0, "small"): 10.0},
        {short_hash("big"): 100.0, short_hash("small"): 10.0},
        admitted_share=0.5,
    )
    # 65 per second for demands of 110 and 20.
    assert shares.limit_per_s(0) == pytest.approx(45.0)
    within = sum(shares.take(0, "big") for _ in range(110))
    assert within == pytest.approx(45, abs=1)
    assert all(shares.take(0, "small") for _ in range(20))


def test_silent_peers_are_ignored_while_others_report() -> None:
    """Guards against demand of instances that are gone.

    An instance that hears nobody goes on with what it knew, and says its age.
    """
    demand = FleetDemand()
    assert demand.age_s(0.0) is None
    demand.record(0.0, "silent", {1: {2: 500}}, 2.0)
    demand.record(3.0, "heard", {1: {2: 100}}, 2.0)
    assert demand.per_s(4.0, 1) == {2: 1.0}
    assert demand.per_s(10.0, 1) == {2: 6.0}
    assert demand.age_s(10.0) == pytest.approx(7.0)
    demand.set_instances(["heard"])
    assert demand.per_s(10.0, 1) == {2: 1.0}


def test_count_survives_a_clock_step() -> None:
    """Guards against a count that grows when the clock is set back."""
    count = DecayingCount(4.0)
    count.add(100.0)
    assert count.value(50.0) == pytest.approx(1.0)
    assert count.value(104.0) == pytest.approx(0.37, abs=0.01)


def test_hostile_demand_is_bounded() -> None:
    """Guards against reports with negative demand, and large reports."""
    demand = FleetDemand()
    demand.record(0.0, "peer", {1: {2: -500}}, 2.0)
    assert demand.per_s(0.0, 1) == {2: 0.0}
    admission = RankAdmission()
    admission.set_services([SERVICE])
    for number in range(100):
        admission.record(
            1.0,
            SERVICE,
            0,
            f"w{number}",
            is_admitted=False,
            is_late=True,
            is_sustained=True,
        )
    assert len(admission.reported_demand(1.0)[short_hash(SERVICE)]) == 32
    assert not admission.reported_demand(4.0)


def test_few_slots_have_no_classes() -> None:
    """Guards against slots that stay free because no class may queue.

    On sankei-lots, whose servers have three slots, the main class of a
    service was answered in time a tenth less often.
    """
    traffic = ranks(1.0, 2).traffic
    on, off = (
        SteeringModel(
            traffic=traffic, rank_admission=is_on, size=ModelSize(slots=3)
        ).run(LENGTH_S)
        for is_on in (True, False)
    )
    assert on == off
