"""Load and health of a backend server, as one instance knows them."""

import copy
import math
from dataclasses import dataclass, field

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.machine_speed import MachineSpeed
from verbenaworks.steering.server_capacity import ServerCapacity

# Time constant of the moving average of the load that other instances report.
# Reports are older than a service time: without the average, all instances
# would send to the servers that looked free, and then all avoid them.
PEERS_TIME_CONSTANT_S = 0.8
# Weight of a load that the server itself reports, in its moving average.
REPORTED_WEIGHT = 0.5
# The server's own report is as old as its last response. It counts less and
# less against the reports of the other instances, with this time constant.
REPORTED_LOAD_DECAY_S = 0.5
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
# Objects that are remembered in the order of their last requests.
MAX_RECENT_OBJECTS = 96


@dataclass(kw_only=True, slots=True)
class ServerLoad:
    """Load and health of one server, as this instance sees it.

    :ivar in_flight: local requests without a response.
    :ivar bound: those of them that may not run in every region.
    :ivar peers_in_flight: moving average of the requests in flight that other
        instances report.
    :ivar usable_slots: learned number of usable slots; 0 if none is known.
    :ivar time_factor: learned time per request, where 1 is usual.
    :ivar machine_speed: how long work takes on its machine, as it states.
    """

    slots: int
    machine_speed: MachineSpeed = field(default_factory=MachineSpeed)
    usable_slots: float = 0.0
    time_factor: float = 1.0
    in_flight: int = 0
    bound: int = 0
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
    _recent_objects: dict[str, BackendServer | None] = field(
        default_factory=dict
    )

    def __deepcopy__(self, memo: dict[int, object]) -> "ServerLoad":
        copied = copy.copy(self)
        copied._recent_objects = dict(self._recent_objects)
        memo[id(self)] = copied
        return copied

    def load(self, now_s: float) -> float:
        """Return the requests that run or wait at the server."""
        weight = self._reported_share(now_s)
        others = weight * self._others + (1.0 - weight) * self.peers_in_flight
        return self.in_flight + others

    def describe(self, now_s: float) -> str:
        """Return the parts of the load for the log.

        Local requests, requests of other instances by their reports, and
        requests of other instances by the load that the server reports.
        """
        weight = self._reported_share(now_s)
        return (
            f"{self.in_flight}+{self.peers_in_flight:.1f}"
            f"|{self._others:.1f}*{weight:.2f}"
        )

    def set_peer_requests(self, now_s: float, in_flight: float) -> None:
        """Record the requests that other instances have in flight."""
        new_share = 1.0 - math.exp(
            -(now_s - self._peers_at_s) / PEERS_TIME_CONSTANT_S
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
        # An old average says nothing about the load now.
        old_weight = (1.0 - REPORTED_WEIGHT) * self._reported_share(now_s)
        self._others = old_weight * self._others + (1.0 - old_weight) * others
        self._others_at_s = now_s

    def recent_reported_load(self, newer_than_s: float) -> int | None:
        """Return the load that the server reported here since a time."""
        # Loads that come from peers are not passed on: they would circulate
        # between the instances and never decay.
        if self._reported_at_s <= newer_than_s:
            return None
        return round(self._reported)

    def record_refusal(self, now_s: float) -> bool:
        """Record that the server refused a request.

        :returns: whether it is full. If its load is known to be low, it is
            faulty instead, and other requests may succeed.
        """
        is_full = self.load(now_s) >= self.slots
        if is_full:
            self.record_load_from_peer(now_s, OVERLOAD_PER_SLOT * self.slots)
        return is_full

    def _reported_share(self, now_s: float) -> float:
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
        usable_slots = self.usable_slots or self.slots
        above = self.load(now_s) + 1 - usable_slots
        return max(0.0, above) / usable_slots * service_s

    def apply_capacity(self, capacity: ServerCapacity) -> None:
        """Set the learned capacity.

        The slowdown contains what the learned time explains from now on; that
        part is taken out of it, so that it does not count twice.
        """
        self.usable_slots = capacity.usable_slots
        if capacity.time_factor == self.time_factor:
            return
        left = self._slowdown * self.time_factor / capacity.time_factor
        if (left - 1.0) * (self._slowdown - 1.0) < 0.0:
            left = 1.0
        if abs(left - 1.0) < abs(self._slowdown - 1.0):
            self._slowdown = left
        self.time_factor = capacity.time_factor

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
        self._recent_objects.clear()

    def is_down(self, now_s: float) -> bool:
        """Whether the server should be avoided."""
        return now_s < self._down_until_s

    def objects_since(self, object_text: str) -> int | None:
        """Return how many other objects were requested since this one.

        :returns: none if this object was not requested recently.
        """
        if object_text not in self._recent_objects:
            return None
        for count, recent in enumerate(reversed(self._recent_objects)):
            if recent == object_text:
                return count
        return None

    def record_object(
        self, object_text: str, restricted_home: BackendServer | None = None
    ) -> None:
        """Record that the server has responded to a request for an object.

        :param restricted_home: the object's home, if this server takes its
            place while it has a limit or a pause.
        """
        self._recent_objects.pop(object_text, None)
        self._recent_objects[object_text] = restricted_home
        if len(self._recent_objects) > MAX_RECENT_OBJECTS:
            del self._recent_objects[next(iter(self._recent_objects))]

    def restricted_home(self, object_text: str) -> BackendServer | None:
        """Return the home whose place this server takes for an object."""
        return self._recent_objects.get(object_text)

    def _decay_health(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        if elapsed_s <= 0:
            return
        self._updated_s = now_s
        kept = math.exp(-elapsed_s / HEALTH_DECAY_S)
        self._slowdown = 1.0 + (self._slowdown - 1.0) * kept
        self._failure_share *= kept
