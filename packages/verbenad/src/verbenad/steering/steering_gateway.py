"""The application that callers meet on a platform."""

import secrets
from collections.abc import Callable, Iterable
from datetime import UTC, datetime
from hashlib import blake2b
from random import Random
from typing import Any

from verbenad.caller_connection import CallerConnection
from verbenad.field_names import FieldNames
from verbenad.protocol_errors import BodyError
from verbenad.refusal import NOT_RUN, Refusal, make_refusal
from verbenad.refusal_error import RefusalError, refusal_error
from verbenad.request_body import RequestBody
from verbenad.request_head import RequestHead
from verbenad.steering.crash_notes import CrashNotes
from verbenad.steering.held_answer import HeldAnswer
from verbenad.steering.refusal_format import RefusalFormat
from verbenad.steering.request_record import RequestRecord
from verbenad.steering.request_runner import RequestRunner
from verbenad.steering.request_trace import RequestTrace
from verbenad.steering.steered_call import SteeredCall
from verbenad.steering.steering_state import SteeringState
from verbenaworks.steering.route import Route
from verbenaworks.steering.steering_config import SteeringConfig
from verbenaworks.steering.workspace_rate_limiter import WorkspaceRateLimiter
from verbenaworks.steering.workspace_spec import WorkspaceSpec

StartResponse = Callable[..., Any]

# Bodies up to this size are received before a server is chosen: a slow
# sender then holds no slot, and the request can be sent to another server.
PREFETCH_BYTES = 1 << 20
# The part of a body that recognises a request that is sent again.
DIGEST_BYTES = 65536
# Callers that state no deadline wait as long as the route allows.
MAX_DEADLINE_DIGITS = 9
UNCONFIRMED_RETRY_S = 0.3
# Backend servers need some seconds to come back after a crash.
CRASH_PAUSE_S = 5.0


