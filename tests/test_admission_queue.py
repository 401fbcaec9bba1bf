"""Requests that wait for units."""

from choice_fakes import FakeLinks, FakeUnits, chooser, request, target
from verbenaworks.admission_queue import (
    MAX_WAITING_PER_WORKSPACE,
    AdmissionQueue,
)
from verbenaworks.attempt_outcome import Cancelled, Completed
from verbenaworks.choice_result import ExclusionReason
from verbenaworks.queue_result import Shed, ShedReason, Started, Waiting
from verbenaworks.target_choice import TargetChoice

TARGETS = (target("a", slots=4),)


def _queue(
    units: FakeUnits, weights: dict[str, float] | None = None
) -> tuple[AdmissionQueue, TargetChoice]:
    choice = chooser(units)
    queue = AdmissionQueue(
        service="stock",
        choose=lambda now_s, r: choice.choose(now_s, r, TARGETS),
        units=units,
        time=choice.service_time("stock"),
        weights=weights,
    )
    return queue, choice


def test_released_units_go_to_the_workspace_with_fewest() -> None:
    """Guards against a busy workspace that starves a small one."""
    units = FakeUnits(4)
    queue, choice = _queue(units)
    running = []
    for number in range(20):
        result = queue.offer(0.0, request(number, "hot"))
        if isinstance(result, Started):
            running.append(result)
    assert len(running) == 4
    assert isinstance(queue.offer(0.1, request(0, "small")), Waiting)
    choice.finish(0.2, running[0].choice, Completed())
    queue.record_end(0.2, "hot")
    (started,) = queue.dispatch_waiting(0.2)
    assert isinstance(started, Started)
    assert started.request.workspace == "small"


def test_weights_set_the_shares() -> None:
    """Guards against equal shares despite configured weights."""
    units = FakeUnits(0)
    queue, _ = _queue(units, {"large": 3.0})
    for number in range(9):
        queue.offer(0.0, request(number, "large"))
        queue.offer(0.0, request(number, "small"))
    units.default = 8
    queue.dispatch_waiting(0.1)
    assert queue.in_use("large") == 6
    assert queue.in_use("small") == 2


def test_a_shed_request_tells_why_candidates_were_excluded() -> None:
    """Guards against a refusal that does not name the full link."""
    choice = chooser(FakeUnits(4), links=FakeLinks(0))
    targets = (target("far", "mombasa"),)
    queue = AdmissionQueue(
        service="stock",
        choose=lambda now_s, r: choice.choose(now_s, r, targets),
        units=FakeUnits(4),
        time=choice.service_time("stock"),
    )
    waiting = queue.offer(0.0, request(deadline_s=1.0))
    assert isinstance(waiting, Waiting)
    (shed,) = queue.dispatch_waiting(1.1)
    assert isinstance(shed, Shed)
    assert shed.excluded == (("far", ExclusionReason.LINK_FULL),)


def test_late_requests_are_shed_before_their_deadline() -> None:
    """Guards against running requests that cannot complete in time."""
    queue, choice = _queue(FakeUnits(0))
    for _ in range(50):
        choice.service_time("stock").record(0.0, 0.1)
    queue.offer(0.0, request(1, deadline_s=1.0))
    queue.offer(0.0, request(2, deadline_s=0.5))
    due_s = queue.next_check_s()
    assert due_s is not None
    assert 0.25 <= due_s <= 0.4
    (shed,) = queue.dispatch_waiting(due_s)
    assert isinstance(shed, Shed)
    assert shed.reason is ShedReason.DEADLINE
    assert shed.request.request_id == "w-2"
    assert len(queue) == 1


def test_length_is_bounded_per_workspace() -> None:
    """Guards against unbounded memory, and one workspace filling the queue."""
    queue, _ = _queue(FakeUnits(0))
    for number in range(MAX_WAITING_PER_WORKSPACE):
        assert isinstance(queue.offer(0.0, request(number, "hot")), Waiting)
    refused = queue.offer(0.0, request(999, "hot"))
    assert isinstance(refused, Shed)
    assert refused.reason is ShedReason.QUEUE_FULL
    assert isinstance(queue.offer(0.0, request(0, "small")), Waiting)


def test_cancelled_requests_never_start() -> None:
    """Guards against running requests of disconnected callers."""
    units = FakeUnits(0)
    queue, _ = _queue(units)
    for number in range(3):
        queue.offer(0.0, request(number))
    assert queue.cancel(0.1, "w-0")
    assert queue.cancel(0.1, "w-1")
    assert not queue.cancel(0.1, "w-1")
    units.default = 9
    started = queue.dispatch_waiting(0.2)
    assert [result.request.request_id for result in started] == ["w-2"]
    assert not queue.cancel(0.2, "w-2")


def test_a_retry_that_cannot_start_does_not_block_others() -> None:
    """Guards against a retry that holds up the whole queue."""
    units = FakeUnits(0)
    queue, _ = _queue(units)
    queue.offer(0.0, request(0, tried=frozenset({"a"})))
    queue.offer(0.0, request(1))
    units.default = 1
    results = queue.dispatch_waiting(0.1)
    assert "w-1" in [result.request.request_id for result in results]


def test_demand_for_units_follows_requests_and_decays() -> None:
    """Guards against units that stay where they are not needed."""
    units = FakeUnits(4)
    queue, choice = _queue(units)
    running = [queue.offer(0.0, request(n, "hot")) for n in range(10)]
    assert units.wants["stock", "hot"] >= 10
    for result in running:
        if isinstance(result, Started):
            choice.finish(0.1, result.choice, Cancelled())
            queue.record_end(0.1, "hot")
        else:
            queue.cancel(0.1, result.request.request_id)
    queue.update_demand(60.0)
    assert units.wants["stock", "hot"] == 0
