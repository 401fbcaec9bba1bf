"""WSGI application that serves callers' requests on a platform."""

import contextlib
import secrets
import zlib
from collections.abc import Callable, Iterable
from datetime import UTC, datetime
from hashlib import blake2b
from random import Random
from typing import Any

from verbenad.caller_connection import CallerConnection
from verbenad.field_names import FieldNames
from verbenad.held_bytes import REQUEST_BYTES
from verbenad.protocol_errors import MEMORY_RETRY_AFTER_S, BodyError
from verbenad.refusal import NOT_RUN, Refusal, make_refusal
from verbenad.refusal_error import RefusalError, refusal_error
from verbenad.request_body import RequestBody
from verbenad.request_head import RequestHead
from verbenad.steering.admitted_request import AdmittedRequest
from verbenad.steering.buffered_response import BufferedResponse
from verbenad.steering.crash_tracker import CrashTracker
from verbenad.steering.refusal_format import RefusalFormat
from verbenad.steering.request_record import RequestRecord
from verbenad.steering.request_runner import (
    STALE_RETRY_AFTER_S,
    RequestRunner,
)
from verbenad.steering.request_trace import RequestTrace
from verbenad.steering.shutdown_plan import ShutdownPlan
from verbenad.steering.steering_state import SteeringState
from verbenaworks.steering.competing_services import effective_rank
from verbenaworks.steering.home_regions import home_regions
from verbenaworks.steering.returning_requests import ReturningRequests
from verbenaworks.steering.route import Route
from verbenaworks.steering.steering_config import SteeringConfig
from verbenaworks.steering.workspace_rate_limiter import WorkspaceRateLimiter
from verbenaworks.steering.workspace_spec import WorkspaceSpec

StartResponse = Callable[..., Any]

# Bodies up to this size are received before a backend server is chosen. A slow
# caller then occupies no slot, and the request can be sent to another server.
MAX_PREFETCH_BYTES = 1 << 20
# Only this much of the body counts when a resent request is recognised.
MAX_DIGEST_BODY_BYTES = 65536
# A longer deadline is ignored. The timeout of the route then applies, as it
# does for requests without a deadline.
MAX_DEADLINE_DIGITS = 9
# Backend servers need some seconds to restart after a crash.
CRASH_RETRY_AFTER_S = 5.0
# Refusals for lack of capacity, after which callers return.
CAPACITY_CODES = frozenset({"overloaded", "backend-refused"})


