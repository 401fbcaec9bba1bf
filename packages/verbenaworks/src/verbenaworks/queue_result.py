"""What the admission queue answers."""

from dataclasses import dataclass
from enum import StrEnum

from verbenaworks.choice_result import Choice, ChoiceRequest, ExcludedTarget


class ShedReason(StrEnum):
    """Why a request was refused; in every case it was not run."""

    DEADLINE = "the request cannot be answered by its deadline"
    QUEUE_FULL = "too many requests are waiting"
    NO_TARGET = "no target of the service is in use"


@dataclass(frozen=True, kw_only=True, slots=True)
class Started:
    """The request has a target and its units."""

    request: ChoiceRequest
    choice: Choice


@dataclass(frozen=True, kw_only=True, slots=True)
class Waiting:
    """The request waits for a unit."""

    request: ChoiceRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class Shed:
    """The request was refused and was not run.

    :param retry_after_s: when a new attempt may succeed.
    :param excluded: why the newest request of the service that found no
        target could not use the candidates.
    """

    request: ChoiceRequest
    reason: ShedReason
    retry_after_s: float
    excluded: tuple[ExcludedTarget, ...] = ()
