"""Use of an instance's capacity by its requests."""

import math

# Processor time of one request, in seconds of a full core.
CORE_S_PER_REQUEST = 0.0015
# Time constant of the moving averages of requests and bytes.
TIME_CONSTANT_S = 2.0
# Link rate that carries the bodies of as many requests as one core serves.
LINK_MBPS_PER_CORE = 20.0
# Share of the link's rate that bodies may use.
MAX_LINK_SHARE = 0.5
# An instance becomes active when it gets this many requests per second. A few
# requests now and then, such as checks of the configuration, do not count.
MIN_ACTIVE_REQUESTS_PER_S = 4.0
# It remains active for this long after the rate was last at least this.
MIN_REMAIN_REQUESTS_PER_S = 1.0
ACTIVE_S = 10.0


def instance_capacity(cores: float, link_mbps: float) -> float:
    """Return the capacity of an instance, in cores.

    :param link_mbps: rate of its link; 0 if not known.
    """
    if link_mbps <= 0:
        return cores
    return min(cores, link_mbps / LINK_MBPS_PER_CORE)


class InstanceLoad:
    """Requests and bytes of one instance.

    :param capacity: of the instance, in cores.
    :param link_mbps: rate of its link; 0 if not known.
    """

    def __init__(self, *, capacity: float, link_mbps: float) -> None:
        self._capacity = capacity
        self._link_bytes_per_s = link_mbps * 1e6 / 8 * MAX_LINK_SHARE
        self._requests = 0.0
        self._bytes = 0.0
        self._updated_s = float("-inf")
        self._active_until_s = float("-inf")

    def record_body(self, now_s: float, size_bytes: int) -> None:
        """Count bytes that a request moved through the link."""
        self._decay(now_s)
        self._bytes += size_bytes

    def record_request(self, now_s: float, size_bytes: int = 0) -> None:
        """Count a request with the bytes that it moved through the link."""
        self.record_body(now_s, size_bytes)
        self._requests += 1.0
        per_s = self._requests / TIME_CONSTANT_S
        if per_s >= MIN_ACTIVE_REQUESTS_PER_S or (
            self.is_active(now_s) and per_s >= MIN_REMAIN_REQUESTS_PER_S
        ):
            self.activate(now_s)

    def used_capacity(self, now_s: float) -> float:
        """Return the used capacity, in cores."""
        self._decay(now_s)
        used = self._requests / TIME_CONSTANT_S * CORE_S_PER_REQUEST
        if self._link_bytes_per_s > 0:
            share = self._bytes / TIME_CONSTANT_S / self._link_bytes_per_s
            used = max(used, share * self._capacity)
        return used

    def activate(self, now_s: float) -> None:
        """Make the instance active, whatever its rate of requests."""
        self._active_until_s = now_s + ACTIVE_S

    def is_active(self, now_s: float) -> bool:
        """Whether the instance serves requests regularly."""
        return now_s <= self._active_until_s

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        if elapsed_s <= 0:
            return
        self._updated_s = now_s
        kept = math.exp(-elapsed_s / TIME_CONSTANT_S)
        self._requests *= kept
        self._bytes *= kept
