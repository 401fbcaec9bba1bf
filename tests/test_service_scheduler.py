"""Demand for slots and scheduling after an attempt has ended."""

from collections.abc import Callable
from random import Random

from verbenad.dispatcher import Dispatcher
from verbenad.service_scheduler import (
    FAILED_TARGET_AVOIDANCE_S,
    ServiceScheduler,
)
from verbenaworks.attempt_outcome import Cancelled
from verbenaworks.choice_result import Choice, ChoiceMode
from verbenaworks.target import TargetInfo
from verbenaworks.targets_by_distance import Location


class _Client:
    """Records the demand that is set for each budget."""

    def __init__(self) -> None:
        self.demand: dict[str, dict[str, int]] = {}

    def available(self, now_s: float, budget: str) -> int:
        return 0

    def granted_by_workspace(
        self, now_s: float, budget: str
    ) -> dict[str, int]:
        return {}

    def answered_demand(self, budget: str) -> dict[str, int]:
        return {}

    def set_demand(
        self, now_s: float, budget: str, demand: dict[str, int]
    ) -> None:
        self.demand[budget] = dict(demand)


class _Loop:
    def __init__(self) -> None:
        self.client = _Client()

    def client_of(self, shard: int) -> _Client:
        return self.client

    def send_if_due(self, shard: int) -> None:
        """Do nothing: there is no owner."""


def _target(name: str) -> TargetInfo:
    return TargetInfo(
        name=f"s/{name}",
        service="s",
        address="127.0.0.1:1",
        region="r",
        failure_domain="r-1",
        slots=4,
        connections=10,
    )


def _scheduler(loop: _Loop, now_s: Callable[[], float]) -> ServiceScheduler:
    return ServiceScheduler(
        place=Location(
            instance="e1",
            region="r",
            failure_domain="r-1",
            domain_delay_s=0.001,
            region_delay_s=0.01,
        ),
        loop=loop,  # type: ignore[arg-type]
        now_s=now_s,
        random=Random(1),
    )


class _FakeQueueAndChoice:
    """A queue and a choice that only accept the end of a request."""

    def record_end(self, now_s: float, workspace: str) -> None:
        """Do nothing."""

    def finish(self, now_s: float, choice: object, outcome: object) -> None:
        """Do nothing."""


def test_an_ended_request_serves_all_services() -> None:
    """Guards against idle region load while another service waits for it.

    The end of a request started waiting requests of its own service only.
    """
    served = []
    fake = _FakeQueueAndChoice()
    dispatcher = Dispatcher(
        queue=fake,  # type: ignore[arg-type]
        choice=fake,  # type: ignore[arg-type]
        now_s=lambda: 0.0,
        serve_all=lambda: served.append(True),
    )
    choice = Choice(
        target=_target("a"),
        workspace="w",
        started_s=0.0,
        expected_s=0.0,
        mode=ChoiceMode.FALLBACK,
        excluded=(),
    )
    dispatcher.finish(choice, Cancelled())
    assert served == [True]


def test_slots_are_asked_for_elsewhere_after_a_failure() -> None:
    """Guards against a retry that waits for slots until its deadline.

    A slot of the failed target satisfied the demand, so no slots of the
    other targets were requested.
    """
    clock = [0.0]
    loop = _Loop()
    scheduler = _scheduler(loop, lambda: clock[0])
    targets = (_target("a"), _target("b"))
    scheduler.choice.set_targets(0.0, "s", targets)
    scheduler.units.set_targets("s", targets)
    scheduler.units.set_demand("s", "w", 1)
    requested = [name for name, demand in loop.client.demand.items() if demand]
    assert len(requested) == 1
    failed = next(t for t in targets if f"slots/{t.name}" == requested[0])
    scheduler.avoid(failed)
    requested_later = [
        name for name, demand in loop.client.demand.items() if demand
    ]
    assert len(requested_later) == 1
    assert requested_later != requested
    clock[0] = FAILED_TARGET_AVOIDANCE_S
    scheduler.units.update_demand()
    assert loop.client.demand[requested[0]]
