"""Tests that each checker accepts good histories and rejects bad ones."""

from dataclasses import replace

import pytest

from standins.history_checkers import (
    CHECKERS,
    check_drains,
    check_edits,
    check_not_run,
    check_rates,
    check_rates_of_whole_requests,
    check_responses,
    check_revisions,
    check_runs_once,
    check_secrets,
    check_shutdowns,
    check_withdrawals,
)
from standins.history_event import (
    DrainStarted,
    EditAccepted,
    EditOutcomeUnknown,
    Event,
    History,
    KeyWithdrawn,
    RateSet,
    RequestSent,
    ResponseReceived,
    RevisionSeen,
    RunStarted,
    ShutdownEnded,
    ShutdownStarted,
    ValueSeen,
)


def _sent(
    request_id: str,
    at_s: float = 0.0,
    *,
    key: str = "",
    body: str = "b",
    size: int | None = None,
) -> RequestSent:
    return RequestSent(
        at_s=at_s,
        request_id=request_id,
        workspace="w1",
        key_id="k1",
        service="orders",
        instance="e1",
        idempotency_key=key,
        body_sha256=body,
        answer_bytes=size,
    )


def _run(
    request_id: str,
    at_s: float = 0.1,
    *,
    key: str = "",
    body: str = "b",
    outcome: str = "answered",
    secrets: tuple[str, ...] = (),
) -> RunStarted:
    return RunStarted(
        at_s=at_s,
        request_id=request_id,
        target="orders/t1",
        idempotency_key=key,
        outcome=outcome,
        body_sha256=body,
        secrets_seen=secrets,
    )


def _response(
    request_id: str, at_s: float = 0.2, *, named: str = "", body: str = "b"
) -> ResponseReceived:
    return ResponseReceived(
        at_s=at_s,
        request_id=request_id,
        status=200,
        run="",
        code="",
        body_sha256="digest",
        body_bytes=100,
        named_request_id=named or request_id,
        named_body_sha256=body,
    )


def _refusal(request_id: str, run: str) -> ResponseReceived:
    return ResponseReceived(
        at_s=0.2,
        request_id=request_id,
        status=503,
        run=run,
        code="busy",
        body_sha256="digest",
        body_bytes=100,
        named_request_id=request_id,
        named_body_sha256="",
    )


def _requests(*times: tuple[float, float]) -> list[Event]:
    """Return answered requests, each sent and started at the given times."""
    events: list[Event] = []
    for number, (sent_s, start_s) in enumerate(times):
        events.append(_sent(f"r{number}", sent_s))
        events.append(_run(f"r{number}", start_s))
    return events


LIMIT = RateSet(at_s=0.0, workspace="w1", rate_per_s=2.0, burst=3.0)
WITHDRAWN = KeyWithdrawn(at_s=10.0, key_id="k1")
DRAINED = DrainStarted(at_s=10.0, target="orders/t1")


def test_refusal_not_run_is_true() -> None:
    """Guards against a caller that retries a request that has run."""
    good: History = (
        _sent("a"),
        _sent("b"),
        _run("b"),
        _refusal("a", "not run"),
        _refusal("b", "outcome unknown"),
    )
    assert not check_not_run(good)
    bad = (*good, _run("a", 0.3, outcome="crashed"))
    assert len(check_not_run(bad)) == 1


def test_idempotency_key_runs_once() -> None:
    """Guards against an order that runs twice."""
    good: History = (
        _run("a", key="k"),
        _run("b", key="l"),
        _run("c"),
        _run("d"),
    )
    assert not check_runs_once(good)
    for outcome in ("answered", "crashed", "cancelled", "running"):
        bad = (*good, _run("e", key="k", outcome=outcome))
        assert len(check_runs_once(bad)) == 1
    same_request = (*good, _run("a", key="k"))
    assert len(check_runs_once(same_request)) == 1


GOOD_RESPONSES: History = (
    _sent("a"),
    _run("a"),
    _response("a"),
    _sent("b", key="k"),
    _sent("c", key="k"),
    _run("b", key="k"),
    _response("b"),
    _response("c", named="b"),
    _sent("d", size=100),
    _run("d"),
    _response("d", body=""),
)


