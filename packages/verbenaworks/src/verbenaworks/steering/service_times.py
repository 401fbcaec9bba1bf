"""Learned service times of routes, with and without cached data.

A server that has the data of a request's affinity key cached responds several
times faster. An instance knows this only for servers to which it sent requests
with that key itself. For the others, the share of fast responses is learned
for each rank in the key's rendezvous order.
"""

from dataclasses import dataclass, field

# Weight of a new observation in the moving averages.
OBSERVATION_WEIGHT = 0.1
# Initial service times, in latency objectives of the route: a request is
# expected to meet the objective if its data is cached, and to miss it if not.
INITIAL_CACHED_OBJECTIVES = 0.5
INITIAL_UNCACHED_OBJECTIVES = 1.5
INITIAL_MEAN_OBJECTIVES = 0.6
# Ranks in the rendezvous order for which cached shares are learned.
TRACKED_RANKS = 4
# Initial cached shares by rank. Requests with one key go to the first server,
# so it is expected to have the key's data cached.
INITIAL_CACHED_SHARES = (0.95, 0.3, 0.1, 0.05)


@dataclass(kw_only=True, slots=True)
class _RouteTimes:
    cached_s: float
    uncached_s: float
    mean_s: float
    cached_shares: list[float] = field(
        default_factory=lambda: list(INITIAL_CACHED_SHARES)
    )

    def is_fast(self, took_s: float) -> bool:
        """Whether a service time shows that the data was cached."""
        return took_s < (self.cached_s + self.uncached_s) / 2


class ServiceTimes:
    """Moving averages of the service times of requests."""

    def __init__(self) -> None:
        self._times: dict[tuple[str, str], _RouteTimes] = {}
        self._latest: dict[str, _RouteTimes] = {}

    def cached_s(
        self, route: str, service: str, latency_objective_s: float
    ) -> float:
        """Return the expected time at a server with the data cached."""
        return self._get(route, service, latency_objective_s).cached_s

    def mean_s(
        self, route: str, service: str, latency_objective_s: float
    ) -> float:
        """Return the mean time over all requests, cached or not."""
        return self._get(route, service, latency_objective_s).mean_s

    def cached_ratio(self, service: str) -> float:
        """Return the ratio of the time with cached data to the mean time."""
        times = self._latest.get(service)
        return min(1.0, times.cached_s / times.mean_s) if times else 1.0

    def latest_cached_s(self, service: str) -> float:
        """Return the time with cached data on the service's latest route."""
        times = self._latest.get(service)
        return times.cached_s if times else 0.0

    def uncached_s(
        self, route: str, service: str, latency_objective_s: float
    ) -> float:
        """Return the expected time at a server without the data cached."""
        times = self._get(route, service, latency_objective_s)
        return max(times.cached_s, times.uncached_s)

    def observe_mean(
        self,
        route: str,
        service: str,
        latency_objective_s: float,
        worked_s: float,
    ) -> None:
        """Record an estimate of the time that a server worked."""
        times = self._get(route, service, latency_objective_s)
        worked_s = min(max(worked_s, times.cached_s / 2), 2 * times.uncached_s)
        times.mean_s += OBSERVATION_WEIGHT * (worked_s - times.mean_s)

    def expected_s(
        self,
        route: str,
        service: str,
        latency_objective_s: float,
        cached_share: float,
    ) -> float:
        """Return the expected service time, without waiting for a slot.

        :param cached_share: probability that the server has the data cached.
        """
        times = self._get(route, service, latency_objective_s)
        uncached_s = max(times.cached_s, times.uncached_s)
        return uncached_s - cached_share * (uncached_s - times.cached_s)

    def is_fast(
        self,
        route: str,
        service: str,
        latency_objective_s: float,
        took_s: float,
    ) -> bool:
        """Whether a service time shows that the data was cached."""
        return self._get(route, service, latency_objective_s).is_fast(took_s)

    def cached_share(
        self, route: str, service: str, latency_objective_s: float, rank: int
    ) -> float:
        """Return the probability that a server has a key's data cached.

        :param rank: rank of the server in the rendezvous order, from 0.
        """
        times = self._get(route, service, latency_objective_s)
        return times.cached_shares[min(rank, TRACKED_RANKS - 1)]

    def observe(
        self,
        route: str,
        service: str,
        latency_objective_s: float,
        took_s: float,
        *,
        cached: bool,
        rank: int | None,
    ) -> None:
        """Record the service time of a request that did not wait.

        :param cached: whether the server certainly had the data cached.
        :param rank: rank of the server in the rendezvous order; none if the
            request has no affinity key.
        """
        times = self._get(route, service, latency_objective_s)
        if rank is None:
            times.uncached_s += OBSERVATION_WEIGHT * (
                took_s - times.uncached_s
            )
            return
        fast = times.is_fast(took_s)
        if cached or fast:
            times.cached_s += OBSERVATION_WEIGHT * (took_s - times.cached_s)
        else:
            times.uncached_s += OBSERVATION_WEIGHT * (
                took_s - times.uncached_s
            )
        if not cached:
            index = min(rank, TRACKED_RANKS - 1)
            shares = times.cached_shares
            shares[index] += OBSERVATION_WEIGHT * (fast - shares[index])

    def _get(
        self, route: str, service: str, latency_objective_s: float
    ) -> _RouteTimes:
        times = self._times.get((route, service))
        if times is None:
            template = self._latest.get(service)
            times = self._times[(route, service)] = _RouteTimes(
                cached_s=INITIAL_CACHED_OBJECTIVES * latency_objective_s,
                uncached_s=INITIAL_UNCACHED_OBJECTIVES * latency_objective_s,
                # Only the first request for an object finds it uncached.
                mean_s=INITIAL_MEAN_OBJECTIVES * latency_objective_s,
            )
            if template is not None:
                # A new route starts with the times of the service's latest
                # route.
                times.cached_s, times.uncached_s = (
                    template.cached_s,
                    template.uncached_s,
                )
                times.mean_s = template.mean_s
        if route:
            self._latest[service] = times
        return times
