"""Charges the bytes of bodies on one link to the tokens of its budgets.

A token covers ``TOKEN_BYTES``. It is spent before the bytes that it covers
are forwarded. What a body leaves of its last token is kept for the next body,
so that small bodies do not cost a token each. Bytes are never forwarded
without a token, and an instance keeps at most ``MAX_CARRY_BYTES`` of unused
tokens beyond what running requests have reserved.
"""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

# A smaller token would not be more precise, because unused bytes are carried
# over. With a larger one, the share of each of 260 instances in a burst of
# 50 MB would be smaller than one read of a body.
TOKEN_BYTES = 16384
# One read of a body.
MAX_CARRY_BYTES = 65536
# Tokens requested in addition to the missing ones, so that a body that has
# just begun does not wait for the owner's reply at each read.
READ_AHEAD_TOKENS = 32
# Several round trips between regions. A part that granted nothing in this time
# may have no owner, so tokens of the other parts are requested too.
USE_ALL_PARTS_AFTER_S = 0.1
# Shortages that are farther apart count as separate ones.
_SHORTAGE_GAP_S = 1.0
# All parts stay in use for this long after the first one did not suffice, and
# while the instance spends at least the second value. Otherwise bodies wait
# each time that a busy instance returns to one part.
USE_ALL_PARTS_S = 5.0
USE_ALL_PARTS_TOKENS_PER_S = 64
# All demand is reported under one name: an entry for each workspace would
# multiply the traffic to the owners.
_WORKSPACE = ""


class TokenSource(Protocol):
    """What the meter uses of a budget client."""

    def available(self, now_s: float, budget: str) -> int:
        """Return the tokens that can be acquired now."""

    def try_acquire(
        self,
        now_s: float,
        budget: str,
        workspace: str,
        amount: int = 1,
        retry: bool = False,
    ) -> object | None:
        """Spend tokens; ``None`` if there are not enough."""

    def refund(self, now_s: float, budget: str, amount: int) -> None:
        """Return tokens that were acquired and not used."""

    def note_demand(
        self,
        now_s: float,
        budget: str,
        workspace: str,
        *,
        missing: int,
        demand: int,
    ) -> None:
        """Record demand, and the tokens that are missing now."""

    def wait_s(self, now_s: float, budget: str, amount: int = 1) -> float:
        """Return the time until enough tokens exist without a new grant."""


class LinkPart(NamedTuple):
    """One of the budgets into which a link is divided."""

    source: TokenSource
    budget: str


