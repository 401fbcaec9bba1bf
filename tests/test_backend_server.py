"""Tests of restarts of the backend server stand-in."""

import http.client
import socket
import subprocess
import sys
import time
from collections.abc import Iterator

import pytest

WAIT_S = 30.0


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def _request(port: int, method: str, path: str, body: str = "") -> int:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT_S)
    try:
        connection.request(method, path, body)
        return connection.getresponse().status
    finally:
        connection.close()


def _wait_until_accepting(port: int) -> None:
    end_s = time.monotonic() + WAIT_S
    while True:
        try:
            assert _request(port, "GET", "/health") == 200
            return
        except OSError:
            assert time.monotonic() < end_s, (
                "the target did not restart in time"
            )
        time.sleep(0.05)


@pytest.fixture
def port() -> Iterator[int]:
    """Start one target and return its port."""
    port = _free_port()
    process = subprocess.Popen(
        [
            *(sys.executable, "-m", "standins", "backends"),
            *("--target", f"orders/t1:{port}:2:1"),
        ]
    )
    try:
        _wait_until_accepting(port)
        yield port
    finally:
        process.kill()
        process.wait()


def test_target_with_silent_connections_restarts_after_a_crash(
    port: int,
) -> None:
    """Guards against a restart that waits for handlers that never end.

    The handler of a silent connection ends only when the target crashes.
    """
    silent = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT_S)
    silent.request("GET", "/")
    assert silent.getresponse().read()
    _request(port, "PUT", "/admin/faults", '{"silent": true}')
    silent.request("GET", "/")
    with pytest.raises(OSError):
        _request(port, "GET", "/?crash-this-server")
    _wait_until_accepting(port)
    with pytest.raises(OSError):
        silent.getresponse()
    silent.close()
