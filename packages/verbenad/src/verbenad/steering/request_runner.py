"""Runs a request on backend servers."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

import eventlet
from result import Err, Ok

from verbenad.attempt_failure import AttemptFailure, FailureKind
from verbenad.forward_request import ForwardRequest
from verbenad.forwarder import Forwarder
from verbenad.http_syntax import values_of
from verbenad.protocol_errors import ResponseTruncatedError
from verbenad.refusal import NOT_RUN, OUTCOME_UNKNOWN
from verbenad.refusal_error import RefusalError, refusal_error
from verbenad.steering.crash_notes import CrashNotes
from verbenad.steering.held_answer import HeldAnswer, hold_answer
from verbenad.steering.request_record import AttemptRecord
from verbenad.steering.steered_call import SteeredCall
from verbenad.upstream_response import UpstreamResponse
from verbenaworks.steering.fleet_retry_budget import FleetRetryBudget
from verbenaworks.steering.placement import Placement
from verbenaworks.steering.placement_result import (
    Placed,
    PlacementRefused,
    PlacementRequest,
    RefusalReason,
)
from verbenaworks.steering.server_load import ServerLoad

# A server answers for itself when its deadline passes; its answer needs a
# round trip to arrive.
ANSWER_SLACK_S = 0.15
# A connection that cannot be opened reaches no server, so it is no attempt.
MAX_UNREACHED = 3
# With less time left no server can answer.
MIN_LEFT_S = 0.02

_REJECT_CODES = {
    RefusalReason.NO_SERVER: "no-backend-server",
    RefusalReason.OVERLOADED: "overloaded",
    RefusalReason.COLD_START_LIMIT: "overloaded",
}


@dataclass(kw_only=True, slots=True)
class _Progress:
    """What has happened to a request so far."""

    tried: frozenset[str] = frozenset()
    sent: int = 0
    # A dropped connection was met; the next attempt opens a new one.
    was_reset: bool = False
    unreached: int = 0
    may_have_run: bool = False
    failed: AttemptFailure | None = None
    answer: HeldAnswer | None = None
    reported: str = ""


class RequestRunner:
    """Chooses servers, sends the request and decides on repeats.

    :param connection_limit: connections that this instance may open to one
        server of a service.
    :param cold_per_s: requests per second that a cold server bears.
    """

    def __init__(
        self,
        *,
        placement: Placement,
        forwarder: Forwarder,
        retries: FleetRetryBudget,
        crashes: CrashNotes,
        connection_limit: Callable[[str], int],
        cold_per_s: Callable[[str], float],
        now_s: Callable[[], float],
    ) -> None:
        self._placement = placement
        self._forwarder = forwarder
        self._retries = retries
        self._crashes = crashes
        self._connection_limit = connection_limit
        self._cold_per_s = cold_per_s
        self._now_s = now_s
        self._load_field = (forwarder.settings.names.load or "").lower()

    def run(
        self, call: SteeredCall, attempts: list[AttemptRecord]
    ) -> HeldAnswer:
        """Return a server's answer.

        :param attempts: gets a record of each attempt.
        :raises RefusalError: if there is none.
        """
        self._retries.record_request(self._now_s(), call.service)
        progress = _Progress()
        while True:
            request = self._placement_request(call, progress)
            placed = self._placement.choose(
                self._now_s(), request, self._cold_per_s(call.service)
            )
            if isinstance(placed, PlacementRefused):
                return self._give_up(call, progress, placed)
            self._attempt(call, request, placed, progress, attempts)
            if progress.answer is not None and not self._is_bad(progress):
                return progress.answer
            if not self._may_repeat(call, progress):
                return self._give_up(call, progress, None)

    def _placement_request(
        self, call: SteeredCall, progress: _Progress
    ) -> PlacementRequest:
        return PlacementRequest(
            route=call.route,
            service=call.service,
            affinity_key=call.thing,
            time_left_s=max(0.0, call.until_s - self._now_s()),
            home_regions=call.home_regions,
            tried_servers=progress.tried,
            body_bytes=len(call.body.prefix),
        )

    def _attempt(
        self,
        call: SteeredCall,
        request: PlacementRequest,
        placed: Placed,
        progress: _Progress,
        attempts: list[AttemptRecord],
    ) -> None:
        server = placed.server
        started_s = self._now_s()
        parts = self._placement.load_of(server).describe(started_s)
        self._placement.request_started(server)
        ended = False
        outcome = "interrupted"
        try:
            result = self._forwarder.attempt(
                self._forward_request(call, server.server_id),
                server.address,
                call.until_s + ANSWER_SLACK_S,
                connection_limit=self._connection_limit(call.service),
                new_connection=bool(progress.tried) or progress.was_reset,
            )
            match result:
                case Ok(answer):
                    outcome, ended = self._received(
                        call, request, placed, started_s, answer, progress
                    )
                case Err(failed):
                    outcome = failed.kind.name.lower()
                    self._failed(call, placed, started_s, failed, progress)
        finally:
            if not ended:
                self._placement.request_ended(server)
            attempts.append(
                AttemptRecord(
                    server=server.server_id,
                    load=parts,
                    predicted_ms=int(placed.predicted_s * 1000),
                    place=placed.rank,
                    outcome=outcome,
                    took_ms=int((self._now_s() - started_s) * 1000),
                    reported=progress.reported,
                )
            )

    def _received(
        self,
        call: SteeredCall,
        request: PlacementRequest,
        placed: Placed,
        started_s: float,
        answer: UpstreamResponse,
        progress: _Progress,
    ) -> tuple[str, bool]:
        """Take an answer; tells the outcome and whether a stream goes on."""
        progress.tried |= {placed.server.server_id}
        progress.sent += 1
        progress.may_have_run = True
        now_s = self._now_s()
        load = self._placement.load_of(placed.server)
        progress.reported = self._learn_load(now_s, placed, answer)
        try:
            with eventlet.Timeout(
                max(MIN_LEFT_S, call.until_s + ANSWER_SLACK_S - now_s),
                TimeoutError,
            ):
                held = hold_answer(answer)
        except (ResponseTruncatedError, TimeoutError) as error:
            answer.body.close()
            load.record_failure(self._now_s())
            progress.failed = AttemptFailure(
                kind=FailureKind.MALFORMED_ANSWER,
                may_have_run=True,
                message=str(error) or "the answer took too long",
            )
            return "answer_truncated", False
        progress.answer = held
        if held.status >= 500:
            load.record_failure(now_s)
            return f"status_{held.status}", False
        self._crashes.completed(call.digest)
        self._placement.record_response(
            now_s, request, placed, now_s - started_s
        )
        if not isinstance(held.pieces, list):
            ended = EndedStream(
                held.pieces,
                lambda: self._placement.request_ended(placed.server),
            )
            progress.answer = HeldAnswer(
                status=held.status,
                status_line=held.status_line,
                headers=held.headers,
                pieces=ended,
            )
            return "answering", True
        return "answered", False

    def _failed(
        self,
        call: SteeredCall,
        placed: Placed,
        started_s: float,
        failed: AttemptFailure,
        progress: _Progress,
    ) -> None:
        now_s = self._now_s()
        load = self._placement.load_of(placed.server)
        progress.failed = failed
        if failed.reset_when_idle:
            # The server itself is well, and may know the object.
            progress.was_reset = True
        else:
            progress.tried |= {placed.server.server_id}
        progress.may_have_run = progress.may_have_run or failed.may_have_run
        match failed.kind:
            case FailureKind.CONNECT_FAILED:
                progress.unreached += 1
                load.record_connection_failure(now_s)
            case FailureKind.CONNECTION_LIMIT:
                progress.unreached += 1
            case FailureKind.MISDIRECTED:
                progress.sent += 1
                load.record_connection_failure(now_s)
            case FailureKind.REFUSED_NOT_RUN:
                progress.sent += 1
                load.record_failure(now_s)
                load.record_overload(now_s)
            case FailureKind.CLOSED:
                progress.sent += failed.may_have_run
                self._closed(call, load, failed)
            case FailureKind.MALFORMED_ANSWER | FailureKind.SILENT:
                progress.sent += 1
                load.record_failure(now_s)
            case FailureKind.DEADLINE:
                progress.sent += failed.may_have_run
                load.record_overdue(
                    now_s, now_s - started_s, placed.predicted_s
                )
            case _:
                progress.sent += failed.may_have_run

    def _closed(
        self, call: SteeredCall, load: ServerLoad, failed: AttemptFailure
    ) -> None:
        """Take a connection that was closed before an answer."""
        now_s = self._now_s()
        if not failed.reset_when_idle:
            load.record_failure(now_s)
        if not failed.looks_like_crash:
            return
        if not failed.reset_when_idle:
            load.record_connection_failure(now_s)
        if not failed.reset_when_idle or not call.route.idempotent:
            # An idempotent request is sent again on a new connection, which
            # tells whether it crashes servers.
            self._crashes.crashed(call.digest)

    def _learn_load(
        self, now_s: float, placed: Placed, answer: UpstreamResponse
    ) -> str:
        """Take the load that the server states; return what it states."""
        if not self._load_field:
            return ""
        stated = ""
        for value in values_of(answer.headers, self._load_field):
            stated = value
            parts = value.split(",")
            if len(parts) == 3 and all(p.strip().isdecimal() for p in parts):
                self._placement.load_of(placed.server).record_reported_load(
                    now_s, int(parts[0]) + int(parts[1])
                )
        return stated

    def _forward_request(
        self, call: SteeredCall, server_id: str
    ) -> ForwardRequest:
        head = call.head
        return ForwardRequest(
            request_id=call.request_id,
            method=head.method,
            target=head.target,
            host=head.host,
            headers=head.headers,
            body=call.body,
            idempotent=call.route.idempotent,
            cancellation=call.caller.cancellation,
            server_id=server_id,
            workspace=call.workspace,
            work_until_s=call.until_s,
        )

    def _is_bad(self, progress: _Progress) -> bool:
        answer = progress.answer
        return answer is not None and answer.status >= 500

    def _may_repeat(self, call: SteeredCall, progress: _Progress) -> bool:
        if call.caller.is_disconnected or not call.body.can_send_from_start:
            return False
        if progress.may_have_run and not call.route.idempotent:
            return False
        failed = progress.failed
        if failed is not None and failed.kind in (
            FailureKind.CALLER_GONE,
            FailureKind.BODY,
            FailureKind.KEY_IN_PATH,
            FailureKind.DEADLINE,
        ):
            return False
        now_s = self._now_s()
        if call.until_s - now_s < MIN_LEFT_S:
            return False
        if self._crashes.is_refused(call.digest):
            return False
        if progress.sent >= call.route.max_attempts:
            return False
        if progress.unreached > MAX_UNREACHED:
            return False
        if not progress.sent:
            return True
        return self._retries.try_acquire(now_s, call.service)

    def _give_up(
        self,
        call: SteeredCall,
        progress: _Progress,
        rejected: PlacementRefused | None,
    ) -> HeldAnswer:
        """Return the last answer of a server, or refuse.

        :raises RefusalError: if no server has answered.
        """
        if progress.answer is not None:
            return progress.answer
        raise _refusal(call, progress, rejected)


class EndedStream:
    """Passes a long body on and tells when it has ended."""

    def __init__(
        self, pieces: Iterable[bytes], on_end: Callable[[], None]
    ) -> None:
        self._pieces = pieces
        self._on_end: Callable[[], None] | None = on_end

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._pieces)

    def close(self) -> None:
        """End the stream."""
        close = getattr(self._pieces, "close", None)
        if close is not None:
            close()
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end()


def _refusal(
    call: SteeredCall, progress: _Progress, rejected: PlacementRefused | None
) -> RefusalError:
    failed = progress.failed
    code = "no-backend-server"
    retry_after_s: float | None = None
    if failed is not None:
        code = failed.code
        retry_after_s = failed.retry_after_s
    elif rejected is not None:
        code = _REJECT_CODES[rejected.reason]
    if rejected is not None:
        retry_after_s = rejected.retry_after_s
    run = OUTCOME_UNKNOWN if progress.may_have_run else NOT_RUN
    return refusal_error(
        code, call.request_id, run=run, retry_after_s=retry_after_s
    )
