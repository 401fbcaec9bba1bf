"""Ledger of idempotency keys."""

import random
from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from verbenaworks.run_ledger import (
    GENERATION_S,
    KEPT_GENERATIONS,
    MAX_ANSWER_BYTES,
    MAX_RECORDS,
    MAX_STORED_ANSWERS_BYTES,
    RunLedger,
)
from verbenaworks.run_messages import (
    AlreadyAnswered,
    ClaimRun,
    KeyReused,
    LedgerFull,
    ReportAnswered,
    ReportNotRun,
    ReportUnknown,
    RunNow,
    RunUnknown,
    StillRunning,
    StoredAnswer,
)
from verbenaworks.run_ticket import RunTicket, parse_ticket

ANSWER = StoredAnswer(status=201, headers=(), body=b"done")


def _claim(
    key: str, attempt: str, epoch: int = 1, generation: int = 0, body: str = ""
) -> ClaimRun:
    return ClaimRun(
        shard=0,
        epoch=epoch,
        generation=generation,
        key=key,
        attempt_id=attempt,
        fingerprint=body,
    )


def _ledger(epoch: int = 1) -> RunLedger:
    return RunLedger(shard=0, epoch=epoch, started_at_s=0.0)


def _answered(key: str, attempt: str) -> ReportAnswered:
    return ReportAnswered(
        shard=0, epoch=1, key=key, attempt_id=attempt, answer=ANSWER
    )


def test_repeated_claim_message_repeats_its_answer() -> None:
    """Guards against a request that never runs because a reply was lost."""
    ledger = _ledger()
    first = ledger.claim(0.0, _claim("k", "a"))
    assert first == ledger.claim(0.1, _claim("k", "a"))
    assert first == RunNow(attempt_id="a")


def test_resend_gets_the_first_answer() -> None:
    """Guards against a second run of an answered request."""
    ledger = _ledger()
    ledger.claim(0.0, _claim("k", "a"))
    assert isinstance(ledger.claim(0.1, _claim("k", "b")), StillRunning)
    ledger.report(_answered("k", "a"))
    reply = ledger.claim(0.2, _claim("k", "c"))
    assert reply == AlreadyAnswered(attempt_id="c", answer=ANSWER)


def test_not_run_report_frees_only_the_claim_of_its_attempt() -> None:
    """Guards against a late report that frees another attempt's claim."""
    ledger = _ledger()
    ledger.claim(0.0, _claim("k", "a"))
    ledger.report(ReportNotRun(shard=0, epoch=1, key="k", attempt_id="a"))
    assert ledger.claim(0.1, _claim("k", "b")) == RunNow(attempt_id="b")
    ledger.report(ReportNotRun(shard=0, epoch=1, key="k", attempt_id="a"))
    assert isinstance(ledger.claim(0.2, _claim("k", "c")), StillRunning)


def test_not_run_report_after_the_end_is_ignored() -> None:
    """Guards against a repeated report that frees a key that ran."""
    ledger = _ledger()
    ledger.claim(0.0, _claim("k", "a"))
    ledger.report(ReportUnknown(shard=0, epoch=1, key="k", attempt_id="a"))
    ledger.report(ReportNotRun(shard=0, epoch=1, key="k", attempt_id="a"))
    assert isinstance(ledger.claim(0.1, _claim("k", "b")), RunUnknown)


def test_other_epoch_never_runs() -> None:
    """Guards against a run that an earlier owner may have allowed too."""
    assert isinstance(
        _ledger(epoch=2).claim(0.0, _claim("k", "a", epoch=1)), RunUnknown
    )


def test_forgotten_generation_never_runs() -> None:
    """Guards against a second run after the first record was removed."""
    ledger = _ledger()
    ledger.claim(0.0, _claim("k", "a"))
    ledger.report(_answered("k", "a"))
    late_s = GENERATION_S * KEPT_GENERATIONS
    assert isinstance(ledger.claim(late_s, _claim("k", "b")), RunUnknown)
    assert len(ledger) == 0


def test_future_generation_never_runs() -> None:
    """Guards against a forged ticket that outlives its record."""
    reply = _ledger().claim(0.0, _claim("k", "a", generation=5))
    assert isinstance(reply, RunUnknown)


def test_reused_key_with_other_content_is_detected() -> None:
    """Guards against answering one request with the answer to another."""
    ledger = _ledger()
    ledger.claim(0.0, _claim("k", "a", body="x"))
    reply = ledger.claim(0.1, _claim("k", "b", body="y"))
    assert isinstance(reply, KeyReused)


