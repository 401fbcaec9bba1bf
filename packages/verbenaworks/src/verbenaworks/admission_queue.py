"""Queue of the requests of one service that wait for units at one instance.

A released unit goes to the workspace with the fewest units in use in relation
to its weight instead of the request that arrived first, so that the backlog of
a workspace that sends far too much delays only that workspace.
"""

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Mapping
from typing import NamedTuple

from verbenaworks.choice_result import (
    Choice,
    ChoiceRequest,
    ExcludedTarget,
    NoTarget,
    NoTargetReason,
)
from verbenaworks.queue_result import Shed, ShedReason, Started, Waiting
from verbenaworks.service_time import ServiceTime
from verbenaworks.unit_demand import UnitDemand
from verbenaworks.unit_pool import UnitPool, UnitShares

# If the queue is full, a workspace may still add requests up to an equal part
# of it.
MAX_WAITING = 1024
MAX_WAITING_PER_WORKSPACE = 256
# A backlog that lasts this long is not a burst, and the rate at which it is
# served is known.
_MIN_BACKLOG_AGE_S = 1.0
_SMOOTHING_FACTOR = 0.1
# Weight of a workspace without a share at this instance, so that it still gets
# a unit at times.
_MIN_SHARE = 0.5


class _Entry:
    __slots__ = ("arrived_s", "done", "request")

    def __init__(self, arrived_s: float, request: ChoiceRequest) -> None:
        self.arrived_s = arrived_s
        self.request = request
        self.done = False


class _StartDeadline(NamedTuple):
    latest_start_s: float
    order: int
    entry: _Entry


class _WorkspaceQueue:
    """Waiting requests of one workspace, and its units in use."""

    def __init__(self) -> None:
        self.entries: deque[_Entry] = deque()
        self.waiting = 0
        self.in_use = 0
        self.last_start_at_s = float("-inf")
        self.backlog_since_s: float | None = None
        self.start_interval_s = 0.0


