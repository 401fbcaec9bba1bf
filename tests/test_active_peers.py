"""Which instances exchange reports, and which count for rates."""

from steering_things import instance
from verbenaworks.steering.active_peers import (
    DISTANT_BEATS,
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
    """Guards against a small fleet that waits for first requests."""
    peers = _peers(SMALL_FLEET_MAX_INSTANCES - 1)
    assert len(peers.report_recipients) == SMALL_FLEET_MAX_INSTANCES - 1
    assert len(peers.members) == SMALL_FLEET_MAX_INSTANCES
    assert peers.heartbeat_recipients() == []


def test_large_fleet_exchanges_with_those_that_serve() -> None:
    """Guards against reports whose number grows with the square."""
    peers = _peers(64)
    assert peers.report_recipients == []
    assert peers.record_report("i1", active=True)
    assert not peers.record_report("i1", active=True)
    assert peers.record_report("i2", active=True)
    assert [p.name for p in peers.report_recipients] == ["i1", "i2"]
    assert peers.members == {"own", "i1", "i2"}
    peers.record_report("i1", active=False)
    assert peers.members == {"own", "i2"}


def test_unknown_fleet_counts_as_serving() -> None:
    """Guards against an instance that takes a whole rate while cut off."""
    assert len(_peers(64).members) == 65


def test_instances_that_a_peer_misses_count() -> None:
    """Guards against the use of rates on the other side of a cut."""
    peers = _peers(64)
    peers.record_report("i1", active=True, missing=("i5", "gone"))
    assert peers.members == {"own", "i1", "i5"}
    peers.record_report("i1", active=True)
    assert peers.members == {"own", "i1"}


def test_restarted_instance_is_in_reserve() -> None:
    """Guards against an earlier run that is waited for for ever."""
    peers = _peers(20)
    peers.record_report("i1", active=True)
    records = [instance(f"i{number}", "west") for number in range(20)]
    peers.set_registered(records)
    assert peers.report_recipients == []
    peers.set_registered(records[2:])
    assert not peers.record_report("i1", active=True)


def test_signs_of_life_reach_all_by_turns() -> None:
    """Guards against instances that never hear who serves."""
    peers = _peers(100)
    near = {f"i{number}" for number in range(0, 100, 3)}
    told: set[str] = set()
    for _ in range(66 // DISTANT_BEATS + 1):
        names = {record.name for record in peers.heartbeat_recipients()}
        assert near <= names
        assert len(names) <= len(near) + DISTANT_BEATS
        told |= names
    assert len(told) == 100
