"""Explanations of the choice of a backend server."""

from collections.abc import Callable, Iterator
from random import Random

import pytest

from steering_factories import placement, route, server
from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.placement import Placement
from verbenaworks.steering.placement_explanation import PlacementExplainer
from verbenaworks.steering.placement_result import (
    Placed,
    PlacementRefused,
    PlacementRequest,
)
from verbenaworks.steering.server_table import ServerTable

NOW_S = 10.0
COLD_REQUESTS_PER_S = 8.0


def _request(affinity_key: str = "17", **fields: object) -> PlacementRequest:
    defaults: dict[str, object] = {
        "time_left_s": 1.5,
        "home_regions": frozenset(),
    }
    return PlacementRequest(
        route=route(),
        service="stock",
        affinity_key=affinity_key,
        **(defaults | fields),
    )


def _table() -> ServerTable:
    table = ServerTable()
    for number in range(4):
        table.report(0.0, server(f"n{number}"))
        table.report(
            0.0,
            server(f"s{number}", region="south", failure_domain="south-a"),
        )
    return table


def _fill(chooser: Placement, servers: tuple[BackendServer, ...]) -> None:
    for candidate in servers:
        for _ in range(60):
            chooser.request_started(candidate)


def _calm(table: ServerTable, chooser: Placement) -> None:
    """Leave all servers idle."""


def _local_region_busy(table: ServerTable, chooser: Placement) -> None:
    _fill(chooser, table.usable_by_region("stock")["north"])


def _all_busy(table: ServerTable, chooser: Placement) -> None:
    _fill(chooser, table.usable("stock"))


def _joined(table: ServerTable, chooser: Placement) -> None:
    chooser.choose(1.0, _request("1"), COLD_REQUESTS_PER_S)
    table.report(2.0, server("new", cold_left_s=30.0))


def _excluded_servers(table: ServerTable, chooser: Placement) -> None:
    table.report(1.0, server("n0", draining=True, sequence=2))
    table.set_evacuated("south-a", True)
    down = next(s for s in table.servers if s.server_id == "n1")
    chooser.load_of(down).record_connection_failure(NOW_S)


SCENES: list[Callable[[ServerTable, Placement], None]] = [
    _calm,
    _local_region_busy,
    _all_busy,
    _joined,
    _excluded_servers,
]


def _explainer(table: ServerTable, chooser: Placement) -> PlacementExplainer:
    return PlacementExplainer(
        region="north",
        failure_domain="north-a",
        placement=chooser,
        table=table,
    )


def _state(value: object, seen: set[int]) -> Iterator[object]:
    """Yield all values that can be reached from an object, in order.

    The table and functions are left out: decisions do not change them.
    """
    if isinstance(value, ServerTable | BackendServer) or callable(value):
        return
    if isinstance(value, Random):
        yield value.getstate()
        return
    if isinstance(value, dict):
        for key, item in value.items():
            yield key
            yield from _state(item, seen)
        return
    if isinstance(value, list | tuple | set | frozenset):
        yield len(value)
        for item in value:
            yield from _state(item, seen)
        return
    if not type(value).__module__.startswith("verbenaworks"):
        yield value
        return
    if id(value) in seen:
        return
    seen.add(id(value))
    names = [n for c in type(value).__mro__ for n in _slots(c)]
    names += list(getattr(value, "__dict__", ()))
    for name in names:
        yield name
        yield from _state(getattr(value, name), seen)


def _slots(kind: type) -> list[str]:
    return list(getattr(kind, "__slots__", ()))


@pytest.mark.parametrize("affinity_key", ["17", "18", ""])
@pytest.mark.parametrize("scene", SCENES)
def test_explanation_counts_nothing(
    scene: Callable[[ServerTable, Placement], None], affinity_key: str
) -> None:
    """Guards against an explanation that uses a budget or an average."""
    table = _table()
    chooser = placement(table)
    scene(table, chooser)
    before = list(_state(chooser, set()))
    _explainer(table, chooser).explain(
        NOW_S, _request(affinity_key), COLD_REQUESTS_PER_S
    )
    assert list(_state(chooser, set())) == before
    chooser.choose(NOW_S, _request(affinity_key), COLD_REQUESTS_PER_S)
    assert list(_state(chooser, set())) != before


@pytest.mark.parametrize("affinity_key", ["17", "18", ""])
@pytest.mark.parametrize("scene", SCENES)
def test_explanation_names_what_choose_does(
    scene: Callable[[ServerTable, Placement], None], affinity_key: str
) -> None:
    """Guards against an explanation that differs from the decision."""
    table = _table()
    chooser = placement(table)
    scene(table, chooser)
    request = _request(affinity_key)
    explainer = _explainer(table, chooser)
    for number in range(30):
        now_s = NOW_S + 0.01 * number
        decision = explainer.explain(
            now_s, request, COLD_REQUESTS_PER_S
        ).decision
        result = chooser.choose(now_s, request, COLD_REQUESTS_PER_S)
        if isinstance(result, Placed):
            assert decision["outcome"] == "placed"
            assert decision["server"] == result.server.server_id
            assert decision["reason"] == result.reason.value
        else:
            assert isinstance(result, PlacementRefused)
            assert decision["outcome"] == "refused"
            assert decision["reason"] == result.reason.name.lower()
            assert decision["retry_after_s"] == pytest.approx(
                result.retry_after_s, abs=1e-3
            )


def test_excluded_servers_have_a_reason() -> None:
    """Guards against servers that are left out without an explanation."""
    table = _table()
    chooser = placement(table)
    _excluded_servers(table, chooser)
    explanation = _explainer(table, chooser).explain(
        NOW_S, _request(), COLD_REQUESTS_PER_S
    )
    reasons = {e["server"]: e["reason"] for e in explanation.excluded}
    assert reasons == {
        "n0": "draining",
        "n1": "connections failed recently",
        **{f"s{n}": "failure domain evacuated" for n in range(4)},
    }
    assert {c["server"] for c in explanation.candidates} == {"n2", "n3"}


def test_refusal_of_a_server_is_named() -> None:
    """Guards against a cold server that looks forgotten."""
    table = _table()
    chooser = placement(table)
    cold = next(s for s in table.servers if s.server_id == "n2")
    table.report(1.0, server("n2", cold_left_s=60.0, sequence=2))
    for number in range(40):
        chooser.choose(NOW_S, _request(str(number)), 0.0)
    explanation = _explainer(table, chooser).explain(
        NOW_S,
        _request("", home_regions=frozenset({cold.region})),
        0.0,
    )
    reasons = {e["server"]: e["reason"] for e in explanation.excluded}
    assert reasons["n2"] == "cold_start_limit"
    assert reasons["s0"] == "outside the home regions"


def test_changed_results_are_named() -> None:
    """Guards against a refusal that tells no way out."""
    table = _table()
    chooser = placement(table)
    _all_busy(table, chooser)
    explanation = _explainer(table, chooser).explain(
        NOW_S, _request(time_left_s=0.8), COLD_REQUESTS_PER_S
    )
    assert explanation.decision["reason"] == "overloaded"
    assert any("may succeed" in change for change in explanation.changes)
    assert any("without an affinity" in c for c in explanation.changes)
    assert explanation.levels["sustained_overload"] is True
