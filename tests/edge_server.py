"""HTTP server and forwarder in a separate process, for the tests.

tests/edge_process.py starts it and imports the monkey patch before it. The
options are one JSON argument; the process prints one JSON line with the
port. SIGTERM closes the HTTP server gracefully; the process then prints one
JSON line with the result.
"""

import json
import resource
import secrets
import signal
import sys
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import eventlet
import msgspec
from result import Err, Ok, Result

from verbenad.attempt_failure import AttemptFailure
from verbenad.forward_request import ForwardRequest
from verbenad.forwarder import Forwarder, ForwarderSettings
from verbenad.http_server import HttpServer
from verbenad.http_server_limits import HttpServerLimits
from verbenad.refusal import NOT_RUN, OUTCOME_UNKNOWN, make_refusal
from verbenad.upstream_pool import PoolSettings, UpstreamPool
from verbenad.upstream_response import UpstreamResponse

_SAFE = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


def _resident_kb(name: str) -> int:
    with open("/proc/self/status") as status:
        for line in status:
            if line.startswith(name):
                return int(line.split()[1])
    raise ValueError(name)


class EdgeApplication:
    """Answers some paths itself and forwards the rest."""

    def __init__(self, options: dict[str, Any]) -> None:
        self.options = options
        self.pool = UpstreamPool(
            PoolSettings(**options.get("pool", {})),
        )
        self.forwarder = Forwarder(
            self.pool, ForwarderSettings(**options.get("forwarder", {}))
        )
        self.http_server: HttpServer | None = None
        self.bodies: list[str] = []

    def __call__(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one request."""
        path = environ["PATH_INFO"]
        local = getattr(self, "local_" + path.strip("/"), None)
        if local is not None:
            return local(environ, start)
        return self._forward(environ, start)

    def local_state(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Return counters and memory."""
        assert self.http_server is not None
        state = {
            "front": self.http_server.counters,
            "pool": self.pool.counters,
            "forwarder": self.forwarder.counters,
            "bodies": self.bodies,
            "resident_kb": _resident_kb("VmRSS"),
            "peak_kb": _resident_kb("VmHWM"),
        }
        start("200 OK", [("Content-Type", "application/json")])
        return [json.dumps(state).encode()]

    def local_echo(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Return method, target and body as the application sees them."""
        body = environ["wsgi.input"].read()
        self.bodies.append(body.decode("latin-1"))
        head = environ["verbena.head"]
        data = {
            "method": head.method,
            "target": head.target,
            "host": head.host,
            "body": body.decode("latin-1"),
        }
        start("200 OK", [("Content-Type", "application/json")])
        return [json.dumps(data).encode()]

    def local_ignore(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer without reading the body."""
        start("200 OK", [])
        return [b"ignored"]

    def local_sized_failure(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterator[bytes]:
        """Fail in the middle of a body of stated length."""
        start("200 OK", [("Content-Length", "100")])
        yield b"partial"
        raise OSError("the source failed")

    def local_chunked_failure(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterator[bytes]:
        """Fail in the middle of a body without a stated length."""
        start("200 OK", [])
        yield b"partial"
        raise OSError("the source failed")

    def local_short(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterator[bytes]:
        """End before the stated length."""
        start("200 OK", [("Content-Length", "100")])
        yield b"partial"

    def local_broken(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Fail before the response starts."""
        raise RuntimeError("secret detail")

    def local_injected(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Put a line break into a header."""
        start("200 OK", [("X-Note", "a\r\nX-Other: b")])
        return [b""]

    def local_slow(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer only after the HTTP server has begun to drain."""
        assert self.http_server is not None
        sys.stdout.write("running\n")
        sys.stdout.flush()
        while not self.http_server.draining:
            eventlet.sleep(0.01)
        start("200 OK", [])
        return [b"finished"]

    def local_late(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer some time after the HTTP server has begun to drain."""
        self.local_slow(environ, start)
        sys.stdout.write("draining\n")
        sys.stdout.flush()
        eventlet.sleep(0.3)
        return [b"finished late"]

    def local_wait(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer once the caller sends another byte."""
        sys.stdout.write("running\n")
        sys.stdout.flush()
        environ["verbena.caller"].stream.refill(None)
        start("200 OK", [])
        return [b"finished"]

    def _forward(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        head = environ["verbena.head"]
        body = environ["wsgi.input"]
        if self.options.get("prefetch"):
            body.prefetch(65536)
        request = ForwardRequest(
            request_id=secrets.token_hex(8),
            method=head.method,
            target=head.target,
            host=head.host,
            headers=head.headers,
            body=body if body.exists else None,
            idempotent=head.method in _SAFE,
            cancellation=environ["verbena.caller"].cancellation,
        )
        outcome = self._attempt(request, new_connection=False)
        if (
            outcome.is_err()
            and outcome.unwrap_err().reused
            and request.idempotent
            and request.body is None
        ):
            # The backend server may have closed the idle connection.
            outcome = self._attempt(request, new_connection=True)
        match outcome:
            case Ok(response):
                start(response.status_line, response.headers)
                return response.body
            case Err(failure):
                refusal = make_refusal(
                    failure.code,
                    run=OUTCOME_UNKNOWN if failure.may_have_run else NOT_RUN,
                    request_id=request.request_id,
                    message=failure.message,
                )
                content = refusal.body()
                start(refusal.status_line, refusal.headers(content))
                return [content]

    def _attempt(
        self, request: ForwardRequest, *, new_connection: bool
    ) -> Result[UpstreamResponse, AttemptFailure]:
        return self.forwarder.attempt(
            request,
            ("127.0.0.1", self.options["backend_port"]),
            time.monotonic() + self.options.get("deadline_s", 60.0),
            connection_limit=self.options.get("connection_limit", 100),
            first_byte_timeout_s=self.options.get("silent_after_s"),
            new_connection=new_connection,
        )


def main() -> None:
    """Serve until SIGTERM."""
    options = json.loads(sys.argv[1])
    if "open_files" in options:
        files = options["open_files"]
        resource.setrlimit(resource.RLIMIT_NOFILE, (files, files))
    application = EdgeApplication(options)
    limits = msgspec.convert(options.get("limits", {}), HttpServerLimits)
    http_server = HttpServer(
        application,
        host="127.0.0.1",
        port=0,
        limits=limits,
        pipelined=options.get("pipelined", False),
    )
    application.http_server = http_server
    stop = eventlet.Event()

    def on_signal(*_: object) -> None:
        eventlet.spawn_n(stop.send)

    signal.signal(signal.SIGTERM, on_signal)
    http_server.start()
    print(json.dumps({"port": http_server.address[1]}), flush=True)
    stop.wait()
    finished = http_server.close(options.get("close_limit_s", 10.0))
    print(json.dumps({"finished": finished}), flush=True)
