"""Crowds of callers at an instance that runs without a platform.

What counts is the resident set of the process and the bytes that it has
received and not read.
"""

import socket
from collections.abc import Iterator
from pathlib import Path

import pytest
import urllib3
from caller_crowd import open_crowds
from memory_watch import watch_memory

from standins.deployments import MATUNDA
from standins.local_deployment import LocalDeployment
from waiting import until

BASE_PORT = 19200
TIMEOUT_S = 90.0
MEMORY_MB = 200
CALLERS = 1200
LONG_BODY_BYTES = 4 << 20
# A process that hangs does not respond at all.
RESPONSE_TIMEOUT_S = 30.0
# Allowed beside connections of callers: files, the store, peers and targets.
MAX_OTHER_DESCRIPTORS = 600
CROWD_SERVICE = "uploads"
DEADLINE_MS = 1000


def _head(*fields: str, method: str = "POST", query: str = "") -> bytes:
    lines = [
        f"{method} /s/{CROWD_SERVICE}/x{query} HTTP/1.1",
        "Host: a",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _chunks(size: int, count: int) -> bytes:
    chunk = b"%x\r\n%b\r\n" % (size, b"b" * size)
    return _head("Transfer-Encoding: chunked") + chunk * count


_LONG_BODY = _head(f"Content-Length: {LONG_BODY_BYTES}") + b"b" * (
    LONG_BODY_BYTES - 1
)
FORMS = {
    "announced-short": _LONG_BODY,
    "behind-request": _head(method="GET", query="?ms=20000") + _LONG_BODY,
    "head-short": _head("X-Field: " + "v" * 16_000)[:-2],
    "large-chunks-short": _chunks(100_000, 40),
    "long-extensions": _head("Transfer-Encoding: chunked")
    + b"1;%b\r\nb\r\n" % (b"x" * 1000) * 2000,
    "response-unread": _head(method="GET", query="?bytes=4000000"),
    "small-chunks-short": _chunks(1, 60_000),
    "whole": _LONG_BODY + b"b",
}


@pytest.fixture
def local(tmp_path: Path) -> Iterator[LocalDeployment]:
    """Start one instance on a small machine."""
    deployment = LocalDeployment(
        MATUNDA,
        base_port=BASE_PORT,
        instances=1,
        log_directory=tmp_path,
        instance_settings={"VERBENAD_MEMORY_MB": str(MEMORY_MB)},
    )
    for service in ("catalogue", CROWD_SERVICE):
        # Without keys, so that the rates of workspaces limit nobody.
        deployment.settings.branches[f"/services/{service}"]["open"] = True
    try:
        deployment.start()
        until(lambda: _is_served(deployment, "catalogue"), TIMEOUT_S)
        yield deployment
    finally:
        deployment.stop()


def _is_served(local: LocalDeployment, service: str, size: int = 8) -> bool:
    """Whether an ordinary request is served; it may be refused instead."""
    try:
        response = urllib3.request(
            "POST",
            f"http://{local.instances['e1'].caller}/s/{service}/x",
            body=b"o" * size,
            retries=False,
            timeout=RESPONSE_TIMEOUT_S,
        )
    except urllib3.exceptions.HTTPError:
        return False
    assert response.status in (200, 503)
    return response.status == 200


@pytest.mark.parametrize("form", sorted(FORMS))
def test_crowd_stays_within_the_memory(
    local: LocalDeployment, form: str
) -> None:
    """Guards against callers that use up the memory of an instance."""
    ip, _, port = local.instances["e1"].caller.rpartition(":")
    with watch_memory(local.pid("e1")) as watch:
        with open_crowds([(ip, int(port))], CALLERS, FORMS[form]):
            until(lambda: _is_served(local, "catalogue"), TIMEOUT_S)
        until(lambda: _is_served(local, "catalogue"), TIMEOUT_S)
    assert local.is_running("e1")
    print(f"{form}: {watch.describe()}")
    assert watch.peak_bytes < MEMORY_MB << 20
    assert watch.peak_descriptors < CALLERS + MAX_OTHER_DESCRIPTORS


@pytest.mark.parametrize("sent_bytes", [1000, 1_000_000])
def test_stalled_body_ends_at_the_deadline(
    local: LocalDeployment, sent_bytes: int
) -> None:
    """Guards against bodies that occupy memory or a server for longer."""
    ip, _, port = local.instances["e1"].caller.rpartition(":")
    head = _head(
        f"Content-Length: {LONG_BODY_BYTES}",
        f"X-Request-Deadline-Ms: {DEADLINE_MS}",
    )
    # Less than the time after which a body has stalled.
    with socket.create_connection((ip, int(port)), timeout=20.0) as caller:
        caller.sendall(head + b"b" * sent_bytes)
        assert caller.recv(12)[9:12] in (b"408", b"502", b"504")


def test_long_body_is_served_in_calm(local: LocalDeployment) -> None:
    """Guards against a limit that an ordinary caller can reach."""
    assert _is_served(local, CROWD_SERVICE, 2 * LONG_BODY_BYTES)
