"""Recognition of requests that crash backend servers."""

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenaworks.crash_ledger import (
    MAX_DIGESTS,
    REFUSAL_DURATION_S,
    CrashLedger,
    CrashRefused,
    NoCrash,
    Suspect,
)


def test_refused_after_three_crashes() -> None:
    """Guards against a resent request that crashes a whole service."""
    ledger = CrashLedger()
    for number in range(3):
        assert not isinstance(ledger.assess(1.0, "d"), CrashRefused)
        ledger.record(1.0, "d", f"c{number}")
    assert ledger.assess(1.0, "d") == CrashRefused(
        crashes=3, retry_after_s=REFUSAL_DURATION_S
    )


def test_repeated_message_counts_once() -> None:
    """Guards against refusing a request for one crash reported repeatedly."""
    ledger = CrashLedger()
    for _ in range(5):
        ledger.record(1.0, "d", "c1")
    assert ledger.assess(1.0, "d") == Suspect(crashes=1)


def test_completion_clears_only_crashes_before_it() -> None:
    """Guards against refusing innocent requests, and clearing the cause."""
    ledger = CrashLedger()
    ledger.record(1.0, "d", "c1")
    ledger.clear(2.0, "d", ledger.crash_ids("d"))
    assert ledger.assess(2.0, "d") == NoCrash()
    ledger.record(3.0, "d", "c2")
    assert ledger.assess(3.0, "d") == Suspect(crashes=1)


def test_refusal_ends() -> None:
    """Guards against a refusal that never ends."""
    ledger = CrashLedger()
    for number in range(3):
        ledger.record(1.0, "d", f"c{number}")
    assert ledger.assess(1.0 + REFUSAL_DURATION_S, "d") == NoCrash()


def test_flood_of_suspects_keeps_refusals() -> None:
    """Guards against unbounded memory, and against evicting a refusal."""
    ledger = CrashLedger()
    for number in range(3):
        ledger.record(0.0, "bad", f"c{number}")
    for number in range(MAX_DIGESTS + 10):
        ledger.record(1.0, f"d{number}", "c9")
    assert len(ledger) <= MAX_DIGESTS
    assert isinstance(ledger.assess(1.0, "bad"), CrashRefused)


@settings(derandomize=True, max_examples=200, database=None)
@given(st.lists(st.tuples(st.booleans(), st.integers(0, 4))), st.randoms())
def test_order_of_messages_does_not_matter(
    events: list[tuple[bool, int]], shuffle: st.randoms
) -> None:
    """Guards against instances that disagree after the same messages."""
    ledgers = []
    for _ in range(2):
        ledger = CrashLedger()
        for is_crash, number in events:
            if is_crash:
                ledger.record(1.0, "d", f"c{number}")
            else:
                ledger.clear(1.0, "d", (f"c{number}",))
        ledgers.append(ledger)
        shuffle.shuffle(events)
    assert ledgers[0].crash_ids("d") == ledgers[1].crash_ids("d")
