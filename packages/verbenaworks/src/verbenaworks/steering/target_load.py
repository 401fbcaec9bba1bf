"""What one instance knows about the load and health of a backend server."""

import math
from dataclasses import dataclass, field

# A load report of the server itself is used for this long; by then about
# half of the requests that it counted have ended.
REPORT_VALID_S = 0.3
# Load, in slots, of a server that refuses because its queue is full.
SHED_LOADS = 3.0
# Share of a new outcome in the moving average of failures.
FAILURE_NEW_SHARE = 0.15
SLOW_NEW_SHARE = 0.15
SLOW_MIN = 0.7
SLOW_MAX = 8.0
# Slowness and failures are forgotten with this time constant, so that a
# server that has recovered is tried again.
FORGET_S = 6.0
# A server that did not accept a connection is left alone for this long,
# twice as long after each further failure.
FIRST_DOWN_S = 0.5
LONGEST_DOWN_S = 4.0


@dataclass(kw_only=True, slots=True)
class TargetLoad:
    """Load and health of one server, as this instance sees it.

    :ivar in_flight: own requests that the server has not answered.
    :ivar peers_in_flight: requests of other instances, by their reports.
    """

    slots: int
    in_flight: int = 0
    peers_in_flight: float = 0.0
    _others: float = 0.0
    _others_at_s: float = float("-inf")
    _slow: float = 1.0
    _failures: float = 0.0
    _updated_s: float = 0.0
    _down_until_s: float = float("-inf")
    _downs: int = 0
    _knows: dict[str, float] = field(default_factory=dict)

    def load(self, now_s: float) -> float:
        """Return the requests that run or wait at the server."""
        others = self.peers_in_flight
        if now_s - self._others_at_s <= REPORT_VALID_S:
            others = max(others, self._others)
        return self.in_flight + others

    def reported(self, now_s: float, running: int, waiting: int) -> None:
        """Enter what the server says of its load."""
        self._others = max(0, running + waiting - self.in_flight)
        self._others_at_s = now_s

    def shed(self, now_s: float) -> None:
        """Enter that the server refused a request because it is full."""
        self._others = max(self._others, SHED_LOADS * self.slots)
        self._others_at_s = now_s

    def overdue(
        self, now_s: float, waited_s: float, predicted_s: float
    ) -> None:
        """Enter that the server has not answered in time."""
        if waited_s <= predicted_s:
            return
        self._forget(now_s)
        ratio = min(waited_s / max(0.001, predicted_s), SLOW_MAX)
        self._slow += SLOW_NEW_SHARE * (ratio - self._slow)

    def wait_s(self, now_s: float, service_s: float) -> float:
        """Return how long one more request would wait for a slot."""
        above = self.load(now_s) + 1 - self.slots
        return max(0.0, above) / self.slots * service_s

    def slowness(self, now_s: float) -> float:
        """Return the ratio of observed to expected times."""
        self._forget(now_s)
        return self._slow

    def failure_share(self, now_s: float) -> float:
        """Return the share of recent requests that failed."""
        self._forget(now_s)
        return self._failures

    def succeeded(self, now_s: float, ratio: float) -> None:
        """Enter an answer.

        :param ratio: its time relative to the expected one.
        """
        self._forget(now_s)
        ratio = min(max(ratio, SLOW_MIN), SLOW_MAX)
        self._slow += SLOW_NEW_SHARE * (ratio - self._slow)
        self._failures -= FAILURE_NEW_SHARE * self._failures
        self._downs = 0
        self._down_until_s = float("-inf")

    def failed(self, now_s: float) -> None:
        """Enter a failure of the server."""
        self._forget(now_s)
        self._failures += FAILURE_NEW_SHARE * (1.0 - self._failures)

    def lost(self, now_s: float) -> None:
        """Enter that the server does not take connections or has reset one."""
        if now_s < self._down_until_s:
            return
        length_s = FIRST_DOWN_S * 2**self._downs
        self._down_until_s = now_s + min(length_s, LONGEST_DOWN_S)
        self._downs = min(self._downs + 1, 10)
        self._knows.clear()

    def is_down(self, now_s: float) -> bool:
        """Whether the server should be left alone."""
        return now_s < self._down_until_s

    def down_left_s(self, now_s: float) -> float:
        """Return how long the server should be left alone."""
        return max(0.0, self._down_until_s - now_s)

    def knows(self, thing: str) -> bool:
        """Whether the server has answered for this object recently."""
        return thing in self._knows

    def learned(self, now_s: float, thing: str, keeps: int) -> None:
        """Enter that the server has handled an object.

        :param keeps: most objects that it is assumed to remember.
        """
        self._knows.pop(thing, None)
        self._knows[thing] = now_s
        while len(self._knows) > keeps:
            del self._knows[next(iter(self._knows))]

    def _forget(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        if elapsed_s <= 0:
            return
        self._updated_s = now_s
        left = math.exp(-elapsed_s / FORGET_S)
        self._slow = 1.0 + (self._slow - 1.0) * left
        self._failures *= left
