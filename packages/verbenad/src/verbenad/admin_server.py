"""Serves the admin API on a separate port."""

import os
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet import wsgi

_MAX_CONNECTIONS = 64
_SOCKET_TIMEOUT_S = 15.0


class AdminServer:
    """Eventlet's WSGI server for operators.

    Only operators use the port; the limits for callers do not apply to it.
    """

    def __init__(self, application: Callable[..., Any], address: str) -> None:
        self._application = application
        host, _, port = address.rpartition(":")
        self._listener = eventlet.listen((host, int(port)))

    def start(self) -> None:
        """Start serving."""
        eventlet.spawn(self._serve)

    def _serve(self) -> None:
        with open(os.devnull, "w") as sink:
            wsgi.server(
                self._listener,
                self._application,
                log=sink,
                log_output=False,
                debug=False,
                max_size=_MAX_CONNECTIONS,
                socket_timeout=_SOCKET_TIMEOUT_S,
            )
