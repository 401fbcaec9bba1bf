"""Bytes of the exchange between instances.

Links between failure domains are paid for by the byte.
"""

from collections.abc import Iterator
from dataclasses import replace
from unittest.mock import Mock

import msgspec
import pytest

from steering_factories import instance, workspace
from verbenad.steering.peer_exchange import PeerExchange
from verbenaworks.steering.instance_directory import InstanceDirectory
from verbenaworks.steering.peer_report import PeerBeat, PeerReport
from verbenaworks.steering.workspace_rate_limiter import WorkspaceRateLimiter

FLEET = 30
ACTIVE = 4


@pytest.fixture
def traffic() -> Mock:
    """Return a record of what is sent."""
    return Mock()


@pytest.fixture
def exchange(traffic: Mock) -> Iterator[PeerExchange]:
    """Provide an exchange of an instance of a large fleet."""
    directory = InstanceDirectory(instance("own"))
    records = [
        replace(instance(f"i{number}"), peer_address="127.0.0.1:9")
        for number in range(FLEET)
    ]
    for record in records:
        directory.register(record)
    placement = Mock()
    placement.in_flight.return_value = {}
    placement.bound_requests.return_value = {}
    placement.region_shares.return_value = {}
    placement.rank_admission.reported_demand.return_value = {}
    placement.capacities.packed.return_value = {}
    table = Mock(servers=())
    table.leaving_since.return_value = ()
    limits, rate_limiter, crash_tracker, load = Mock(), Mock(), Mock(), Mock()
    limits.packed.return_value = {}
    rate_limiter.local_usage.return_value = {}
    crash_tracker.recent_crashes.return_value = ()
    load.used_capacity.return_value = 0.0
    load.is_active.return_value = True
    exchange = PeerExchange(
        local_instance=replace(instance("own"), peer_address="127.0.0.1:0"),
        directory=directory,
        table=table,
        placement=placement,
        limits=limits,
        rate_limiter=rate_limiter,
        crash_tracker=crash_tracker,
        load=load,
        traffic=traffic,
        is_usable=lambda: True,
        is_leaving=lambda: False,
        config_version=lambda: 1,
        on_config_version=Mock(),
        on_members=Mock(),
        now_s=lambda: 10.0,
    )
    exchange.peers.set_registered(records)
    for record in records[:ACTIVE]:
        exchange.peers.record_report(record.name, active=True)
    yield exchange
    exchange._socket.close()


def test_new_active_instance_reports_to_those_that_use_it(
    exchange: PeerExchange, traffic: Mock
) -> None:
    """Guards against complete reports to instances on standby.

    On stallkeep-pnw-grown, thirty instances became active within seconds.
    Each sent its report to all 68 others.
    """
    exchange.record_request()
    sent: dict[str, set[str]] = {}
    for message_type, peer, _ in (c.args for c in traffic.record.mock_calls):
        sent.setdefault(message_type, set()).add(peer.name)
    assert sent[PeerReport.__name__] == {f"i{n}" for n in range(ACTIVE)}
    assert sent[PeerBeat.__name__] == {f"i{n}" for n in range(ACTIVE, FLEET)}


def test_usage_of_a_workspace_takes_few_bytes() -> None:
    """Guards against numbers that take nine bytes to say that there is none.

    A complete report names all workspaces.
    """
    rates = WorkspaceRateLimiter(
        instance="one", incarnation=1, window_s=5.0, period_s=0.4
    )
    rates.set_workspaces(0.0, {"acme": workspace("acme", 100.0, 100.0)})
    for number in range(60):
        rates.admit(number / 20, "acme")
    (usage,) = rates.local_usage(3.0).values()
    assert len(msgspec.msgpack.encode(usage)) <= 16
