"""Checkers of recorded histories.

Each checker reads only the history, shares no code with the product and
returns a line for each violation.
"""

from collections import defaultdict
from collections.abc import Callable

from standins.history_event import (
    DrainStarted,
    EditAccepted,
    EditOutcomeUnknown,
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

WITHDRAWAL_LIMIT_S = 5.0
DRAIN_LIMIT_S = 3.0
EDIT_LIMIT_S = 11.0
# Error that urllib3 raises when its caller's time is over.
_GAVE_UP = "ReadTimeoutError"
_SIGKILL = 9
# The caller may see the end of a connection shortly after the process ended.
_CLOSING_S = 0.5


def check_not_run(history: History) -> list[str]:
    """Check that no request that was refused as "not run" has run."""
    runs = _runs_by_request(history)
    return [
        f"{answer} but {run}"
        for answer in history
        if isinstance(answer, ResponseReceived) and answer.run == "not run"
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


def check_responses(history: History) -> list[str]:
    """Check that each answer is whole and belongs to its request.

    The answer to a request that repeats an idempotency key may name the
    earlier request with that key.
    """
    sent = _sent(history)
    runs = _runs_by_request(history)
    wrong = []
    for answer in history:
        if not isinstance(answer, ResponseReceived) or answer.status != 200:
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
    withdrawn: dict[str, KeyWithdrawn] = {}
    for event in history:
        if isinstance(event, KeyWithdrawn):
            withdrawn.setdefault(event.key_id, event)
    sent = _sent(history)
    wrong = []
    for run in _runs(history):
        request = sent.get(run.request_id)
        if request is None:
            wrong.append(f"{run} belongs to no request that was sent")
            continue
        first = withdrawn.get(request.key_id)
        if first and run.at_s > first.at_s + WITHDRAWAL_LIMIT_S:
            late_s = run.at_s - first.at_s
            wrong.append(f"{run} of {request} is {late_s:.3f} s after {first}")
    return wrong


def check_drains(history: History) -> list[str]:
    """Check that a drained target has no new run after the limit."""
    drained: dict[str, DrainStarted] = {}
    for event in history:
        if isinstance(event, DrainStarted):
            drained.setdefault(event.target, event)
    wrong = []
    for run in _runs(history):
        first = drained.get(run.target)
        if first and run.at_s > first.at_s + DRAIN_LIMIT_S:
            late_s = run.at_s - first.at_s
            wrong.append(f"{run} is {late_s:.3f} s after {first}")
    return wrong


def check_edits(history: History) -> list[str]:
    """Check that accepted edits have an order and that the last one counts.

    Each accepted edit has a revision of its own, directly after the expected
    one if the operator named it. The value that is read at the end is that
    of the newest edit, or of one whose outcome the operator was not told.
    """
    edits = [event for event in history if isinstance(event, EditAccepted)]
    wrong = []
    by_revision: dict[int, EditAccepted] = {}
    for edit in edits:
        first = by_revision.setdefault(edit.config_revision, edit)
        if first is not edit:
            wrong.append(f"{edit} has the revision of {first}")
        expected = edit.expected_revision
        if expected and edit.config_revision != expected + 1:
            wrong.append(f"{edit} does not follow the expected revision")
    for seen in history:
        if not isinstance(seen, ValueSeen):
            continue
        same = [e for e in edits if _place(e) == _place(seen)]
        last = max(same, key=lambda e: e.config_revision, default=None)
        possible = {
            event.value
            for event in history
            if isinstance(event, EditOutcomeUnknown)
            and _place(event) == _place(seen)
        }
        if last is not None and seen.value not in {last.value, *possible}:
            wrong.append(f"{seen} after {last}")
    return wrong


def check_revisions(history: History) -> list[str]:
    """Check that no instance goes back to an earlier configuration.

    The last revision that each instance showed must include every edit that
    was accepted, unless the instance shows nothing after the last edit.
    """
    highest: dict[str, RevisionSeen] = {}
    newest = max(
        (e for e in history if isinstance(e, EditAccepted)),
        key=lambda e: e.config_revision,
        default=None,
    )
    wrong = []
    for seen in sorted(
        (e for e in history if isinstance(e, RevisionSeen)),
        key=lambda e: e.at_s,
    ):
        earlier = highest.get(seen.instance, seen)
        if seen.config_revision < earlier.config_revision:
            wrong.append(f"{seen} is older than {earlier}")
        else:
            highest[seen.instance] = seen
    for seen in highest.values():
        if (
            newest is not None
            and seen.at_s > newest.at_s + EDIT_LIMIT_S
            and seen.config_revision < newest.config_revision
        ):
            wrong.append(f"{seen} lacks {newest}")
    return wrong


def check_shutdowns(history: History) -> list[str]:
    """Check that a graceful shutdown cuts off no request.

    A request that ran must be answered, unless its caller gave up waiting.
    """
    sent = _sent(history)
    runs = _runs_by_request(history)
    ends = {
        event.instance: event
        for event in history
        if isinstance(event, ShutdownEnded) and event.exit_code != -_SIGKILL
    }
    wrong = [
        f"{end} did not end well" for end in ends.values() if end.exit_code
    ]
    for start in history:
        if not isinstance(start, ShutdownStarted):
            continue
        end = ends.get(start.instance)
        if end is None:
            continue
        for answer in history:
            if (
                isinstance(answer, ResponseReceived)
                and answer.status == 0
                and answer.code != _GAVE_UP
                and start.at_s <= answer.at_s <= end.at_s + _CLOSING_S
                and sent[answer.request_id].instance == start.instance
                and runs[answer.request_id]
            ):
                wrong.append(f"{answer} of a request that ran, during {start}")
    return wrong


CHECKERS: dict[str, Callable[[History], list[str]]] = {
    "not run": check_not_run,
    "runs once": check_runs_once,
    "answers": check_responses,
    "secrets": check_secrets,
    "rates": check_rates,
    "rates of whole requests": check_rates_of_whole_requests,
    "withdrawals": check_withdrawals,
    "drains": check_drains,
    "edits": check_edits,
    "revisions": check_revisions,
    "shutdowns": check_shutdowns,
}


def _place(
    event: EditAccepted | EditOutcomeUnknown | ValueSeen,
) -> tuple[str, str]:
    return event.path, event.field


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
