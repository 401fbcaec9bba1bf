"""Slow start."""

from verbenaworks.slow_start import RAMP_S, SlowStart


def test_fleet_load_grows_over_the_ramp() -> None:
    """Guards against a cold target used by all instances at once."""
    slow_starts = [SlowStart(f"i{n}") for n in range(11)]
    for slow_start in slow_starts:
        slow_start.start(0.0, "t")
    sums = [
        sum(slow_start.limit(at_s, "t", 9) for slow_start in slow_starts)
        for at_s in (0.0, 3.0, 6.0, RAMP_S)
    ]
    assert sums == sorted(sums)
    assert sums[0] <= 9 < sums[-1] == 99


def test_all_cold_still_serves() -> None:
    """Guards against a service that cannot start with cold targets only."""
    for number in range(20):
        slow_start = SlowStart(f"i{number}")
        slow_start.start(0.0, "t")
        assert slow_start.limit(0.0, "t", 3, all_cold=True) == 1
