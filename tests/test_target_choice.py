"""Choice of target."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from choice_fakes import FakeLinks, FakeUnits, chooser, request, target
from verbenaworks.attempt_outcome import (
    Cancelled,
    Completed,
    Failed,
    Outcome,
    RefusedLeaving,
    RefusedOverload,
)
from verbenaworks.choice_result import (
    Choice,
    ChoiceMode,
    ExclusionReason,
    NoTarget,
    NoTargetReason,
)
from verbenaworks.load_report import Health, LoadReport
from verbenaworks.target_choice import TargetChoice

NEAR = target("near")
DOMAIN = target("domain", failure_domain="nairobi-b")
FAR = target("far", "mombasa")
ALL = (FAR, DOMAIN, NEAR)


def _chosen(choice: TargetChoice, now_s: float = 0.0, **kwargs: float) -> str:
    found = choice.choose(now_s, request(**kwargs), ALL)  # type: ignore[arg-type]
    assert isinstance(found, Choice)
    return found.target.name


def _warm_up(choice: TargetChoice, candidates: tuple, at_s: float) -> None:  # type: ignore[type-arg]
    for number in range(10):
        found = choice.choose(at_s, request(number), candidates)
        assert isinstance(found, Choice)
        choice.finish(at_s + 0.05, found, Completed())


def test_near_first_then_spill_within_units() -> None:
    """Guards against remote work while near units are free."""
    choice = chooser(FakeUnits(near=1, domain=1, far=1))
    assert [_chosen(choice) for _ in range(3)] == ["near", "domain", "far"]
    nothing = choice.choose(0.0, request(), ALL)
    assert isinstance(nothing, NoTarget)
    assert nothing.reason is NoTargetReason.NO_UNITS
    assert nothing.can_wait
    assert {c.reason for c in nothing.excluded} == {ExclusionReason.NO_UNITS}


def test_answer_faster_than_the_usual_delay() -> None:
    """Guards against a negative service time.

    It raised an error in the division of wants, and the slot of the request
    was never returned.
    """
    choice = chooser(FakeUnits(far=1))
    found = choice.choose(0.0, request(), (FAR,))
    assert isinstance(found, Choice)
    choice.finish(0.0001, found, Completed())
    assert choice.service_time(FAR.service).mean_s == 0.0


def test_region_and_link_budgets_limit() -> None:
    """Guards against overload of a region or a link."""
    units = FakeUnits(4)
    regions = FakeUnits(nairobi=1, mombasa=5)
    choice = chooser(units, regions, FakeLinks(1))
    assert [_chosen(choice), _chosen(choice)] == ["near", "far"]
    nothing = choice.choose(0.0, request(), ALL)
    assert {c.name: c.reason for c in nothing.excluded} == {
        "near": ExclusionReason.REGION_FULL,
        "domain": ExclusionReason.REGION_FULL,
        "far": ExclusionReason.LINK_FULL,
    }
    assert units.used.total() == 2


def test_link_room_is_held_until_the_attempt_ends() -> None:
    """Guards against room that is taken but never returned, or too often.

    Only a request that leaves the region asks for room.
    """
    links = FakeLinks(9, back=1)
    choice = chooser(FakeUnits(near=1, far=5), links=links)
    assert choice.choose(0.0, request(), ALL).link is None
    found = choice.choose(0.0, request(), ALL)
    assert isinstance(found, Choice)
    assert links.holds == [found.link]
    full = choice.choose(0.0, request(), ALL)
    assert ("far", ExclusionReason.LINK_BACK_FULL) in full.excluded
    choice.finish(1.0, found, Failed(bytes_sent=True))
    assert not links.holds
    assert isinstance(choice.choose(2.0, request(), ALL), Choice)


def test_each_candidate_is_accounted_for() -> None:
    """Guards against decision log lines that omit candidates."""
    choice = chooser(FakeUnits(2))
    found = choice.choose(0.0, request(tried=frozenset({"near"})), ALL)
    assert isinstance(found, Choice)
    assert found.target is DOMAIN
    assert dict(found.excluded) == {
        "near": ExclusionReason.TRIED,
        "far": ExclusionReason.FARTHER,
    }


@pytest.mark.parametrize("sign", ["drain", "health", "list", "refusal"])
def test_first_sign_stops_new_work(sign: str) -> None:
    """Guards against new work at a target that leaves."""
    choice = chooser(FakeUnits(9))
    first = choice.choose(0.0, request(), ALL)
    assert isinstance(first, Choice)
    candidates = ALL
    match sign:
        case "drain":
            candidates = (FAR, DOMAIN, target("near", draining=True))
        case "health":
            choice.record_probe(1.0, 1.0, "stock", "near", Health.LEAVING)
        case "list":
            choice.record_listing(1.0, "stock", "near", leaving=True)
        case "refusal":
            choice.finish(1.0, first, RefusedLeaving())
    found = choice.choose(1.0, request(), candidates)
    assert isinstance(found, Choice)
    assert found.target is DOMAIN
    assert ExclusionReason.LEAVING in dict(found.excluded).values()


def test_refusal_outlasts_a_false_health_answer() -> None:
    """Guards against a health endpoint that lies while its target leaves."""
    choice = chooser(FakeUnits(9))
    first = choice.choose(0.0, request(), ALL)
    assert isinstance(first, Choice)
    choice.finish(0.0, first, RefusedLeaving())
    for at_s in (0.1, 1.0, 2.9, 4.9):
        choice.record_probe(at_s, at_s, "stock", "near", Health.OK)
        assert _chosen(choice, at_s) != "near"
    choice.record_probe(6.0, 4.9, "stock", "near", Health.OK)
    assert choice.stats("stock", "near").leaving_signals
    choice.record_probe(6.0, 5.5, "stock", "near", Health.OK)
    assert not choice.stats("stock", "near").leaving_signals


def test_repeated_load_refusals_count_as_leaving() -> None:
    """Guards against a leaving target that names load as its reason."""
    choice = chooser(FakeUnits(9))
    for at_s in (0.0, 1.0):
        found = choice.choose(at_s, request(), ALL)
        assert isinstance(found, Choice)
        assert found.target is NEAR
        choice.finish(at_s, found, RefusedOverload(retry_after_s=0.5))
    assert _chosen(choice, 2.9) == "domain"


def test_reports_alone_do_not_outweigh_own_requests() -> None:
    """Guards against herding to a target that reports low load."""
    low, high = target("low"), target("high")
    choice = chooser(FakeUnits(4))
    _warm_up(choice, (low, high), 0.0)
    counts = {"low": 0, "high": 0}
    choice.record_load_report(1.0, "stock", "low", LoadReport(in_flight=0))
    choice.record_load_report(
        1.0, "stock", "high", LoadReport(in_flight=99999)
    )
    for number in range(6):
        found = choice.choose(1.0, request(number), (low, high))
        assert isinstance(found, Choice)
        counts[found.target.name] += 1
    assert counts["high"] >= 2


def test_without_measurements_fewest_own_requests() -> None:
    """Guards against a choice that needs measurements."""
    pair = (target("a"), target("b"))
    choice = chooser(FakeUnits(4))
    names = []
    for number in range(4):
        found = choice.choose(100.0, request(number), pair)
        assert isinstance(found, Choice)
        assert found.mode is ChoiceMode.FALLBACK
        names.append(found.target.name)
    assert names == ["a", "b", "a", "b"]


def test_deadline_that_cannot_be_met() -> None:
    """Guards against starting work whose answer comes too late."""
    choice = chooser(FakeUnits(4))
    for number in range(30):
        found = choice.choose(number, request(number), (NEAR,))
        assert isinstance(found, Choice)
        choice.finish(number + 0.2, found, Completed())
    late = choice.choose(40.0, request(deadline_s=40.04), (NEAR,))
    assert isinstance(late, NoTarget)
    assert late.reason is NoTargetReason.TOO_LATE
    assert not late.can_wait


def test_silent_target_is_used_last() -> None:
    """Guards against more work at a target that stopped answering."""
    choice = chooser(FakeUnits(4))
    _warm_up(choice, ALL, 0.0)
    assert _chosen(choice, 1.0) == "near"
    assert _chosen(choice, 3.0) == "domain"


def test_crashed_target_returns_by_probation_and_ramp() -> None:
    """Guards against full load at a target that has just come back."""
    choice = chooser(FakeUnits(9))
    for at_s in range(3):
        found = choice.choose(float(at_s), request(at_s), ALL)
        assert isinstance(found, Choice)
        choice.finish(float(at_s), found, Failed(bytes_sent=False))
    assert _chosen(choice, 3.0) == "domain"
    assert _chosen(choice, 4.5) == "near"
    assert _chosen(choice, 4.5) == "domain"


def test_lost_region_leaves_the_others() -> None:
    """Guards against a service that stops with one region."""
    choice = chooser(FakeUnits(4))
    choice.set_targets(0.0, "stock", ALL)
    for name in ("near", "domain"):
        choice.record_listing(0.0, "stock", name, leaving=True)
    assert _chosen(choice) == "far"


def test_connection_plan_limits() -> None:
    """Guards against more connections than a target accepts."""
    choice = chooser(FakeUnits(9))
    choice.set_connection_plan("stock", {"near": 1, "far": 1})
    assert [_chosen(choice), _chosen(choice)] == ["near", "far"]
    nothing = choice.choose(0.0, request(), ALL)
    assert dict(nothing.excluded)["domain"] is ExclusionReason.NOT_IN_SUBSET


_OUTCOMES: list[Outcome] = [
    Completed(),
    Failed(bytes_sent=True),
    Failed(bytes_sent=False),
    RefusedLeaving(),
    RefusedOverload(),
    Cancelled(),
]
_NAMES = [f"t{n}" for n in range(5)]


@settings(max_examples=60, deadline=None)
@given(st.data())
def test_choice_never_picks_an_excluded_target(data: st.DataObject) -> None:
    """Guards against any order of events that reaches a leaving target."""
    units = FakeUnits(2)
    choice = chooser(units)
    targets = tuple(
        target(name, "nairobi" if n % 2 else "mombasa")
        for n, name in enumerate(_NAMES)
    )
    choice.set_targets(0.0, "stock", targets)
    listed: set[str] = set()
    health: set[str] = set()
    refused: dict[str, float] = {}
    running: list[Choice] = []
    now_s = 0.0
    for number in range(data.draw(st.integers(5, 40))):
        now_s += data.draw(st.sampled_from([0.0, 0.1, 1.0, 4.0]))
        name = data.draw(st.sampled_from(_NAMES))
        match data.draw(st.sampled_from(["list", "probe", "end", "go", "go"])):
            case "list":
                leaving = data.draw(st.booleans())
                choice.record_listing(now_s, "stock", name, leaving=leaving)
                (listed.add if leaving else listed.discard)(name)
            case "probe":
                answer = data.draw(st.sampled_from(list(Health)))
                choice.record_probe(now_s, now_s, "stock", name, answer)
                if answer is Health.LEAVING:
                    health.add(name)
                elif answer is not Health.NO_ANSWER:
                    health.discard(name)
            case "end" if running:
                ended = running.pop()
                outcome = data.draw(st.sampled_from(_OUTCOMES))
                choice.finish(now_s, ended, outcome)
                if isinstance(outcome, RefusedLeaving):
                    refused[ended.target.name] = now_s
            case "go":
                tried = frozenset({name})
                found = choice.choose(
                    now_s, request(number, tried=tried), targets
                )
                if isinstance(found, Choice):
                    running.append(found)
                    chosen = found.target.name
                    assert chosen not in listed | health | tried
                    assert now_s >= refused.get(chosen, -9.0) + 5.0
                    assert units.used[chosen] <= 2
                assert len(found.excluded) == len(targets) - isinstance(
                    found, Choice
                )
    assert units.used.total() == len(running)
