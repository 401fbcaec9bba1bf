"""Stand-in of a backend server, with slots, cold starts and failures."""

import contextlib
import hashlib
import socket
import time
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace

import eventlet
import msgspec

from standins.backend_faults import BackendFaults
from standins.backend_run import BackendRun
from standins.wsgi_tools import (
    Environ,
    StartResponse,
    abort_connection,
    json_response,
    read_json,
)

CHUNK_BYTES = 65536
CRASH_MARKER = b"crash-this-server"
RESTART_DELAY_S = 0.5
MAX_HISTORY_ENTRIES = 100_000
CALLER_KEY_HEADERS = ("HTTP_X_VERBENA_KEY",)


class BackendApp:
    """WSGI application of one target.

    Every path is served. ``?bytes=N`` asks for a response body of N bytes,
    ``?ms=N`` for a service time. A body or query that contains
    ``crash-this-server`` crashes the target: all its connections end, and
    its port refuses new ones until the target has restarted. It then has a
    cold start.

    :ivar on_crash: called at each crash.

    :param slots: requests run at the same time; further requests get 503
        with ``X-Not-Run``.
    :param service_s: service time of a request after the cold start.
    :param cold_s: duration of the cold start, during which requests take
        four times as long.
    """

    def __init__(
        self,
        name: str,
        slots: int,
        service_s: float = 0.005,
        cold_s: float = 0.0,
    ) -> None:
        self.name = name
        self._slots = slots
        self._service_s = service_s
        self._cold_s = cold_s
        self._faults = BackendFaults()
        self._in_flight = 0
        self._peak_in_flight = 0
        self._started_at_s = time.monotonic()
        self._generation = 0
        self._silent_peers: set[object] = set()
        self._connections: dict[object, socket.socket] = {}
        self.on_crash: Callable[[], None] = lambda: None
        self._history: deque[BackendRun] = deque(maxlen=MAX_HISTORY_ENTRIES)
        self._load_history: deque[tuple[float, int]] = deque(maxlen=1000)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        path = environ["PATH_INFO"]
        if path.startswith("/admin/"):
            return self._handle_admin(path, environ, start_response)
        connection = environ["eventlet.input"].get_socket()
        peer = (environ["REMOTE_ADDR"], environ["REMOTE_PORT"])
        self._connections[peer] = connection
        if peer in self._silent_peers:
            # The crash of the target ends this wait.
            return _hold_then_abort(
                environ, lambda: peer in self._silent_peers
            )
        if self._faults.unreachable:
            return _hold_then_abort(environ, self._is_unreachable)
        if path == "/health":
            return self._respond_health(start_response)
        if path == "/load":
            return self._respond_load(start_response)
        return self._serve(environ, start_response)

    def _serve(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        if self._faults.draining or self._in_flight >= self._slots:
            return self._shed(start_response)
        self._in_flight += 1
        self._peak_in_flight = max(self._peak_in_flight, self._in_flight)
        self._load_history.append((time.monotonic(), self._in_flight))
        index = self._append_run(environ)
        try:
            return self._run(environ, start_response, index)
        finally:
            self._in_flight -= 1
            self._load_history.append((time.monotonic(), self._in_flight))

    def _run(
        self, environ: Environ, start_response: StartResponse, index: int
    ) -> Iterable[bytes]:
        generation = self._generation
        query = environ.get("QUERY_STRING", "")
        digest, size, has_marker = _read_body(environ)
        run = replace(
            self._history[index], body_sha256=digest, body_bytes=size
        )
        self._history[index] = run
        if size < int(environ.get("CONTENT_LENGTH") or 0):
            self._history[index] = replace(run, outcome="cancelled")
            return abort_connection(environ)
        if has_marker or CRASH_MARKER.decode() in query:
            self._history[index] = replace(run, outcome="crashed")
            self._crash()
            return abort_connection(environ)
        eventlet.sleep(self._service_time_s(query))
        if generation != self._generation:
            self._history[index] = replace(run, outcome="crashed")
            return abort_connection(environ)
        if self._faults.unreachable:
            self._history[index] = replace(run, outcome="answer lost")
            return _hold_then_abort(environ, self._is_unreachable)
        self._history[index] = replace(run, outcome="answered")
        return self._respond(start_response, run, query)

    def _is_unreachable(self) -> bool:
        return self._faults.unreachable

    def _respond(
        self, start_response: StartResponse, run: BackendRun, query: str
    ) -> Iterable[bytes]:
        size = _query_number(query, "bytes")
        headers = [("X-Target", self.name), ("X-Run-Id", run.request_id)]
        if size is None:
            data = msgspec.json.encode(run)
            content_length = len(data) + (10 if self._faults.truncate else 0)
            start_response(
                "200 OK",
                [
                    *headers,
                    ("Content-Type", "application/json"),
                    ("Content-Length", str(content_length)),
                ],
            )
            return [data]
        content_length = size + (10 if self._faults.truncate else 0)
        start_response(
            "200 OK", [*headers, ("Content-Length", str(content_length))]
        )
        return _zero_bytes(size)

    def _shed(self, start_response: StartResponse) -> Iterable[bytes]:
        start_response(
            "503 Service Unavailable",
            [
                ("X-Not-Run", "1"),
                ("X-Draining", "1" if self._faults.draining else "0"),
                ("X-Target", self.name),
                ("Content-Length", "0"),
            ],
        )
        return [b""]

    def _append_run(self, environ: Environ) -> int:
        if len(self._history) == MAX_HISTORY_ENTRIES:
            self._history.clear()
        self._history.append(
            BackendRun(
                target=self.name,
                request_id=environ.get("HTTP_X_REQUEST_ID", ""),
                method=environ["REQUEST_METHOD"],
                path=environ["PATH_INFO"],
                idempotency_key=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
                body_sha256="",
                body_bytes=0,
                started_at_s=time.monotonic(),
                outcome="running",
                secrets_seen=tuple(
                    k for k in CALLER_KEY_HEADERS if k in environ
                ),
            )
        )
        return len(self._history) - 1

    def _service_time_s(self, query: str) -> float:
        requested_ms = _query_number(query, "ms")
        service_s = (
            self._service_s if requested_ms is None else requested_ms / 1000
        )
        age_s = time.monotonic() - self._started_at_s
        cold_factor = 4.0 if age_s < self._cold_s else 1.0
        return service_s * cold_factor * self._faults.slow_factor

    def _crash(self) -> None:
        """Close all connections, as the end of a process does."""
        self._generation += 1
        self._started_at_s = time.monotonic() + RESTART_DELAY_S
        for connection in self._connections.values():
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        self._connections.clear()
        # Ends the handlers of silent connections; the server restarts only
        # after they have ended.
        self._silent_peers.clear()
        self.on_crash()

    def _respond_health(
        self, start_response: StartResponse
    ) -> Iterable[bytes]:
        healthy = not self._faults.draining
        if self._faults.reported_healthy is not None:
            healthy = self._faults.reported_healthy
        status = "200 OK" if healthy else "503 Service Unavailable"
        problem = "draining" if self._faults.draining else "failing"
        body = {"status": "ok" if healthy else problem}
        return json_response(start_response, status, body)

    def _respond_load(self, start_response: StartResponse) -> Iterable[bytes]:
        in_flight = self._faults.reported_in_flight
        if in_flight is None:
            visible_until_s = time.monotonic() - self._faults.report_lag_s
            visible = [
                n for at_s, n in self._load_history if at_s <= visible_until_s
            ]
            in_flight = visible[-1] if visible else 0
        return json_response(
            start_response, "200 OK", {"in_flight": in_flight, "queued": 0}
        )

    def _handle_admin(
        self, path: str, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        if path == "/admin/faults":
            self._faults = msgspec.convert(read_json(environ), BackendFaults)
            if self._faults.silent:
                self._silent_peers |= set(self._connections)
            return json_response(start_response, "200 OK", {})
        if path == "/admin/history":
            return json_response(start_response, "200 OK", list(self._history))
        if path == "/admin/peak":
            return json_response(
                start_response, "200 OK", {"in_flight": self._peak_in_flight}
            )
        return json_response(start_response, "404 Not Found", {})


def _hold_then_abort(
    environ: Environ, is_lost: Callable[[], bool]
) -> Iterable[bytes]:
    """Send no response while ``is_lost`` holds, then close the connection."""
    while is_lost():
        eventlet.sleep(0.05)
    return abort_connection(environ)


def _read_body(environ: Environ) -> tuple[str, int, bool]:
    digest, size, previous_tail, has_marker = hashlib.sha256(), 0, b"", False
    while chunk := environ["wsgi.input"].read(CHUNK_BYTES):
        digest.update(chunk)
        size += len(chunk)
        has_marker = has_marker or CRASH_MARKER in previous_tail + chunk
        previous_tail = chunk[-len(CRASH_MARKER) :]
    return digest.hexdigest(), size, has_marker


def _query_number(query: str, name: str) -> int | None:
    for part in query.split("&"):
        key, _, value = part.partition("=")
        if key == name and value.isdigit():
            return int(value)
    return None


def _zero_bytes(size: int) -> Iterator[bytes]:
    while size > 0:
        part = min(size, CHUNK_BYTES)
        yield bytes(part)
        size -= part
