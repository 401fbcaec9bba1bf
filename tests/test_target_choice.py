"""Choice of targets."""

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


def _chosen_name(
    choice: TargetChoice, now_s: float = 0.0, **kwargs: float
) -> str:
    result = choice.choose(now_s, request(**kwargs), ALL)  # type: ignore[arg-type]
    assert isinstance(result, Choice)
    return result.target.name


def _record_responses(
    choice: TargetChoice, candidates: tuple, at_s: float
) -> None:  # type: ignore[type-arg]
    for number in range(10):
        result = choice.choose(at_s, request(number), candidates)
        assert isinstance(result, Choice)
        choice.finish(at_s + 0.05, result, Completed())


def test_nearest_first_then_spill_within_granted_units() -> None:
    """Guards against using remote targets while near units are free."""
    choice = chooser(FakeUnits(near=1, domain=1, far=1))
    assert [_chosen_name(choice) for _ in range(3)] == [
        "near",
        "domain",
        "far",
    ]
    no_target = choice.choose(0.0, request(), ALL)
    assert isinstance(no_target, NoTarget)
    assert no_target.reason is NoTargetReason.NO_UNITS
    assert no_target.can_wait
    assert {c.reason for c in no_target.excluded} == {ExclusionReason.NO_UNITS}


def test_answer_faster_than_the_usual_delay() -> None:
    """Guards against a negative service time.

    It raised an error in the division of units, and the slot of the request
    was never released.
    """
    choice = chooser(FakeUnits(far=1))
    result = choice.choose(0.0, request(), (FAR,))
    assert isinstance(result, Choice)
    choice.finish(0.0001, result, Completed())
    assert choice.service_time(FAR.service).mean_s == 0.0


def test_region_and_link_budgets_limit() -> None:
    """Guards against overload of a region or a link."""
    units = FakeUnits(4)
    regions = FakeUnits(nairobi=1, mombasa=5)
    choice = chooser(units, regions, FakeLinks(1))
    assert [_chosen_name(choice), _chosen_name(choice)] == ["near", "far"]
    no_target = choice.choose(0.0, request(), ALL)
    assert {c.name: c.reason for c in no_target.excluded} == {
        "near": ExclusionReason.REGION_FULL,
        "domain": ExclusionReason.REGION_FULL,
        "far": ExclusionReason.LINK_FULL,
    }
    assert units.used.total() == 2


def test_link_reservation_lasts_until_the_attempt_ends() -> None:
    """Guards against reservations that are never released, or needless.

    Only a request that leaves the region reserves tokens.
    """
    links = FakeLinks(9, back=1)
    choice = chooser(FakeUnits(near=1, far=5), links=links)
    assert choice.choose(0.0, request(), ALL).link is None
    result = choice.choose(0.0, request(), ALL)
    assert isinstance(result, Choice)
    assert links.reservations == [result.link]
    full = choice.choose(0.0, request(), ALL)
    assert ("far", ExclusionReason.LINK_BACK_FULL) in full.excluded
    choice.finish(1.0, result, Failed(bytes_sent=True))
    assert not links.reservations
    assert isinstance(choice.choose(2.0, request(), ALL), Choice)


def test_each_candidate_is_chosen_or_excluded() -> None:
    """Guards against decision log lines that omit candidates."""
    choice = chooser(FakeUnits(2))
    result = choice.choose(0.0, request(tried=frozenset({"near"})), ALL)
    assert isinstance(result, Choice)
    assert result.target is DOMAIN
    assert dict(result.excluded) == {
        "near": ExclusionReason.TRIED,
        "far": ExclusionReason.FARTHER,
    }


@pytest.mark.parametrize("signal", ["drain", "health", "list", "refusal"])
def test_first_leaving_signal_stops_new_work(signal: str) -> None:
    """Guards against new requests to a target that is leaving."""
    choice = chooser(FakeUnits(9))
    first = choice.choose(0.0, request(), ALL)
    assert isinstance(first, Choice)
    candidates = ALL
    match signal:
        case "drain":
            candidates = (FAR, DOMAIN, target("near", draining=True))
        case "health":
            choice.record_probe(1.0, 1.0, "stock", "near", Health.LEAVING)
        case "list":
            choice.record_listing(1.0, "stock", "near", leaving=True)
        case "refusal":
            choice.finish(1.0, first, RefusedLeaving())
    result = choice.choose(1.0, request(), candidates)
    assert isinstance(result, Choice)
    assert result.target is DOMAIN
    assert ExclusionReason.LEAVING in dict(result.excluded).values()


