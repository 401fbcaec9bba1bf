"""Connections to backend servers."""

import time

from result import Err

from edge_process import BackendConnection, RawBackend, raw_backend
from verbenad.upstream_connection import UpstreamConnection
from verbenad.upstream_pool import ConnectFailure, PoolSettings, UpstreamPool


class _Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.time_s = 100.0

    def __call__(self) -> float:
        return self.time_s


def _hold(connection: BackendConnection, number: int) -> None:
    connection.wait_for_close()


def _acquire(
    pool: UpstreamPool,
    backend: RawBackend,
    *,
    connection_limit: int = 10,
    idempotent: bool = True,
    new_connection: bool = False,
) -> UpstreamConnection:
    return pool.acquire(
        backend.address,
        connection_limit=connection_limit,
        idempotent=idempotent,
        new_connection=new_connection,
    ).unwrap()


def test_released_connection_is_reused() -> None:
    """Guards against opening a new connection for each request."""
    pool = UpstreamPool()
    with raw_backend(_hold) as backend:
        first = _acquire(pool, backend)
        assert not first.reused
        pool.release(first)
        second = _acquire(pool, backend)
        assert second is first
        assert second.reused


def test_connection_in_use_is_not_handed_out() -> None:
    """Guards against two requests on one connection."""
    pool = UpstreamPool()
    with raw_backend(_hold) as backend:
        assert _acquire(pool, backend) is not _acquire(pool, backend)


def test_discarded_connection_is_not_reused() -> None:
    """Guards against reading the rest of an earlier response."""
    pool = UpstreamPool()
    with raw_backend(_hold) as backend:
        first = _acquire(pool, backend)
        pool.discard(first)
        assert _acquire(pool, backend) is not first
        assert pool.total(backend.address) == 1


def test_connection_that_the_server_closed_is_not_reused() -> None:
    """Guards against sending a request into a closed connection."""

    def close_on_byte(connection: BackendConnection, number: int) -> None:
        connection.read_exactly(1)

    pool = UpstreamPool()
    with raw_backend(close_on_byte) as backend:
        first = _acquire(pool, backend)
        first.stream.send_all(b"x", 1.0)
        pool.release(first)
        # The connection is closed once the handler has read the byte.
        while not first.stream.has_input():
            time.sleep(0.001)
        assert _acquire(pool, backend) is not first
        assert pool.counters["closed_by_target"] == 1


def test_connection_with_unexpected_bytes_is_not_reused() -> None:
    """Guards against unsolicited bytes that are read as a response."""

    def send_unsolicited(connection: BackendConnection, number: int) -> None:
        connection.send(b"HTTP/1.1 408 Timeout\r\n\r\n")
        connection.wait_for_close()

    pool = UpstreamPool()
    with raw_backend(send_unsolicited) as backend:
        first = _acquire(pool, backend)
        pool.release(first)
        while not first.stream.has_input():
            time.sleep(0.001)
        assert _acquire(pool, backend) is not first


def test_old_connection_is_not_used_for_non_idempotent_requests() -> None:
    """Guards against orders that are sent over a closing connection."""
    clock = _Clock()
    pool = UpstreamPool(now_s=clock)
    with raw_backend(_hold) as backend:
        first = _acquire(pool, backend)
        pool.release(first)
        clock.time_s += 0.9
        assert _acquire(pool, backend, idempotent=False) is first
        pool.release(first)
        clock.time_s += 1.0
        assert _acquire(pool, backend, idempotent=False) is not first
        assert _acquire(pool, backend, idempotent=True) is first


def test_idle_connections_are_closed_by_age() -> None:
    """Guards against connections that are kept forever."""
    clock = _Clock()
    pool = UpstreamPool(PoolSettings(idle_timeout_s=5.0), now_s=clock)
    with raw_backend(_hold) as backend:
        first = _acquire(pool, backend)
        pool.release(first)
        clock.time_s += 4.9
        pool.close_expired()
        assert pool.total(backend.address) == 1
        clock.time_s += 0.2
        pool.close_expired()
        assert pool.total(backend.address) == 0


def test_limit_counts_idle_connections() -> None:
    """Guards against more connections than the target's share."""
    clock = _Clock()
    pool = UpstreamPool(now_s=clock)
    with raw_backend(_hold) as backend:
        first, second = _acquire(pool, backend), _acquire(pool, backend)
        outcome = pool.acquire(
            backend.address, connection_limit=2, idempotent=True
        )
        assert outcome == Err(ConnectFailure.LIMIT)
        pool.release(first)
        third = _acquire(
            pool, backend, connection_limit=2, new_connection=True
        )
        assert third is not first
        assert pool.total(backend.address) == 2
        pool.release(second)
        pool.release(third)
        assert pool.total(backend.address) == 2


def test_failed_connect_leaves_no_count() -> None:
    """Guards against failed connects that count towards the limit."""
    pool = UpstreamPool()
    with raw_backend(_hold) as backend:
        pass
    for _ in range(3):
        outcome = pool.acquire(
            backend.address, connection_limit=1, idempotent=True
        )
        assert outcome == Err(ConnectFailure.REFUSED)
    assert pool.total(backend.address) == 0


def test_close_target_closes_idle_connections() -> None:
    """Guards against idle connections to a server that has left."""
    pool = UpstreamPool()
    with raw_backend(_hold) as backend:
        used, idle = _acquire(pool, backend), _acquire(pool, backend)
        pool.release(idle)
        pool.close_target(backend.address)
        assert pool.total(backend.address) == 1
        assert pool.in_use(backend.address) == 1
        pool.release(used)


def test_connections_are_used_sooner_where_idle_ones_are_reset() -> None:
    """Guards against requests that are lost with dropped connections."""
    clock = _Clock()
    pool = UpstreamPool(PoolSettings(idle_timeout_s=5.0), now_s=clock)
    with raw_backend(_hold) as backend:
        pool.release(_acquire(pool, backend))
        clock.time_s += 0.4
        dropped = _acquire(pool, backend)
        assert dropped.reused
        pool.record_idle_reset(dropped)
        pool.discard(dropped)
        pool.release(_acquire(pool, backend, new_connection=True))
        clock.time_s += 0.3
        assert not _acquire(pool, backend).reused
        pool.release(_acquire(pool, backend, new_connection=True))
        clock.time_s += 0.1
        assert _acquire(pool, backend).reused


def test_resets_of_idle_connections_are_forgotten() -> None:
    """Guards against new connections long after the last reset."""
    clock = _Clock()
    pool = UpstreamPool(PoolSettings(idle_timeout_s=5.0), now_s=clock)
    with raw_backend(_hold) as backend:
        pool.release(_acquire(pool, backend))
        clock.time_s += 0.4
        pool.record_idle_reset(_acquire(pool, backend))
        clock.time_s += 60.0
        pool.release(_acquire(pool, backend, new_connection=True))
        clock.time_s += 1.0
        assert _acquire(pool, backend).reused
