"""Counters of the bytes that cross failure domains and regions."""

import socket
import time
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest
from result import Ok, Result

from steering_factories import instance, server
from verbenad.forward_request import ForwardRequest
from verbenad.forwarder import Forwarder
from verbenad.metrics import Metrics
from verbenad.socket_stream import SocketStream
from verbenad.steering.byte_counts import ByteCounts
from verbenaworks.steering.placement_result import ChoiceReason

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"


class _Connection:
    """A connection whose other end is in the test."""

    def __init__(self, sock: socket.socket) -> None:
        self.stream = SocketStream(sock)
        self.reused = False
        self.idle_time_s = 0.0
        self.address = ("127.0.0.1", 80)


class _Pool:
    """Lends the same connection to each attempt."""

    def __init__(self, connection: _Connection) -> None:
        self._connection = connection

    def acquire(
        self, *_args: Any, **_options: Any
    ) -> Result[_Connection, object]:
        return Ok(self._connection)

    def release(self, connection: _Connection) -> None:
        connection.reused = True

    def discard(self, connection: _Connection) -> None:
        connection.stream.shutdown()


@pytest.fixture
def pair() -> Iterator[tuple[socket.socket, socket.socket]]:
    """Connect two sockets without a network."""
    first, second = socket.socketpair()
    with first, second:
        yield first, second


def _page(metrics: Metrics) -> list[str]:
    return metrics.render().decode().splitlines()


def test_bytes_of_attempts_are_counted_by_distance_and_reason() -> None:
    """Guards against bytes between failure domains without a reason."""
    metrics = Metrics()
    counts = ByteCounts(local_instance=instance("one"), metrics=metrics)
    near = server("near")
    other_domain = server("far", failure_domain="north-b")
    # Regions may use the same names for their failure domains.
    other_region = server("south", region="south")
    for _ in range(2):
        counts.record_attempt(near, ChoiceReason.PREFERRED, 100, 1000)
    counts.record_attempt(other_domain, ChoiceReason.SHORTER_WAIT, 30, 300)
    counts.record_attempt(other_region, ChoiceReason.OVERFLOW, 4, 40)
    counts.record_attempt(other_region, ChoiceReason.SPARE, 5, 50)
    lines = _page(metrics)
    for choice, where, sent, received in (
        ("preferred", "local", 200, 2000),
        ("shorter_wait", "domain", 30, 300),
        ("overflow", "region", 4, 40),
        ("spare", "region", 5, 50),
    ):
        for direction, size in (("sent", sent), ("received", received)):
            assert (
                f'verbenad_server_bytes_total{{choice="{choice}",'
                f'direction="{direction}",distance="{where}"}} {size}'
            ) in lines


def test_calls_are_counted_by_peer_and_distance() -> None:
    """Guards against bytes of updates that look like those of requests."""
    metrics = Metrics()
    counts = ByteCounts(local_instance=instance("one"), metrics=metrics)
    counts.record_store_call(20, 500)
    counts.record_relay_call(instance("two"), 1)
    counts.record_relay_call(
        replace(instance("three"), failure_domain="north-b"), 60
    )
    counts.record_relay_call(instance("four", "south"), 70)
    counts.record_relay_call(instance("four", "south"), 70)
    lines = _page(metrics)
    for peer, where, calls, sent, received in (
        ("store", "unknown", 1, 20, 500),
        ("relay", "local", 1, 0, 1),
        ("relay", "domain", 1, 0, 60),
        ("relay", "region", 2, 0, 140),
    ):
        labels = f'distance="{where}",peer="{peer}"'
        assert f"verbenad_update_calls_total{{{labels}}} {calls}" in lines
        for direction, size in (("sent", sent), ("received", received)):
            assert (
                f'verbenad_update_call_bytes_total{{direction="{direction}",'
                f"{labels}}} {size}"
            ) in lines


def test_each_attempt_reports_only_its_own_bytes(
    pair: tuple[socket.socket, socket.socket],
) -> None:
    """Guards against bytes of earlier requests on a reused connection."""
    forwarder = Forwarder(_Pool(_Connection(pair[0])))  # type: ignore[arg-type]
    for _ in range(2):
        reports: list[tuple[int, int]] = []
        pair[1].sendall(RESPONSE)
        result = forwarder.attempt(
            ForwardRequest(
                request_id="r1",
                method="POST",
                target="/x",
                host="shop.example",
                headers=[],
                body=b"body",
                idempotent=True,
                on_traffic=lambda *sizes, r=reports: r.append(sizes),
            ),
            ("127.0.0.1", 80),
            time.monotonic() + 5.0,
            connection_limit=1,
        )
        response = result.unwrap()
        assert b"".join(response.body) == b"whole"
        response.body.close()
        request = pair[1].recv(10000)
        assert reports == [(len(request), len(RESPONSE))]


def test_failed_attempt_reports_its_bytes(
    pair: tuple[socket.socket, socket.socket],
) -> None:
    """Guards against bytes of failed attempts that nobody counts."""
    forwarder = Forwarder(_Pool(_Connection(pair[0])))  # type: ignore[arg-type]
    reports: list[tuple[int, int]] = []
    pair[1].sendall(RESPONSE[:20])
    pair[1].shutdown(socket.SHUT_WR)
    result = forwarder.attempt(
        ForwardRequest(
            request_id="r1",
            method="GET",
            target="/x",
            host="shop.example",
            headers=[],
            idempotent=True,
            on_traffic=lambda *sizes: reports.append(sizes),
        ),
        ("127.0.0.1", 80),
        time.monotonic() + 5.0,
        connection_limit=1,
    )
    assert result.is_err()
    assert reports == [(len(pair[1].recv(10000)), 20)]
