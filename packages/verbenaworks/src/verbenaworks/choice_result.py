"""Input and results of the choice of a target."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from verbenaworks.link_reservation import LinkReservation
from verbenaworks.target import TargetInfo


class ExclusionReason(StrEnum):
    """Why a candidate was excluded."""

    TRIED = "already tried for this request"
    LEAVING = "leaving"
    EJECTED = "ejected"
    PROBATION = "on probation and busy"
    COLD = "slow start limit reached"
    NOT_IN_SUBSET = "outside this instance's subset"
    NO_UNITS = "no granted unit"
    NO_CONNECTION = "connection limit of this instance reached"
    REGION_FULL = "no unit of the region's load"
    LINK_FULL = "the link to the region lacks tokens"
    LINK_BACK_FULL = "the link from the region lacks tokens"
    SHEDDING = "the target sheds load"
    SILENT = "requests in flight get no answer"
    SLOW = "far slower than the service"
    TOO_LATE = "would miss the deadline"
    FARTHER = "a nearer target has units"
    SLOWER = "slower than the target chosen"


class ExcludedTarget(NamedTuple):
    """A candidate that was excluded, and why."""

    name: str
    reason: ExclusionReason


class ChoiceMode(StrEnum):
    """How a target was chosen."""

    MEASURED = "measured"
    FALLBACK = "no measurements: fewest own requests in flight"


class NoTargetReason(StrEnum):
    """Why there is no target."""

    NO_TARGETS = "the service has no targets"
    ALL_UNAVAILABLE = "all targets are leaving, ejected or tried"
    NO_UNITS = "no units are available now"
    TOO_LATE = "the deadline cannot be met"


@dataclass(frozen=True, kw_only=True, slots=True)
class ChoiceRequest:
    """A request that needs a target.

    :param deadline_s: time by which the answer is due, on this instance's
        clock.
    :param tried: names of the targets of earlier attempts.
    """

    request_id: str
    service: str
    workspace: str
    deadline_s: float
    idempotent: bool = False
    tried: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """The chosen target; its units are in use until the attempt ends.

    :param expected_s: expected time to completion, in seconds.
    :param excluded: the other candidates and why each was excluded.
    :param link: reservation on the links to the target's region; none for
        targets in the instance's own region.
    """

    target: TargetInfo
    workspace: str
    started_s: float
    expected_s: float
    mode: ChoiceMode
    excluded: tuple[ExcludedTarget, ...]
    link: LinkReservation | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class NoTarget:
    """No target can run the request now.

    :param can_wait: whether the request may get a unit later.
    """

    reason: NoTargetReason
    can_wait: bool
    excluded: tuple[ExcludedTarget, ...]
