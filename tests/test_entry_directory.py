"""Which instances callers are sent to."""

from steering_things import instance
from verbenaworks.steering.instance_directory import InstanceDirectory

NOWHERE: frozenset[str] = frozenset()


def _directory(*others: str) -> InstanceDirectory:
    directory = InstanceDirectory(instance("own"))
    for name in others:
        region = "south" if name.startswith("s") else "north"
        directory.register(instance(name, region))
    return directory


def _named(
    directory: InstanceDirectory,
    now_s: float = 0.0,
    region: str = "north",
    homes: frozenset[str] = NOWHERE,
    *,
    usable: bool = True,
    leaving: bool = False,
) -> list[str]:
    addresses = directory.addresses(
        now_s,
        region=region,
        home_regions=homes,
        own_usable=usable,
        own_leaving=leaving,
    )
    return [a.partition(":")[0] for a in addresses]


def _hear(
    directory: InstanceDirectory, now_s: float, name: str, **state: bool
) -> bool:
    fields = {"usable": True, "leaving": False} | state
    return directory.record_heartbeat(now_s, name, 1, **fields)


def test_callers_get_instances_of_their_region() -> None:
    """Guards against callers that cross regions without need."""
    directory = _directory("n1", "s1")
    assert _named(directory) == ["n1", "own"]
    assert _named(directory, region="south") == ["s1"]
    assert _named(directory, region="west") == ["n1", "own", "s1"]


def test_region_without_instances_uses_the_homes() -> None:
    """Guards against a body that is sent to a region that is no home."""
    directory = _directory("s1")
    assert _named(directory, region="west", homes=frozenset({"south"})) == [
        "s1"
    ]


def test_silent_instance_is_not_named() -> None:
    """Guards against a dead instance whose registration still lasts."""
    directory = _directory("n1", "n2")
    _hear(directory, 10.0, "n1")
    _hear(directory, 10.0, "n2")
    _hear(directory, 12.0, "n2")
    assert _named(directory, 12.5) == ["n2", "own"]


def test_leaving_instance_is_not_named() -> None:
    """Guards against callers that meet a closed port."""
    directory = _directory("n1")
    _hear(directory, 1.0, "n1", leaving=True)
    assert _named(directory, 1.0) == ["own"]
    assert _named(directory, 1.0, leaving=True) == []


def test_instance_without_the_store_is_named_last() -> None:
    """Guards against callers with keys at an instance that refuses them."""
    directory = _directory("n1", "n2")
    _hear(directory, 1.0, "n1", usable=False)
    _hear(directory, 1.0, "n2")
    assert _named(directory, 1.0, usable=False) == ["n2"]
    _hear(directory, 1.0, "n2", usable=False)
    assert _named(directory, 1.0, usable=False) == ["n1", "n2", "own"]


def test_lapsed_registrations_are_waited_for_after_an_outage() -> None:
    """Guards against an empty directory when all leases lapsed."""
    directory = _directory("n1")
    directory.record_store_recovery(20.0)
    directory.remove(20.1, "n1")
    assert _named(directory, 20.2) == ["n1", "own"]
    directory.expire(23.0)
    assert _named(directory, 23.0) == ["own"]


def test_report_of_another_run_is_no_sign_of_life() -> None:
    """Guards against a late datagram of a process that has ended."""
    directory = _directory("n1")
    assert not directory.record_heartbeat(
        1.0, "n1", 7, usable=True, leaving=False
    )
    assert not directory.record_heartbeat(
        1.0, "nobody", 1, usable=True, leaving=False
    )