class AdmissionQueue:
    """Starts requests when units are available.

    :param choose: calls :meth:`TargetChoice.choose` with the targets of this
        service.
    :param time: usual service time, to check deadlines.
    :param weights: weight of each workspace, 1 by default. Used only
        without ``shares``.
    :param shares: how the owners divided the units among workspaces.
    """

    def __init__(
        self,
        *,
        service: str,
        choose: Callable[[float, ChoiceRequest], Choice | NoTarget],
        units: UnitPool,
        time: ServiceTime,
        weights: Mapping[str, float] | None = None,
        shares: UnitShares | None = None,
    ) -> None:
        self._service = service
        self._choose = choose
        self._units = units
        self._time = time
        self._weights = weights if weights is not None else {}
        self._shares = shares
        self._queues: dict[str, _WorkspaceQueue] = {}
        self._entries: dict[str, _Entry] = {}
        self._demand = UnitDemand()
        self._stated_demand: dict[str, int] = {}
        self._start_deadlines: list[_StartDeadline] = []
        self._sequence = itertools.count()
        self._last_excluded: tuple[ExcludedTarget, ...] = ()

    def __len__(self) -> int:
        return len(self._entries)

    def offer(
        self, now_s: float, request: ChoiceRequest
    ) -> Started | Waiting | Shed:
        """Start, enqueue or shed a request."""
        queue = self._queues.setdefault(request.workspace, _WorkspaceQueue())
        self._demand.record_arrival(now_s, request.workspace)
        if not self._entries:
            result = self._try_start(now_s, queue, request)
            if result is not None:
                self._update_workspace_demand(now_s, request.workspace, queue)
                return result
        shed = self._shed_on_arrival(now_s, queue, request)
        if shed is not None:
            return shed
        self._enqueue(now_s, queue, request)
        self._update_workspace_demand(now_s, request.workspace, queue)
        return Waiting(request=request)

    def dispatch_waiting(self, now_s: float) -> list[Started | Shed]:
        """Start or shed waiting requests; call when units may be free.

        Call it also at :meth:`next_check_s`.
        """
        results: list[Started | Shed] = []
        self._shed_late(now_s, results)
        skipped: set[str] = set()
        while True:
            workspace = self._next_workspace(skipped)
            if workspace is None:
                break
            queue = self._queues[workspace]
            entry = queue.entries[0]
            result = self._try_start(now_s, queue, entry.request)
            if result is None:
                if not entry.request.tried:
                    break
                # Only this request cannot start, because it must not use the
                # targets of its earlier attempts. It moves behind the others
                # of its workspace.
                queue.entries.rotate(-1)
                _drop_done(queue)
                if queue.entries[0].request.tried:
                    skipped.add(workspace)
                continue
            if isinstance(result, Started):
                self._record_start(now_s, queue)
            self._remove(queue, entry)
            results.append(result)
        for workspace, queue in self._queues.items():
            self._demand.set_requests(workspace, queue.in_use, queue.waiting)
        self.update_demand(now_s)
        return results

    def record_end(self, now_s: float, workspace: str) -> None:
        """Record that a request no longer uses its unit."""
        queue = self._queues[workspace]
        queue.in_use -= 1
        self._update_workspace_demand(now_s, workspace, queue)

    def cancel(self, now_s: float, request_id: str) -> bool:
        """Remove a waiting request; false if it is not waiting."""
        entry = self._entries.get(request_id)
        if entry is None:
            return False
        queue = self._queues[entry.request.workspace]
        self._remove(queue, entry)
        self._update_workspace_demand(now_s, entry.request.workspace, queue)
        return True

    def next_check_s(self) -> float | None:
        """Return when a waiting request must be started or shed."""
        while self._start_deadlines and self._start_deadlines[0].entry.done:
            heapq.heappop(self._start_deadlines)
        return (
            self._start_deadlines[0].latest_start_s
            if self._start_deadlines
            else None
        )

    def update_demand(self, now_s: float) -> None:
        """Update the demand for units; call it also once per second."""
        for workspace, amount in self._demand.units(
            now_s, self._time.mean_s
        ).items():
            if self._stated_demand.get(workspace, 0) != amount:
                self._stated_demand[workspace] = amount
                self._units.set_demand(self._service, workspace, amount)

    def in_use(self, workspace: str) -> int:
        """Return the units in use by a workspace at this instance."""
        queue = self._queues.get(workspace)
        return 0 if queue is None else queue.in_use

    def _try_start(
        self, now_s: float, queue: _WorkspaceQueue, request: ChoiceRequest
    ) -> Started | Shed | None:
        choice_result = self._choose(now_s, request)
        if isinstance(choice_result, Choice):
            queue.in_use += 1
            return Started(request=request, choice=choice_result)
        self._last_excluded = choice_result.excluded
        if choice_result.can_wait:
            return None
        reason = ShedReason.NO_TARGET
        if choice_result.reason is NoTargetReason.TOO_LATE:
            reason = ShedReason.DEADLINE
        return Shed(
            request=request,
            reason=reason,
            retry_after_s=1.0,
            excluded=choice_result.excluded,
        )

    def _shed_on_arrival(
        self, now_s: float, queue: _WorkspaceQueue, request: ChoiceRequest
    ) -> Shed | None:
        """Shed a request that could not be started in time."""
        limit = MAX_WAITING_PER_WORKSPACE
        if len(self._entries) >= MAX_WAITING:
            limit = min(limit, MAX_WAITING // len(self._queues))
        if queue.waiting >= limit:
            return self._make_shed(queue, request, ShedReason.QUEUE_FULL)
        since_s = queue.backlog_since_s
        if since_s is None or now_s - since_s < _MIN_BACKLOG_AGE_S:
            return None
        wait_s = queue.waiting * queue.start_interval_s
        entry = _Entry(now_s, request)
        if now_s + wait_s > self._latest_start_s(entry):
            return self._make_shed(queue, request, ShedReason.DEADLINE)
        return None

    def _make_shed(
        self,
        queue: _WorkspaceQueue,
        request: ChoiceRequest,
        reason: ShedReason,
    ) -> Shed:
        wait_s = queue.waiting * queue.start_interval_s
        return Shed(
            request=request,
            reason=reason,
            retry_after_s=max(1.0, min(wait_s, 10.0)),
            excluded=self._last_excluded,
        )

    def _enqueue(
        self, now_s: float, queue: _WorkspaceQueue, request: ChoiceRequest
    ) -> None:
        if queue.backlog_since_s is None:
            queue.backlog_since_s = now_s
            queue.last_start_at_s = now_s
        entry = _Entry(now_s, request)
        heapq.heappush(
            self._start_deadlines,
            _StartDeadline(
                self._latest_start_s(entry), next(self._sequence), entry
            ),
        )
        queue.entries.append(entry)
        queue.waiting += 1
        self._entries[request.request_id] = entry

    def _record_start(self, now_s: float, queue: _WorkspaceQueue) -> None:
        start_interval_s = now_s - queue.last_start_at_s
        queue.last_start_at_s = now_s
        if queue.start_interval_s == 0.0:
            queue.start_interval_s = start_interval_s
        queue.start_interval_s += _SMOOTHING_FACTOR * (
            start_interval_s - queue.start_interval_s
        )

    def _remove(self, queue: _WorkspaceQueue, entry: _Entry) -> None:
        entry.done = True
        queue.waiting -= 1
        del self._entries[entry.request.request_id]
        _drop_done(queue)

    def _shed_late(self, now_s: float, results: list[Started | Shed]) -> None:
        while (
            self._start_deadlines
            and self._start_deadlines[0].latest_start_s <= now_s
        ):
            entry = heapq.heappop(self._start_deadlines).entry
            if entry.done:
                continue
            latest_start_s = self._latest_start_s(entry)
            if latest_start_s > now_s:
                # The service has become faster since the request arrived.
                heapq.heappush(
                    self._start_deadlines,
                    _StartDeadline(
                        latest_start_s, next(self._sequence), entry
                    ),
                )
                continue
            queue = self._queues[entry.request.workspace]
            results.append(
                self._make_shed(queue, entry.request, ShedReason.DEADLINE)
            )
            self._remove(queue, entry)

    def _next_workspace(self, skipped: set[str]) -> str | None:
        best_workspace: str | None = None
        best_key = (0.0, 0.0)
        for workspace, queue in self._queues.items():
            if not queue.entries or workspace in skipped:
                continue
            # Counts the unit to be assigned, so that a workspace with a share
            # below one unit does not precede one with unused share.
            units = (queue.in_use + 1) / self._weight(workspace)
            key = units, queue.last_start_at_s
            if best_workspace is None or key < best_key:
                best_workspace, best_key = workspace, key
        return best_workspace

    def _weight(self, workspace: str) -> float:
        if self._shares is None:
            return self._weights.get(workspace, 1.0)
        share = self._shares.share(self._service, workspace)
        return max(share, _MIN_SHARE)

    def _latest_start_s(self, entry: _Entry) -> float:
        """Return the time after which a start would be too late.

        Nearly all requests that start by then complete in time. A request
        with a short deadline may still start in the first half of its time.
        """
        allowed_s = entry.request.deadline_s - entry.arrived_s
        needed_s = min(self._time.upper_estimate_s(), allowed_s / 2)
        return entry.request.deadline_s - needed_s

    def _update_workspace_demand(
        self, now_s: float, workspace: str, queue: _WorkspaceQueue
    ) -> None:
        self._demand.set_requests(workspace, queue.in_use, queue.waiting)
        self.update_demand(now_s)


def _drop_done(queue: _WorkspaceQueue) -> None:
    """Remove requests that no longer wait from the head of a queue."""
    while queue.entries and queue.entries[0].done:
        queue.entries.popleft()
    if not queue.entries:
        queue.backlog_since_s = None