class LinkMeter:
    """Tokens of one link at one instance.

    :param parts: the budgets of the link. The first one is used alone while
        it suffices, so that each instance reports demand for few budgets;
        instances use different first parts.
    """

    def __init__(self, parts: Sequence[LinkPart]) -> None:
        self._parts = tuple(parts)
        self._credit_bytes = 0
        self._reserved_bytes = 0
        self._short_since_s: float | None = None
        self._last_shortage_at_s = float("-inf")
        self._uses_all_parts = False
        self._period_end_s = float("-inf")
        self._spent_tokens = 0
        self._next_part_index = 0
        self.charged_bytes = 0

    def has_tokens(self, now_s: float, size_bytes: int) -> bool:
        """Return whether there are tokens for a body; request them if not."""
        missing = self._missing_tokens(size_bytes)
        remaining = missing
        for part in self._parts_in_use(now_s):
            if remaining <= 0:
                break
            remaining -= part.source.available(now_s, part.budget)
        if remaining <= 0:
            self._short_since_s = None
            return True
        self._record_shortage(now_s, missing)
        return False

    def add_demand(self, now_s: float, tokens: int) -> None:
        """Report demand that :meth:`charge` does not count."""
        parts = self._parts_in_use(now_s)
        tokens_per_part, remainder = divmod(tokens, len(parts))
        # The remainder goes to the parts in turn, because rounding up for
        # each part would count a small body several times.
        self._next_part_index += 1
        for index, part in enumerate(parts):
            share = tokens_per_part + (
                (index + self._next_part_index) % len(parts) < remainder
            )
            if share:
                part.source.note_demand(
                    now_s, part.budget, _WORKSPACE, missing=0, demand=share
                )

    def reserve(self, now_s: float, size_bytes: int) -> bool:
        """Reserve tokens for a body that will follow."""
        if not self.has_tokens(now_s, size_bytes):
            return False
        self._acquire_credit(now_s, size_bytes, is_retry=False)
        self._reserved_bytes += size_bytes
        return True

    def charge(
        self,
        now_s: float,
        size_bytes: int,
        *,
        reserved_bytes: int = 0,
        is_retry: bool = False,
    ) -> bool:
        """Spend the tokens for bytes that are about to be forwarded.

        If there are too few, the available ones stay with the meter for the
        next call, which must be for the same bytes.

        :param reserved_bytes: how many of these bytes were reserved before.
        :param is_retry: whether the demand was counted by an earlier call.
        """
        if not self._acquire_credit(
            now_s, size_bytes - reserved_bytes, is_retry
        ):
            return False
        self._credit_bytes -= size_bytes
        self._reserved_bytes -= reserved_bytes
        self.charged_bytes += size_bytes
        return True

    def release(self, now_s: float, reserved_bytes: int = 0) -> None:
        """Release a reservation, or the tokens that a body waited for."""
        self._reserved_bytes -= reserved_bytes
        free_bytes = self._credit_bytes - self._reserved_bytes
        tokens = (free_bytes - MAX_CARRY_BYTES) // TOKEN_BYTES
        if tokens <= 0:
            return
        self._credit_bytes -= tokens * TOKEN_BYTES
        parts = self._parts_in_use(now_s)
        tokens_per_part, remainder = divmod(tokens, len(parts))
        for index, part in enumerate(parts):
            share = tokens_per_part + (index < remainder)
            part.source.refund(now_s, part.budget, share)

    def wait_s(self, now_s: float) -> float:
        """Return the time after which tokens may exist without a new grant."""
        return min(
            part.source.wait_s(now_s, part.budget) for part in self._parts
        )

    def _missing_tokens(self, size_bytes: int) -> int:
        missing_bytes = size_bytes - (
            self._credit_bytes - self._reserved_bytes
        )
        return -(-missing_bytes // TOKEN_BYTES)

    def _acquire_credit(
        self, now_s: float, size_bytes: int, is_retry: bool
    ) -> bool:
        """Acquire tokens until the free credit covers ``size_bytes``."""
        missing = self._missing_tokens(size_bytes)
        if missing <= 0:
            return True
        if not is_retry:
            # The owners divide the rate by demand, so demand counts even if
            # there are no tokens.
            self.add_demand(now_s, missing)
        for part in self._parts_in_use(now_s):
            count = min(missing, part.source.available(now_s, part.budget))
            if count > 0 and part.source.try_acquire(
                now_s, part.budget, _WORKSPACE, count, retry=True
            ):
                self._credit_bytes += count * TOKEN_BYTES
                self._spent_tokens += count
                missing -= count
            if missing <= 0:
                self._short_since_s = None
                return True
        self._record_shortage(now_s, missing)
        return False

    def _parts_in_use(self, now_s: float) -> Sequence[LinkPart]:
        if now_s >= self._period_end_s:
            self._uses_all_parts = (
                self._spent_tokens
                >= USE_ALL_PARTS_TOKENS_PER_S * USE_ALL_PARTS_S
            )
            self._spent_tokens = 0
            self._period_end_s = now_s + USE_ALL_PARTS_S
        return self._parts if self._uses_all_parts else self._parts[:1]

    def _record_shortage(self, now_s: float, missing: int) -> None:
        if now_s - self._last_shortage_at_s > _SHORTAGE_GAP_S:
            self._short_since_s = None
        self._last_shortage_at_s = now_s
        if self._short_since_s is None:
            self._short_since_s = now_s
        elif now_s - self._short_since_s >= USE_ALL_PARTS_AFTER_S:
            self._uses_all_parts = True
            self._period_end_s = now_s + USE_ALL_PARTS_S
        for part in self._parts_in_use(now_s):
            part.source.note_demand(
                now_s,
                part.budget,
                _WORKSPACE,
                missing=missing + READ_AHEAD_TOKENS,
                demand=0,
            )
