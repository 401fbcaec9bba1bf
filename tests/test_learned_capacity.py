"""Learned capacities of all servers, and what they decide."""

from collections.abc import Iterable

import msgspec
import pytest

from capacity_report import capacity_report
from steering_factories import placement, route, server
from steering_model import SteeringModel, constant
from steering_model_types import ModelSize
from uneven_servers import run, set_equal, set_unequal
from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.learned_capacities import LearnedCapacities
from verbenaworks.steering.peer_report import PeerReport
from verbenaworks.steering.placement import Placement
from verbenaworks.steering.placement_result import Placed, PlacementRequest
from verbenaworks.steering.report_summary import incarnation_hash
from verbenaworks.steering.server_capacity import ServerCapacity
from verbenaworks.steering.server_table import ServerTable
from verbenaworks.wire import decode, encode

SERVERS = [server(f"s{number}") for number in range(6)]
SLOW = SERVERS[0]
ON = {"learned_capacity": True}
OFF = {"learned_capacity": False}


def _learn(
    capacities: LearnedCapacities,
    slow: Iterable[BackendServer],
    from_s: float = 0.0,
    servers: Iterable[BackendServer] = SERVERS,
) -> None:
    """Observe 10 s with one response per second of each server."""
    for second in range(10):
        for observed in servers:
            capacities.observe(
                from_s + second,
                observed,
                load=1 + second % 4,
                took_s=0.4 if observed in slow else 0.2,
                usual_s=0.2,
            )


def _factor(
    capacities: LearnedCapacities, now_s: float, of: BackendServer = SLOW
) -> float:
    return capacities.capacity(now_s, of).time_factor


def _learned(slow: Iterable[BackendServer] = (SLOW,)) -> LearnedCapacities:
    capacities = LearnedCapacities(region="north")
    _learn(capacities, slow)
    return capacities


def test_slow_server_is_told_apart_from_a_slow_service() -> None:
    """Guards against slow servers where all take longer, as under load."""
    assert _factor(_learned(), 9.5) > 1.5
    assert _factor(_learned(), 9.5, SERVERS[1]) == 1.0
    everywhere = _learned(SERVERS)
    assert not everywhere.that_differ(9.5, SERVERS)
    assert not everywhere.packed(9.5, SERVERS)


def test_switched_off_nothing_is_learned_or_adopted() -> None:
    """Guards against a switch that leaves parts on."""
    capacities = LearnedCapacities(region="north", is_enabled=False)
    _learn(capacities, [SLOW])
    report = capacity_report("a", _learned().packed(9.5, SERVERS))
    capacities.record(9.5, report)
    assert not capacities.that_differ(9.5, SERVERS)


def test_restarted_instance_adopts_the_values_of_its_peers() -> None:
    """Guards against an instance that learns from late responses again."""
    restarted = LearnedCapacities(region="north")
    assert _factor(restarted, 10.0) == 1.0
    packed = _learned().packed(10.0, SERVERS)
    assert packed.keys() == {incarnation_hash(SLOW)}
    restarted.record(10.5, capacity_report("a", packed))
    assert _factor(restarted, 10.5) > 1.5
    # They would circulate for ever.
    assert not restarted.packed(10.5, SERVERS)


def test_silent_peer_is_forgotten() -> None:
    """Guards against values of a peer that has been cut off for long."""
    capacities = LearnedCapacities(region="north")
    packed = _learned().packed(10.0, SERVERS)
    capacities.record(10.0, capacity_report("a", packed))
    assert _factor(capacities, 25.0) > 1.5
    assert _factor(capacities, 45.0) == 1.0


def test_own_samples_take_precedence() -> None:
    """Guards against peers that outvote what an instance sees itself."""
    capacities = _learned(())
    key = incarnation_hash(SLOW)
    capacities.record(9.5, capacity_report("a", {key: (40, 300, 255)}))
    assert _factor(capacities, 10.0) == 1.0


def test_limit_of_a_peer_holds_until_own_samples_contradict() -> None:
    """Guards against a limit that each instance has to exceed to learn it."""
    capacities = LearnedCapacities(region="north")
    key = incarnation_hash(SLOW)
    for second in range(10):
        capacities.observe(second, SLOW, load=2.0, took_s=0.2, usual_s=0.2)
    capacities.record(10.0, capacity_report("a", {key: (20, 100, 50)}))
    assert capacities.capacity(10.0, SLOW).usable_slots == 2.0
    for second in range(10, 20):
        capacities.observe(second, SLOW, load=4.0, took_s=0.2, usual_s=0.2)
    assert capacities.capacity(20.0, SLOW).usable_slots == SLOW.slots


def test_unusable_values_of_a_peer_are_ignored() -> None:
    """Guards against a division by zero after a faulty report."""
    capacities = LearnedCapacities(region="north")
    key = incarnation_hash(SLOW)
    for values in ((0, 100, 9), (40, 0, 9), (40, 100, 0), (40, -5, 9)):
        capacities.record(1.0, capacity_report("a", {key: values}))
    assert not capacities.that_differ(1.0, SERVERS)


