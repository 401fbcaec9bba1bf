"""Runs an admitted request: choice of target, attempts and retries."""

import itertools
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from result import Err, Ok

from verbenad.attempt_failure import AttemptFailure, FailureKind
from verbenad.call import Call
from verbenad.crash_reports import CrashReports
from verbenad.crash_watch import CrashWatch
from verbenad.decision_log import (
    CandidateDecision,
    DecisionLog,
    RoutingDecision,
)
from verbenad.dispatcher import Dispatcher
from verbenad.forward_request import ForwardRequest
from verbenad.forwarder import Forwarder
from verbenad.link_limiter import LinkLimiter
from verbenad.link_transfer import LinkTransfer
from verbenad.refusal import NOT_RUN, OUTCOME_UNKNOWN
from verbenad.refusal_error import RefusalError, refusal_error
from verbenad.response_stream import ResponseStream
from verbenad.suspect_lock import SuspectLock
from verbenad.upstream_response import UpstreamResponse
from verbenaworks.attempt_outcome import (
    Cancelled,
    Failed,
    Outcome,
    RefusedLeaving,
    RefusedOverload,
)
from verbenaworks.choice_result import Choice, ChoiceRequest, ExcludedTarget
from verbenaworks.crash_ledger import CrashRefused, NoCrash, Suspect
from verbenaworks.queue_result import Shed, ShedReason, Started
from verbenaworks.retry_budget import RetryBudget
from verbenaworks.target import TargetInfo

MAX_ATTEMPTS = 3
# A request that crashed one backend server is tried on at most one other.
MAX_CRASHES_PER_REQUEST = 2
# Timeout for the first byte on a reused connection, in multiples of the usual
# service time. With an upper bound in seconds, every response of a slow
# service would time out.
FIRST_BYTE_TIMEOUT_FACTOR = 3.0
MIN_FIRST_BYTE_TIMEOUT_S = 0.2
# The rest of the time is left for an attempt on a new connection.
MAX_FIRST_BYTE_TIMEOUT_SHARE = 0.5

_SHED_CODES = {
    ShedReason.DEADLINE: "overloaded",
    ShedReason.QUEUE_FULL: "overloaded",
    ShedReason.NO_TARGET: "no-backend-server",
}


@dataclass(frozen=True, kw_only=True, slots=True)
class RunningResponse:
    """A response that is being passed on.

    :ivar target: name of the backend server that sent it.
    """

    response: UpstreamResponse
    stream: ResponseStream
    target: str


@dataclass(frozen=True, kw_only=True, slots=True)
class _Attempt:
    choice: Choice
    digest: str
    serial: int


