"""Decisions before an attempt is made."""

from types import SimpleNamespace
from typing import Any

import pytest

from verbenad.call_runner import CallRunner
from verbenad.refused import Refused
from verbenaworks.choice_result import Candidate, ChoiceRequest, Why
from verbenaworks.crash_ledger import Clean, CrashVerdict, Suspect
from verbenaworks.crash_ledger import Refused as CrashRefused
from verbenaworks.queue_result import Shed, ShedReason
from verbenaworks.retry_budget import RetryBudget


class _Dispatcher:
    """Refuses every request and keeps it."""

    def __init__(self) -> None:
        self.requests: list[ChoiceRequest] = []

    def acquire(self, request: ChoiceRequest) -> Shed:
        self.requests.append(request)
        return Shed(
            request=request,
            reason=ShedReason.QUEUE_FULL,
            retry_after_s=1.0,
            left_out=(Candidate("s/far", Why.LINK_FULL),),
        )


class _Crashes:
    """Gives stated verdicts in turn."""

    def __init__(self, *verdicts: CrashVerdict) -> None:
        self._verdicts = list(verdicts)

    def verdict(self, digest: str) -> CrashVerdict:
        return self._verdicts.pop(0)


def _runner(
    dispatcher: _Dispatcher, crashes: _Crashes, log: list[Any] | None = None
) -> CallRunner:
    decisions = [] if log is None else log
    stubs: dict[str, Any] = {
        "dispatchers": {"s": dispatcher},
        "forwarder": None,
        "retries": lambda service: RetryBudget(),
        "crashes": crashes,
        "log": SimpleNamespace(record=decisions.append),
        "usual_s": lambda service: 0.01,
        "connection_limit": lambda target: 1,
        "avoid": lambda target: None,
        "check": lambda call: None,
        "now_s": lambda: 0.0,
    }
    return CallRunner(**stubs)


def _call() -> Any:
    return SimpleNamespace(
        request_id="same-id",
        service=SimpleNamespace(name="s"),
        workspace="w",
        deadline_s=10.0,
        idempotent=True,
        config_revision=1,
    )


def test_two_requests_with_one_id_are_told_apart_in_the_queue() -> None:
    """Guards against a caller who gets the slot of another request."""
    dispatcher = _Dispatcher()
    runner = _runner(dispatcher, _Crashes(Clean(), Clean()))
    for _ in range(2):
        with pytest.raises(Refused):
            runner.run(_call(), "digest")
    first, second = dispatcher.requests
    assert first.request_id != second.request_id


def test_the_decision_on_a_refused_request_names_the_link() -> None:
    """Guards against refusals whose cause operators cannot see."""
    log: list[Any] = []
    runner = _runner(_Dispatcher(), _Crashes(Clean()), log)
    with pytest.raises(Refused):
        runner.run(_call(), "digest")
    (decision,) = log
    assert decision.refusal == "overloaded"
    (candidate,) = decision.candidates
    assert candidate.target == "s/far"
    assert candidate.excluded == "the link to the region lacks tokens"


def test_suspect_is_judged_again_after_its_wait() -> None:
    """Guards against a fourth crash by copies that waited for their turn."""
    dispatcher = _Dispatcher()
    crashes = _Crashes(
        Suspect(crashes=2), CrashRefused(crashes=3, retry_after_s=60.0)
    )
    with pytest.raises(Refused) as caught:
        _runner(dispatcher, crashes).run(_call(), "digest")
    assert caught.value.refusal.code == "crash-suspect"
    assert not dispatcher.requests
