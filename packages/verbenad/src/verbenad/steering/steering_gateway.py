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
from verbenad.refusal import NOT_RUN, Refusal, refuse
from verbenad.refused import Refused, refused
from verbenad.request_body import RequestBody
from verbenad.request_head import RequestHead
from verbenad.steering.crash_notes import CrashNotes
from verbenad.steering.held_answer import HeldAnswer
from verbenad.steering.refusal_format import RefusalFormat
from verbenad.steering.request_record import AttemptRecord, RequestRecord
from verbenad.steering.request_runner import RequestRunner
from verbenad.steering.steered_call import SteeredCall
from verbenad.steering.steering_state import SteeringState
from verbenaworks.steering.route import Route
from verbenaworks.steering.steering_config import SteeringConfig
from verbenaworks.steering.workspace_shares import WorkspaceShares
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
    :param refuses_new: whether the instance is about to stop.
    :param record: takes the log line of each request.
    """

    def __init__(
        self,
        *,
        names: FieldNames,
        object_cookie: str,
        state: SteeringState,
        shares: WorkspaceShares,
        runner: RequestRunner,
        crashes: CrashNotes,
        refuses_new: Callable[[], bool],
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
        self._shares = shares
        self._runner = runner
        self._crashes = crashes
        self._refuses_new = refuses_new
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
        attempts: list[AttemptRecord] = []
        call: SteeredCall | None = None
        try:
            call = self._admit(environ, head, request_id, started_s)
            answer = self._run(call, attempts)
        except Refused as end:
            return self._refuse(
                end.refusal, start_response, call, attempts, started_s
            )
        except BodyError as error:
            refusal = refuse(
                error.code,
                run=NOT_RUN,
                request_id=request_id,
                message=error.message,
            )
            return self._refuse(
                refusal, start_response, call, attempts, started_s
            )
        self._log(call, attempts, started_s, request_id, answer.status)
        start_response(answer.status_line, answer.headers)
        return answer.pieces

    def _admit(
        self,
        environ: dict[str, Any],
        head: RequestHead,
        request_id: str,
        started_s: float,
    ) -> SteeredCall:
        """Return the request with its route, workspace and limits.

        :raises Refused: if it may not run.
        """
        config = self._state.config
        if config is None:
            raise refused(
                "not-fresh", request_id, retry_after_s=UNCONFIRMED_RETRY_S
            )
        if self._refuses_new():
            raise refused("leaving", request_id, retry_after_s=0.1)
        confirmed = self._state.confirmation.is_valid(started_s)
        path = head.target.partition("?")[0]
        route = config.match(head.host, path)
        if route is None:
            if not confirmed:
                raise refused(
                    "not-fresh", request_id, retry_after_s=UNCONFIRMED_RETRY_S
                )
            raise refused("unknown-service", request_id)
        workspace = self._authenticate(
            config, route, head, request_id, confirmed
        )
        return self._call(
            environ, head, request_id, started_s, config, route, workspace
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
            raise refused(
                "not-fresh", request_id, retry_after_s=UNCONFIRMED_RETRY_S
            )
        keys = head.values(self._key_field)
        if not keys:
            raise refused("key-missing", request_id)
        workspace = config.workspace_of(keys[0]) if len(keys) == 1 else None
        if workspace is None:
            raise refused("key-unknown", request_id)
        return workspace

    def _call(
        self,
        environ: dict[str, Any],
        head: RequestHead,
        request_id: str,
        started_s: float,
        config: SteeringConfig,
        route: Route,
        workspace: WorkspaceSpec | None,
    ) -> SteeredCall:
        body: RequestBody = environ["wsgi.input"]
        caller: CallerConnection = environ["verbena.caller"]
        name = workspace.name if workspace else ""
        if name and not self._shares.take(started_s, name):
            raise refused(
                "rate-exceeded",
                request_id,
                retry_after_s=self._shares.retry_after_s(started_s, name),
            )
        homes = route.home_regions
        if workspace is not None and workspace.home_regions:
            homes = _both(homes, workspace.home_regions)
        if body.exists:
            body.prefetch(PREFETCH_BYTES)
        return SteeredCall(
            request_id=request_id,
            route=route,
            service=self._service(route),
            workspace=name,
            thing=self._thing(route, head),
            home_regions=homes,
            head=head,
            body=body,
            caller=caller,
            started_s=started_s,
            until_s=started_s + self._wait_s(route, head),
            digest=_digest(head, name, body),
            config_version=config.version,
        )

    def _run(
        self, call: SteeredCall, attempts: list[AttemptRecord]
    ) -> HeldAnswer:
        if self._crashes.is_refused(call.digest):
            raise refused(
                "crash-pause", call.request_id, retry_after_s=CRASH_PAUSE_S
            )
        return self._runner.run(call, attempts)

    def _refuse(
        self,
        refusal: Refusal,
        start_response: StartResponse,
        call: SteeredCall | None,
        attempts: list[AttemptRecord],
        started_s: float,
    ) -> Iterable[bytes]:
        refusal = self._format.truthful(refusal)
        if call is not None and call.workspace and refusal.run is NOT_RUN:
            self._shares.give_back(self._now_s(), call.workspace)
        self._log(
            call,
            attempts,
            started_s,
            refusal.request_id,
            refusal.status,
            refusal,
        )
        body = refusal.body()
        start_response(
            refusal.status_line, self._format.headers(refusal, body)
        )
        return [body]

    def _service(self, route: Route) -> str:
        if len(route.parts) == 1:
            return route.parts[0].service
        weights = [part.weight for part in route.parts]
        return self._random.choices(route.parts, weights)[0].service

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
        call: SteeredCall | None,
        attempts: list[AttemptRecord],
        started_s: float,
        request_id: str,
        status: int,
        refusal: Refusal | None = None,
    ) -> None:
        now_s = self._now_s()
        config = self._state.config
        age_s = min(self._state.confirmation.age_s(started_s), 1e6)
        self._record(
            RequestRecord(
                time=datetime.now(UTC).isoformat(timespec="milliseconds"),
                channel="verbenad.request",
                request_id=request_id,
                route=call.route.name if call else "",
                workspace=call.workspace if call else "",
                service=call.service if call else "",
                config_version=config.version if config else 0,
                config_age_ms=int(age_s * 1000),
                left_ms=int((call.until_s - now_s) * 1000) if call else 0,
                attempts=tuple(attempts),
                status=status,
                code=refusal.code if refusal else "",
                run=refusal.run.text if refusal else "ran",
                took_ms=int((now_s - started_s) * 1000),
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
