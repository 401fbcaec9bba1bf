"""Checkers of recorded histories.

Each checker reads only the history and returns a line for each violation.
The checkers share no code with the product.
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

# Time limits from the acceptance of a change until it takes effect.
MAX_WITHDRAWAL_DELAY_S = 5.0
MAX_DRAIN_DELAY_S = 3.0
MAX_EDIT_DELAY_S = 11.0
# Error that urllib3 raises when the caller's timeout expires.
_CALLER_TIMEOUT_CODE = "ReadTimeoutError"
_SIGKILL = 9
# A caller may notice that its connection ended a little later than the
# process did.
_CONNECTION_CLOSE_DELAY_S = 0.5


def check_not_run(history: History) -> list[str]:
    """Check that no request that was refused as "not run" has run."""
    runs = _runs_by_request(history)
    return [
        f"{response} but {run}"
        for response in history
        if isinstance(response, ResponseReceived) and response.run == "not run"
        for run in runs[response.request_id]
    ]


def check_runs_once(history: History) -> list[str]:
    """Check that no idempotency key has two runs, whatever their outcome."""
    first: dict[str, RunStarted] = {}
    violations = []
    for run in _runs(history):
        if not run.idempotency_key:
            continue
        earlier = first.setdefault(run.idempotency_key, run)
        if earlier is not run:
            violations.append(f"{run} repeats {earlier}")
    return violations


def check_responses(history: History) -> list[str]:
    """Check that each response is complete and belongs to its request.

    The response to a request with a repeated idempotency key may name the
    earlier request with that key.
    """
    sent = _requests_by_id(history)
    runs = _runs_by_request(history)
    violations = []
    for response in history:
        if (
            not isinstance(response, ResponseReceived)
            or response.status != 200
        ):
            continue
        request = sent.get(response.request_id)
        named = sent.get(response.named_request_id)
        if request is None or named is None:
            violations.append(f"{response} names no request that was sent")
            continue
        belongs = named is request or (
            request.idempotency_key != ""
            and named.idempotency_key == request.idempotency_key
            and named.workspace == request.workspace
        )
        if not belongs:
            violations.append(f"{response} to {request} belongs to {named}")
        if not any(
            run.outcome == "answered" and run.body_sha256 == named.body_sha256
            for run in runs[named.request_id]
        ):
            violations.append(f"{response} has no answered run with its body")
        if request.answer_bytes is None:
            if response.named_body_sha256 != named.body_sha256:
                violations.append(
                    f"{response} names another body than {named}"
                )
        elif response.body_bytes != request.answer_bytes:
            violations.append(f"{response} is incomplete: {request}")
    return violations


def check_secrets(history: History) -> list[str]:
    """Check that no backend server saw a caller's key."""
    return [f"{run} saw a key" for run in _runs(history) if run.secrets_seen]


def check_rates(history: History) -> list[str]:
    """Check the answered runs of each workspace against its rate and burst.

    In every window ``[a, b]`` of start times at the backend servers there
    may be at most ``rate * (b - a) + burst`` runs. A token bucket of that
    rate and depth, full at first, lacks a token if and only if some window
    has more runs.
    """
    violations = []
    for limit, requests in _answered_by_workspace(history):
        tokens, last_s = limit.burst, float("-inf")
        for _, run in sorted(requests, key=lambda pair: pair[1].at_s):
            gained = limit.rate_per_s * (run.at_s - last_s)
            tokens = min(limit.burst, tokens + gained) - 1
            last_s = run.at_s
            if tokens < -1e-6:
                violations.append(f"{run} exceeds {limit} by {-tokens:.2f}")
    return violations


def check_rates_of_whole_requests(history: History) -> list[str]:
    """Check rates for requests that lie entirely within a window.

    A request is admitted between the time when its caller sent it and its
    start at the backend server. Network delays therefore cannot cause a
    violation.
    """
    violations = []
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
                    violations.append(
                        f"{run}: {count} runs in {width_s:.3f} s exceed"
                        f" {limit}"
                    )
                    break
    return violations


def check_withdrawals(history: History) -> list[str]:
    """Check that a withdrawn key has no new run after the time limit."""
    withdrawn: dict[str, KeyWithdrawn] = {}
    for event in history:
        if isinstance(event, KeyWithdrawn):
            withdrawn.setdefault(event.key_id, event)
    sent = _requests_by_id(history)
    violations = []
    for run in _runs(history):
        request = sent.get(run.request_id)
        if request is None:
            violations.append(f"{run} belongs to no request that was sent")
            continue
        first = withdrawn.get(request.key_id)
        if first and run.at_s > first.at_s + MAX_WITHDRAWAL_DELAY_S:
            late_s = run.at_s - first.at_s
            violations.append(
                f"{run} of {request} is {late_s:.3f} s after {first}"
            )
    return violations


