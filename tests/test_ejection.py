"""Ejection and re-admission of targets."""

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenaworks.ejection import Ejection, Standing

NAMES = frozenset({"a", "b", "c", "d", "e"})


def _ejection() -> Ejection:
    ejection = Ejection()
    ejection.set_targets(NAMES)
    return ejection


def _serving(ejection: Ejection, now_s: float = 0.0) -> list[str]:
    return [
        name
        for name in sorted(NAMES)
        if ejection.standing(now_s, name) is Standing.IN
    ]


def test_probes_leave_half() -> None:
    """Guards against health endpoints that fail all at once."""
    ejection = _ejection()
    for at_s, name in enumerate(sorted(NAMES)):
        ejection.probed(at_s, name, failing=True)
    assert _serving(ejection) == ["c", "d", "e"]
    ejection.set_leaving("e", True)
    assert _serving(ejection) == ["b", "c", "d", "e"]


def test_own_failures_eject_and_readmit() -> None:
    """Guards against a return without a trial."""
    ejection = _ejection()
    for _ in range(2):
        ejection.failed(0.0, "a")
    ejection.succeeded("a")
    ejection.failed(0.0, "a")
    assert ejection.standing(0.0, "a") is Standing.IN
    for _ in range(2):
        ejection.failed(0.0, "a")
    assert ejection.standing(1.9, "a") is Standing.OUT
    assert ejection.standing(2.0, "a") is Standing.PROBATION
    ejection.failed(2.0, "a")
    assert ejection.standing(5.9, "a") is Standing.OUT
    assert not ejection.succeeded("a")
    assert ejection.succeeded("a")
    assert ejection.standing(6.0, "a") is Standing.IN


_EVENTS = st.tuples(
    st.sampled_from(sorted(NAMES)),
    st.sampled_from(["fail", "succeed", "probe", "probe-ok", "leave", "stay"]),
)


@settings(max_examples=150, deadline=None)
@given(st.lists(_EVENTS, max_size=60))
def test_floor_holds(events: list[tuple[str, str]]) -> None:
    """Guards against any order of events that ends below the floor."""
    ejection = _ejection()
    leaving: set[str] = set()
    for at_s, (name, event) in enumerate(events):
        match event:
            case "fail":
                ejection.failed(at_s, name)
            case "succeed":
                ejection.succeeded(name)
            case "probe" | "probe-ok":
                ejection.probed(at_s, name, failing=event == "probe")
            case _:
                ejection.set_leaving(name, event == "leave")
                (leaving.add if event == "leave" else leaving.discard)(name)
        # Without its failing probes, the same targets would serve.
        without = _without_probes(events[: at_s + 1])
        lost = set(_serving(without, at_s)) - set(_serving(ejection, at_s))
        serving = set(_serving(ejection, at_s)) - leaving
        assert not lost or len(serving) >= 3
        if not leaving:
            assert serving


def _without_probes(events: list[tuple[str, str]]) -> Ejection:
    kept = _ejection()
    for at_s, (name, event) in enumerate(events):
        match event:
            case "fail":
                kept.failed(at_s, name)
            case "succeed":
                kept.succeeded(name)
            case "leave" | "stay":
                kept.set_leaving(name, event == "leave")
    return kept
