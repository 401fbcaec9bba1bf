"""Which instances watch the store for the others."""

from dataclasses import replace

from steering_things import instance
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


def test_small_fleet_watches_for_itself() -> None:
    """Guards against a detour where it saves little."""
    assert choose_relays(_fleet(16)) == []


def test_relays_stand_in_all_domains_and_are_large() -> None:
    """Guards against news that ends with one failure domain."""
    chosen = choose_relays(_fleet(64))
    assert len(chosen) == 4
    assert len({r.failure_domain for r in chosen}) == 3
    assert {r.capacity for r in chosen} == {2.0}
    assert len(choose_relays(_fleet(320))) == 20


def test_choice_does_not_depend_on_the_order() -> None:
    """Guards against instances that choose differently."""
    fleet = _fleet(64)
    assert choose_relays(fleet) == choose_relays(list(reversed(fleet)))


def test_relays_share_the_others() -> None:
    """Guards against one relay that is asked by all."""
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
