"""Measurements of a target."""

import pytest

from verbenaworks.load_report import Health, LoadReport
from verbenaworks.target_stats import TargetStats


def test_late_probe_answer_does_not_undo_a_newer_one() -> None:
    """Guards against probe results that arrive out of order."""
    stats = TargetStats()
    stats.record_probe(2.0, Health.LEAVING)
    stats.record_probe(1.0, Health.OK)
    assert stats.leaving_signals


def test_three_lost_probes_count_as_failing() -> None:
    """Guards against ejection for one lost packet, and against none at all."""
    stats = TargetStats()
    for at_s in range(2):
        stats.record_probe(at_s, Health.NO_ANSWER)
    assert not stats.probe_failing
    stats.record_probe(2.0, Health.NO_ANSWER)
    assert stats.probe_failing


def test_old_measurements_lose_weight() -> None:
    """Guards against decisions based on outdated measurements."""
    stats = TargetStats()
    stats.record_response(0.0, 1.0)
    assert stats.expected_s(0.0, 0.1) == 1.0
    assert stats.expected_s(15.0, 0.1) == pytest.approx(0.55)
    assert stats.expected_s(60.0, 0.1) == 0.1
    stats.record_report(0.0, LoadReport(in_flight=4))
    assert stats.load(0.0, 4) == 0.5
    assert stats.load(3.0, 4) == 0.0