class CallRunner:
    """Runs requests on backend servers.

    :param dispatchers: by service name.
    :param usual_service_time_s: usual service time of a service, or None.
    :param avoid: called with a target on which an attempt failed.
    :param links: links to other regions, if they are limited.
    :param check: called before each attempt; raises RefusalError if the
        request may no longer run.
    """

    def __init__(
        self,
        *,
        dispatchers: Mapping[str, Dispatcher],
        forwarder: Forwarder,
        retries: Callable[[str], RetryBudget],
        crashes: CrashReports,
        log: DecisionLog,
        usual_service_time_s: Callable[[str], float | None],
        connection_limit: Callable[[TargetInfo], int],
        avoid: Callable[[TargetInfo], None],
        check: Callable[[Call], None],
        now_s: Callable[[], float],
        links: LinkLimiter | None = None,
    ) -> None:
        self._links = links
        self._dispatchers = dispatchers
        self._forwarder = forwarder
        self._retry_budget = retries
        self._crashes = crashes
        self._crash_watch = CrashWatch(crashes)
        self._suspect_lock = SuspectLock()
        self._attempt_serials = itertools.count()
        self._log = log
        self._usual_service_time_s = usual_service_time_s
        self._connection_limit = connection_limit
        self._avoid = avoid
        self._check = check
        self._now_s = now_s

    def run(self, call: Call, digest: str) -> RunningResponse:
        """Return the response of a backend server.

        :raises RefusalError: if there is none.
        """
        if isinstance(self._assess(call, digest), NoCrash):
            return self._run(call, digest)
        wait_s = (call.deadline_s - self._now_s()) / 2
        with self._suspect_lock.acquire(call.request_id, wait_s):
            # Meanwhile, another copy of the request may have crashed a
            # backend server.
            self._assess(call, digest)
            running = self._run(call, digest)
        self._crashes.record_completion(digest)
        return running

    def _assess(self, call: Call, digest: str) -> NoCrash | Suspect:
        match self._crashes.assess(digest):
            case CrashRefused(retry_after_s=retry_after_s):
                raise refusal_error(
                    "crash-suspect",
                    call.request_id,
                    retry_after_s=retry_after_s,
                )
            case assessment:
                return assessment

    def _run(self, call: Call, digest: str) -> RunningResponse:
        retry_budget = self._retry_budget(call.service.name)
        retry_budget.request(self._now_s())
        tried: frozenset[str] = frozenset()
        may_have_run = False
        crashes = 0
        for attempt_number in range(1, MAX_ATTEMPTS + 1):
            try:
                choice = self._choose(call, tried, attempt_number)
                result = self._attempt(
                    call, digest, choice, attempt_number > 1
                )
            except RefusalError as refusal:
                if may_have_run:
                    raise _with_unknown_outcome(refusal, call) from refusal
                raise
            if isinstance(result, RunningResponse):
                return result
            failure, outcome = result
            may_have_run = may_have_run or failure.may_have_run
            crashes += failure.looks_like_crash
            # Neither a timeout on a reused connection nor a full link is a
            # fault of the target.
            if not (failure.silent or failure.kind is FailureKind.LINK_FULL):
                tried |= {choice.target.name}
                self._avoid(choice.target)
            if (
                attempt_number == MAX_ATTEMPTS
                or crashes == MAX_CRASHES_PER_REQUEST
                or not self._may_retry(call, failure, outcome, retry_budget)
            ):
                break
        raise refusal_error(
            failure.code,
            call.request_id,
            run=OUTCOME_UNKNOWN if may_have_run else NOT_RUN,
            retry_after_s=failure.retry_after_s,
        )

    def _choose(
        self, call: Call, tried: frozenset[str], attempt_number: int
    ) -> Choice:
        dispatcher = self._dispatchers.get(call.service.name)
        if dispatcher is None:
            raise refusal_error("no-backend-server", call.request_id)
        request = ChoiceRequest(
            # Callers may send two concurrent requests with the same id.
            request_id=f"{call.request_id}/{next(self._attempt_serials)}",
            service=call.service.name,
            workspace=call.workspace,
            deadline_s=call.deadline_s,
            idempotent=call.idempotent,
            tried=tried,
        )
        result = dispatcher.acquire(request)
        self._log.record(_routing_decision(call, result, attempt_number))
        if isinstance(result, Started):
            return result.choice
        raise refusal_error(
            _SHED_CODES[result.reason],
            call.request_id,
            retry_after_s=result.retry_after_s,
        )

    def _attempt(
        self, call: Call, digest: str, choice: Choice, is_retry: bool
    ) -> RunningResponse | tuple[AttemptFailure, Outcome]:
        target = choice.target
        attempt = _Attempt(
            choice=choice,
            digest=digest,
            serial=self._crash_watch.record_start(target.name, digest),
        )
        host, _, port = target.address.rpartition(":")
        try:
            self._check(call)
            result = self._forwarder.attempt(
                self._make_forward_request(call, choice),
                (host, int(port)),
                call.deadline_s,
                connection_limit=self._connection_limit(target),
                first_byte_timeout_s=self._first_byte_timeout_s(call),
                new_connection=is_retry,
            )
        except BaseException:
            self._end_attempt(call, attempt, Cancelled())
            raise
        match result:
            case Ok(response):
                stream = ResponseStream(
                    response,
                    lambda outcome: self._end_attempt(call, attempt, outcome),
                )
                try:
                    self._record_body_sizes(call, choice, response.length)
                except BaseException:
                    stream.close()
                    raise
                return RunningResponse(
                    response=response, stream=stream, target=target.name
                )
            case Err(failure):
                outcome = _outcome(failure)
                if failure.looks_like_crash:
                    self._crash_watch.record_crash(target.name, attempt.serial)
                self._end_attempt(call, attempt, outcome)
                return failure, outcome

    def _record_body_sizes(
        self, call: Call, choice: Choice, response_bytes: int | None
    ) -> None:
        """Record the known sizes of bodies that are not charged to a link."""
        if self._links is None or choice.link is not None:
            return
        body = call.body
        request_bytes = body.content_length
        if body.replayable:
            request_bytes = len(body.prefix)
        self._links.sizes.record(
            call.service.name, request_bytes, response_bytes
        )

    def _make_forward_request(
        self, call: Call, choice: Choice
    ) -> ForwardRequest:
        link = None
        if self._links is not None and choice.link is not None:
            link = LinkTransfer(
                self._links, choice.link, call.caller.cancellation
            )
        return ForwardRequest(
            request_id=call.request_id,
            method=call.head.method,
            target=call.target,
            host=call.service.host or call.head.host,
            headers=call.head.headers,
            body=call.body,
            idempotent=call.idempotent,
            cancellation=call.caller.cancellation,
            link=link,
        )

    def _first_byte_timeout_s(self, call: Call) -> float:
        usual_service_time_s = self._usual_service_time_s(call.service.name)
        time_left_s = call.deadline_s - self._now_s()
        max_timeout_s = MAX_FIRST_BYTE_TIMEOUT_SHARE * time_left_s
        if usual_service_time_s is None:
            return max_timeout_s
        return min(
            max(
                FIRST_BYTE_TIMEOUT_FACTOR * usual_service_time_s,
                MIN_FIRST_BYTE_TIMEOUT_S,
            ),
            max_timeout_s,
        )

    def _may_retry(
        self,
        call: Call,
        failure: AttemptFailure,
        outcome: Outcome,
        retry_budget: RetryBudget,
    ) -> bool:
        if failure.kind in (
            FailureKind.CALLER_GONE,
            FailureKind.BODY,
            FailureKind.KEY_IN_PATH,
            FailureKind.UNSENDABLE_NAME,
            FailureKind.DEADLINE,
            FailureKind.LINK_FULL,
        ):
            return False
        if not call.body.can_send_from_start:
            return False
        now_s = self._now_s()
        return now_s < call.deadline_s and retry_budget.try_retry(
            now_s, outcome, idempotent=call.idempotent
        )

    def _end_attempt(
        self, call: Call, attempt: _Attempt, outcome: Outcome
    ) -> None:
        self._crash_watch.record_end(
            attempt.choice.target.name, attempt.serial
        )
        self._dispatchers[call.service.name].finish(attempt.choice, outcome)