def check_drains(history: History) -> list[str]:
    """Check that a drained target has no new run after the time limit."""
    drained: dict[str, DrainStarted] = {}
    for event in history:
        if isinstance(event, DrainStarted):
            drained.setdefault(event.target, event)
    violations = []
    for run in _runs(history):
        first = drained.get(run.target)
        if first and run.at_s > first.at_s + MAX_DRAIN_DELAY_S:
            late_s = run.at_s - first.at_s
            violations.append(f"{run} is {late_s:.3f} s after {first}")
    return violations


def check_edits(history: History) -> list[str]:
    """Check that accepted edits are ordered and that the last one is read.

    Each accepted edit has its own revision, which directly follows the
    expected one if the operator gave one. The value that is read at the end
    is that of the newest edit, or of an edit whose outcome is unknown.
    """
    edits = [event for event in history if isinstance(event, EditAccepted)]
    violations = []
    by_revision: dict[int, EditAccepted] = {}
    for edit in edits:
        first = by_revision.setdefault(edit.config_revision, edit)
        if first is not edit:
            violations.append(f"{edit} has the revision of {first}")
        expected = edit.expected_revision
        if expected and edit.config_revision != expected + 1:
            violations.append(f"{edit} does not follow the expected revision")
    for seen in history:
        if not isinstance(seen, ValueSeen):
            continue
        same = [e for e in edits if _setting(e) == _setting(seen)]
        last = max(same, key=lambda e: e.config_revision, default=None)
        possible = {
            event.value
            for event in history
            if isinstance(event, EditOutcomeUnknown)
            and _setting(event) == _setting(seen)
        }
        if last is not None and seen.value not in {last.value, *possible}:
            violations.append(f"{seen} after {last}")
    return violations


def check_revisions(history: History) -> list[str]:
    """Check that no instance goes back to an earlier configuration.

    The last revision that was seen of each instance must include every
    accepted edit, unless the instance was last seen before the time limit
    of the newest edit had passed.
    """
    highest: dict[str, RevisionSeen] = {}
    newest = max(
        (e for e in history if isinstance(e, EditAccepted)),
        key=lambda e: e.config_revision,
        default=None,
    )
    violations = []
    for seen in sorted(
        (e for e in history if isinstance(e, RevisionSeen)),
        key=lambda e: e.at_s,
    ):
        earlier = highest.get(seen.instance, seen)
        if seen.config_revision < earlier.config_revision:
            violations.append(f"{seen} is older than {earlier}")
        else:
            highest[seen.instance] = seen
    for seen in highest.values():
        if (
            newest is not None
            and seen.at_s > newest.at_s + MAX_EDIT_DELAY_S
            and seen.config_revision < newest.config_revision
        ):
            violations.append(f"{seen} lacks {newest}")
    return violations


def check_shutdowns(history: History) -> list[str]:
    """Check that a graceful shutdown interrupts no request.

    A request that ran must get a response, unless its caller timed out.
    """
    sent = _requests_by_id(history)
    runs = _runs_by_request(history)
    ends = {
        event.instance: event
        for event in history
        if isinstance(event, ShutdownEnded) and event.exit_code != -_SIGKILL
    }
    violations = [
        f"{end} did not end well" for end in ends.values() if end.exit_code
    ]
    for start in history:
        if not isinstance(start, ShutdownStarted):
            continue
        end = ends.get(start.instance)
        if end is None:
            continue
        for response in history:
            if (
                isinstance(response, ResponseReceived)
                and response.status == 0
                and response.code != _CALLER_TIMEOUT_CODE
                and start.at_s
                <= response.at_s
                <= end.at_s + _CONNECTION_CLOSE_DELAY_S
                and sent[response.request_id].instance == start.instance
                and runs[response.request_id]
            ):
                violations.append(
                    f"{response} of a request that ran, during {start}"
                )
    return violations


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


def _setting(
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


def _requests_by_id(history: History) -> dict[str, RequestSent]:
    return {
        event.request_id: event
        for event in history
        if isinstance(event, RequestSent)
    }


def _answered_by_workspace(
    history: History,
) -> list[tuple[RateSet, list[tuple[RequestSent, RunStarted]]]]:
    """Return the first answered run of each request, by workspace."""
    sent = _requests_by_id(history)
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
