"""Sends a request to backend servers and retries failed attempts."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from result import Err, Ok

from verbenad.attempt_failure import AttemptFailure, FailureKind
from verbenad.forward_request import ForwardRequest
from verbenad.forwarder import Forwarder
from verbenad.protocol_errors import ResponseTruncatedError
from verbenad.refusal import NOT_RUN, OUTCOME_UNKNOWN
from verbenad.refusal_error import RefusalError, refusal_error
from verbenad.response_owner import ResponseOwner
from verbenad.steering.admitted_request import AdmittedRequest
from verbenad.steering.buffered_response import (
    BufferedResponse,
    buffer_response,
)
from verbenad.steering.byte_counts import ByteCounts
from verbenad.steering.crash_tracker import CrashTracker
from verbenad.steering.notifying_stream import NotifyingStream
from verbenad.steering.permission_check import PermissionCheck
from verbenad.steering.request_record import AttemptRecord
from verbenad.steering.server_statement import (
    ServerStatement,
    StatementParser,
)
from verbenad.steering.statement_recorder import StatementRecorder
from verbenad.upstream_response import UpstreamResponse
from verbenaworks.steering.fleet_retry_budget import FleetRetryBudget
from verbenaworks.steering.placement import Placement
from verbenaworks.steering.placement_result import (
    Placed,
    PlacementRefused,
    PlacementRequest,
    RefusalReason,
)

# A backend server responds with its own error when the deadline passes. This
# margin leaves one round trip for that response to arrive.
RESPONSE_MARGIN_S = 0.15
# A long body that is being passed on may go on for this much longer.
STREAM_MARGIN_S = 0.4
# An attempt without a connection does not count against the route's attempts,
# because the request reached no server. This bounds such attempts instead.
MAX_CONNECT_RETRIES = 3
# Pause after a refusal because the configuration was not confirmed in time.
STALE_RETRY_AFTER_S = 0.3
# No backend server can respond in less time than this.
MIN_TIME_LEFT_S = 0.02

_REFUSAL_CODES = {
    RefusalReason.NO_SERVER: "no-backend-server",
    RefusalReason.OVERLOADED: "overloaded",
    RefusalReason.COLD_START_LIMIT: "overloaded",
    RefusalReason.SERVER_LIMIT: "overloaded",
    RefusalReason.SERVER_PAUSED: "overloaded",
}


@dataclass(kw_only=True, slots=True)
class _Progress:
    """State of one request across its attempts.

    :ivar owner: owns the connection of ``response``.
    :ivar sent_attempts: attempts that reached a server.
    :ivar idle_reset_seen: whether a server had dropped the pooled connection
        of an attempt; the next attempt opens a new connection.
    :ivar failed_connects: attempts for which no connection was available.
    :ivar may_have_run: whether a server may have run the request.
    :ivar statement: what the last server said of itself.
    """

    owner: ResponseOwner
    tried_servers: frozenset[str] = frozenset()
    full_servers: frozenset[str] = frozenset()
    sent_attempts: int = 0
    idle_reset_seen: bool = False
    failed_connects: int = 0
    may_have_run: bool = False
    failure: AttemptFailure | None = None
    response: BufferedResponse | None = None
    statement: ServerStatement = ServerStatement()


class RequestRunner:
    """Chooses backend servers, sends the request and decides on retries.

    :param connection_limit: returns how many connections this instance may
        open to one server of a service.
    :param cold_requests_per_s: returns how many requests per second a server
        of a service can take just after its start.
    """

    def __init__(
        self,
        *,
        placement: Placement,
        forwarder: Forwarder,
        retry_budget: FleetRetryBudget,
        crash_tracker: CrashTracker,
        permission_check: PermissionCheck,
        recorder: StatementRecorder,
        connection_limit: Callable[[str], int],
        cold_requests_per_s: Callable[[str], float],
        now_s: Callable[[], float],
        byte_counts: ByteCounts,
    ) -> None:
        self._placement = placement
        self._byte_counts = byte_counts
        self._forwarder = forwarder
        self._retry_budget = retry_budget
        self._crash_tracker = crash_tracker
        self._permission_check = permission_check
        self._recorder = recorder
        self._connection_limit = connection_limit
        self._cold_requests_per_s = cold_requests_per_s
        self._now_s = now_s
        self._parser = StatementParser(forwarder.settings.names)

    def run(
        self, request: AdmittedRequest, attempts: list[AttemptRecord]
    ) -> BufferedResponse:
        """Return the response of a backend server.

        :param attempts: list to which a record of each attempt is appended.
        :raises RefusalError: if no server responded.
        """
        self._retry_budget.record_request(self._now_s(), request.service)
        with ResponseOwner() as owner:
            response = self._run_attempts(
                request, _Progress(owner=owner), attempts
            )
            # Whoever iterates over the body closes it.
            owner.hand_over()
        return response

    def _run_attempts(
        self,
        request: AdmittedRequest,
        progress: _Progress,
        attempts: list[AttemptRecord],
    ) -> BufferedResponse:
        while True:
            if not self._check_permission(request, progress):
                return self._give_up(request, progress, None)
            placement_request = self._placement_request(request, progress)
            placed = self._placement.choose(
                self._now_s(),
                placement_request,
                self._cold_requests_per_s(request.service),
            )
            if isinstance(placed, PlacementRefused):
                return self._give_up(request, progress, placed)
            self._run_attempt(
                request, placement_request, placed, progress, attempts
            )
            if progress.response is not None and not self._is_server_error(
                progress
            ):
                return progress.response
            if not self._may_retry(request, progress):
                return self._give_up(request, progress, None)

    def _check_permission(
        self, request: AdmittedRequest, progress: _Progress
    ) -> bool:
        """Return whether the request may still be sent.

        :raises RefusalError: if it may not, and it was not sent before.
        """
        code = self._permission_check.refusal_code(request)
        if code is None:
            return True
        if progress.may_have_run or progress.response is not None:
            return False
        raise refusal_error(
            code, request.request_id, retry_after_s=STALE_RETRY_AFTER_S
        )

    def _placement_request(
        self, request: AdmittedRequest, progress: _Progress
    ) -> PlacementRequest:
        return PlacementRequest(
            route=request.route,
            service=request.service,
            affinity_key=request.affinity_key,
            time_left_s=max(0.0, request.deadline_s - self._now_s()),
            home_regions=request.home_regions,
            tried_servers=progress.tried_servers,
            full_servers=progress.full_servers,
            body_bytes=len(request.body.prefix),
            rank=request.rank,
            workspace=request.workspace,
            is_returning=request.is_returning,
        )

    def _run_attempt(
        self,
        request: AdmittedRequest,
        placement_request: PlacementRequest,
        placed: Placed,
        progress: _Progress,
        attempts: list[AttemptRecord],
    ) -> None:
        server = placed.server
        started_s = self._now_s()
        load_description = self._placement.load_of(server).describe(started_s)
        is_bound = bool(request.home_regions)
        self._placement.request_started(server, is_bound=is_bound)
        is_streaming = False
        outcome = "interrupted"
        try:
            result = self._forwarder.attempt(
                self._forward_request(request, placed),
                server.address,
                request.deadline_s + RESPONSE_MARGIN_S,
                connection_limit=self._connection_limit(request.service),
                new_connection=bool(progress.tried_servers)
                or progress.idle_reset_seen,
            )
            match result:
                case Ok(response):
                    progress.owner.own(response)
                    outcome, is_streaming = self._handle_response(
                        request,
                        placement_request,
                        placed,
                        started_s,
                        response,
                        progress,
                    )
                case Err(failure):
                    outcome = failure.kind.name.lower()
                    self._handle_failure(
                        request, placed, started_s, failure, progress
                    )
        finally:
            if not is_streaming:
                self._placement.request_ended(server, is_bound=is_bound)
            attempts.append(
                AttemptRecord(
                    server=server.server_id,
                    region=server.region,
                    choice=placed.reason,
                    load=load_description,
                    predicted_ms=int(placed.current_s * 1000),
                    place=placed.rank,
                    objects_since=placed.objects_since,
                    speed_age_ms=placed.machine_speed_age_ms,
                    outcome=outcome,
                    took_ms=int((self._now_s() - started_s) * 1000),
                    reported=progress.statement.load_text,
                    limit=progress.statement.limit_text,
                )
            )

    def _handle_response(
        self,
        request: AdmittedRequest,
        placement_request: PlacementRequest,
        placed: Placed,
        started_s: float,
        response: UpstreamResponse,
        progress: _Progress,
    ) -> tuple[str, bool]:
        """Handle a response whose head has arrived.

        :returns: the outcome for the log, and whether the body is still being
            streamed, so that the request ends only with the body.
        """
        progress.tried_servers |= {placed.server.server_id}
        progress.sent_attempts += 1
        progress.may_have_run = True
        now_s = self._now_s()
        load = self._placement.load_of(placed.server)
        progress.statement = self._parser.parse(
            response.headers, response.status
        )
        self._recorder.record(now_s, placed.server, progress.statement)
        try:
            buffered = buffer_response(
                response,
                buffered_by_s=max(
                    now_s + MIN_TIME_LEFT_S,
                    request.deadline_s + RESPONSE_MARGIN_S,
                ),
                end_s=request.deadline_s + STREAM_MARGIN_S,
                holding=request.body.holding,
            )
        except ResponseTruncatedError as error:
            response.body.close()
            load.record_failure(self._now_s())
            progress.failure = AttemptFailure(
                kind=FailureKind.MALFORMED_ANSWER,
                may_have_run=True,
                message=error.message,
            )
            return "answer_truncated", False
        progress.response = buffered
        if buffered.status >= 500:
            load.record_failure(now_s)
            return f"status_{buffered.status}", False
        self._crash_tracker.record_completed(request.digest)
        self._placement.record_response(
            now_s,
            placement_request,
            placed,
            now_s - started_s,
            progress.statement.work_factor or 1.0,
        )
        if not isinstance(buffered.pieces, list):
            stream = NotifyingStream(
                buffered.pieces,
                lambda: self._placement.request_ended(
                    placed.server, is_bound=bool(request.home_regions)
                ),
            )
            progress.response = BufferedResponse(
                status=buffered.status,
                status_line=buffered.status_line,
                headers=buffered.headers,
                pieces=stream,
            )
            return "answering", True
        return "answered", False

    def _handle_failure(
        self,
        request: AdmittedRequest,
        placed: Placed,
        started_s: float,
        failure: AttemptFailure,
        progress: _Progress,
    ) -> None:
        now_s = self._now_s()
        load = self._placement.load_of(placed.server)
        progress.failure = failure
        progress.statement = self._parser.parse(
            list(failure.headers), failure.status
        )
        if failure.reset_when_idle:
            # Only the pooled connection was stale. The server may be healthy
            # and have the affinity key cached, so it may be tried again.
            progress.idle_reset_seen = True
        else:
            progress.tried_servers |= {placed.server.server_id}
        progress.may_have_run = progress.may_have_run or failure.may_have_run
        match failure.kind:
            case FailureKind.CONNECT_FAILED:
                progress.failed_connects += 1
                load.record_connection_failure(now_s)
            case FailureKind.CONNECTION_LIMIT | FailureKind.PERMISSION_EXPIRED:
                progress.failed_connects += 1
            case FailureKind.MISDIRECTED:
                progress.sent_attempts += 1
                load.record_connection_failure(now_s)
            case FailureKind.REFUSED_NOT_RUN:
                progress.sent_attempts += 1
                self._recorder.record(now_s, placed.server, progress.statement)
                load.record_failure(now_s)
                if load.record_refusal(now_s):
                    progress.full_servers |= {placed.server.server_id}
            case FailureKind.CLOSED:
                progress.sent_attempts += failure.may_have_run
                self._handle_closed_connection(
                    request, placed, started_s, failure
                )
            case FailureKind.MALFORMED_ANSWER | FailureKind.SILENT:
                progress.sent_attempts += 1
                load.record_failure(now_s)
            case FailureKind.DEADLINE:
                progress.sent_attempts += failure.may_have_run
                load.record_overdue(now_s, now_s - started_s, placed.current_s)
            case _:
                progress.sent_attempts += failure.may_have_run

    def _handle_closed_connection(
        self,
        request: AdmittedRequest,
        placed: Placed,
        started_s: float,
        failure: AttemptFailure,
    ) -> None:
        """Handle a connection that closed before any response."""
        now_s = self._now_s()
        load = self._placement.load_of(placed.server)
        if not failure.reset_when_idle:
            load.record_failure(now_s)
        if not failure.looks_like_crash:
            return
        if not failure.reset_when_idle:
            load.record_connection_failure(now_s)
        if not failure.reset_when_idle or not request.route.idempotent:
            # An idempotent request is retried on a new connection. Only that
            # attempt shows whether the request crashes servers.
            self._crash_tracker.record_crash(
                request.digest, placed.server.server_id, started_s
            )

    def _forward_request(
        self, request: AdmittedRequest, placed: Placed
    ) -> ForwardRequest:
        head = request.head
        return ForwardRequest(
            request_id=request.request_id,
            method=head.method,
            target=head.target,
            host=head.host,
            headers=head.headers,
            body=request.body,
            idempotent=request.route.idempotent,
            cancellation=request.caller.cancellation,
            server_id=placed.server.server_id,
            workspace=request.workspace,
            work_until_s=request.deadline_s,
            permitted_until_s=self._permission_check.permitted_until_s(
                request
            ),
            on_traffic=partial(
                self._byte_counts.record_attempt, placed.server, placed.reason
            ),
        )

    def _is_server_error(self, progress: _Progress) -> bool:
        response = progress.response
        return response is not None and response.status >= 500

    def _may_retry(
        self, request: AdmittedRequest, progress: _Progress
    ) -> bool:
        if (
            request.caller.is_disconnected
            or not request.body.can_send_from_start
        ):
            return False
        if progress.may_have_run and not request.route.idempotent:
            return False
        failure = progress.failure
        if failure is not None and failure.kind in (
            FailureKind.CALLER_GONE,
            FailureKind.BODY,
            FailureKind.KEY_IN_PATH,
            FailureKind.UNSENDABLE_NAME,
            FailureKind.DEADLINE,
        ):
            return False
        now_s = self._now_s()
        if request.deadline_s - now_s < MIN_TIME_LEFT_S:
            return False
        if self._crash_tracker.is_blocked(request.digest):
            return False
        if progress.sent_attempts >= request.route.max_attempts:
            return False
        if progress.failed_connects > MAX_CONNECT_RETRIES:
            return False
        if not progress.sent_attempts:
            return True
        return self._retry_budget.try_acquire(now_s, request.service)

    def _give_up(
        self,
        request: AdmittedRequest,
        progress: _Progress,
        refused: PlacementRefused | None,
    ) -> BufferedResponse:
        """Return the last response of a server, or refuse the request.

        :raises RefusalError: if no server responded.
        """
        if progress.response is not None:
            return progress.response
        raise self._refusal(request, progress, refused)

    def _refusal(
        self,
        request: AdmittedRequest,
        progress: _Progress,
        refused: PlacementRefused | None,
    ) -> RefusalError:
        failure = progress.failure
        retry_after_s = refused.retry_after_s if refused else None
        if failure is not None and failure.refused_not_run:
            # Servers that were tried are left out of the choice, so that it
            # does not know when one of them takes requests again.
            earliest = self._placement.refuse_service(
                self._now_s(),
                request.service,
                self._cold_requests_per_s(request.service),
            )
            retry_after_s = max(retry_after_s or 0.0, earliest.retry_after_s)
        code = "no-backend-server"
        if failure is not None:
            code = failure.code
        elif refused is not None:
            code = _REFUSAL_CODES[refused.reason]
        run = OUTCOME_UNKNOWN if progress.may_have_run else NOT_RUN
        return refusal_error(
            code,
            request.request_id,
            run=run,
            retry_after_s=retry_after_s,
            detail=refused.describe() if refused else "",
        )
