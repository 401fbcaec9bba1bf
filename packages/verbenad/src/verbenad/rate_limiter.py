"""Limits the requests of each workspace to its rate and burst.

A request that finds no token is not refused at once. It waits briefly for
the next exchange with the owners of the budget, because the tokens may be at
another instance.
"""

from collections import Counter
from collections.abc import Callable, Sequence

import eventlet
from eventlet.event import Event

from verbenad.budget_handle import (
    BudgetHandle,
    budget_handle,
    handles_in_order,
)
from verbenad.budget_loop import BudgetLoop
from verbenad.budget_plan import STORE_CLAIMS_BUDGET, rate_parts
from verbenaworks.compiled_config import CompiledConfig

# Longer than the two exchanges in which tokens move between instances, and
# short enough that callers above their rate are refused promptly.
RATE_WAIT_S = 1.0
# Further requests are refused at once.
MAX_WAITING_PER_BUDGET = 128
MAX_RETRY_AFTER_S = 10.0
_POLL_S = 0.05


class RateLimiter:
    """Takes tokens for requests.

    :param instance: name of this instance; decides which part of a rate it
        tries first.
    """

    def __init__(
        self, *, instance: str, loop: BudgetLoop, now_s: Callable[[], float]
    ) -> None:
        self._instance = instance
        self._loop = loop
        self._now_s = now_s
        self._parts: dict[str, list[BudgetHandle]] = {}
        self._store_claim_parts = [budget_handle(loop, STORE_CLAIMS_BUDGET)]
        self._waiting: Counter[str] = Counter()
        self._granted = Event()

    def set_config(self, config: CompiledConfig) -> None:
        """Apply the rates of all workspaces."""
        self._parts = {
            workspace.name: handles_in_order(
                self._loop,
                rate_parts(workspace),
                f"{self._instance}/{workspace.name}",
            )
            for workspace in config.workspaces.values()
        }

    def take(self, workspace: str, until_s: float) -> bool:
        """Take one of a workspace's tokens; wait for it if necessary.

        :param until_s: monotonic time at which the wait ends at the latest.
        """
        parts = self._parts.get(workspace, [])
        return self._take(parts, workspace, workspace, until_s)

    def take_store_claim(self, workspace: str, until_s: float) -> bool:
        """Take a token for a claim in the store; see :meth:`take`."""
        return self._take(
            self._store_claim_parts, STORE_CLAIMS_BUDGET, workspace, until_s
        )

    def granted(self) -> None:
        """Wake waiting requests; call it after each accepted reply."""
        event, self._granted = self._granted, Event()
        event.send(None)

    def retry_after_s(self, workspace: str) -> float:
        """Return when the workspace may have a token again."""
        parts = self._parts.get(workspace, [])
        return min(self._wait_s(parts), MAX_RETRY_AFTER_S)

    def _take(
        self,
        parts: Sequence[BudgetHandle],
        queue: str,
        workspace: str,
        until_s: float,
    ) -> bool:
        is_counted = self._waiting[queue] == 0
        if is_counted and self._try_acquire(parts, workspace, False):
            return True
        if self._waiting[queue] >= MAX_WAITING_PER_BUDGET:
            return False
        self._waiting[queue] += 1
        try:
            deadline_s = min(until_s, self._now_s() + RATE_WAIT_S)
            return self._wait_for_token(
                parts, workspace, deadline_s, is_counted
            )
        finally:
            self._waiting[queue] -= 1

    def _try_acquire(
        self, parts: Sequence[BudgetHandle], workspace: str, is_retry: bool
    ) -> bool:
        now_s = self._now_s()
        for part in parts:
            if part.client.try_acquire(
                now_s, part.name, workspace, retry=is_retry
            ):
                return True
        return False

    def _wait_for_token(
        self,
        parts: Sequence[BudgetHandle],
        workspace: str,
        deadline_s: float,
        is_counted: bool,
    ) -> bool:
        # A request that found others waiting has not been counted as demand.
        is_retry = is_counted
        while (now_s := self._now_s()) < deadline_s:
            if self._try_acquire(parts, workspace, is_retry):
                return True
            is_retry = True
            for part in parts:
                self._loop.send_if_due(part.shard)
            wait_s = min(
                max(self._wait_s(parts), 0.001), _POLL_S, deadline_s - now_s
            )
            with eventlet.Timeout(wait_s, False):
                self._granted.wait()
        return False

    def _wait_s(self, parts: Sequence[BudgetHandle]) -> float:
        now_s = self._now_s()
        return min(
            (part.client.wait_s(now_s, part.name) for part in parts),
            default=MAX_RETRY_AFTER_S,
        )