class SteeringGateway:
    """Authenticates, limits and routes requests.

    :param names: header fields between callers, instances and servers.
    :param affinity_cookie: name of the cookie that carries the affinity key.
    :param admit_to_rate: returns whether a request of a workspace fits into
        the workspace's rate, and counts it if so.
    :param shutdown: returns when the instance stops to take requests.
    :param record_arrival: counts a request as load of this instance.
    :param record_body: counts the bytes of a body as load of this instance.
    :param log_request: writes the log line of a request.
    """

    def __init__(
        self,
        *,
        names: FieldNames,
        affinity_cookie: str,
        state: SteeringState,
        rate_limiter: WorkspaceRateLimiter,
        admit_to_rate: Callable[[str], bool],
        runner: RequestRunner,
        crash_tracker: CrashTracker,
        shutdown: Callable[[], ShutdownPlan],
        record_arrival: Callable[[], None],
        record_body: Callable[[int], None],
        log_request: Callable[[RequestRecord], None],
        now_s: Callable[[], float],
        random: Random,
    ) -> None:
        self._names = names
        self._key_field = names.key.lower()
        self._id_field = names.request_id.lower()
        self._deadline_field = names.deadline_ms.lower()
        self._cookie_prefix = f"{affinity_cookie}="
        self._refusal_format = RefusalFormat(names=names)
        self._state = state
        self._rate_limiter = rate_limiter
        self._admit_to_rate = admit_to_rate
        self._runner = runner
        self._crash_tracker = crash_tracker
        self._shutdown = shutdown
        self._record_arrival = record_arrival
        self._record_body = record_body
        self._log_request = log_request
        self._now_s = now_s
        self._random = random
        self._returning = ReturningRequests()

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        started_s = self._now_s()
        head: RequestHead = environ["verbena.head"]
        ids = head.values(self._id_field)
        request_id = ids[0] if len(ids) == 1 else secrets.token_hex(8)
        trace = RequestTrace(request_id=request_id, started_s=started_s)
        try:
            request = self._admit(environ, head, trace)
            response = self._run(request, trace)
        except RefusalError as exc:
            trace.detail = trace.detail or exc.detail
            return self._refuse(exc.refusal, start_response, trace)
        except BodyError as error:
            refusal = make_refusal(
                error.code,
                run=NOT_RUN,
                request_id=request_id,
                message=error.message,
                retry_after_s=error.retry_after_s,
            )
            return self._refuse(refusal, start_response, trace)
        with contextlib.ExitStack() as on_failure:
            on_failure.callback(response.close)
            self._log_outcome(trace, response.status)
            start_response(response.status_line, response.headers)
            on_failure.pop_all()
        request.body.release()
        request.body.holding.set_droppable(True)
        return response.pieces

    def _admit(
        self,
        environ: dict[str, Any],
        head: RequestHead,
        trace: RequestTrace,
    ) -> AdmittedRequest:
        """Check a request and return it with its route and workspace.

        :raises RefusalError: if it may not run.
        """
        request_id = trace.request_id
        self._record_arrival()
        body: RequestBody = environ["wsgi.input"]
        if not body.holding.try_grow(REQUEST_BYTES):
            raise refusal_error(
                "memory-full", request_id, retry_after_s=MEMORY_RETRY_AFTER_S
            )
        config = self._state.config
        if config is None:
            raise refusal_error(
                "not-fresh",
                request_id,
                retry_after_s=STALE_RETRY_AFTER_S,
            )
        if not self._shutdown().takes_new(trace.started_s):
            raise refusal_error("leaving", request_id, retry_after_s=0.1)
        is_fresh = self._state.freshness.is_valid(trace.started_s)
        path = head.target.partition("?")[0]
        route = config.match_route(head.host, path)
        if route is None:
            if not is_fresh:
                raise refusal_error(
                    "not-fresh",
                    request_id,
                    retry_after_s=STALE_RETRY_AFTER_S,
                )
            raise refusal_error("unknown-service", request_id)
        trace.route = route.name
        workspace = self._authenticate(
            config, route, head, request_id, is_fresh
        )
        stated_s = self._stated_s(route, head)
        trace.deadline_s = trace.started_s + (
            route.timeout_s if stated_s is None else stated_s
        )
        if not self._shutdown().can_finish(
            route, trace.started_s, trace.deadline_s
        ):
            raise refusal_error("leaving", request_id, retry_after_s=0.1)
        if workspace is not None:
            self._enforce_rate(workspace.name, trace)
        return self._make_request(
            environ, head, trace, config, route, workspace
        )

    def _enforce_rate(self, workspace: str, trace: RequestTrace) -> None:
        trace.workspace = workspace
        if self._admit_to_rate(workspace):
            trace.charged_at_s = self._now_s()
            return
        trace.detail = self._rate_limiter.describe(trace.started_s, workspace)
        raise refusal_error(
            "rate-exceeded",
            trace.request_id,
            retry_after_s=self._rate_limiter.retry_after_s(workspace)
            * self._random.uniform(0.5, 1.0),
        )

    def _authenticate(
        self,
        config: SteeringConfig,
        route: Route,
        head: RequestHead,
        request_id: str,
        is_fresh: bool,
    ) -> WorkspaceSpec | None:
        if not config.needs_key(route):
            return None
        if not is_fresh:
            raise refusal_error(
                "not-fresh",
                request_id,
                retry_after_s=STALE_RETRY_AFTER_S,
            )
        keys = head.values(self._key_field)
        if not keys:
            raise refusal_error("key-missing", request_id)
        workspace = config.workspace_of(keys[0]) if len(keys) == 1 else None
        if workspace is None:
            raise refusal_error("key-unknown", request_id)
        return workspace

    def _make_request(
        self,
        environ: dict[str, Any],
        head: RequestHead,
        trace: RequestTrace,
        config: SteeringConfig,
        route: Route,
        workspace: WorkspaceSpec | None,
    ) -> AdmittedRequest:
        body: RequestBody = environ["wsgi.input"]
        caller: CallerConnection = environ["verbena.caller"]
        if body.exists:
            # A body that is not here by the deadline cannot be served.
            body.limit_time(trace.deadline_s - self._now_s())
            body.prefetch(MAX_PREFETCH_BYTES)
        self._record_body(len(body.prefix))
        trace.service = self._choose_service(route)
        trace.affinity_key = self._affinity_key(route, head)
        digest = _request_digest(head, trace.workspace, body)
        return AdmittedRequest(
            request_id=trace.request_id,
            route=route,
            service=trace.service,
            workspace=trace.workspace,
            affinity_key=trace.affinity_key,
            home_regions=home_regions(route, workspace),
            head=head,
            body=body,
            caller=caller,
            started_s=trace.started_s,
            deadline_s=trace.deadline_s,
            digest=digest,
            config_version=config.version,
            rank=effective_rank(route, workspace),
            is_returning=self._returning.is_returning(
                trace.started_s,
                digest,
                route.name,
                self._stated_s(route, head),
            ),
        )

    def _run(
        self, request: AdmittedRequest, trace: RequestTrace
    ) -> BufferedResponse:
        if self._crash_tracker.is_blocked(request.digest):
            raise refusal_error(
                "crash-pause",
                request.request_id,
                retry_after_s=CRASH_RETRY_AFTER_S,
            )
        try:
            return self._runner.run(request, trace.attempts)
        except RefusalError as exc:
            if exc.refusal.code in CAPACITY_CODES:
                self._returning.record_refusal(
                    self._now_s(),
                    request.digest,
                    retry_after_s=exc.refusal.retry_after_s or 0.0,
                    deadline_s=request.deadline_s,
                )
            raise

    def _refuse(
        self,
        refusal: Refusal,
        start_response: StartResponse,
        trace: RequestTrace,
    ) -> Iterable[bytes]:
        refusal = self._refusal_format.with_accurate_status(refusal)
        if trace.charged_at_s is not None and refusal.run is NOT_RUN:
            self._rate_limiter.refund(
                self._now_s(), trace.workspace, trace.charged_at_s
            )
        self._log_outcome(trace, refusal.status, refusal)
        body = refusal.body()
        start_response(
            refusal.status_line, self._refusal_format.headers(refusal, body)
        )
        return [body]

    def _choose_service(self, route: Route) -> str:
        if len(route.destinations) == 1:
            return route.destinations[0].service
        weights = [destination.weight for destination in route.destinations]
        return self._random.choices(route.destinations, weights)[0].service

    def _affinity_key(self, route: Route, head: RequestHead) -> str:
        if not route.sticky:
            return ""
        for value in head.values("cookie"):
            for pair in value.split(";"):
                pair = pair.strip()
                if pair.startswith(self._cookie_prefix):
                    return pair[len(self._cookie_prefix) :]
        return ""

    def _stated_s(self, route: Route, head: RequestHead) -> float | None:
        """Return the deadline that the caller states; none if it does not.

        A caller with a longer one waits for the route's timeout.
        """
        values = head.values(self._deadline_field)
        if (
            len(values) == 1
            and values[0].isdecimal()
            and len(values[0]) <= MAX_DEADLINE_DIGITS
        ):
            return min(route.timeout_s, int(values[0]) / 1000)
        return None

    def _log_outcome(
        self,
        trace: RequestTrace,
        status: int,
        refusal: Refusal | None = None,
    ) -> None:
        now_s = self._now_s()
        config = self._state.config
        age_s = min(self._state.freshness.age_s(now_s), 1e6)
        self._log_request(
            RequestRecord(
                time=datetime.now(UTC).isoformat(timespec="milliseconds"),
                channel="verbenad.request",
                request_id=trace.request_id,
                route=trace.route,
                workspace=trace.workspace,
                service=trace.service,
                object_digest=_object_digest(trace.affinity_key),
                config_version=config.version if config else 0,
                config_age_ms=int(age_s * 1000),
                left_ms=int(max(0.0, trace.deadline_s - now_s) * 1000),
                attempts=tuple(trace.attempts),
                status=status,
                code=refusal.code if refusal else "",
                run=refusal.run.text if refusal else "ran",
                detail=trace.detail,
                took_ms=int((now_s - trace.started_s) * 1000),
            )
        )


def _object_digest(affinity_key: str) -> str:
    """Return a short text for the log; the key itself is the caller's."""
    if not affinity_key:
        return ""
    return f"{zlib.crc32(affinity_key.encode('utf-8', 'replace')):08x}"


def _request_digest(
    head: RequestHead, workspace: str, body: RequestBody
) -> str:
    digest = blake2b(digest_size=12)
    for text in (workspace, head.host, head.method, head.target):
        digest.update(text.encode("latin-1", "replace"))
        digest.update(b"\0")
    digest.update(body.prefix[:MAX_DIGEST_BODY_BYTES])
    return digest.hexdigest()
