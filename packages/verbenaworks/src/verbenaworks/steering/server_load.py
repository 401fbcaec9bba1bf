"""What one instance knows about the load and health of a backend server."""

import math
from dataclasses import dataclass, field

# The load that others put on a server is averaged over this time. Reports are
# older than a service time: without the average, all instances would send to
# the servers that looked free, and then all leave them alone.
SMOOTH_S = 1.5
# Least weight of one of several statements that come close together.
MIN_STEP_S = 0.1
# What a server states about its load fades with this time constant.
STATED_FADES_S = 2.0
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
class ServerLoad:
    """Load and health of one server, as this instance sees it.

    :ivar in_flight: own requests that the server has not answered.
    :ivar peers_in_flight: requests of other instances, by their reports.
    """

    slots: int
    in_flight: int = 0
    peers_in_flight: float = 0.0
    _others: float = 0.0
    _others_at_s: float = float("-inf")
    _peers_at_s: float = float("-inf")
    _stated: float = 0.0
    _stated_at_s: float = float("-inf")
    _slow: float = 1.0
    _failures: float = 0.0
    _updated_s: float = 0.0
    _down_until_s: float = float("-inf")
    _downs: int = 0
    _knows: dict[str, float] = field(default_factory=dict)

    def load(self, now_s: float) -> float:
        """Return the requests that run or wait at the server."""
        return self.in_flight + max(
            self.peers_in_flight, self._others * self._fading(now_s)
        )

    def describe(self, now_s: float) -> str:
        """Return what the load consists of, for the log."""
        others = self._others * self._fading(now_s)
        return f"{self.in_flight}+{self.peers_in_flight:.0f}|{others:.0f}"

    def set_peers(self, now_s: float, in_flight: float) -> None:
        """Enter what other instances have in flight."""
        new_share = 1.0 - math.exp(-(now_s - self._peers_at_s) / SMOOTH_S)
        self.peers_in_flight += new_share * (in_flight - self.peers_in_flight)
        self._peers_at_s = now_s

    def record_reported_load(self, now_s: float, load: float) -> None:
        """Enter what the server says of its load.

        It counts requests that were given up and still wait there, which no
        instance counts as its own.
        """
        self.stated_to_peer(now_s, load)
        self._stated = load
        self._stated_at_s = now_s

    def stated_to_peer(self, now_s: float, load: float) -> None:
        """Enter what the server said to another instance."""
        others = max(0.0, load - self.in_flight)
        elapsed_s = max(MIN_STEP_S, now_s - self._others_at_s)
        new_share = 1.0 - math.exp(-elapsed_s / SMOOTH_S)
        self._others += new_share * (others - self._others)
        self._others_at_s = now_s

    def fresh_statement(self, newer_than_s: float) -> int | None:
        """Return the load that the server has stated here since a time."""
        # What a peer has told is not told on, or it would never fade.
        if self._stated_at_s <= newer_than_s:
            return None
        return round(self._stated)

    def record_overload(self, now_s: float) -> None:
        """Enter that the server refused a request because it is full."""
        self.stated_to_peer(now_s, SHED_LOADS * self.slots)

    def _fading(self, now_s: float) -> float:
        age_s = now_s - self._others_at_s
        return math.exp(-age_s / STATED_FADES_S)

    def record_overdue(
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

    def record_failure(self, now_s: float) -> None:
        """Enter a failure of the server."""
        self._forget(now_s)
        self._failures += FAILURE_NEW_SHARE * (1.0 - self._failures)

    def record_connection_failure(self, now_s: float) -> None:
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
