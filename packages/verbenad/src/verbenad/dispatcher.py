"""Assigns targets to the requests of one service or queues them."""

from collections.abc import Callable

import eventlet
from eventlet.event import Event

from verbenaworks.admission_queue import AdmissionQueue
from verbenaworks.attempt_outcome import Cancelled, Outcome
from verbenaworks.choice_result import Choice, ChoiceRequest
from verbenaworks.queue_result import Shed, Started, Waiting
from verbenaworks.target_choice import TargetChoice

_CHECK_MARGIN_S = 0.001


class Dispatcher:
    """Blocks the handler of each request until the request may start.

    :param queue: admission queue of the service.
    :param choice: choice of targets, shared by all services.
    :param serve_all: starts waiting requests of all services. A request that
        ends frees a unit of its region's load, for which requests of other
        services may wait.
    """

    def __init__(
        self,
        *,
        queue: AdmissionQueue,
        choice: TargetChoice,
        now_s: Callable[[], float],
        serve_all: Callable[[], None] | None = None,
    ) -> None:
        self._serve_all = serve_all or self.serve
        self._queue = queue
        self._choice = choice
        self._now_s = now_s
        self._events: dict[str, Event] = {}
        self._check_timer: eventlet.greenthread.GreenThread | None = None

    @property
    def queue(self) -> AdmissionQueue:
        """Return the admission queue of the service."""
        return self._queue

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._queue)

    def acquire(self, request: ChoiceRequest) -> Started | Shed:
        """Return a target with its units, or a refusal.

        The caller must pass the choice of a started request to
        :meth:`finish`.
        """
        offer_result = self._queue.offer(self._now_s(), request)
        if not isinstance(offer_result, Waiting):
            return offer_result
        event = Event()
        self._events[request.request_id] = event
        self._schedule_check()
        try:
            result: Started | Shed = event.wait()
            return result
        except BaseException:
            self._abandon(request.request_id, event)
            raise
        finally:
            self._events.pop(request.request_id, None)

    def finish(self, choice: Choice, outcome: Outcome) -> None:
        """Return the units of an attempt."""
        now_s = self._now_s()
        self._choice.finish(now_s, choice, outcome)
        self._queue.record_end(now_s, choice.workspace)
        self._serve_all()

    def serve(self) -> None:
        """Start waiting requests; call it when units may be free."""
        if not len(self._queue):
            return
        for result in self._queue.dispatch_waiting(self._now_s()):
            event = self._events.get(result.request.request_id)
            if event is not None and not event.ready():
                event.send(result)
        self._schedule_check()

    def update_demand(self) -> None:
        """Update the demand of the waiting requests; call it periodically."""
        self._queue.update_demand(self._now_s())

    def _abandon(self, request_id: str, event: Event) -> None:
        """Cancel a stopped handler's waiting request or free its units."""
        if not event.ready():
            self._queue.cancel(self._now_s(), request_id)
            return
        result = event.wait()
        if isinstance(result, Started):
            self.finish(result.choice, Cancelled())

    def _schedule_check(self) -> None:
        due_s = self._queue.next_check_s()
        if self._check_timer is not None or due_s is None:
            return
        delay_s = max(0.0, due_s - self._now_s()) + _CHECK_MARGIN_S
        self._check_timer = eventlet.spawn_after(delay_s, self._run_check)

    def _run_check(self) -> None:
        self._check_timer = None
        self.serve()
