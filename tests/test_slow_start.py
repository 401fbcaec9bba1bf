"""Slow start."""

from verbenaworks.slow_start import RAMP_S, SlowStart


def test_fleet_load_grows_over_the_ramp() -> None:
    """Guards against each instance sending its first requests at once."""
    starts = [SlowStart(f"i{n}") for n in range(11)]
    for start in starts:
        start.begin(0.0, "t")
    sums = [
        sum(start.limit(at_s, "t", 9) for start in starts)
        for at_s in (0.0, 3.0, 6.0, RAMP_S)
    ]
    assert sums == sorted(sums)
    assert sums[0] <= 9 < sums[-1] == 99


def test_all_cold_still_serves() -> None:
    """Guards against a service that cannot start."""
    for number in range(20):
        start = SlowStart(f"i{number}")
        start.begin(0.0, "t")
        assert start.limit(0.0, "t", 3, all_cold=True) == 1
