"""Which instances watch the store and relay its updates."""

from dataclasses import replace

from steering_factories import instance
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.relay_choice import choose_relays, relay_order


def _fleet(count: int) -> list[InstanceRecord]:
    return [
        replace(
            instance(f"i{number}", ("north", "south", "west")[number % 3]),
            capacity=2.0 if number < 6 else 0.25,
        )
        for number in range(count)
    ]


def test_small_fleet_has_no_relays() -> None:
    """Guards against relays where they save few calls."""
    assert choose_relays(_fleet(16)) == []


def test_relays_are_large_and_in_all_domains() -> None:
    """Guards against updates that depend on one failure domain."""
    chosen = choose_relays(_fleet(64))
    assert len(chosen) == 4
    assert len({r.failure_domain for r in chosen}) == 3
    assert {r.capacity for r in chosen} == {2.0}
    assert len(choose_relays(_fleet(320))) == 20


def test_choice_does_not_depend_on_the_order() -> None:
    """Guards against instances that choose different relays."""
    fleet = _fleet(64)
    assert choose_relays(fleet) == choose_relays(list(reversed(fleet)))


def test_relays_share_the_load() -> None:
    """Guards against a relay that all instances ask first."""
    fleet = _fleet(320)
    chosen = choose_relays(fleet)
    asked: dict[str, int] = {}
    for own in fleet:
        order = relay_order(own, chosen)
        assert order[0].region == own.region
        assert len(order) == len(chosen)
        asked[order[0].name] = asked.get(order[0].name, 0) + 1
    assert len(asked) > 15
    assert max(asked.values()) < 40
