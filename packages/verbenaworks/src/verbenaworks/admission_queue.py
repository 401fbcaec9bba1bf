"""Requests of one service that wait for units inside one instance.

A freed unit goes to the workspace with the fewest units in use in relation
to its weight, not to the request that came first: the queue of a workspace
that sends far too much delays only that workspace.
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

# A workspace below its part of a full queue may still add requests.
MAX_WAITING = 1024
MAX_WAITING_PER_WORKSPACE = 256
# A backlog this long is not a burst, and its rate of service is known.
_BACKLOG_S = 1.0
_GAIN = 0.1
# A workspace without a share here still gets a unit now and then.
_LEAST_SHARE = 0.5


class _Entry:
    __slots__ = ("arrived_s", "done", "request")

    def __init__(self, arrived_s: float, request: ChoiceRequest) -> None:
        self.arrived_s = arrived_s
        self.request = request
        self.done = False


class _Late(NamedTuple):
    latest_s: float
    order: int
    entry: _Entry


class _Line:
    """The waiting requests of one workspace, and its units in use."""

    def __init__(self) -> None:
        self.entries: deque[_Entry] = deque()
        self.waiting = 0
        self.in_use = 0
        self.served_at_s = float("-inf")
        self.backlog_since_s: float | None = None
        self.interval_s = 0.0


class AdmissionQueue:
    """Starts requests as units allow.

    :param choose: calls :meth:`TargetChoice.choose` with the targets of this
        service.
    :param time: usual service time, for the test against deadlines.
    :param weights: weight of each workspace, 1 where absent. Used where
        ``shares`` is absent.
    :param shares: the owners' division of the units over workspaces.
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
        self._lines: dict[str, _Line] = {}
        self._entries: dict[str, _Entry] = {}
        self._demand = UnitDemand()
        self._stated: dict[str, int] = {}
        self._late: list[_Late] = []
        self._order = itertools.count()
        self._left_out: tuple[ExcludedTarget, ...] = ()

    def __len__(self) -> int:
        return len(self._entries)

    def offer(
        self, now_s: float, request: ChoiceRequest
    ) -> Started | Waiting | Shed:
        """Start a request, let it wait, or refuse it."""
        line = self._lines.setdefault(request.workspace, _Line())
        self._demand.arrived(now_s, request.workspace)
        if not self._entries:
            answer = self._try_start(now_s, line, request)
            if answer is not None:
                self._state(now_s, request.workspace, line)
                return answer
        shed = self._shed_on_arrival(now_s, line, request)
        if shed is not None:
            return shed
        self._append(now_s, line, request)
        self._state(now_s, request.workspace, line)
        return Waiting(request=request)

    def dispatch_waiting(self, now_s: float) -> list[Started | Shed]:
        """Start and refuse waiting requests; call when units may be free.

        Call it too at :meth:`next_check_s`.
        """
        answers: list[Started | Shed] = []
        self._drop_late(now_s, answers)
        skipped: set[str] = set()
        while True:
            workspace = self._next_workspace(skipped)
            if workspace is None:
                break
            line = self._lines[workspace]
            entry = line.entries[0]
            answer = self._try_start(now_s, line, entry.request)
            if answer is None:
                if not entry.request.tried:
                    break
                # Only this request cannot start: it lost targets to earlier
                # attempts. It goes behind the others of its workspace.
                line.entries.rotate(-1)
                _trim(line)
                if line.entries[0].request.tried:
                    skipped.add(workspace)
                continue
            if isinstance(answer, Started):
                self._count_start(now_s, line)
            self._remove(line, entry)
            answers.append(answer)
        for workspace, line in self._lines.items():
            self._demand.set_busy(workspace, line.in_use, line.waiting)
        self.update_demand(now_s)
        return answers

    def record_end(self, now_s: float, workspace: str) -> None:
        """Count a request that no longer uses its unit."""
        line = self._lines[workspace]
        line.in_use -= 1
        self._state(now_s, workspace, line)

    def cancel(self, now_s: float, request_id: str) -> bool:
        """Drop a waiting request; false if it does not wait."""
        entry = self._entries.get(request_id)
        if entry is None:
            return False
        line = self._lines[entry.request.workspace]
        self._remove(line, entry)
        self._state(now_s, entry.request.workspace, line)
        return True

    def next_check_s(self) -> float | None:
        """Return when a waiting request must be started or refused."""
        while self._late and self._late[0].entry.done:
            heapq.heappop(self._late)
        return self._late[0].latest_s if self._late else None

    def update_demand(self, now_s: float) -> None:
        """State the wanted units; call it every second as well."""
        for workspace, amount in self._demand.amounts(
            now_s, self._time.mean_s
        ).items():
            if self._stated.get(workspace, 0) != amount:
                self._stated[workspace] = amount
                self._units.set_demand(self._service, workspace, amount)

    def in_use(self, workspace: str) -> int:
        """Return the units that a workspace uses at this instance."""
        line = self._lines.get(workspace)
        return 0 if line is None else line.in_use

    def _try_start(
        self, now_s: float, line: _Line, request: ChoiceRequest
    ) -> Started | Shed | None:
        found = self._choose(now_s, request)
        if isinstance(found, Choice):
            line.in_use += 1
            return Started(request=request, choice=found)
        self._left_out = found.excluded
        if found.can_wait:
            return None
        reason = ShedReason.NO_TARGET
        if found.reason is NoTargetReason.TOO_LATE:
            reason = ShedReason.DEADLINE
        return Shed(
            request=request,
            reason=reason,
            retry_after_s=1.0,
            excluded=found.excluded,
        )

    def _shed_on_arrival(
        self, now_s: float, line: _Line, request: ChoiceRequest
    ) -> Shed | None:
        """Refuse early what could not be started in time."""
        limit = MAX_WAITING_PER_WORKSPACE
        if len(self._entries) >= MAX_WAITING:
            limit = min(limit, MAX_WAITING // len(self._lines))
        if line.waiting >= limit:
            return self._shed(line, request, ShedReason.QUEUE_FULL)
        since_s = line.backlog_since_s
        if since_s is None or now_s - since_s < _BACKLOG_S:
            return None
        wait_s = line.waiting * line.interval_s
        entry = _Entry(now_s, request)
        if now_s + wait_s > self._latest_start_s(entry):
            return self._shed(line, request, ShedReason.DEADLINE)
        return None

    def _shed(
        self, line: _Line, request: ChoiceRequest, reason: ShedReason
    ) -> Shed:
        wait_s = line.waiting * line.interval_s
        return Shed(
            request=request,
            reason=reason,
            retry_after_s=max(1.0, min(wait_s, 10.0)),
            excluded=self._left_out,
        )

    def _append(
        self, now_s: float, line: _Line, request: ChoiceRequest
    ) -> None:
        if line.backlog_since_s is None:
            line.backlog_since_s = now_s
            line.served_at_s = now_s
        entry = _Entry(now_s, request)
        heapq.heappush(
            self._late,
            _Late(self._latest_start_s(entry), next(self._order), entry),
        )
        line.entries.append(entry)
        line.waiting += 1
        self._entries[request.request_id] = entry

    def _count_start(self, now_s: float, line: _Line) -> None:
        interval_s = now_s - line.served_at_s
        line.served_at_s = now_s
        if line.interval_s == 0.0:
            line.interval_s = interval_s
        line.interval_s += _GAIN * (interval_s - line.interval_s)

    def _remove(self, line: _Line, entry: _Entry) -> None:
        entry.done = True
        line.waiting -= 1
        del self._entries[entry.request.request_id]
        _trim(line)

    def _drop_late(self, now_s: float, answers: list[Started | Shed]) -> None:
        while self._late and self._late[0].latest_s <= now_s:
            entry = heapq.heappop(self._late).entry
            if entry.done:
                continue
            latest_s = self._latest_start_s(entry)
            if latest_s > now_s:
                # The service has become faster since the request came.
                heapq.heappush(
                    self._late, _Late(latest_s, next(self._order), entry)
                )
                continue
            line = self._lines[entry.request.workspace]
            answers.append(
                self._shed(line, entry.request, ShedReason.DEADLINE)
            )
            self._remove(line, entry)

    def _next_workspace(self, skipped: set[str]) -> str | None:
        best: str | None = None
        best_key = (0.0, 0.0)
        for workspace, line in self._lines.items():
            if not line.entries or workspace in skipped:
                continue
            # One unit more, so that a workspace with a part of a unit does
            # not come before one that has fewer units than its share.
            units = (line.in_use + 1) / self._weight(workspace)
            key = units, line.served_at_s
            if best is None or key < best_key:
                best, best_key = workspace, key
        return best

    def _weight(self, workspace: str) -> float:
        if self._shares is None:
            return self._weights.get(workspace, 1.0)
        share = self._shares.share(self._service, workspace)
        return max(share, _LEAST_SHARE)

    def _latest_start_s(self, entry: _Entry) -> float:
        """Return the time after which a start would be in vain.

        Nearly all requests that start by then are answered in time. A
        request whose own deadline is short is still tried for half of it.
        """
        allowed_s = entry.request.deadline_s - entry.arrived_s
        needed_s = min(self._time.safe_s(), allowed_s / 2)
        return entry.request.deadline_s - needed_s

    def _state(self, now_s: float, workspace: str, line: _Line) -> None:
        self._demand.set_busy(workspace, line.in_use, line.waiting)
        self.update_demand(now_s)


def _trim(line: _Line) -> None:
    """Remove requests that no longer wait from the head of a line."""
    while line.entries and line.entries[0].done:
        line.entries.popleft()
    if not line.entries:
        line.backlog_since_s = None
