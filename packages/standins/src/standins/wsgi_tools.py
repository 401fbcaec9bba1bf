"""Helpers shared by the WSGI applications of the stand-ins."""

import contextlib
import socket
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

Environ = dict[str, Any]
StartResponse = Callable[..., Any]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]


def json_response(
    start_response: StartResponse, status: str, body: object
) -> list[bytes]:
    """Start a response with a JSON body and return the body."""
    data = msgspec.json.encode(body)
    start_response(
        status,
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ],
    )
    return [data]


def abort_connection(environ: Environ) -> list[bytes]:
    """Close the caller's connection without a response."""
    connection = environ["eventlet.input"].get_socket()
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    return []


def read_json(environ: Environ) -> Any:
    """Return the JSON body of a request, or an empty dict without a body."""
    data = environ["wsgi.input"].read()
    return msgspec.json.decode(data) if data else {}
