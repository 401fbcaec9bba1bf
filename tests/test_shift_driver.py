"""Timing of the steps of a traffic shift."""

from dataclasses import replace

import pytest

from verbenaworks.shift_driver import (
    Advance,
    Done,
    LinkMeasurement,
    MemberView,
    ShiftDriver,
    ShiftMeasurements,
    ShiftState,
    Wait,
)

FENCE_S = 2.02
TTL_S = 5.0
LINK = LinkMeasurement(link="link/a/b", free_share=0.5, age_s=1.0)
GOOD = ShiftMeasurements(age_s=1.0, headroom_share=0.5, links=(LINK,))
STATE = ShiftState(
    step=1, last_step=4, step_revision=7, min_headroom_share=0.2
)


def _members(*revisions: int) -> list[MemberView]:
    return [
        MemberView(name=f"i{number}", config_revision=revision)
        for number, revision in enumerate(revisions)
    ]


def test_waits_for_caches_after_all_have_confirmed() -> None:
    """Guards against three steps in use at once because of callers' caches."""
    driver = ShiftDriver(FENCE_S)
    members = _members(7, 8)
    for now_s in (0.0, 4.9):
        assert isinstance(
            driver.decide(now_s, STATE, members, GOOD, TTL_S), Wait
        )
    assert driver.decide(5.0, STATE, members, GOOD, TTL_S) == Advance(step=2)


def test_waits_for_a_slow_instance_until_it_cannot_be_fresh() -> None:
    """Guards against three steps in use at once because of a slow instance."""
    driver = ShiftDriver(FENCE_S)
    members = _members(7, 6)
    decision = driver.decide(0.0, STATE, members, GOOD, TTL_S)
    assert decision == Wait(reason="waiting for i1")
    driver.decide(FENCE_S, STATE, members, GOOD, TTL_S)
    early = driver.decide(FENCE_S + 4.9, STATE, members, GOOD, TTL_S)
    assert isinstance(early, Wait)
    late = driver.decide(FENCE_S + 5.0, STATE, members, GOOD, TTL_S)
    assert late == Advance(step=2)


def test_new_driver_starts_its_waits_again() -> None:
    """Guards against a takeover that skips the wait."""
    ShiftDriver(FENCE_S).decide(0.0, STATE, _members(7), GOOD, TTL_S)
    decision = ShiftDriver(FENCE_S).decide(
        9.0, STATE, _members(7), GOOD, TTL_S
    )
    assert isinstance(decision, Wait)


def test_waits_on_missing_or_bad_measurements() -> None:
    """Guards against a shift without measurements or into a full region."""
    bad = [
        None,
        replace(GOOD, age_s=11.0),
        replace(GOOD, headroom_share=0.1),
        replace(GOOD, links=(LINK, replace(LINK, free_share=0.1))),
    ]
    for measurements in bad:
        driver = ShiftDriver(FENCE_S)
        for now_s in (0.0, 60.0):
            decision = driver.decide(
                now_s, STATE, _members(7), measurements, TTL_S
            )
            assert isinstance(decision, Wait)


@pytest.mark.parametrize(
    "link",
    [
        replace(LINK, free_share=None),
        replace(LINK, age_s=6.0),
        replace(LINK, free_share=-0.5),
    ],
)
def test_waits_and_names_a_link_that_is_full_or_not_measured(
    link: LinkMeasurement,
) -> None:
    """Guards against a shift over a link without measurements.

    A missing measurement used to count as a free link.
    """
    link = replace(link, link="link/c/b")
    driver = ShiftDriver(FENCE_S)
    measurements = replace(GOOD, links=(LINK, link))
    for now_s in (0.0, 60.0):
        decision = driver.decide(
            now_s, STATE, _members(7), measurements, TTL_S
        )
    assert isinstance(decision, Wait)
    assert "link/c/b" in decision.reason
    decision = driver.decide(61.0, STATE, _members(7), GOOD, TTL_S)
    assert decision == Advance(step=2)


def test_ends_at_the_last_step() -> None:
    """Guards against a driver that writes steps without an effect."""
    state = ShiftState(
        step=4, last_step=4, step_revision=7, min_headroom_share=0.2
    )
    decision = ShiftDriver(FENCE_S).decide(0.0, state, [], GOOD, TTL_S)
    assert decision == Done()
