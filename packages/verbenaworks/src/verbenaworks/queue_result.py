"""Results of the admission queue."""

from dataclasses import dataclass
from enum import StrEnum

from verbenaworks.choice_result import Choice, ChoiceRequest, ExcludedTarget


class ShedReason(StrEnum):
    """Why a request was shed. The request was not run in any case."""

    DEADLINE = "the request cannot be answered by its deadline"
    QUEUE_FULL = "too many requests are waiting"
    NO_TARGET = "no target of the service is in use"


@dataclass(frozen=True, kw_only=True, slots=True)
class Started:
    """The request has a target and has acquired its units."""

    request: ChoiceRequest
    choice: Choice


@dataclass(frozen=True, kw_only=True, slots=True)
class Waiting:
    """The request waits for a unit."""

    request: ChoiceRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class Shed:
    """The request was shed and was not run.

    :param retry_after_s: when a new attempt may succeed.
    :param excluded: why the last request of the service that found no target
        could not use the candidates.
    """

    request: ChoiceRequest
    reason: ShedReason
    retry_after_s: float
    excluded: tuple[ExcludedTarget, ...] = ()
