"""Tokens that bodies cost on a link."""

from collections import Counter

from verbenaworks.body_sizes import INITIAL_BODY_BYTES, BodySizes
from verbenaworks.link_meter import (
    MAX_CARRY_BYTES,
    TOKEN_BYTES,
    USE_ALL_PARTS_AFTER_S,
    LinkMeter,
    LinkPart,
)


class _Source:
    """Tokens that the test grants; ``spent`` and ``missing`` by budget."""

    def __init__(self, **tokens: int) -> None:
        self.tokens = tokens
        self.spent: Counter[str] = Counter()
        self.missing: Counter[str] = Counter()

    def available(self, now_s: float, budget: str) -> int:
        return self.tokens[budget]

    def try_acquire(
        self,
        now_s: float,
        budget: str,
        workspace: str,
        amount: int = 1,
        retry: bool = False,
    ) -> object | None:
        if self.tokens[budget] < amount:
            return None
        self.tokens[budget] -= amount
        self.spent[budget] += amount
        return object()

    def refund(self, now_s: float, budget: str, amount: int) -> None:
        self.tokens[budget] += amount
        self.spent[budget] -= amount

    def note_demand(
        self,
        now_s: float,
        budget: str,
        workspace: str,
        *,
        missing: int,
        demand: int,
    ) -> None:
        self.missing[budget] += missing

    def wait_s(self, now_s: float, budget: str, amount: int = 1) -> float:
        return 1.0


def _meter(source: _Source) -> LinkMeter:
    return LinkMeter([LinkPart(source, name) for name in source.tokens])


def test_small_bodies_share_a_token() -> None:
    """Guards against a token for each small body, and for none of them."""
    source = _Source(a=9)
    meter = _meter(source)
    for _ in range(TOKEN_BYTES // 100):
        assert meter.charge(0.0, 100)
    assert source.spent["a"] == 1
    assert meter.charge(0.0, 100)
    assert source.spent["a"] == 2


def test_bytes_never_exceed_the_tokens_spent() -> None:
    """Guards against bytes counted twice by reservations or remainders."""
    source = _Source(a=6)
    meter = _meter(source)
    assert meter.reserve(0.0, 3 * TOKEN_BYTES)
    assert not meter.charge(0.0, 4 * TOKEN_BYTES)
    assert meter.charge(0.0, TOKEN_BYTES, reserved_bytes=TOKEN_BYTES)
    assert meter.charge(0.0, 3 * TOKEN_BYTES, is_retry=True)
    assert meter.charge(0.0, TOKEN_BYTES, reserved_bytes=TOKEN_BYTES)
    assert not meter.has_tokens(0.0, 1)
    meter.release(0.0, TOKEN_BYTES)
    assert meter.has_tokens(0.0, TOKEN_BYTES)
    assert not meter.has_tokens(0.0, TOKEN_BYTES + 1)
    assert meter.charged_bytes == 5 * TOKEN_BYTES


def test_unused_tokens_of_attempts_do_not_accumulate() -> None:
    """Guards against an instance that saves up tokens for a burst."""
    source = _Source(a=100)
    meter = _meter(source)
    for _ in range(10):
        assert meter.reserve(0.0, 10 * TOKEN_BYTES)
        meter.release(0.0, 10 * TOKEN_BYTES)
    assert source.tokens["a"] == 100 - MAX_CARRY_BYTES // TOKEN_BYTES
    source.tokens["a"] = 0
    assert meter.has_tokens(0.0, MAX_CARRY_BYTES)
    assert not meter.has_tokens(0.0, MAX_CARRY_BYTES + 1)


def test_other_parts_are_used_when_the_first_grants_nothing() -> None:
    """Guards against a link that stops when one owner has failed."""
    source = _Source(a=0, b=5)
    meter = _meter(source)
    assert not meter.charge(0.0, TOKEN_BYTES)
    assert source.missing["a"] and not source.missing["b"]
    assert not meter.charge(USE_ALL_PARTS_AFTER_S, TOKEN_BYTES, is_retry=True)
    assert source.missing["b"]
    assert meter.charge(
        USE_ALL_PARTS_AFTER_S + 0.01, TOKEN_BYTES, is_retry=True
    )
    assert source.spent == {"b": 1}


def test_usual_size_starts_at_a_token_and_follows_the_bodies() -> None:
    """Guards against spilling large bodies with tokens for a small one."""
    sizes = BodySizes()
    assert (
        sizes.request_bytes("s")
        == sizes.answer_bytes("s")
        == INITIAL_BODY_BYTES
    )
    for _ in range(200):
        sizes.record("s", 0, None)
        sizes.record("s", None, 10**6)
    assert sizes.request_bytes("s") < 100
    assert sizes.answer_bytes("s") > 900_000
    assert sizes.answer_bytes("other") == INITIAL_BODY_BYTES
