"""Decides when a traffic shift takes its next step.

At most two adjacent steps may be in use at one time. An instance that has not
confirmed a step is waited for until it can no longer be fresh, and then one
cache lifetime is waited for, since callers keep older answers that long.
"""

from collections.abc import Iterable
from dataclasses import dataclass

MAX_MEASUREMENT_AGE_S = 10.0
# Links are asked for every second.
MAX_LINK_AGE_S = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberView:
    """The newest configuration revision an instance has reported."""

    name: str
    config_revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkMeasurement:
    """Measurement of one link into the target region.

    :ivar link: name of the link.
    :ivar free_share: part of the link that nobody wants; negative if more
        is wanted than there is, None if not known.
    """

    link: str
    free_share: float | None = None
    age_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ShiftMeasurements:
    """Measurements of the target region.

    :ivar age_s: age of the oldest measurement used, in seconds.
    :ivar headroom_share: unused part of the region's slots.
    :ivar links: all links into the region.
    """

    age_s: float
    headroom_share: float
    links: tuple[LinkMeasurement, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ShiftState:
    """Where a shift stands, from the configuration.

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
    """Wait; the shift goes on by itself."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Done:
    """The cap is reached."""


ShiftDecision = Advance | Wait | Done


class ShiftDriver:
    """Decisions for one shift at the owner of its shard.

    A new driver knows nothing of earlier confirmations and starts counting
    anew, so a change of the driver can only delay a step.

    :param fence_s: time after a write took effect at which no instance
        without it is fresh.
    """

    def __init__(self, fence_s: float) -> None:
        self._fence_s = fence_s
        self._seen_revision = -1
        self._seen_at_s = 0.0
        self._settled_at_s: float | None = None

    def decide(
        self,
        now_s: float,
        state: ShiftState,
        members: Iterable[MemberView],
        measurements: ShiftMeasurements | None,
        lookup_ttl_s: float,
    ) -> ShiftDecision:
        """Return the next decision."""
        if self._seen_revision != state.step_revision:
            self._seen_revision = state.step_revision
            self._seen_at_s = now_s
            self._settled_at_s = None
        if state.step >= state.last_step:
            return Done()
        waiting = self._waiting_for(now_s, state, members)
        if waiting:
            return Wait(reason=f"waiting for {', '.join(waiting)}")
        if self._settled_at_s is None:
            self._settled_at_s = now_s
        left_s = self._settled_at_s + lookup_ttl_s - now_s
        if left_s > 0:
            return Wait(reason=f"callers' caches last {left_s:.1f} s more")
        return _check_measurements(state, measurements)

    def _waiting_for(
        self, now_s: float, state: ShiftState, members: Iterable[MemberView]
    ) -> list[str]:
        if now_s >= self._seen_at_s + self._fence_s:
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
