"""Checkers of recorded histories.

Each checker reads only the history, shares no code with the product and
returns a line for each violation.
"""

from collections import defaultdict
from collections.abc import Callable

from standins.history_event import (
    AnswerReceived,
    DrainStarted,
    History,
    KeyWithdrawn,
    RateSet,
    RequestSent,
    RunStarted,
)

WITHDRAWAL_LIMIT_S = 5.0
DRAIN_LIMIT_S = 3.0


def check_not_run(history: History) -> list[str]:
    """Check that no request that was refused as "not run" has run."""
    runs = _runs_by_request(history)
    return [
        f"{answer} but {run}"
        for answer in history
        if isinstance(answer, AnswerReceived) and answer.run == "not run"
        for run in runs[answer.request_id]
    ]


def check_runs_once(history: History) -> list[str]:
    """Check that no idempotency key runs twice, whatever the outcome."""
    first: dict[str, RunStarted] = {}
    wrong = []
    for run in _runs(history):
        if not run.idempotency_key:
            continue
        earlier = first.setdefault(run.idempotency_key, run)
        if earlier is not run:
            wrong.append(f"{run} repeats {earlier}")
    return wrong


def check_answers(history: History) -> list[str]:
    """Check that each answer is whole and belongs to its request.

    The answer to a request that repeats an idempotency key may name the
    earlier request with that key.
    """
    sent = _sent(history)
    runs = _runs_by_request(history)
    wrong = []
    for answer in history:
        if not isinstance(answer, AnswerReceived) or answer.status != 200:
            continue
        request = sent.get(answer.request_id)
        named = sent.get(answer.named_request_id)
        if request is None or named is None:
            wrong.append(f"{answer} names no request that was sent")
            continue
        is_own = named is request or (
            request.idempotency_key != ""
            and named.idempotency_key == request.idempotency_key
            and named.workspace == request.workspace
        )
        if not is_own:
            wrong.append(f"{answer} to {request} belongs to {named}")
        if not any(
            run.outcome == "answered" and run.body_sha256 == named.body_sha256
            for run in runs[named.request_id]
        ):
            wrong.append(f"{answer} has no answered run with its body")
        if request.answer_bytes is None:
            if answer.named_body_sha256 != named.body_sha256:
                wrong.append(f"{answer} names another body than {named}")
        elif answer.body_bytes != request.answer_bytes:
            wrong.append(f"{answer} is not whole: {request}")
    return wrong


def check_secrets(history: History) -> list[str]:
    """Check that no backend server saw a caller's key."""
    return [f"{run} saw a key" for run in _runs(history) if run.secrets_seen]


def check_rates(history: History) -> list[str]:
    """Check the answered runs of each workspace against rate and burst.

    In every window ``[a, b]`` of times at the backend servers there are at
    most ``rate * (b - a) + burst`` runs. A bucket of that rate and depth,
    full at first, lacks a token exactly if some window has more.
    """
    wrong = []
    for limit, requests in _answered_by_workspace(history):
        tokens, last_s = limit.burst, float("-inf")
        for _, run in sorted(requests, key=lambda pair: pair[1].at_s):
            gained = limit.rate_per_s * (run.at_s - last_s)
            tokens = min(limit.burst, tokens + gained) - 1
            last_s = run.at_s
            if tokens < -1e-6:
                wrong.append(f"{run} exceeds {limit} by {-tokens:.2f}")
    return wrong


def check_rates_of_whole_requests(history: History) -> list[str]:
    """Check rates for requests that lie in a window as a whole.

    A request is admitted between its sending and its start at the backend
    server. Delays on the way therefore can't cause a violation.
    """
    wrong = []
    for limit, requests in _answered_by_workspace(history):
        by_start = sorted(requests, key=lambda pair: pair[1].at_s)
        for begin_s in sorted({sent.at_s for sent, _ in requests}):
            count = 0
            for sent, run in by_start:
                if sent.at_s < begin_s:
                    continue
                count += 1
                width_s = run.at_s - begin_s
                allowed = limit.rate_per_s * width_s + limit.burst
                if count > allowed + 1e-6:
                    wrong.append(
                        f"{run}: {count} runs in {width_s:.3f} s exceed"
                        f" {limit}"
                    )
                    break
    return wrong


def check_withdrawals(history: History) -> list[str]:
    """Check that a withdrawn key has no new run after the limit."""
    withdrawn = {
        event.key_id: event
        for event in history
        if isinstance(event, KeyWithdrawn)
    }
    sent = _sent(history)
    wrong = []
    for run in _runs(history):
        request = sent.get(run.request_id)
        if request is None:
            wrong.append(f"{run} belongs to no request that was sent")
            continue
        event = withdrawn.get(request.key_id)
        if event and run.at_s > event.at_s + WITHDRAWAL_LIMIT_S:
            late_s = run.at_s - event.at_s
            wrong.append(f"{run} of {request} is {late_s:.3f} s after {event}")
    return wrong


def check_drains(history: History) -> list[str]:
    """Check that a drained target has no new run after the limit."""
    drained = {
        event.target: event
        for event in history
        if isinstance(event, DrainStarted)
    }
    wrong = []
    for run in _runs(history):
        event = drained.get(run.target)
        if event and run.at_s > event.at_s + DRAIN_LIMIT_S:
            late_s = run.at_s - event.at_s
            wrong.append(f"{run} is {late_s:.3f} s after {event}")
    return wrong


CHECKERS: dict[str, Callable[[History], list[str]]] = {
    "not run": check_not_run,
    "runs once": check_runs_once,
    "answers": check_answers,
    "secrets": check_secrets,
    "rates": check_rates,
    "rates of whole requests": check_rates_of_whole_requests,
    "withdrawals": check_withdrawals,
    "drains": check_drains,
}


def _runs(history: History) -> list[RunStarted]:
    runs = [event for event in history if isinstance(event, RunStarted)]
    return sorted(runs, key=lambda run: run.at_s)


def _runs_by_request(history: History) -> dict[str, list[RunStarted]]:
    found = defaultdict(list)
    for run in _runs(history):
        found[run.request_id].append(run)
    return found


def _sent(history: History) -> dict[str, RequestSent]:
    return {
        event.request_id: event
        for event in history
        if isinstance(event, RequestSent)
    }


def _answered_by_workspace(
    history: History,
) -> list[tuple[RateSet, list[tuple[RequestSent, RunStarted]]]]:
    """Return the first answered run of each request, by workspace."""
    sent = _sent(history)
    first: dict[str, RunStarted] = {}
    for run in _runs(history):
        if run.outcome == "answered" and run.request_id in sent:
            first.setdefault(run.request_id, run)
    found = defaultdict(list)
    for request_id, run in first.items():
        request = sent[request_id]
        found[request.workspace].append((request, run))
    return [
        (event, found[event.workspace])
        for event in history
        if isinstance(event, RateSet)
    ]
