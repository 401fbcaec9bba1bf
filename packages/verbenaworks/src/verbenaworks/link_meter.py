"""Charges the bytes of bodies on one link to the tokens of its budgets.

A token covers ``TOKEN_BYTES``. It is spent before the bytes that it covers
are passed on; what a body leaves of its last token is kept for the next one,
so that small bodies do not cost a token each. Bytes are never passed on
without a token, and an instance keeps at most ``MAX_CARRY_BYTES`` of unused
tokens beyond what running requests have reserved.
"""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

# A smaller token would add nothing: rests are carried over. With a larger
# one, the depth that 260 instances hold of a burst of 50 MB would be less
# than one read of a body for each.
TOKEN_BYTES = 16384
# One read of a body.
MAX_CARRY_BYTES = 65536
# Tokens asked for beyond those that are missing, so that a body that has
# just begun does not wait for an exchange for each read.
AHEAD_TOKENS = 32
# Several round trips between regions; a part that brought nothing in this
# time may have no owner, so the other parts are asked too.
WIDEN_AFTER_S = 0.1
# Lacks that are farther apart are not one lack.
_FORGET_S = 1.0
# All parts stay in use for this long after the first one did not suffice,
# and as long as an instance spends more than the second value. Without it,
# bodies waited each time that a busy instance went back to one part.
WIDE_S = 5.0
NARROW_TOKENS_PER_S = 64
# The demand of all workspaces is stated as one: a want for each of them
# would multiply the traffic of the exchange.
_WORKSPACE = ""


class TokenSource(Protocol):
    """What the meter uses of a budget's taker."""

    def available(self, now_s: float, budget: str) -> int:
        """Return the tokens that can be taken now."""

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
        """Return tokens that were taken and not used."""

    def note_demand(
        self,
        now_s: float,
        budget: str,
        workspace: str,
        *,
        missing: int,
        demand: int,
    ) -> None:
        """Note demand and a lack of tokens."""

    def wait_s(self, now_s: float, budget: str, amount: int = 1) -> float:
        """Return when a lack ends without another grant."""


class LinkPart(NamedTuple):
    """One of the budgets among which a link is divided."""

    source: TokenSource
    budget: str


class LinkMeter:
    """Tokens of one link at one instance.

    :param parts: the budgets of the link; the first one is used alone while
        it suffices, so that instances that differ in it state few wants.
    """

    def __init__(self, parts: Sequence[LinkPart]) -> None:
        self._parts = tuple(parts)
        self._credit_bytes = 0
        self._reserved_bytes = 0
        self._short_since_s: float | None = None
        self._lacked_at_s = float("-inf")
        self._is_wide = False
        self._period_end_s = float("-inf")
        self._spent = 0
        self._turn = 0
        self.charged_bytes = 0

    def has_tokens(self, now_s: float, size_bytes: int) -> bool:
        """Return whether there are tokens for a body; ask for them if not."""
        missing = self._missing(size_bytes)
        left = missing
        for part in self._parts_in_use(now_s):
            if left <= 0:
                break
            left -= part.source.available(now_s, part.budget)
        if left <= 0:
            self._short_since_s = None
            return True
        self._lacks(now_s, missing)
        return False

    def add_demand(self, now_s: float, tokens: int) -> None:
        """State demand that :meth:`charge` does not count."""
        parts = self._parts_in_use(now_s)
        whole, rest = divmod(tokens, len(parts))
        # Takes turns with the rest: rounding up for each part would count
        # a small body several times.
        self._turn += 1
        for index, part in enumerate(parts):
            share = whole + ((index + self._turn) % len(parts) < rest)
            if share:
                part.source.note_demand(
                    now_s, part.budget, _WORKSPACE, missing=0, demand=share
                )

    def reserve(self, now_s: float, size_bytes: int) -> bool:
        """Set tokens aside for a body that will follow."""
        if not self.has_tokens(now_s, size_bytes):
            return False
        self._cover(now_s, size_bytes, is_retry=False)
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
        """Spend the tokens of bytes that are about to be passed on.

        If there are too few, those that there are stay with the meter for
        the next call, which must be for the same bytes.

        :param reserved_bytes: what of these bytes was reserved before.
        :param is_retry: whether the demand was counted by an earlier call.
        """
        if not self._cover(now_s, size_bytes - reserved_bytes, is_retry):
            return False
        self._credit_bytes -= size_bytes
        self._reserved_bytes -= reserved_bytes
        self.charged_bytes += size_bytes
        return True

    def release(self, now_s: float, reserved_bytes: int = 0) -> None:
        """Give up a reservation, or the tokens that a body waited for."""
        self._reserved_bytes -= reserved_bytes
        free_bytes = self._credit_bytes - self._reserved_bytes
        tokens = (free_bytes - MAX_CARRY_BYTES) // TOKEN_BYTES
        if tokens <= 0:
            return
        self._credit_bytes -= tokens * TOKEN_BYTES
        parts = self._parts_in_use(now_s)
        whole, rest = divmod(tokens, len(parts))
        for index, part in enumerate(parts):
            share = whole + (index < rest)
            part.source.refund(now_s, part.budget, share)

    def wait_s(self, now_s: float) -> float:
        """Return when a lack may end without another grant."""
        return min(
            part.source.wait_s(now_s, part.budget) for part in self._parts
        )

    def _missing(self, size_bytes: int) -> int:
        lack = size_bytes - (self._credit_bytes - self._reserved_bytes)
        return -(-lack // TOKEN_BYTES)

    def _cover(self, now_s: float, size_bytes: int, is_retry: bool) -> bool:
        """Take tokens until the free credit covers ``size_bytes``."""
        missing = self._missing(size_bytes)
        if missing <= 0:
            return True
        if not is_retry:
            # The owners divide the rate by demand, so it counts even where
            # the tokens ran out.
            self.add_demand(now_s, missing)
        for part in self._parts_in_use(now_s):
            count = min(missing, part.source.available(now_s, part.budget))
            if count > 0 and part.source.try_acquire(
                now_s, part.budget, _WORKSPACE, count, retry=True
            ):
                self._credit_bytes += count * TOKEN_BYTES
                self._spent += count
                missing -= count
            if missing <= 0:
                self._short_since_s = None
                return True
        self._lacks(now_s, missing)
        return False

    def _parts_in_use(self, now_s: float) -> Sequence[LinkPart]:
        if now_s >= self._period_end_s:
            self._is_wide = self._spent >= NARROW_TOKENS_PER_S * WIDE_S
            self._spent = 0
            self._period_end_s = now_s + WIDE_S
        return self._parts if self._is_wide else self._parts[:1]

    def _lacks(self, now_s: float, missing: int) -> None:
        if now_s - self._lacked_at_s > _FORGET_S:
            self._short_since_s = None
        self._lacked_at_s = now_s
        if self._short_since_s is None:
            self._short_since_s = now_s
        elif now_s - self._short_since_s >= WIDEN_AFTER_S:
            self._is_wide = True
            self._period_end_s = now_s + WIDE_S
        for part in self._parts_in_use(now_s):
            part.source.note_demand(
                now_s,
                part.budget,
                _WORKSPACE,
                missing=missing + AHEAD_TOKENS,
                demand=0,
            )
