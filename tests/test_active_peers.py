"""Which instances exchange full reports, and which count for rates."""

from steering_factories import instance
from verbenaworks.steering.active_peers import (
    REMOTE_HEARTBEATS_PER_ROUND,
    SMALL_FLEET_MAX_INSTANCES,
    ActivePeers,
)


def _peers(count: int) -> ActivePeers:
    peers = ActivePeers(instance("own"))
    peers.set_registered(
        instance(f"i{number}", "north" if number % 3 == 0 else "south")
        for number in range(count)
    )
    return peers


def test_small_fleet_exchanges_with_all() -> None:
    """Guards against a small fleet that reports only after requests."""
    peers = _peers(SMALL_FLEET_MAX_INSTANCES - 1)
    assert len(peers.report_recipients) == SMALL_FLEET_MAX_INSTANCES - 1
    assert len(peers.members) == SMALL_FLEET_MAX_INSTANCES
    assert peers.heartbeat_recipients() == []


def test_large_fleet_exchanges_with_those_that_serve() -> None:
    """Guards against reports whose number grows with the fleet squared."""
    peers = _peers(64)
    assert peers.report_recipients == []
    assert peers.record_report("i1", active=True)
    assert not peers.record_report("i1", active=True)
    assert peers.record_report("i2", active=True)
    assert [p.name for p in peers.report_recipients] == ["i1", "i2"]
    assert peers.members == {"own", "i1", "i2"}
    peers.record_report("i1", active=False)
    assert peers.members == {"own", "i2"}


def test_all_instances_count_before_any_report() -> None:
    """Guards against an isolated instance that uses a whole rate alone."""
    assert len(_peers(64).members) == 65


def test_instances_that_should_serve_count_before_any_report() -> None:
    """Guards against even shares for instances that accept nothing.

    On sankei-lots-grown, 80 of 89 instances counted, and 2,051 requests inside
    their rates were refused within four seconds.
    """
    peers = _peers(64)
    peers.set_serving(frozenset({"i1", "i2", "own", "gone"}))
    assert peers.members == {"own", "i1", "i2"}
    peers.record_report("i3", active=True)
    assert peers.members == {"own", "i1", "i2", "i3"}


def test_instances_missing_at_a_peer_count() -> None:
    """Guards against uncounted use beyond a network partition."""
    peers = _peers(64)
    peers.record_report("i1", active=True, missing=("i5", "gone"))
    assert peers.members == {"own", "i1", "i5"}
    peers.record_report("i1", active=True)
    assert peers.members == {"own", "i1"}


def test_restarted_instance_is_on_standby() -> None:
    """Guards against a previous incarnation that stays active forever."""
    peers = _peers(20)
    peers.record_report("i1", active=True)
    records = [instance(f"i{number}", "west") for number in range(20)]
    peers.set_registered(records)
    assert peers.report_recipients == []
    peers.set_registered(records[2:])
    assert not peers.record_report("i1", active=True)


def test_heartbeats_reach_all_instances_in_turn() -> None:
    """Guards against instances that never learn which others are active."""
    peers = _peers(100)
    local = {f"i{number}" for number in range(0, 100, 3)}
    reached: set[str] = set()
    for _ in range(66 // REMOTE_HEARTBEATS_PER_ROUND + 1):
        names = {record.name for record in peers.heartbeat_recipients()}
        assert local <= names
        assert len(names) <= len(local) + REMOTE_HEARTBEATS_PER_ROUND
        reached |= names
    assert len(reached) == 100
