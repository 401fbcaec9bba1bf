"""Decisions before an attempt is made."""

from types import SimpleNamespace
from typing import Any, cast

import pytest

from verbenad.call_runner import CallRunner
from verbenad.refusal_error import RefusalError
from verbenaworks.choice_result import (
    ChoiceRequest,
    ExcludedTarget,
    ExclusionReason,
)
from verbenaworks.crash_ledger import CrashAssessment, NoCrash, Suspect
from verbenaworks.crash_ledger import CrashRefused as CrashRefused
from verbenaworks.queue_result import Shed, ShedReason, Started
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
            excluded=(ExcludedTarget("s/far", ExclusionReason.LINK_FULL),),
        )


class _Crashes:
    """Gives stated verdicts in turn."""

    def __init__(self, *verdicts: CrashAssessment) -> None:
        self._verdicts = list(verdicts)

    def assess(self, digest: str) -> CrashAssessment:
        return self._verdicts.pop(0)


class _OneTarget(_Dispatcher):
    """Starts every request at one target."""

    def acquire(self, request: ChoiceRequest) -> Any:
        self.requests.append(request)
        target = SimpleNamespace(name="s/t1", address="127.0.0.1:1")
        choice = SimpleNamespace(
            target=target, mode="", excluded=(), link=None
        )
        return Started(request=request, choice=cast(Any, choice))

    def finish(self, choice: Any, outcome: Any) -> None:
        """Accept every outcome."""


class _Forwarder:
    """Keeps the longest wait for a first byte and ends the attempt."""

    def __init__(self) -> None:
        self.first_byte_timeout_s: float | None = None

    def attempt(self, *_: Any, **options: Any) -> Any:
        self.first_byte_timeout_s = options["first_byte_timeout_s"]
        raise _AttemptMadeError


class _AttemptMadeError(Exception):
    """Ends a test at the attempt."""


def _runner(
    dispatcher: _Dispatcher,
    crashes: _Crashes,
    log: list[Any] | None = None,
    **changes: Any,
) -> CallRunner:
    decisions = [] if log is None else log
    stubs: dict[str, Any] = {
        "dispatchers": {"s": dispatcher},
        "forwarder": None,
        "retries": lambda service: RetryBudget(),
        "crashes": crashes,
        "log": SimpleNamespace(record=decisions.append),
        "usual_service_time_s": lambda service: 0.01,
        "connection_limit": lambda target: 1,
        "avoid": lambda target: None,
        "check": lambda call: None,
        "now_s": lambda: 0.0,
        **changes,
    }
    return CallRunner(**stubs)


def _call() -> Any:
    return SimpleNamespace(
        request_id="same-id",
        service=SimpleNamespace(name="s", host="s.example"),
        head=SimpleNamespace(method="GET", headers=[]),
        target="/",
        body=None,
        caller=SimpleNamespace(cancellation=None),
        workspace="w",
        deadline_s=10.0,
        idempotent=True,
        config_revision=1,
    )


def test_two_requests_with_one_id_are_told_apart_in_the_queue() -> None:
    """Guards against a request that gets the slot of another request."""
    dispatcher = _Dispatcher()
    runner = _runner(dispatcher, _Crashes(NoCrash(), NoCrash()))
    for _ in range(2):
        with pytest.raises(RefusalError):
            runner.run(_call(), "digest")
    first, second = dispatcher.requests
    assert first.request_id != second.request_id


def test_the_decision_on_a_refused_request_names_the_link() -> None:
    """Guards against refusals whose cause operators cannot see."""
    log: list[Any] = []
    runner = _runner(_Dispatcher(), _Crashes(NoCrash()), log)
    with pytest.raises(RefusalError):
        runner.run(_call(), "digest")
    (decision,) = log
    assert decision.refusal == "overloaded"
    (candidate,) = decision.candidates
    assert candidate.target == "s/far"
    assert candidate.excluded == "the link to the region lacks tokens"


def test_suspect_is_judged_again_after_its_wait() -> None:
    """Guards against a fourth crash by copies that waited for the lock."""
    dispatcher = _Dispatcher()
    crashes = _Crashes(
        Suspect(crashes=2), CrashRefused(crashes=3, retry_after_s=60.0)
    )
    with pytest.raises(RefusalError) as caught:
        _runner(dispatcher, crashes).run(_call(), "digest")
    assert caught.value.refusal.code == "crash-suspect"
    assert not dispatcher.requests


def test_slow_answer_is_not_taken_for_a_silent_connection() -> None:
    """Guards against a second run of each request of a slow service.

    A fixed timeout of 2 s is too short for uploads that usually take 4 s.
    While the service time is unknown, no default time may stand in for it.
    """
    for usual_service_time_s, expected_s in (
        (0.01, 0.2),
        (0.5, 1.5),
        (1.2, 3.6),
        (4.0, 5.0),
        (None, 5.0),
    ):
        forwarder = _Forwarder()
        runner = _runner(
            _OneTarget(),
            _Crashes(NoCrash()),
            forwarder=forwarder,
            usual_service_time_s=lambda _, time_s=usual_service_time_s: time_s,
        )
        with pytest.raises(_AttemptMadeError):
            runner.run(_call(), "digest")
        assert forwarder.first_byte_timeout_s == pytest.approx(expected_s)
