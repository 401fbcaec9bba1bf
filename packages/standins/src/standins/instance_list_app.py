"""Stand-in of the platform's instance list, which lags behind."""

import time
from collections.abc import Iterable

from standins.wsgi_tools import (
    Environ,
    StartResponse,
    abort_connection,
    json_response,
    read_json,
)


class InstanceListApp:
    """WSGI application of the instance list.

    ``GET /v1/instances`` returns the entries as they were ``lag_s`` ago.
    ``PUT /admin/instances/NAME`` with a JSON object adds or changes an
    entry, ``DELETE`` removes it. ``PUT /admin/faults`` sets ``lag_s`` and
    ``down``.
    """

    def __init__(self, lag_s: float = 1.0) -> None:
        self._lag_s = lag_s
        self._down = False
        self._entries: dict[str, object] = {}
        self._history: list[tuple[float, dict[str, object]]] = [(0.0, {})]

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        path = environ["PATH_INFO"]
        if path == "/v1/instances":
            if self._down:
                return abort_connection(environ)
            return json_response(
                start_response, "200 OK", self._visible_entries()
            )
        if path == "/admin/faults":
            faults = read_json(environ)
            self._lag_s = faults.get("lag_s", self._lag_s)
            self._down = faults.get("down", False)
            return json_response(start_response, "200 OK", {})
        if path.startswith("/admin/instances/"):
            self._change_entry(path.rpartition("/")[2], environ)
            return json_response(start_response, "200 OK", {})
        return json_response(start_response, "404 Not Found", {})

    def _change_entry(self, name: str, environ: Environ) -> None:
        if environ["REQUEST_METHOD"] == "DELETE":
            self._entries.pop(name, None)
        else:
            self._entries[name] = read_json(environ)
        self._history.append((time.monotonic(), dict(self._entries)))

    def _visible_entries(self) -> dict[str, object]:
        visible_until_s = time.monotonic() - self._lag_s
        visible_states = [
            state for at_s, state in self._history if at_s <= visible_until_s
        ]
        return visible_states[-1]
