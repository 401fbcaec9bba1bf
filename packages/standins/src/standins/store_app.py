"""HTTP interface of the key-value store stand-in."""

import time
import urllib.parse
from collections.abc import Iterable
from dataclasses import replace

import eventlet
import msgspec

from standins.rate_meter import RateMeter
from standins.store_faults import StoreFaults
from standins.store_state import StoredValue, StoreState, VersionMismatchError
from standins.wsgi_tools import (
    Environ,
    StartResponse,
    abort_connection,
    json_response,
    read_json,
)

MAX_READS_PER_S = 2000
MAX_WRITES_PER_S = 300
POLL_INTERVAL_S = 0.005
MAX_WATCH_WAIT_S = 60.0


class StoreApp:
    """WSGI application of the store.

    ``/v1/kv/KEY`` reads (GET), writes (PUT) and deletes (DELETE), with
    ``expected_version`` and ``lease`` as query parameters; version 0 means
    absent. ``/v1/version/KEY`` and ``/v1/watch/KEY?after=N&wait_ms=M`` return
    versions; ``/v1/leases`` creates and renews leases. ``/admin/...``
    simulates failures and is not part of the store's protocol.
    """

    def __init__(
        self,
        reads_per_s: int = MAX_READS_PER_S,
        writes_per_s: int = MAX_WRITES_PER_S,
    ) -> None:
        self._state = StoreState(time.monotonic)
        self._faults = StoreFaults()
        self._reads = RateMeter(time.monotonic, reads_per_s)
        self._writes = RateMeter(time.monotonic, writes_per_s)
        self._backup: dict[str, StoredValue] = {}

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        path = environ["PATH_INFO"]
        if path.startswith("/admin/"):
            return self._handle_admin(path, environ, start_response)
        while self._faults.paused:
            eventlet.sleep(POLL_INTERVAL_S)
        if self._faults.slow_s:
            eventlet.sleep(self._faults.slow_s)
        if self._faults.down:
            return abort_connection(environ)
        return self._handle_client(path, environ, start_response)

    def _handle_client(
        self, path: str, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        is_write = environ["REQUEST_METHOD"] != "GET"
        meter = self._writes if is_write else self._reads
        if not meter.admit():
            return json_response(
                start_response, "429 Too Many Requests", {"error": "rate"}
            )
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        _, _, kind, *name_parts = path.split("/", 3)
        name = name_parts[0] if name_parts else ""
        try:
            status, body = self._dispatch(kind, name, query, environ)
        except VersionMismatchError as error:
            status, body = "409 Conflict", {"version": error.version}
        except ValueError as error:
            status, body = "400 Bad Request", {"error": str(error)}
        if is_write and self._faults.lost_answers > 0:
            self._faults = replace(
                self._faults, lost_answers=self._faults.lost_answers - 1
            )
            return abort_connection(environ)
        if self._faults.down:
            return abort_connection(environ)
        if isinstance(body, StoredValue):
            start_response(
                status,
                [
                    ("X-Version", str(body.version)),
                    ("Content-Length", str(len(body.data))),
                ],
            )
            return [body.data]
        return json_response(start_response, status, body)

    def _dispatch(
        self, kind: str, name: str, query: dict[str, str], environ: Environ
    ) -> tuple[str, object]:
        match environ["REQUEST_METHOD"], kind:
            case "GET", "kv":
                value = self._state.get(name)
                if value is None:
                    return "404 Not Found", {"version": 0}
                return "200 OK", value
            case "PUT", "kv":
                data = environ["wsgi.input"].read()
                lease_id = int(query.get("lease", "0"))
                version = self._state.put(
                    name, data, _expected_version(query), lease_id
                )
                return "200 OK", {"version": version}
            case "DELETE", "kv":
                version = self._state.delete(name, _expected_version(query))
                return "200 OK", {"version": version}
            case "GET", "version":
                return "200 OK", {"version": self._state.version(name)}
            case "GET", "watch":
                return "200 OK", {"version": self._watch(name, query)}
            case "POST", "leases":
                ttl_s = read_json(environ)["ttl_ms"] / 1000
                return "200 OK", {"lease_id": self._state.grant_lease(ttl_s)}
            case "PUT", "leases":
                alive = self._state.keep_alive(int(name))
                return ("200 OK" if alive else "404 Not Found"), {}
        return "404 Not Found", {"error": "no such resource"}

    def _watch(self, key: str, query: dict[str, str]) -> int:
        known_version = int(query["after"])
        wait_s = min(int(query.get("wait_ms", "0")) / 1000, MAX_WATCH_WAIT_S)
        end_s = time.monotonic() + wait_s
        while time.monotonic() < end_s and not self._faults.down:
            if self._state.version(key) != known_version:
                break
            eventlet.sleep(POLL_INTERVAL_S)
        return self._state.version(key)

    def _handle_admin(
        self, path: str, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        match path:
            case "/admin/faults":
                self._faults = msgspec.convert(read_json(environ), StoreFaults)
            case "/admin/backup":
                self._backup = self._state.backup()
            case "/admin/restore":
                self._state.restore(self._backup)
            case "/admin/calls":
                pass
            case _:
                return json_response(start_response, "404 Not Found", {})
        return json_response(
            start_response,
            "200 OK",
            {
                "reads": self._reads.total,
                "writes": self._writes.total,
                "reads_peak_per_s": self._reads.peak_per_s,
                "writes_peak_per_s": self._writes.peak_per_s,
            },
        )


def _expected_version(query: dict[str, str]) -> int | None:
    text = query.get("expected_version")
    return None if text is None else int(text)