class SteeringGateway:
    """Serves requests to routes.

    :param names: header fields between callers, instances and servers.
    :param object_cookie: name of the cookie that names a request's object.
    :param take_rate: whether a request fits into its workspace's rate.
    :param refuses_new: whether the instance is about to stop.
    :param served: counts a request with its bytes.
    :param record: takes the log line of each request.
    """

    def __init__(
        self,
        *,
        names: FieldNames,
        object_cookie: str,
        state: SteeringState,
        rates: WorkspaceRateLimiter,
        take_rate: Callable[[str], bool],
        runner: RequestRunner,
        crashes: CrashNotes,
        refuses_new: Callable[[], bool],
        served: Callable[[int], None],
        record: Callable[[RequestRecord], None],
        now_s: Callable[[], float],
        random: Random,
    ) -> None:
        self._names = names
        self._key_field = names.key.lower()
        self._id_field = names.request_id.lower()
        self._deadline_field = names.deadline_ms.lower()
        self._cookie_prefix = f"{object_cookie}="
        self._format = RefusalFormat(names=names)
        self._state = state
        self._rates = rates
        self._take_from_rate = take_rate
        self._runner = runner
        self._crashes = crashes
        self._refuses_new = refuses_new
        self._served = served
        self._record = record
        self._now_s = now_s
        self._random = random

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
            call = self._admit(environ, head, trace)
            answer = self._run(call, trace)
        except RefusalError as end:
            return self._refuse(end.refusal, start_response, trace)
        except BodyError as error:
            refusal = make_refusal(
                error.code,
                run=NOT_RUN,
                request_id=request_id,
                message=error.message,
            )
            return self._refuse(refusal, start_response, trace)
        self._log(trace, answer.status)
        start_response(answer.status_line, answer.headers)
        return answer.pieces

    def _admit(
        self,
        environ: dict[str, Any],
        head: RequestHead,
        trace: RequestTrace,
    ) -> SteeredCall:
        """Return the request with its route, workspace and limits.

        :raises RefusalError: if it may not run.
        """
        request_id = trace.request_id
        config = self._state.config
        if config is None:
            raise refusal_error(
                "not-fresh", request_id, retry_after_s=UNCONFIRMED_RETRY_S
            )
        if self._refuses_new():
            raise refusal_error("leaving", request_id, retry_after_s=0.1)
        confirmed = self._state.confirmation.is_valid(trace.started_s)
        path = head.target.partition("?")[0]
        route = config.match_route(head.host, path)
        if route is None:
            if not confirmed:
                raise refusal_error(
                    "not-fresh", request_id, retry_after_s=UNCONFIRMED_RETRY_S
                )
            raise refusal_error("unknown-service", request_id)
        trace.route = route.name
        workspace = self._authenticate(
            config, route, head, request_id, confirmed
        )
        if workspace is not None:
            self._take_rate(workspace.name, trace)
        return self._call(environ, head, trace, config, route, workspace)

    def _take_rate(self, workspace: str, trace: RequestTrace) -> None:
        trace.workspace = workspace
        if self._take_from_rate(workspace):
            trace.rate_taken = True
            return
        trace.detail = self._rates.describe(trace.started_s, workspace)
        raise refusal_error(
            "rate-exceeded",
            trace.request_id,
            retry_after_s=self._rates.retry_after_s(workspace)
            * self._random.uniform(0.5, 1.0),
        )

    def _authenticate(
        self,
        config: SteeringConfig,
        route: Route,
        head: RequestHead,
        request_id: str,
        confirmed: bool,
    ) -> WorkspaceSpec | None:
        if route.public or not config.workspaces:
            return None
        if not confirmed:
            raise refusal_error(
                "not-fresh", request_id, retry_after_s=UNCONFIRMED_RETRY_S
            )
        keys = head.values(self._key_field)
        if not keys:
            raise refusal_error("key-missing", request_id)
        workspace = config.workspace_of(keys[0]) if len(keys) == 1 else None
        if workspace is None:
            raise refusal_error("key-unknown", request_id)
        return workspace

    def _call(
        self,
        environ: dict[str, Any],
        head: RequestHead,
        trace: RequestTrace,
        config: SteeringConfig,
        route: Route,
        workspace: WorkspaceSpec | None,
    ) -> SteeredCall:
        body: RequestBody = environ["wsgi.input"]
        caller: CallerConnection = environ["verbena.caller"]
        homes = route.home_regions
        if workspace is not None and workspace.home_regions:
            homes = _both(homes, workspace.home_regions)
        if body.exists:
            body.prefetch(PREFETCH_BYTES)
        self._served(len(body.prefix))
        trace.service = self._service(route)
        trace.until_s = trace.started_s + self._wait_s(route, head)
        return SteeredCall(
            request_id=trace.request_id,
            route=route,
            service=trace.service,
            workspace=trace.workspace,
            thing=self._thing(route, head),
            home_regions=homes,
            head=head,
            body=body,
            caller=caller,
            started_s=trace.started_s,
            until_s=trace.until_s,
            digest=_digest(head, trace.workspace, body),
            config_version=config.version,
        )

    def _run(self, call: SteeredCall, trace: RequestTrace) -> HeldAnswer:
        if self._crashes.is_refused(call.digest):
            raise refusal_error(
                "crash-pause", call.request_id, retry_after_s=CRASH_PAUSE_S
            )
        return self._runner.run(call, trace.attempts)

    def _refuse(
        self,
        refusal: Refusal,
        start_response: StartResponse,
        trace: RequestTrace,
    ) -> Iterable[bytes]:
        refusal = self._format.truthful(refusal)
        if trace.rate_taken and refusal.run is NOT_RUN:
            self._rates.refund(self._now_s(), trace.workspace)
        self._log(trace, refusal.status, refusal)
        body = refusal.body()
        start_response(
            refusal.status_line, self._format.headers(refusal, body)
        )
        return [body]

    def _service(self, route: Route) -> str:
        if len(route.destinations) == 1:
            return route.destinations[0].service
        weights = [part.weight for part in route.destinations]
        return self._random.choices(route.destinations, weights)[0].service

    def _thing(self, route: Route, head: RequestHead) -> str:
        if not route.sticky:
            return ""
        for value in head.values("cookie"):
            for pair in value.split(";"):
                pair = pair.strip()
                if pair.startswith(self._cookie_prefix):
                    return pair[len(self._cookie_prefix) :]
        return ""

    def _wait_s(self, route: Route, head: RequestHead) -> float:
        values = head.values(self._deadline_field)
        if (
            len(values) == 1
            and values[0].isdecimal()
            and len(values[0]) <= MAX_DEADLINE_DIGITS
        ):
            return min(route.timeout_s, int(values[0]) / 1000)
        return route.timeout_s

    def _log(
        self,
        trace: RequestTrace,
        status: int,
        refusal: Refusal | None = None,
    ) -> None:
        now_s = self._now_s()
        config = self._state.config
        age_s = min(self._state.confirmation.age_s(now_s), 1e6)
        self._record(
            RequestRecord(
                time=datetime.now(UTC).isoformat(timespec="milliseconds"),
                channel="verbenad.request",
                request_id=trace.request_id,
                route=trace.route,
                workspace=trace.workspace,
                service=trace.service,
                config_version=config.version if config else 0,
                config_age_ms=int(age_s * 1000),
                left_ms=int(max(0.0, trace.until_s - now_s) * 1000),
                attempts=tuple(trace.attempts),
                status=status,
                code=refusal.code if refusal else "",
                run=refusal.run.text if refusal else "ran",
                detail=trace.detail,
                took_ms=int((now_s - trace.started_s) * 1000),
            )
        )


def _both(first: frozenset[str], second: frozenset[str]) -> frozenset[str]:
    """Return the regions that both allow; an empty set allows all."""
    if not first:
        return second
    # A region that cannot exist: no server is in both homes.
    return first & second or frozenset({""})


def _digest(head: RequestHead, workspace: str, body: RequestBody) -> str:
    digest = blake2b(digest_size=12)
    for part in (workspace, head.host, head.method, head.target):
        digest.update(part.encode("latin-1", "replace"))
        digest.update(b"\0")
    digest.update(body.prefix[:DIGEST_BYTES])
    return digest.hexdigest()
