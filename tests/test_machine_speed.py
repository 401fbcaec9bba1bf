"""How long work currently takes on a server's machine."""

from random import Random

import pytest

from steering_factories import placement, route, server
from steering_model import SteeringModel, constant
from steering_model_types import ModelRegion, ModelResult, ModelSize
from verbenaworks.steering.machine_speed import SPELL_S, MachineSpeed
from verbenaworks.steering.placement import Placement
from verbenaworks.steering.placement_result import Placed, PlacementRequest
from verbenaworks.steering.server_table import ServerTable

NO_REGIONS: frozenset[str] = frozenset()


def _request(affinity_key: str = "") -> PlacementRequest:
    return PlacementRequest(
        route=route(),
        service="stock",
        affinity_key=affinity_key,
        time_left_s=1.5,
        home_regions=NO_REGIONS,
    )


def _choose(
    chooser: Placement, request: PlacementRequest, now_s: float
) -> Placed:
    placed = chooser.choose(now_s, request, 8.0)
    assert isinstance(placed, Placed)
    return placed


def _table(count: int) -> ServerTable:
    table = ServerTable()
    for number in range(count):
        table.report(0.0, server(f"s{number}"))
    return table


def test_stated_speed_loses_its_worth_with_its_age() -> None:
    """Guards against a spell that is expected to last after it has ended."""
    speed = MachineSpeed()
    assert speed.expected_ratio(0.0) == 1.0
    speed.record(1.0, 2.5)
    ratios = [speed.expected_ratio(1.0 + age_s) for age_s in (0, 0.2, 0.4)]
    assert ratios[0] == 2.5
    assert ratios == sorted(ratios, reverse=True)
    assert speed.expected_ratio(1.0 + SPELL_S) == 1.0
    assert speed.age_s(1.0 + SPELL_S) is None


def test_speed_from_before_a_clock_step_is_not_used() -> None:
    """Guards against statements that stay fresh after a clock step."""
    speed = MachineSpeed()
    speed.record(100.0, 2.5)
    assert speed.expected_ratio(40.0) == 1.0
    speed.record(40.1, 1.0)
    assert speed.expected_ratio(40.2) == 1.0


def test_speed_that_is_always_stated_is_no_spell() -> None:
    """Guards against a slow machine whose slowness counts twice."""
    speed = MachineSpeed()
    for second in range(4):
        speed.record(float(second), 2.0)
    assert speed.expected_ratio(3.0) == 1.0
    speed.record(3.5, 4.0)
    assert speed.expected_ratio(3.5) == 2.0


def test_decay_predicts_spells_better_than_other_uses() -> None:
    """Guards against old statements that count too much or too little.

    Spells of 0.6 s fill 15% of the time, and the next 0.2 s are predicted.
    """
    random = Random(5)
    errors = {"ignored": 0.0, "kept": 0.0, "decayed": 0.0}
    for _ in range(20_000):
        # The spell that is next to the time of the statement.
        start_s = random.uniform(-4.0, 0.0)
        stated = 2.5 if start_s >= -SPELL_S else 1.0
        age_s = random.uniform(0.0, SPELL_S)
        slow_s = max(0.0, min(start_s + SPELL_S, age_s + 0.2) - age_s)
        actual = 1.0 + 1.5 * slow_s / 0.2
        speed = MachineSpeed()
        speed.record(0.0, stated)
        guesses = {
            "ignored": 1.0,
            "kept": stated,
            "decayed": speed.expected_ratio(age_s),
        }
        for name, guess in guesses.items():
            errors[name] += (guess - actual) ** 2
    assert errors["decayed"] < 0.9 * errors["ignored"]
    assert errors["decayed"] < 0.9 * errors["kept"]


def test_spells_do_not_change_what_is_learned() -> None:
    """Guards against a spell that is taken for a slow server or lost data."""
    table = _table(1)
    learned = {}
    for is_on in (True, False):
        chooser = placement(table, machine_speed=is_on)
        for step in range(40):
            now_s = 1.0 + 0.1 * step
            placed = _choose(chooser, _request("17"), now_s)
            factor = 2.5 if step % 4 == 0 else 1.0
            chooser.record_response(
                now_s, _request("17"), placed, 0.2 * factor, factor
            )
        placed = _choose(chooser, _request("17"), 6.0)
        learned[is_on] = placed.predicted_s
    assert learned[True] == pytest.approx(0.2, rel=0.02)
    assert learned[False] > 1.2 * learned[True]


def test_spell_decides_between_equals_but_not_against_a_home() -> None:
    """Guards against objects that are loaded elsewhere for a short spell."""
    table = _table(2)
    chooser = placement(table)
    slow = server("s0")
    home = _choose(chooser, _request("17"), 1.0).server
    for load_of in (slow, home):
        chooser.load_of(load_of).machine_speed.record(1.0, 2.5)
    other = {"s0": "s1", "s1": "s0"}[home.server_id]
    for step in range(5):
        now_s = 1.0 + 0.02 * step
        assert _choose(chooser, _request("17"), now_s).server == home
    chooser.load_of(server(other)).machine_speed.record(1.1, 1.0)
    chosen = {
        _choose(chooser, _request(), 1.11).server.server_id for _ in range(10)
    }
    assert chosen == {other}


def test_spell_moves_no_request_to_a_server_with_a_wait() -> None:
    """Guards against a refusal that is caused by a machine's speed."""
    table = _table(2)
    chooser = placement(table)
    slow, busy = server("s0"), server("s1")
    chooser.load_of(slow).machine_speed.record(1.0, 5.0)
    for _ in range(busy.slots):
        chooser.request_started(busy)
    placed = _choose(chooser, _request(), 1.0)
    assert placed.server == slow
    assert placed.wait_s == 0.0


FLEET = ModelSize(
    regions=(ModelRegion(name="r", instances=10, servers=100),),
    slots=4,
    affinity_keys=290,
)


def _run(size: ModelSize, *, is_on: bool, has_spells: bool) -> ModelResult:
    model = SteeringModel(
        per_s=constant(0.35 * size.capacity_per_s),
        size=size,
        switches={"machine_speed": is_on},
    )
    random = Random(101)
    if has_spells:
        for state in model.servers.values():
            state.add_spells(6.0, 0.15, random)
    return model.run(6.0)


def test_usual_speed_changes_nothing() -> None:
    """Guards against other decisions where machines have no spells."""
    on, off = (
        _run(ModelSize(), is_on=is_on, has_spells=False)
        for is_on in (True, False)
    )
    assert on == off


def test_more_responses_are_in_time_during_spells() -> None:
    """Guards against a use of stated speeds that costs more than it brings.

    Spells fill 15% of the time of each of 100 servers.
    """
    on, off = (
        _run(FLEET, is_on=is_on, has_spells=True) for is_on in (True, False)
    )
    assert on.useful > off.useful