def test_cut_off_instance_learns_on_its_own() -> None:
    """Guards against learning that needs reports."""
    capacities = _learned()
    _learn(capacities, [SERVERS[1]], from_s=20.0)
    assert _factor(capacities, 30.0) == 1.0
    assert _factor(capacities, 30.0, SERVERS[1]) > 1.5


def test_new_incarnation_starts_from_the_configured_values() -> None:
    """Guards against a server that is judged by its previous process."""
    capacities = _learned()
    new = server("s0", started_at_ms=2000)
    assert _factor(capacities, 9.5, new) == 1.0
    capacities.forget_removed([new, *SERVERS[1:]])
    assert _factor(capacities, 9.5) == 1.0


def test_servers_of_other_regions_are_not_learned() -> None:
    """Guards against a long way that is taken for a slow server."""
    capacities = LearnedCapacities(region="south")
    _learn(capacities, [SLOW])
    assert not capacities.that_differ(9.5, SERVERS)


def test_reports_of_the_previous_version_can_be_read() -> None:
    """Guards against instances that drop reports during an update."""
    data = encode(capacity_report("a", {1: (30, 200, 9)}))
    decoded = decode(data)
    assert isinstance(decoded, PeerReport)
    assert decoded.capacity == {1: (30, 200, 9)}
    fields = msgspec.to_builtins(decoded)
    old = msgspec.convert(fields[:-2], PeerReport)
    assert old.capacity == {}


def _request(affinity_key: str) -> PlacementRequest:
    return PlacementRequest(
        route=route(),
        service="stock",
        affinity_key=affinity_key,
        time_left_s=1.5,
        home_regions=frozenset(),
    )


def _chooser() -> Placement:
    table = ServerTable()
    for reported in SERVERS:
        table.report(0.0, reported)
    return placement(table)


def _choose(chooser: Placement, now_s: float, *, took_s: float) -> Placed:
    placed = chooser.choose(now_s, _request("17"), 8.0)
    assert isinstance(placed, Placed)
    chooser.record_response(now_s, _request("17"), placed, took_s)
    return placed


def test_slow_home_is_replaced_only_by_a_server_without_a_wait() -> None:
    """Guards against objects that stay at a slow home for ever.

    A single request would be served sooner there than at a server that has to
    load the object's data.
    """
    chooser = _chooser()
    home = _choose(chooser, 1.0, took_s=0.2).server
    assert _choose(chooser, 1.1, took_s=0.2).server == home
    others = [s for s in SERVERS if s != home]
    key = incarnation_hash(home)
    chooser.capacities.record(
        1.1, capacity_report("a", {key: (10 * home.slots, 200, 50)})
    )
    for other in others:
        for _ in range(other.slots):
            chooser.request_started(other)
    assert _choose(chooser, 2.0, took_s=0.4).server == home
    for other in others:
        for _ in range(other.slots):
            chooser.request_ended(other)
    substitute = _choose(chooser, 2.1, took_s=0.64).server
    assert substitute != home
    assert _choose(chooser, 2.2, took_s=0.2).server == substitute


def test_learned_slots_count_in_the_wait() -> None:
    """Guards against requests that are sent to slots which do not work."""
    chooser = _chooser()
    placed = _choose(chooser, 1.0, took_s=0.2)
    home = placed.server
    key = incarnation_hash(home)
    for _ in range(2):
        chooser.request_started(home)
    assert _choose(chooser, 1.1, took_s=0.2).wait_s == 0.0
    chooser.capacities.record(1.1, capacity_report("a", {key: (20, 100, 50)}))
    _choose(chooser, 2.0, took_s=0.2)
    assert chooser.load_of(home).wait_s(2.0, 0.2) > 0.0


def test_slow_servers_are_fewer_slots_of_a_region() -> None:
    """Guards against a region that keeps more than its servers can do."""
    slow = ServerCapacity(usable_slots=4.0, time_factor=2.0)
    fast = ServerCapacity(usable_slots=4.0, time_factor=0.5)
    assert (slow.relative_slots(4), fast.relative_slots(4)) == (2.0, 4.0)


@pytest.mark.parametrize("load", [0.3, 0.7])
def test_nothing_changes_while_servers_are_as_configured(load: float) -> None:
    """Guards against a loss for deployments without such servers."""
    results = [
        run(set_equal, load=load, seed=3, switches=switches, duration_s=12.0)
        for switches in (ON, OFF)
    ]
    assert results[0] == results[1]


def test_more_responses_are_in_time_with_unequal_servers() -> None:
    """Guards against learned values that cost more than they bring."""
    on, off = (
        sum(
            run(set_unequal, load=0.3, seed=seed, switches=switches).useful
            for seed in (1, 2)
        )
        for switches in (ON, OFF)
    )
    assert on > 1.01 * off


def test_restart_of_an_instance_does_not_lose_what_the_fleet_knows() -> None:
    """Guards against an instance that starts without the fleet's values."""
    model = SteeringModel(
        per_s=constant(0.3 * ModelSize().capacity_per_s), seed=1
    )
    set_unequal(model, 20.0)
    model.at(15.0, lambda: model.restart_instance(0))
    known: list[int] = []
    model.at(15.5, lambda: known.append(model.count_differing(0)))
    model.run(16.0)
    assert known[0] >= 3
