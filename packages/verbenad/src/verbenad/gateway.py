"""The WSGI application that serves callers."""

from collections.abc import Callable, Iterable
from typing import Any

from verbenad.authentication import authenticate, request_id_of, route
from verbenad.call import Call
from verbenad.call_digest import PREFIX_BYTES, call_digest
from verbenad.call_runner import CallRunner, RunningResponse
from verbenad.held_bytes import REQUEST_BYTES
from verbenad.held_response import HeldResponse
from verbenad.lookup_page import LookupPage
from verbenad.protocol_errors import MEMORY_RETRY_AFTER_S, BodyError
from verbenad.rate_limiter import RateLimiter
from verbenad.refusal import NOT_RUN, Refusal, make_refusal
from verbenad.refusal_error import RefusalError, refusal_error
from verbenad.request_body import RequestBody
from verbenad.request_head import RequestHead
from verbenad.run_guard import RunClaim, RunGuard
from verbenad.service_pages import ServicePages
from verbenaworks.compiled_config import CompiledConfig
from verbenaworks.run_ledger import MAX_ANSWER_BYTES
from verbenaworks.run_messages import StoredAnswer

StartResponse = Callable[..., Any]
LOOKUP_PATH = "/v1/lookup"


class Gateway:
    """Serves lookups, the instance's own pages and requests to services.

    :param config: returns the configuration in force, None before the first.
    :param may_use_keys: returns whether the configuration is current enough
        to trust keys.
    :param on_refusal: called with the code of each refusal.
    """

    def __init__(
        self,
        *,
        config: Callable[[], CompiledConfig | None],
        may_use_keys: Callable[[], bool],
        rate_limiter: RateLimiter,
        guard: RunGuard,
        runner: CallRunner,
        lookup: LookupPage,
        pages: ServicePages,
        now_s: Callable[[], float],
        on_refusal: Callable[[str], None],
    ) -> None:
        self._config = config
        self._may_use_keys = may_use_keys
        self._rate_limiter = rate_limiter
        self._guard = guard
        self._runner = runner
        self._lookup = lookup
        self._pages = pages
        self._now_s = now_s
        self._on_refusal = on_refusal

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        head: RequestHead = environ["verbena.head"]
        request_id = request_id_of(head)
        try:
            return self._serve(head, request_id, environ, start_response)
        except RefusalError as raised:
            return self._refuse(raised.refusal, start_response)
        except BodyError as error:
            refusal = make_refusal(
                error.code,
                run=NOT_RUN,
                request_id=request_id,
                message=error.message,
                retry_after_s=error.retry_after_s,
            )
            return self._refuse(refusal, start_response)

    def _serve(
        self,
        head: RequestHead,
        request_id: str,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        config = self._config()
        path, _, query = head.target.partition("?")
        if config is None or route(config, head)[0] is None:
            if path == LOOKUP_PATH:
                return self._lookup.respond(
                    config, query, request_id, start_response
                )
            page = self._pages.respond(path, start_response)
            if page is not None:
                return page
        if config is None:
            raise refusal_error("not-fresh", request_id, retry_after_s=1.0)
        body: RequestBody = environ["wsgi.input"]
        if not body.holding.try_grow(REQUEST_BYTES):
            raise refusal_error(
                "memory-full", request_id, retry_after_s=MEMORY_RETRY_AFTER_S
            )
        call = authenticate(
            config, environ, request_id, self._may_use_keys, self._now_s()
        )
        return self._run(call, config, start_response)

    def _run(
        self,
        call: Call,
        config: CompiledConfig,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        if call.workspace and not self._rate_limiter.take(
            call.workspace, call.deadline_s
        ):
            raise refusal_error(
                "rate-exceeded",
                call.request_id,
                retry_after_s=self._rate_limiter.retry_after_s(call.workspace),
            )
        if call.body.exists:
            # A body that is not here by the deadline cannot be served.
            call.body.limit_time(call.deadline_s - self._now_s())
            call.body.prefetch(PREFIX_BYTES)
        claim = self._guard.claim(call, self._now_s(), config.run_window_s)
        if isinstance(claim, StoredAnswer):
            return _replay_response(claim, call, start_response)
        try:
            running = self._runner.run(call, call_digest(call))
        except RefusalError as raised:
            if claim is not None:
                self._settle_claim(claim, raised.refusal)
            raise
        except BaseException:
            if claim is not None:
                self._guard.record_unknown(claim)
            raise
        return self._respond(call, claim, running, start_response)

    def _settle_claim(self, claim: RunClaim, refusal: Refusal) -> None:
        if refusal.run is NOT_RUN:
            self._guard.record_not_run(claim)
        else:
            self._guard.record_unknown(claim)

    def _respond(
        self,
        call: Call,
        claim: RunClaim | None,
        running: RunningResponse,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        call.body.release()
        response = running.response
        headers = [*response.headers, ("X-Request-Id", call.request_id)]
        if claim is None:
            start_response(response.status_line, headers)
            return HeldResponse(running.stream, call.body.holding)
        body = _read_small_body(running)
        if body is None:
            self._guard.record_response(claim, None)
            start_response(response.status_line, headers)
            return HeldResponse(running.stream, call.body.holding)
        stored = StoredAnswer(
            status=response.status, headers=tuple(response.headers), body=body
        )
        self._guard.record_response(claim, stored)
        start_response(response.status_line, headers)
        return [body]

    def _refuse(
        self, refusal: Refusal, start_response: StartResponse
    ) -> Iterable[bytes]:
        self._on_refusal(refusal.code)
        body = refusal.body()
        start_response(refusal.status_line, refusal.headers(body))
        return [body]


def _read_small_body(running: RunningResponse) -> bytes | None:
    """Return the whole body if its Content-Length is small, else None."""
    lengths = [
        value
        for name, value in running.response.headers
        if name.lower() == "content-length"
    ]
    if not lengths or int(lengths[0]) > MAX_ANSWER_BYTES:
        return None
    try:
        return b"".join(running.stream)
    finally:
        running.stream.close()


def _replay_response(
    stored: StoredAnswer, call: Call, start_response: StartResponse
) -> Iterable[bytes]:
    headers = [
        *stored.headers,
        ("X-Request-Id", call.request_id),
        ("X-Verbena-Replayed", "1"),
    ]
    start_response(f"{stored.status} Replayed", headers)
    return [stored.body]
