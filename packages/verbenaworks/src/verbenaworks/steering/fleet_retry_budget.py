"""Retry budget of one instance, per service.

The fleet's limit on retries is divided evenly between the instances, so that
it holds without messages.
"""

from collections import deque

# Share of the limit that is used. The rest makes up for instances that wrongly
# count fewer members.
USED_SHARE = 0.7


class FleetRetryBudget:
    """Retries per service in a sliding window.

    :param ratio: retries per request of the fleet.
    :param slack: retries per window in addition to the ratio, for the fleet.
    :param window_s: length of the window.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self.set_limits(ratio=ratio, slack=slack, window_s=window_s)
        self._instances = 1
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def set_limits(
        self, *, ratio: float, slack: float, window_s: float
    ) -> None:
        """Change the limit of the fleet."""
        self._ratio = ratio * USED_SHARE
        self._slack = slack * USED_SHARE
        self._window_s = window_s

    def set_instances(self, count: int) -> None:
        """Set how many instances share the limit."""
        self._instances = max(1, count)

    def record_request(self, now_s: float, service: str) -> None:
        """Count a caller's request."""
        self._requests.setdefault(service, deque()).append(now_s)
        self._trim(now_s, self._requests[service])

    def try_acquire(self, now_s: float, service: str) -> bool:
        """Count a retry; false if it would exceed the limit."""
        retries = self._retries.setdefault(service, deque())
        requests = self._requests.setdefault(service, deque())
        self._trim(now_s, retries)
        self._trim(now_s, requests)
        limit = self._ratio * len(requests) + self._slack / self._instances
        if len(retries) + 1 > limit:
            return False
        retries.append(now_s)
        return True

    def _trim(self, now_s: float, times: deque[float]) -> None:
        oldest_s = now_s - self._window_s
        while times and times[0] < oldest_s:
            times.popleft()
