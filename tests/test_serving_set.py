"""Which instances of a region serve its callers."""

from dataclasses import replace

from steering_factories import instance
from verbenaworks.steering.instance_load import InstanceLoad, instance_capacity
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.serving_set import serving_set


def _fleet(count: int, capacity: float, *domains: str) -> list[InstanceRecord]:
    return [
        replace(
            instance(f"i{capacity}-{domain}-{number}"),
            capacity=capacity,
            failure_domain=domain,
        )
        for domain in domains
        for number in range(count)
    ]


def test_few_large_instances_serve_before_many_small_ones() -> None:
    """Guards against small instances that get as much as large ones."""
    records = _fleet(2, 2.15, "a", "b") + _fleet(9, 0.25, "a", "b")
    assert {r.capacity for r in serving_set(records, 0.5)} == {2.15}
    assert len(serving_set(records, 0.5)) == 4


def test_small_fleets_serve_as_a_whole() -> None:
    """Guards against a set without a second instance."""
    records = _fleet(2, 0.86, "a", "b")
    assert len(serving_set(records, 0.0)) == 4
    assert len(serving_set(records[:3], 0.0)) == 3
    assert serving_set([], 0.0) == []


def test_more_instances_serve_under_load() -> None:
    """Guards against a few instances that get more than they can serve."""
    records = _fleet(10, 0.86, "a", "b", "c")
    counts = [len(serving_set(records, load)) for load in (0.1, 3.0, 20.0)]
    assert counts[0] == 6
    assert counts[0] < counts[1] < counts[2] == 30


def test_loss_of_a_domain_leaves_a_choice() -> None:
    """Guards against a set in a single failure domain."""
    large = _fleet(8, 2.0, "a")
    records = large + _fleet(4, 0.5, "b")
    assert {r.failure_domain for r in serving_set(records, 0.1)} == {"a", "b"}


def test_growth_keeps_the_serving_instances() -> None:
    """Guards against callers that change instances without need."""
    records = _fleet(10, 0.86, "a", "b", "c")
    few = {r.name for r in serving_set(records, 0.1)}
    more = {r.name for r in serving_set(records, 4.0)}
    assert few < more


def test_slow_link_limits_the_capacity() -> None:
    """Guards against uploads that saturate a slow link."""
    assert instance_capacity(0.43, 5.0) < 0.43
    assert instance_capacity(2.15, 100.0) == 2.15
    assert instance_capacity(0.86, 0.0) == 0.86
    load = InstanceLoad(capacity=0.25, link_mbps=5.0)
    for step in range(100):
        load.record_request(step / 10, 60_000)
    # 10 bodies of 60 kB a second are more than half of 5 Mbit/s.
    assert load.used_capacity(10.0) > 0.25


def test_instance_without_requests_is_on_standby() -> None:
    """Guards against full reports from instances without requests."""
    load = InstanceLoad(capacity=1.0, link_mbps=0.0)
    assert not load.is_active(0.0)
    for step in range(40):
        load.record_request(step / 10, 0)
    assert load.is_active(5.0)
    assert not load.is_active(60.0)


def test_a_few_requests_do_not_make_an_instance_active() -> None:
    """Guards against reports that grow with the fleet squared.

    On matunda-lb-large, the users check each instance with a few requests;
    187 of 195 instances exchanged full reports.
    """
    load = InstanceLoad(capacity=1.0, link_mbps=0.0)
    for second in range(60):
        load.record_request(float(second), 0)
        assert not load.is_active(float(second))


def test_active_instance_stays_active_at_a_lower_rate() -> None:
    """Guards against instances that join and leave the reports in turn."""
    load = InstanceLoad(capacity=1.0, link_mbps=0.0)
    for step in range(50):
        load.record_request(step / 10, 0)
    for step in range(60):
        load.record_request(5.0 + step / 2, 0)
    assert load.is_active(35.0)
