"""Admits requests within their workspace's rate and burst.

A request without a token waits a short time for the next exchange with the
budget's owner instead of being refused: tokens may be at another instance.
"""

from collections import Counter
from collections.abc import Callable

import eventlet
from eventlet.event import Event

from verbenad.budget_loop import BudgetLoop
from verbenad.budget_plan import rate_budget_name
from verbenaworks.budget_spec import shard_of
from verbenaworks.budget_taker import BudgetTaker

# Longer than the two exchanges after which tokens have moved between
# instances, short enough that callers over their rate learn of it at once.
RATE_WAIT_S = 1.0
# Requests for one budget that wait at one time; more are refused at once.
MAX_WAITING = 128
_POLL_S = 0.05


class RateGate:
    """Takes tokens for requests."""

    def __init__(
        self, *, loop: BudgetLoop, now_s: Callable[[], float]
    ) -> None:
        self._loop = loop
        self._now_s = now_s
        self._waiting: Counter[str] = Counter()
        self._granted = Event()

    def take(self, workspace: str, until_s: float) -> bool:
        """Take one of a workspace's tokens; wait for it if necessary.

        :param until_s: monotonic time at which the wait ends at the latest.
        """
        return self.take_budget(
            rate_budget_name(workspace), workspace, until_s
        )

    def take_budget(self, name: str, workspace: str, until_s: float) -> bool:
        """Take one token of a rate budget; see :meth:`take`."""
        taker = self._loop.taker_of(shard_of(name))
        if self._waiting[name] == 0 and taker.try_take(
            self._now_s(), name, workspace
        ):
            return True
        if self._waiting[name] >= MAX_WAITING:
            return False
        self._waiting[name] += 1
        try:
            end_s = min(until_s, self._now_s() + RATE_WAIT_S)
            return self._wait(taker, name, workspace, end_s)
        finally:
            self._waiting[name] -= 1

    def granted(self) -> None:
        """Wake waiting requests; call it after each accepted reply."""
        event, self._granted = self._granted, Event()
        event.send(None)

    def retry_after_s(self, workspace: str) -> float:
        """Return when the workspace may have a token again."""
        name = rate_budget_name(workspace)
        taker = self._loop.taker_of(shard_of(name))
        return min(taker.wait_s(self._now_s(), name), 10.0)

    def _wait(
        self, taker: BudgetTaker, name: str, workspace: str, end_s: float
    ) -> bool:
        while (now_s := self._now_s()) < end_s:
            if taker.try_take(now_s, name, workspace, retry=True):
                return True
            self._loop.kick(shard_of(name))
            wait_s = min(
                max(taker.wait_s(now_s, name), 0.001), _POLL_S, end_s - now_s
            )
            with eventlet.Timeout(wait_s, False):
                self._granted.wait()
        return False
