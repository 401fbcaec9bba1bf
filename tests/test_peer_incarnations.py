"""Reports of an instance whose time of day jumped back between restarts."""

from collections.abc import Iterator
from dataclasses import replace
from unittest.mock import Mock

import pytest

from steering_factories import instance
from verbenad.steering.peer_exchange import PeerExchange
from verbenaworks.steering.instance_directory import InstanceDirectory
from verbenaworks.steering.peer_report import PeerBeat
from verbenaworks.steering.rate_ledger import RateLedger

FIRST = 2000
# The time of day was set back before the restart.
SECOND = 1000


@pytest.fixture
def directory() -> InstanceDirectory:
    """Return a directory with the first incarnation of a peer."""
    directory = InstanceDirectory(instance("own"))
    directory.register(replace(instance("peer"), incarnation=FIRST))
    return directory


@pytest.fixture
def exchange(directory: InstanceDirectory) -> Iterator[PeerExchange]:
    """Provide an exchange of one instance."""
    parts = {
        name: Mock()
        for name in (
            *("table", "placement", "limits", "rate_limiter"),
            *("crash_tracker", "load", "traffic", "is_usable", "is_leaving"),
            *("config_version", "on_config_version", "on_members"),
        )
    }
    exchange = PeerExchange(
        local_instance=replace(instance("own"), peer_address="127.0.0.1:0"),
        directory=directory,
        now_s=lambda: 10.0,
        **parts,
    )
    yield exchange
    exchange._socket.close()


def _is_taken(exchange: PeerExchange, incarnation: int, number: int) -> bool:
    beat = PeerBeat(
        name="peer",
        incarnation=incarnation,
        number=number,
        usable=True,
        leaving=False,
        active=True,
        load=0.0,
        config_version=1,
    )
    return exchange._handle_heartbeat(beat, ())


def test_restarted_instance_with_an_earlier_clock_is_heard(
    exchange: PeerExchange, directory: InstanceDirectory
) -> None:
    """Guards against reports that are dropped until the clock catches up."""
    assert _is_taken(exchange, FIRST, 7)
    directory.register(replace(instance("peer"), incarnation=SECOND))
    assert _is_taken(exchange, SECOND, 1)
    assert not _is_taken(exchange, SECOND, 1)
    # A late datagram of the incarnation before.
    assert not _is_taken(exchange, FIRST, 8)
    assert _is_taken(exchange, SECOND, 2)


def test_use_of_an_incarnation_with_an_earlier_clock_is_counted() -> None:
    """Guards against a limit that does not count a restarted instance."""
    ledger = RateLedger(window_s=5.0)
    ledger.record_total(0.0, "peer", FIRST, 3, 3)
    ledger.record_total(1.0, "peer", SECOND, 4, 4)
    assert ledger.counted(1.0) == 7
