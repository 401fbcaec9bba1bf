"""Requests to peers that send more than they should."""

import time
import zlib

import pytest
import urllib3

from edge_process import BackendConnection, raw_backend
from verbenad.bounded_fetch import (
    MAX_RESPONSE_BYTES,
    FetchTimeouts,
    ResponseTooLargeError,
    decompress,
    fetch,
)
from verbenad.steering.platform_client import RelayUnavailableError
from verbenad.steering.relay_client import RelayClient
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.store_item import StorePosition

_TIMEOUTS = FetchTimeouts(connect_s=1.0, response_s=2.0)
_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def _send_endlessly(connection: BackendConnection, number: int) -> None:
    connection.read_request()
    connection.send(_CHUNKED)
    while True:
        connection.send(b"1000\r\n" + b"x" * 4096 + b"\r\n")


def _pool(port: int) -> urllib3.HTTPConnectionPool:
    return urllib3.HTTPConnectionPool(
        "127.0.0.1", port, maxsize=1, retries=False
    )


def _relay(port: int) -> RelayClient:
    record = InstanceRecord(
        name="relay",
        incarnation=1,
        region="north",
        failure_domain="north-a",
        caller_address="127.0.0.1:1",
        peer_address=f"127.0.0.1:{port}",
        capacity=1.0,
    )
    return RelayClient(record, time.monotonic)


def test_endless_response_is_given_up_at_its_limit() -> None:
    """Guards against a response that is kept until the memory ends."""
    with (
        raw_backend(_send_endlessly) as peer,
        pytest.raises(ResponseTooLargeError),
    ):
        fetch(
            _pool(peer.port),
            "GET",
            "/",
            timeouts=_TIMEOUTS,
            limit_bytes=100_000,
        )


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull",
        _CHUNKED + b"4\r\nfull\r\n0\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\n\r\n",
    ],
)
def test_whole_response_keeps_its_connection(response: bytes) -> None:
    """Guards against a new connection for each request."""

    def handle(connection: BackendConnection, number: int) -> None:
        while True:
            connection.read_request()
            connection.send(response)

    with raw_backend(handle) as peer:
        pool = _pool(peer.port)
        for _ in range(3):
            fetched = fetch(pool, "GET", "/", timeouts=_TIMEOUTS)
            assert fetched.data == (b"" if fetched.status == 204 else b"full")
        assert peer.accepted == 1


def test_endless_update_of_a_relay_is_given_up() -> None:
    """Guards against a relay that ends the instances behind it."""
    with (
        raw_backend(_send_endlessly) as peer,
        pytest.raises(RelayUnavailableError),
    ):
        _relay(peer.port).read(StorePosition(era=1, revision=1), 0.0)


@pytest.mark.parametrize("reads_config", [True, False])
def test_update_that_grows_without_end_is_given_up(reads_config: bool) -> None:
    """Guards against a short response with a huge content."""
    data = zlib.compress(bytes(2 * MAX_RESPONSE_BYTES), 9)

    def handle(connection: BackendConnection, number: int) -> None:
        connection.read_request()
        connection.send(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data) + data
        )

    with (
        raw_backend(handle) as peer,
        pytest.raises(RelayUnavailableError),
    ):
        if reads_config:
            _relay(peer.port).read_config()
        else:
            _relay(peer.port).read(StorePosition(era=1, revision=1), 0.0)


def test_incomplete_content_is_refused() -> None:
    """Guards against a part of an update that is taken as the whole."""
    data = zlib.compress(b"a line of an update " * 50)
    assert decompress(data) == b"a line of an update " * 50
    with pytest.raises(zlib.error):
        decompress(data[:-8])
