"""Decides when a traffic shift takes its next step.

At most two adjacent steps may be in use at the same time. The driver waits
until each instance has confirmed the step or can no longer be fresh. It then
waits for the lifetime of the callers' caches, which keep older answers that
long.
"""

from collections.abc import Iterable
from dataclasses import dataclass

MAX_MEASUREMENT_AGE_S = 10.0
# Links are measured every second.
MAX_LINK_AGE_S = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberView:
    """Newest configuration revision that an instance has reported."""

    name: str
    config_revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkMeasurement:
    """Measurement of one link into the target region.

    :ivar link: name of the link.
    :ivar free_share: share of the link without demand; negative if the
        demand exceeds the link, ``None`` if unknown.
    """

    link: str
    free_share: float | None = None
    age_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ShiftMeasurements:
    """Measurements of the target region.

    :ivar age_s: age of the oldest measurement used, in seconds.
    :ivar headroom_share: unused share of the region's slots.
    :ivar links: all links into the region.
    """

    age_s: float
    headroom_share: float
    links: tuple[LinkMeasurement, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ShiftState:
    """State of a shift according to the configuration.

    :ivar step_revision: configuration revision that set ``step``.
    """

    step: int
    last_step: int
    step_revision: int
    min_headroom_share: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Advance:
    """Write the next step."""

    step: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Wait:
    """Wait; the shift continues without an operator."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Done:
    """The shift has reached its cap."""


ShiftDecision = Advance | Wait | Done


class ShiftDriver:
    """Decisions for one shift at the owner of its shard.

    A new driver does not know earlier confirmations and starts its waits
    again, so that a change of the driver can only delay a step.

    :param fence_s: time after which no instance that lacks a write can
        still be fresh.
    """

    def __init__(self, fence_s: float) -> None:
        self._fence_s = fence_s
        self._current_revision = -1
        self._revision_seen_at_s = 0.0
        self._confirmed_at_s: float | None = None

    def decide(
        self,
        now_s: float,
        state: ShiftState,
        members: Iterable[MemberView],
        measurements: ShiftMeasurements | None,
        lookup_ttl_s: float,
    ) -> ShiftDecision:
        """Return the next decision."""
        if self._current_revision != state.step_revision:
            self._current_revision = state.step_revision
            self._revision_seen_at_s = now_s
            self._confirmed_at_s = None
        if state.step >= state.last_step:
            return Done()
        unconfirmed = self._unconfirmed_members(now_s, state, members)
        if unconfirmed:
            return Wait(reason=f"waiting for {', '.join(unconfirmed)}")
        if self._confirmed_at_s is None:
            self._confirmed_at_s = now_s
        remaining_s = self._confirmed_at_s + lookup_ttl_s - now_s
        if remaining_s > 0:
            return Wait(
                reason=f"callers' caches last {remaining_s:.1f} s more"
            )
        return _check_measurements(state, measurements)

    def _unconfirmed_members(
        self, now_s: float, state: ShiftState, members: Iterable[MemberView]
    ) -> list[str]:
        if now_s >= self._revision_seen_at_s + self._fence_s:
            return []
        return sorted(
            member.name
            for member in members
            if member.config_revision < state.step_revision
        )


def _check_measurements(
    state: ShiftState, measurements: ShiftMeasurements | None
) -> ShiftDecision:
    if measurements is None or measurements.age_s > MAX_MEASUREMENT_AGE_S:
        return Wait(reason="measurements of the target region are missing")
    if measurements.headroom_share < state.min_headroom_share:
        return Wait(reason="the target region lacks headroom")
    for link in measurements.links:
        if link.free_share is None or link.age_s > MAX_LINK_AGE_S:
            return Wait(reason=f"measurements of {link.link} are missing")
        if link.free_share < state.min_headroom_share:
            return Wait(reason=f"{link.link} lacks headroom")
    return Advance(step=state.step + 1)
