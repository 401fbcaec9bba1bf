"""Ejection and re-admission of targets."""

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenaworks.ejection import Ejection, EjectionState

NAMES = frozenset({"a", "b", "c", "d", "e"})


def _ejection() -> Ejection:
    ejection = Ejection()
    ejection.set_targets(NAMES)
    return ejection


def _in_service(ejection: Ejection, now_s: float = 0.0) -> list[str]:
    return [
        name
        for name in sorted(NAMES)
        if ejection.state(now_s, name) is EjectionState.IN_SERVICE
    ]


def test_probes_leave_half_of_the_targets() -> None:
    """Guards against ejecting all targets when all health endpoints fail."""
    ejection = _ejection()
    for at_s, name in enumerate(sorted(NAMES)):
        ejection.record_probe(at_s, name, failing=True)
    assert _in_service(ejection) == ["c", "d", "e"]
    ejection.set_leaving("e", True)
    assert _in_service(ejection) == ["b", "c", "d", "e"]


def test_own_failures_eject_and_readmit() -> None:
    """Guards against re-admission without probation."""
    ejection = _ejection()
    for _ in range(2):
        ejection.record_failure(0.0, "a")
    ejection.record_success("a")
    ejection.record_failure(0.0, "a")
    assert ejection.state(0.0, "a") is EjectionState.IN_SERVICE
    for _ in range(2):
        ejection.record_failure(0.0, "a")
    assert ejection.state(1.9, "a") is EjectionState.EJECTED
    assert ejection.state(2.0, "a") is EjectionState.PROBATION
    ejection.record_failure(2.0, "a")
    assert ejection.state(5.9, "a") is EjectionState.EJECTED
    assert not ejection.record_success("a")
    assert ejection.record_success("a")
    assert ejection.state(6.0, "a") is EjectionState.IN_SERVICE


_EVENTS = st.tuples(
    st.sampled_from(sorted(NAMES)),
    st.sampled_from(["fail", "succeed", "probe", "probe-ok", "leave", "stay"]),
)


@settings(max_examples=150, deadline=None)
@given(st.lists(_EVENTS, max_size=60))
def test_minimum_in_service_holds(events: list[tuple[str, str]]) -> None:
    """Guards against any order of events that leaves too few targets."""
    ejection = _ejection()
    leaving: set[str] = set()
    for at_s, (name, event) in enumerate(events):
        match event:
            case "fail":
                ejection.record_failure(at_s, name)
            case "succeed":
                ejection.record_success(name)
            case "probe" | "probe-ok":
                ejection.record_probe(at_s, name, failing=event == "probe")
            case _:
                ejection.set_leaving(name, event == "leave")
                (leaving.add if event == "leave" else leaving.discard)(name)
        # Compares with the same events without failing probes.
        unprobed = _without_probes(events[: at_s + 1])
        excluded = set(_in_service(unprobed, at_s)) - set(
            _in_service(ejection, at_s)
        )
        in_service = set(_in_service(ejection, at_s)) - leaving
        assert not excluded or len(in_service) >= 3
        if not leaving:
            assert in_service


def _without_probes(events: list[tuple[str, str]]) -> Ejection:
    ejection = _ejection()
    for at_s, (name, event) in enumerate(events):
        match event:
            case "fail":
                ejection.record_failure(at_s, name)
            case "succeed":
                ejection.record_success(name)
            case "leave" | "stay":
                ejection.set_leaving(name, event == "leave")
    return ejection
