"""Load and health of a backend server, as one instance knows them."""

import math
from dataclasses import dataclass, field

# Time constant of the moving average of the load from other instances. Reports
# are older than a service time: without the average, all instances would send
# to the servers that looked free, and then all avoid them.
OTHERS_TIME_CONSTANT_S = 1.5
# Least time step that is assumed between two reported loads, so that each of
# several close reports has some weight.
MIN_REPORT_INTERVAL_S = 0.1
# A reported load decays with this time constant.
REPORTED_LOAD_DECAY_S = 2.0
# Load, relative to its slots, that is assumed for a server whose full queue
# makes it refuse requests.
OVERLOAD_PER_SLOT = 3.0
# Weight of a new outcome in the moving averages.
FAILURE_WEIGHT = 0.15
SLOWDOWN_WEIGHT = 0.15
MIN_SLOWDOWN = 0.7
MAX_SLOWDOWN = 8.0
# Slowdown and failures decay with this time constant, so that a server that
# has recovered is tried again.
HEALTH_DECAY_S = 6.0
# A server that did not accept a connection is avoided for FIRST_DOWN_S, and
# twice as long after each further failure, up to MAX_DOWN_S.
FIRST_DOWN_S = 0.5
MAX_DOWN_S = 4.0


@dataclass(kw_only=True, slots=True)
class ServerLoad:
    """Load and health of one server, as this instance sees it.

    :ivar in_flight: local requests without a response.
    :ivar peers_in_flight: moving average of the requests in flight that other
        instances report.
    """

    slots: int
    in_flight: int = 0
    peers_in_flight: float = 0.0
    _others: float = 0.0
    _others_at_s: float = float("-inf")
    _peers_at_s: float = float("-inf")
    _reported: float = 0.0
    _reported_at_s: float = float("-inf")
    _slowdown: float = 1.0
    _failure_share: float = 0.0
    _updated_s: float = 0.0
    _down_until_s: float = float("-inf")
    _down_count: int = 0
    _cached_keys: dict[str, float] = field(default_factory=dict)

    def load(self, now_s: float) -> float:
        """Return the requests that run or wait at the server."""
        return self.in_flight + max(
            self.peers_in_flight, self._others * self._decay_factor(now_s)
        )

    def describe(self, now_s: float) -> str:
        """Return the parts of the load for the log.

        Local requests, requests of other instances by their reports, and
        requests of other instances by the load that the server reports.
        """
        others = self._others * self._decay_factor(now_s)
        return f"{self.in_flight}+{self.peers_in_flight:.0f}|{others:.0f}"

    def set_peer_requests(self, now_s: float, in_flight: float) -> None:
        """Record the requests that other instances have in flight."""
        new_share = 1.0 - math.exp(
            -(now_s - self._peers_at_s) / OTHERS_TIME_CONSTANT_S
        )
        self.peers_in_flight += new_share * (in_flight - self.peers_in_flight)
        self._peers_at_s = now_s

    def record_reported_load(self, now_s: float, load: float) -> None:
        """Record the load that the server reported with a response.

        It includes requests that their callers gave up and that still wait at
        the server; no instance counts these as in flight.
        """
        self.record_load_from_peer(now_s, load)
        self._reported = load
        self._reported_at_s = now_s

    def record_load_from_peer(self, now_s: float, load: float) -> None:
        """Record the load that the server reported to another instance."""
        others = max(0.0, load - self.in_flight)
        elapsed_s = max(MIN_REPORT_INTERVAL_S, now_s - self._others_at_s)
        new_share = 1.0 - math.exp(-elapsed_s / OTHERS_TIME_CONSTANT_S)
        self._others += new_share * (others - self._others)
        self._others_at_s = now_s

    def recent_reported_load(self, newer_than_s: float) -> int | None:
        """Return the load that the server reported here since a time."""
        # Loads that come from peers are not passed on: they would circulate
        # between the instances and never decay.
        if self._reported_at_s <= newer_than_s:
            return None
        return round(self._reported)

    def record_overload(self, now_s: float) -> None:
        """Record that the server refused a request because it is full."""
        self.record_load_from_peer(now_s, OVERLOAD_PER_SLOT * self.slots)

    def _decay_factor(self, now_s: float) -> float:
        age_s = now_s - self._others_at_s
        return math.exp(-age_s / REPORTED_LOAD_DECAY_S)

    def record_overdue(
        self, now_s: float, waited_s: float, predicted_s: float
    ) -> None:
        """Record that the server has not responded in the predicted time."""
        if waited_s <= predicted_s:
            return
        self._decay_health(now_s)
        ratio = min(waited_s / max(0.001, predicted_s), MAX_SLOWDOWN)
        self._slowdown += SLOWDOWN_WEIGHT * (ratio - self._slowdown)

    def wait_s(self, now_s: float, service_s: float) -> float:
        """Return how long one more request would wait for a slot."""
        above = self.load(now_s) + 1 - self.slots
        return max(0.0, above) / self.slots * service_s

    def slowdown(self, now_s: float) -> float:
        """Return the ratio of observed to predicted response times."""
        self._decay_health(now_s)
        return self._slowdown

    def failure_share(self, now_s: float) -> float:
        """Return the moving average of the share of failed requests."""
        self._decay_health(now_s)
        return self._failure_share

    def record_success(self, now_s: float, ratio: float) -> None:
        """Record a response.

        :param ratio: ratio of the observed to the predicted response time.
        """
        self._decay_health(now_s)
        ratio = min(max(ratio, MIN_SLOWDOWN), MAX_SLOWDOWN)
        self._slowdown += SLOWDOWN_WEIGHT * (ratio - self._slowdown)
        self._failure_share -= FAILURE_WEIGHT * self._failure_share
        self._down_count = 0
        self._down_until_s = float("-inf")

    def record_failure(self, now_s: float) -> None:
        """Record a failure of the server."""
        self._decay_health(now_s)
        self._failure_share += FAILURE_WEIGHT * (1.0 - self._failure_share)

    def record_connection_failure(self, now_s: float) -> None:
        """Record a failed connection attempt or a reset connection."""
        if now_s < self._down_until_s:
            return
        down_s = FIRST_DOWN_S * 2**self._down_count
        self._down_until_s = now_s + min(down_s, MAX_DOWN_S)
        self._down_count = min(self._down_count + 1, 10)
        self._cached_keys.clear()

    def is_down(self, now_s: float) -> bool:
        """Whether the server should be avoided."""
        return now_s < self._down_until_s

    def has_cached(self, affinity_key: str) -> bool:
        """Whether the server has responded for this affinity key recently."""
        return affinity_key in self._cached_keys

    def record_cached_key(
        self, now_s: float, affinity_key: str, max_keys: int
    ) -> None:
        """Record that the server has the data of an affinity key cached.

        :param max_keys: most keys whose data the server is assumed to keep.
        """
        self._cached_keys.pop(affinity_key, None)
        self._cached_keys[affinity_key] = now_s
        while len(self._cached_keys) > max_keys:
            del self._cached_keys[next(iter(self._cached_keys))]

    def _decay_health(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        if elapsed_s <= 0:
            return
        self._updated_s = now_s
        kept = math.exp(-elapsed_s / HEALTH_DECAY_S)
        self._slowdown = 1.0 + (self._slowdown - 1.0) * kept
        self._failure_share *= kept
