"""Tests the figures of load experiments."""

import math

from load_summary import peak_in_flight, percentile, summarize
from standins.load_plan import LoadSample


def _sample(
    workspace: str = "w1", *, status: int = 200, latency_s: float = 0.1
) -> LoadSample:
    return LoadSample(
        at_s=0.0,
        latency_s=latency_s,
        workspace=workspace,
        service="orders",
        status=status,
        run="" if status == 200 else "not run",
        code="" if status == 200 else "rate-exceeded",
    )


def test_only_workspaces_inside_their_rate_are_refused_wrongfully() -> None:
    """Guards against wrongful refusals that are missed or overcounted.

    Refusals of a workspace above its rate are not wrongful.
    """
    samples = [
        *(_sample("w1") for _ in range(8)),
        *(_sample("w1", status=429) for _ in range(2)),
        *(_sample("w2") for _ in range(10)),
        *(_sample("hot", status=429) for _ in range(50)),
    ]
    found = summarize(
        samples, duration_s=2.0, deadlines_s={"orders": 1.0}, over_rate=["hot"]
    )
    assert math.isclose(found.wrongful_share, 0.1)
    assert math.isclose(found.worst_share, 0.8)
    assert found.goodput_per_s == 9.0
    assert found.codes == {"not run (rate-exceeded)": 52}


def test_late_answers_are_not_goodput() -> None:
    """Guards against counting responses after the deadline as goodput."""
    samples = [_sample(), _sample(latency_s=1.5)]
    found = summarize(samples, duration_s=1.0, deadlines_s={"orders": 1.0})
    assert found.goodput_per_s == 1.0
    assert found.codes == {"answered late": 1}
    assert found.latency_ms[99] == 100.0


def test_percentile_is_of_the_nearest_rank() -> None:
    """Guards against a percentile that ignores the highest latencies."""
    values = [float(n) for n in range(100, 0, -1)]
    assert percentile(values, 50) == 50.0
    assert percentile(values, 99) == 99.0
    assert percentile([7.0], 99) == 7.0
    assert math.isnan(percentile([], 50))


def test_peak_counts_runs_at_the_same_time() -> None:
    """Guards against an overload of a region that the peak does not show.

    A run that starts when another ends does not overlap it.
    """
    runs = [
        ("a", 0.0, 1.0),
        ("a", 0.5, 1.5),
        ("a", 1.0, 2.0),
        ("b", 0.0, 9.0),
    ]
    assert peak_in_flight(runs) == {"a": 2, "b": 1}
