"""Which instances callers should use."""

from steering_factories import instance
from verbenaworks.steering.instance_directory import InstanceDirectory

NO_REGIONS: frozenset[str] = frozenset()


def _directory(*others: str) -> InstanceDirectory:
    directory = InstanceDirectory(instance("own"))
    for name in others:
        region = "south" if name.startswith("s") else "north"
        directory.register(instance(name, region))
    return directory


def _offered(
    directory: InstanceDirectory,
    now_s: float = 0.0,
    region: str = "north",
    home_regions: frozenset[str] = NO_REGIONS,
    *,
    usable: bool = True,
    leaving: bool = False,
) -> list[str]:
    addresses = directory.addresses(
        now_s,
        region=region,
        home_regions=home_regions,
        own_usable=usable,
        own_leaving=leaving,
    )
    return [a.partition(":")[0] for a in addresses]


def _heartbeat(
    directory: InstanceDirectory, now_s: float, name: str, **state: bool
) -> bool:
    fields = {"usable": True, "leaving": False} | state
    return directory.record_heartbeat(now_s, name, 1, **fields)


def test_callers_get_instances_of_their_region() -> None:
    """Guards against callers that use other regions without need."""
    directory = _directory("n1", "s1")
    assert _offered(directory) == ["n1", "own"]
    assert _offered(directory, region="south") == ["s1"]
    assert _offered(directory, region="west") == ["n1", "own", "s1"]


def test_region_without_instances_uses_the_home_regions() -> None:
    """Guards against a body that is sent outside the home regions."""
    directory = _directory("s1")
    assert _offered(
        directory, region="west", home_regions=frozenset({"south"})
    ) == ["s1"]


def test_instance_without_heartbeats_is_not_offered() -> None:
    """Guards against a dead instance whose registration is still valid."""
    directory = _directory("n1", "n2")
    _heartbeat(directory, 10.0, "n1")
    _heartbeat(directory, 10.0, "n2")
    _heartbeat(directory, 12.0, "n2")
    assert _offered(directory, 12.5) == ["n2", "own"]


def test_leaving_instance_is_not_offered() -> None:
    """Guards against callers that are sent to a closed port."""
    directory = _directory("n1")
    _heartbeat(directory, 1.0, "n1", leaving=True)
    assert _offered(directory, 1.0) == ["own"]
    assert _offered(directory, 1.0, leaving=True) == []


def test_instance_without_the_store_is_offered_last() -> None:
    """Guards against callers with keys at an instance that refuses them."""
    directory = _directory("n1", "n2")
    _heartbeat(directory, 1.0, "n1", usable=False)
    _heartbeat(directory, 1.0, "n2")
    assert _offered(directory, 1.0, usable=False) == ["n2"]
    _heartbeat(directory, 1.0, "n2", usable=False)
    assert _offered(directory, 1.0, usable=False) == ["n1", "n2", "own"]


def test_expired_registrations_are_kept_after_an_outage() -> None:
    """Guards against an empty directory when all leases have expired."""
    directory = _directory("n1")
    directory.record_store_recovery(20.0)
    directory.remove(20.1, "n1")
    assert _offered(directory, 20.2) == ["n1", "own"]
    directory.expire(23.0)
    assert _offered(directory, 23.0) == ["own"]


def test_heartbeat_of_another_incarnation_is_ignored() -> None:
    """Guards against a late datagram of a previous incarnation."""
    directory = _directory("n1")
    assert not directory.record_heartbeat(
        1.0, "n1", 7, usable=True, leaving=False
    )
    assert not directory.record_heartbeat(
        1.0, "nobody", 1, usable=True, leaving=False
    )