def test_oldest_answers_are_dropped_and_their_keys_never_run() -> None:
    """Guards against unbounded answers, and against a second run."""
    ledger = _ledger()
    body = bytes(MAX_ANSWER_BYTES)
    kept = MAX_STORED_ANSWERS_BYTES // MAX_ANSWER_BYTES
    keys = [f"key{n}" for n in range(kept + 5)]
    for key in keys:
        ledger.claim(0.0, _claim(key, "a"))
        report = replace(
            _answered(key, "a"),
            answer=StoredAnswer(status=200, headers=(), body=body),
        )
        ledger.report(report)
    replies = [ledger.claim(0.0, _claim(key, "b")) for key in keys]
    assert all(isinstance(r, RunUnknown) for r in replies[:5])
    assert all(isinstance(r, AlreadyAnswered) for r in replies[5:])
    later_s = KEPT_GENERATIONS * GENERATION_S
    ledger.claim(later_s, _claim("new", "c", generation=KEPT_GENERATIONS))
    assert ledger._stored_answer_bytes == 0
    assert not ledger._answered_keys


def test_full_ledger_refuses_and_keeps_its_records() -> None:
    """Guards against evicting records of keys that ran."""
    ledger = _ledger()
    for number in range(MAX_RECORDS):
        ledger.claim(0.0, _claim(f"k{number}", "a"))
    assert isinstance(ledger.claim(0.0, _claim("x", "a")), LedgerFull)
    assert isinstance(ledger.claim(0.0, _claim("k0", "b")), StillRunning)


@pytest.mark.parametrize(
    "key",
    ["", "abc", "1-2-3", "1-2-3.short", "-1-2-3.abcdefgh", "1-2.abcdefgh"],
)
def test_keys_without_a_ticket(key: str) -> None:
    """Guards against accepting a key without a ticket."""
    assert parse_ticket(key) is None


def test_ticket_round_trip() -> None:
    """Guards against tickets that callers cannot use."""
    ticket = RunTicket(shard=3, epoch=7, generation=12)
    assert parse_ticket(f"{ticket}.0123456789abcdef") == ticket


class RunMachine(RuleBasedStateMachine):
    """Owners change; the model counts the runs of each key."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.runs: dict[str, int] = {}
        self.open: dict[str, tuple[str, int]] = {}
        self.attempts = 0

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed: int) -> None:
        """Start with one owner."""
        self.random = random.Random(seed)
        self.ledgers = [_ledger(epoch=1)]
        self.keys: list[tuple[str, int, int]] = []

    @rule()
    def issue_key(self) -> None:
        """Create a key from the newest owner's ticket."""
        ledger = self.ledgers[-1]
        name = f"k{len(self.keys)}"
        self.keys.append((name, ledger.epoch, ledger.generation(self.now_s)))

    @precondition(lambda self: self.keys)
    @rule(data=st.data())
    def send(self, data: st.DataObject) -> None:
        """Send or resend a key to any live owner."""
        key, epoch, generation = data.draw(st.sampled_from(self.keys))
        ledger = data.draw(st.sampled_from(self.ledgers))
        self.attempts += 1
        attempt = f"a{self.attempts}"
        claim = _claim(key, attempt, epoch=epoch, generation=generation)
        reply = ledger.claim(self.now_s, claim)
        if isinstance(reply, RunNow):
            self.open[attempt] = (key, ledger.epoch)

    @precondition(lambda self: self.open)
    @rule(data=st.data(), ran=st.booleans(), lost=st.booleans())
    def finish(self, data: st.DataObject, ran: bool, lost: bool) -> None:
        """End an attempt; its report may be lost or repeated."""
        attempt = data.draw(st.sampled_from(sorted(self.open)))
        key, epoch = self.open[attempt]
        if ran:
            self.runs[key] = self.runs.get(key, 0) + 1
        del self.open[attempt]
        kind = (
            data.draw(st.sampled_from([ReportAnswered, ReportUnknown]))
            if ran
            else ReportNotRun
        )
        fields = {"answer": ANSWER} if kind is ReportAnswered else {}
        report = kind(
            shard=0, epoch=epoch, key=key, attempt_id=attempt, **fields
        )
        for ledger in self.ledgers:
            if not lost:
                ledger.report(report)
                ledger.report(report)

    @rule()
    def change_owner(self) -> None:
        """Start a new owner without records; the old one may still reply."""
        epoch = self.ledgers[-1].epoch + 1
        ledger = RunLedger(shard=0, epoch=epoch, started_at_s=self.now_s)
        self.ledgers = [*self.ledgers[-1:], ledger]

    @rule(duration_s=st.sampled_from([1.0, 700.0, 3000.0]))
    def wait(self, duration_s: float) -> None:
        """Let time pass."""
        self.now_s += duration_s

    @invariant()
    def no_key_runs_twice(self) -> None:
        """Check that each key runs at most once, including open attempts."""
        open_keys = [key for key, _ in self.open.values()]
        for key in set(open_keys) | set(self.runs):
            assert self.runs.get(key, 0) + open_keys.count(key) <= 1


RunMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, database=None
)
TestRunMachine = RunMachine.TestCase
