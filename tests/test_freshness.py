"""Confirmations of the applied state."""

import pytest

from verbenaworks.freshness import (
    MAX_CLOCK_DRIFT,
    MAX_CONFIRMATION_AGE_S,
    Freshness,
)


def test_counts_from_the_send_time() -> None:
    """Guards against a delayed answer that extends freshness."""
    freshness = Freshness()
    assert not freshness.is_fresh(0.0)
    freshness.confirm_by_store(10.0)
    assert freshness.is_fresh(11.99)
    assert not freshness.is_fresh(10.0 + MAX_CONFIRMATION_AGE_S)


def test_relay_age_includes_clock_drift() -> None:
    """Guards against trusting the clock rate of a relay."""
    freshness = Freshness()
    freshness.confirm_by_relay(10.0, 1.0)
    assert freshness.confirmed_at_s == pytest.approx(9.0 - MAX_CLOCK_DRIFT)
    assert freshness.age_s(10.0) == pytest.approx(1.0 + MAX_CLOCK_DRIFT)


def test_oldest_writer_counts() -> None:
    """Guards against a recent attestation that hides an old one."""
    freshness = Freshness()
    freshness.confirm_by_writers((10.0, 9.0, 11.0))
    assert freshness.confirmed_at_s == 9.0


def test_older_confirmation_changes_nothing() -> None:
    """Guards against answers that arrive out of order."""
    freshness = Freshness()
    freshness.confirm_by_store(10.0)
    freshness.confirm_by_store(9.0)
    assert freshness.confirmed_at_s == 10.0


def test_gap_is_detected_afterwards() -> None:
    """Guards against an owner that resumes after a pause without a wait."""
    freshness = Freshness()
    freshness.confirm_by_store(10.0)
    freshness.confirm_by_store(11.0)
    assert freshness.resumed_at_s == 10.0
    freshness.confirm_by_store(11.0 + MAX_CONFIRMATION_AGE_S)
    assert freshness.resumed_at_s == 13.0