def test_refusal_outlasts_a_false_health_answer() -> None:
    """Guards against a wrong health answer of a target that is leaving."""
    choice = chooser(FakeUnits(9))
    first = choice.choose(0.0, request(), ALL)
    assert isinstance(first, Choice)
    choice.finish(0.0, first, RefusedLeaving())
    for at_s in (0.1, 1.0, 2.9, 4.9):
        choice.record_probe(at_s, at_s, "stock", "near", Health.OK)
        assert _chosen_name(choice, at_s) != "near"
    choice.record_probe(6.0, 4.9, "stock", "near", Health.OK)
    assert choice.stats("stock", "near").leaving_signals
    choice.record_probe(6.0, 5.5, "stock", "near", Health.OK)
    assert not choice.stats("stock", "near").leaving_signals


def test_repeated_load_refusals_count_as_leaving() -> None:
    """Guards against a leaving target that reports overload instead."""
    choice = chooser(FakeUnits(9))
    for at_s in (0.0, 1.0):
        result = choice.choose(at_s, request(), ALL)
        assert isinstance(result, Choice)
        assert result.target is NEAR
        choice.finish(at_s, result, RefusedOverload(retry_after_s=0.5))
    assert _chosen_name(choice, 2.9) == "domain"


def test_reports_alone_do_not_outweigh_own_requests() -> None:
    """Guards against all instances choosing a target that reports low load."""
    low, high = target("low"), target("high")
    choice = chooser(FakeUnits(4))
    _record_responses(choice, (low, high), 0.0)
    counts = {"low": 0, "high": 0}
    choice.record_load_report(1.0, "stock", "low", LoadReport(in_flight=0))
    choice.record_load_report(
        1.0, "stock", "high", LoadReport(in_flight=99999)
    )
    for number in range(6):
        result = choice.choose(1.0, request(number), (low, high))
        assert isinstance(result, Choice)
        counts[result.target.name] += 1
    assert counts["high"] >= 2


def test_without_measurements_fewest_own_requests() -> None:
    """Guards against a choice that depends on measurements."""
    pair = (target("a"), target("b"))
    choice = chooser(FakeUnits(4))
    names = []
    for number in range(4):
        result = choice.choose(100.0, request(number), pair)
        assert isinstance(result, Choice)
        assert result.mode is ChoiceMode.FALLBACK
        names.append(result.target.name)
    assert names == ["a", "b", "a", "b"]


def test_deadline_that_cannot_be_met() -> None:
    """Guards against starting requests that cannot complete in time."""
    choice = chooser(FakeUnits(4))
    for number in range(30):
        result = choice.choose(number, request(number), (NEAR,))
        assert isinstance(result, Choice)
        choice.finish(number + 0.2, result, Completed())
    late = choice.choose(40.0, request(deadline_s=40.04), (NEAR,))
    assert isinstance(late, NoTarget)
    assert late.reason is NoTargetReason.TOO_LATE
    assert not late.can_wait


def test_unresponsive_target_is_used_last() -> None:
    """Guards against more requests to a target that stopped responding."""
    choice = chooser(FakeUnits(4))
    _record_responses(choice, ALL, 0.0)
    assert _chosen_name(choice, 1.0) == "near"
    assert _chosen_name(choice, 3.0) == "domain"


def test_crashed_target_returns_by_probation_and_slow_start() -> None:
    """Guards against full load at a target that has just been re-admitted."""
    choice = chooser(FakeUnits(9))
    for at_s in range(3):
        result = choice.choose(float(at_s), request(at_s), ALL)
        assert isinstance(result, Choice)
        choice.finish(float(at_s), result, Failed(bytes_sent=False))
    assert _chosen_name(choice, 3.0) == "domain"
    assert _chosen_name(choice, 4.5) == "near"
    assert _chosen_name(choice, 4.5) == "domain"


def test_lost_region_does_not_affect_the_others() -> None:
    """Guards against a service that fails with one region."""
    choice = chooser(FakeUnits(4))
    choice.set_targets(0.0, "stock", ALL)
    for name in ("near", "domain"):
        choice.record_listing(0.0, "stock", name, leaving=True)
    assert _chosen_name(choice) == "far"


def test_connection_plan_limits() -> None:
    """Guards against more connections than a target accepts."""
    choice = chooser(FakeUnits(9))
    choice.set_connection_plan("stock", {"near": 1, "far": 1})
    assert [_chosen_name(choice), _chosen_name(choice)] == ["near", "far"]
    no_target = choice.choose(0.0, request(), ALL)
    assert dict(no_target.excluded)["domain"] is ExclusionReason.NOT_IN_SUBSET


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
    """Guards against orders of events after which a leaving target is used."""
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
                result = choice.choose(
                    now_s, request(number, tried=tried), targets
                )
                if isinstance(result, Choice):
                    running.append(result)
                    chosen = result.target.name
                    assert chosen not in listed | health | tried
                    assert now_s >= refused.get(chosen, -9.0) + 5.0
                    assert units.used[chosen] <= 2
                assert len(result.excluded) == len(targets) - isinstance(
                    result, Choice
                )
    assert units.used.total() == len(running)