def test_answers_belong_to_their_requests() -> None:
    """Guards against a checker that rejects a repeated order's response."""
    assert not check_responses(GOOD_RESPONSES)


@pytest.mark.parametrize(
    "bad",
    [
        pytest.param(
            (_sent("e"), _run("e"), _response("e", named="a")),
            id="answer of another request",
        ),
        pytest.param(
            (
                _sent("e"),
                _run("e"),
                replace(_response("e"), named_request_id=""),
            ),
            id="content that names no request",
        ),
        pytest.param(
            (_sent("e", size=101), _run("e"), _response("e", body="")),
            id="short answer",
        ),
        pytest.param(
            (_sent("e"), _run("e"), _response("e", body="x")),
            id="answer to another body",
        ),
        pytest.param((_sent("e"), _response("e")), id="answer without a run"),
        pytest.param(
            (_sent("e"), _run("e", outcome="crashed"), _response("e")),
            id="answer of a crashed run",
        ),
        pytest.param(
            (_sent("e"), _run("e", body="x"), _response("e")),
            id="run with another body",
        ),
        pytest.param(
            (_sent("e", key="l"), _response("e", named="b")),
            id="answer of another idempotency key",
        ),
        pytest.param(
            (
                replace(_sent("e", key="k"), workspace="w2"),
                _response("e", named="b"),
            ),
            id="answer of another workspace with the same idempotency key",
        ),
        pytest.param((_response("e"),), id="request that was not sent"),
    ],
)
def test_wrong_answer_is_rejected(bad: History) -> None:
    """Guards against responses that are swapped or truncated."""
    assert check_responses((*GOOD_RESPONSES, *bad))


def test_backend_servers_see_no_key() -> None:
    """Guards against a key that leaves the entry instance."""
    good: History = (_run("a"), _run("b"))
    assert not check_secrets(good)
    bad = (*good, _run("c", secrets=("HTTP_X_VERBENA_KEY",)))
    assert len(check_secrets(bad)) == 1


def test_rate_holds_over_every_window() -> None:
    """Guards against a checker that uses fixed windows only."""
    good = (
        LIMIT,
        *_requests((0, 1), (0, 1), (0, 1), (0, 1.5), (0, 2.0), (0, 9)),
    )
    assert not check_rates(good)
    # Six runs within [1, 2] where five are allowed. Each half-open window
    # that begins at a multiple of 0.5 s stays within the limit.
    bad = (
        LIMIT,
        *_requests((0, 1), (0, 1), (0, 1), (0, 1.5), (0, 2), (0, 2)),
    )
    assert len(check_rates(bad)) == 1


def test_rate_counts_answered_requests_once() -> None:
    """Guards against unanswered or repeated runs that count as served."""
    runs = [_run("r0", outcome="crashed"), _run("r0"), _run("r0")]
    history = (LIMIT, *_requests((0, 0), (0, 0), (0, 0)), *runs)
    assert not check_rates(history)
    assert check_rates((*history, _sent("r9"), _run("r9", 0.0)))


def test_rate_of_whole_requests_allows_for_delays() -> None:
    """Guards against network delays that look like a higher rate."""
    delayed = (LIMIT, *_requests((0, 3), (1, 3), (2, 3), (3, 3)))
    assert check_rates(delayed)
    assert not check_rates_of_whole_requests(delayed)
    bad = (LIMIT, *_requests((3, 3.1), (3, 3.1), (3, 3.1), (3, 3.2)))
    assert len(check_rates_of_whole_requests(bad)) == 1


def test_withdrawn_key_stops() -> None:
    """Guards against a withdrawn key that remains valid."""
    good = (WITHDRAWN, *_requests((9, 9.1), (14, 15.0)))
    assert not check_withdrawals(good)
    other = replace(_sent("o", 20.0), key_id="k2")
    assert not check_withdrawals((*good, other, _run("o", 20.0)))
    bad = (*good, _sent("e", 15.0), _run("e", 15.1, outcome="running"))
    assert len(check_withdrawals(bad)) == 1
    without_request = (*good, _run("f", 1.0))
    assert len(check_withdrawals(without_request)) == 1


def test_drained_target_gets_no_new_work() -> None:
    """Guards against requests to a backend server that is leaving."""
    good: History = (DRAINED, _run("a", 9.0), _run("b", 13.0))
    other = replace(_run("c", 20.0), target="orders/t2")
    assert not check_drains((*good, other))
    assert len(check_drains((*good, _run("d", 13.1)))) == 1