def _outcome(failure: AttemptFailure) -> Outcome:
    match failure.kind:
        case FailureKind.CONNECT_FAILED:
            return RefusedLeaving()
        case FailureKind.REFUSED_NOT_RUN | FailureKind.CONNECTION_LIMIT:
            return RefusedOverload(retry_after_s=failure.retry_after_s or 0.0)
        case (
            FailureKind.CALLER_GONE
            | FailureKind.BODY
            | FailureKind.KEY_IN_PATH
            | FailureKind.UNSENDABLE_NAME
            | FailureKind.LINK_FULL
        ):
            return Cancelled()
        case _:
            return Failed(bytes_sent=failure.may_have_run)


def _with_unknown_outcome(refusal: RefusalError, call: Call) -> RefusalError:
    """Return the same refusal, stating that the request may have run."""
    original = refusal.refusal
    return refusal_error(
        original.code,
        call.request_id,
        run=OUTCOME_UNKNOWN,
        retry_after_s=original.retry_after_s,
    )


def _routing_decision(
    call: Call, result: Started | Shed, attempt_number: int
) -> RoutingDecision:
    choice = refusal = None
    excluded: tuple[ExcludedTarget, ...] = ()
    if isinstance(result, Started):
        choice = result.choice.target.name
        excluded = result.choice.excluded
    else:
        refusal = _SHED_CODES[result.reason]
        excluded = result.excluded
    return RoutingDecision(
        request_id=call.request_id,
        workspace=call.workspace or None,
        service=call.service.name,
        candidates=tuple(
            CandidateDecision(target=name, excluded=reason)
            for name, reason in excluded
        ),
        choice=choice,
        refusal=refusal,
        attempt=attempt_number,
        config_revision=call.config_revision,
    )
