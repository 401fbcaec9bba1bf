"""Which instances take part in the exchange of reports, and its traffic."""

from dataclasses import replace

from steering_factories import instance
from verbenad.metrics import Metrics
from verbenad.steering.peer_traffic import DATAGRAM_HEADER_BYTES, PeerTraffic
from verbenaworks.steering.instance_directory import InstanceDirectory
from verbenaworks.steering.instance_record import InstanceRecord

REGIONS = ("north", "south", "west")


def _fleet(large: int, small: int) -> list[InstanceRecord]:
    """Return large and small instances in each region."""
    return [
        replace(
            instance(f"{region}-{size}-{number}", region), capacity=capacity
        )
        for region in REGIONS
        for size, count, capacity in (
            ("large", large, 2.15),
            ("small", small, 0.43),
        )
        for number in range(count)
    ]


def _directory(
    own: InstanceRecord, fleet: list[InstanceRecord]
) -> InstanceDirectory:
    directory = InstanceDirectory(own)
    for record in fleet:
        directory.register(record)
    return directory


def test_all_instances_derive_the_same_serving_instances() -> None:
    """Guards against a fleet in which nobody is active at the start.

    On matunda-lb-large, 17,406 requests were refused because instances on
    standby waited for each other.
    """
    fleet = _fleet(9, 56)
    serving = {
        _directory(own, fleet).serving_names(0.0) for own in fleet[::40]
    }
    (names,) = serving
    assert all("large" in name for name in names)
    assert {name.partition("-")[0] for name in names} == set(REGIONS)
    assert len(names) <= 18


def test_leaving_instance_does_not_serve() -> None:
    """Guards against callers that are sent to an instance that stops."""
    fleet = _fleet(4, 10)
    directory = _directory(fleet[0], fleet)
    name = sorted(directory.serving_names(0.0))[1]
    record = next(r for r in fleet if r.name == name)
    directory.record_heartbeat(
        1.0, name, record.incarnation, usable=True, leaving=True
    )
    assert name not in directory.serving_names(1.0)


def test_more_instances_serve_under_load() -> None:
    """Guards against a few instances that get more than they can serve."""
    fleet = _fleet(4, 56)
    directory = _directory(fleet[0], fleet)
    few = directory.serving_names(0.0)
    for record in fleet[1:4]:
        directory.record_heartbeat(
            1.0, record.name, 1, usable=True, leaving=False, load=2.0
        )
    assert len(directory.serving_names(1.0)) > len(few)


def test_traffic_is_counted_by_type_and_distance() -> None:
    """Guards against costs of the exchange that nobody can see."""
    own = instance("one")
    metrics = Metrics()
    traffic = PeerTraffic(local_instance=own, metrics=metrics)
    near = replace(instance("two"), failure_domain="north-b")
    for peer in (instance("three"), near, instance("four", "south")):
        traffic.record("PeerReport", peer, 100)
    page = metrics.render().decode()
    for distance in ("local", "domain", "region"):
        labels = f'{{distance="{distance}",type="PeerReport"}}'
        size = 100 + DATAGRAM_HEADER_BYTES
        assert f"verbenad_peer_bytes_total{labels} {size}" in page
        assert f"verbenad_peer_datagrams_total{labels} 1" in page