def test_every_checker_accepts_an_empty_history() -> None:
    """Guards against a checker that needs events of each kind."""
    assert all(not check(()) for check in CHECKERS.values())


def _edit(
    value: float, revision: int, *, expected: int = 0, at_s: float = 1.0
) -> EditAccepted:
    return EditAccepted(
        at_s=at_s,
        path="/workspaces/w1",
        field="rate_per_s",
        value=value,
        config_revision=revision,
        expected_revision=expected,
    )


def _value(value: float) -> ValueSeen:
    return ValueSeen(
        at_s=30.0, path="/workspaces/w1", field="rate_per_s", value=value
    )


def _unknown(value: float) -> EditOutcomeUnknown:
    return EditOutcomeUnknown(
        at_s=2.0, path="/workspaces/w1", field="rate_per_s", value=value
    )


def _revision(instance: str, at_s: float, revision: int) -> RevisionSeen:
    return RevisionSeen(at_s=at_s, instance=instance, config_revision=revision)


def test_accepted_edit_is_not_overwritten_unseen() -> None:
    """Guards against operators who overwrite each other's edits."""
    good: History = (
        _edit(1.0, 5),
        _edit(2.0, 6, expected=5),
        _value(2.0),
    )
    assert not check_edits(good)
    assert len(check_edits((*good, _edit(3.0, 8, expected=6)))) == 2
    assert len(check_edits((*good, _edit(3.0, 6)))) == 1
    assert len(check_edits((*good[:-1], _value(1.0)))) == 1


def test_value_of_an_unknown_edit_is_possible() -> None:
    """Guards against a checker that rejects the value of an unknown edit."""
    good: History = (_edit(1.0, 5), _unknown(7.0), _value(7.0))
    assert not check_edits(good)
    assert len(check_edits((_edit(1.0, 5), _unknown(7.0), _value(8.0)))) == 1


def test_revision_never_goes_back() -> None:
    """Guards against an instance that goes back to an earlier revision."""
    good: History = (
        _revision("e1", 1.0, 4),
        _revision("e2", 1.1, 5),
        _revision("e1", 1.2, 4),
        _revision("e1", 1.3, 5),
    )
    assert not check_revisions(good)
    assert len(check_revisions((*good, _revision("e1", 1.4, 4)))) == 1


def test_accepted_edit_reaches_every_instance() -> None:
    """Guards against an instance that never gets an accepted edit."""
    good: History = (
        _edit(1.0, 5),
        _revision("e1", 2.0, 4),
        _revision("e1", 20.0, 5),
        _revision("e2", 5.0, 4),
    )
    assert not check_revisions(good)
    assert len(check_revisions((*good, _revision("e2", 20.0, 4)))) == 1


def test_graceful_shutdown_cuts_off_no_request() -> None:
    """Guards against a shutdown that interrupts a running request."""
    lost = replace(_response("a", 2.0), status=0, code="ProtocolError")
    start = ShutdownStarted(at_s=1.0, instance="e1")
    end = ShutdownEnded(at_s=3.0, instance="e1", exit_code=0)
    assert not check_shutdowns((_sent("a"), _response("a"), start, end))
    assert not check_shutdowns((_sent("a"), lost, start, end))
    bad: History = (_sent("a"), _run("a"), lost, start, end)
    assert len(check_shutdowns(bad)) == 1
    gave_up = replace(lost, code="ReadTimeoutError")
    assert not check_shutdowns((_sent("a"), _run("a"), gave_up, start, end))
    killed = replace(end, exit_code=-9)
    assert not check_shutdowns((_sent("a"), _run("a"), lost, start, killed))
    failed = replace(end, exit_code=1)
    assert len(check_shutdowns((start, failed))) == 1


def test_first_withdrawal_and_drain_count() -> None:
    """Guards against a repeated edit that extends the time limit."""
    late = _run("a", 16.0)
    assert check_withdrawals(
        (_sent("a"), late, WITHDRAWN, replace(WITHDRAWN, at_s=15.0))
    )
    assert check_drains((late, DRAINED, replace(DRAINED, at_s=15.0)))
