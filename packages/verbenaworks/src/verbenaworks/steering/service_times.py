"""Learned service times of routes, for servers that know the object or not.

A server that has handled an object recently answers several times faster.
Whether it has is known for own requests only; for the others the share of
quick answers is learned for each place in the object's order of servers.
"""

from dataclasses import dataclass, field

# Share of a new observation in the moving averages.
NEW_SHARE = 0.1
# Before the first observation, in latency objectives of the route: a known
# object is expected to meet the objective, an unknown one to miss it.
FIRST_WARM_OBJECTIVES = 0.5
FIRST_UNKNOWN_OBJECTIVES = 1.5
# Places in an object's order for which shares are learned.
PLACES = 4
# Requests meet at the first place, so it is expected to know the object.
FIRST_KNOWN_SHARES = (0.95, 0.3, 0.1, 0.05)


@dataclass(kw_only=True, slots=True)
class _Times:
    warm_s: float
    unknown_s: float
    mean_s: float
    known_shares: list[float] = field(
        default_factory=lambda: list(FIRST_KNOWN_SHARES)
    )


class ServiceTimes:
    """Moving averages of the time that servers work on a request."""

    def __init__(self) -> None:
        self._times: dict[tuple[str, str], _Times] = {}
        self._latest: dict[str, _Times] = {}

    def warm_s(self, route: str, service: str, objective_s: float) -> float:
        """Return the expected time at a server that knows the object."""
        return self._get(route, service, objective_s).warm_s

    def mean_s(self, route: str, service: str, objective_s: float) -> float:
        """Return the mean time over all requests, known or not."""
        return self._get(route, service, objective_s).mean_s

    def unknown_s(self, route: str, service: str, objective_s: float) -> float:
        """Return the expected time at a server without the object."""
        times = self._get(route, service, objective_s)
        return max(times.warm_s, times.unknown_s)

    def observe_mean(
        self, route: str, service: str, objective_s: float, worked_s: float
    ) -> None:
        """Enter the time that a server worked, as far as it is known."""
        times = self._get(route, service, objective_s)
        worked_s = min(max(worked_s, times.warm_s / 2), 2 * times.unknown_s)
        times.mean_s += NEW_SHARE * (worked_s - times.mean_s)

    def expected_s(
        self, route: str, service: str, objective_s: float, known_share: float
    ) -> float:
        """Return the expected time without waiting.

        :param known_share: probability that the server knows the object.
        """
        times = self._get(route, service, objective_s)
        unknown_s = max(times.warm_s, times.unknown_s)
        return unknown_s - known_share * (unknown_s - times.warm_s)

    def known_share(
        self, route: str, service: str, objective_s: float, place: int
    ) -> float:
        """Return the probability that a server knows an object.

        :param place: of the server in the object's order, from 0.
        """
        times = self._get(route, service, objective_s)
        return times.known_shares[min(place, PLACES - 1)]

    def observe(
        self,
        route: str,
        service: str,
        objective_s: float,
        took_s: float,
        *,
        known: bool,
        place: int | None,
    ) -> None:
        """Enter the time of a request that did not wait.

        :param known: whether the server certainly knew the object.
        :param place: of the server in the object's order; none if the
            request has no object.
        """
        times = self._get(route, service, objective_s)
        if place is None:
            times.unknown_s += NEW_SHARE * (took_s - times.unknown_s)
            return
        quick = took_s < (times.warm_s + times.unknown_s) / 2
        if known or quick:
            times.warm_s += NEW_SHARE * (took_s - times.warm_s)
        else:
            times.unknown_s += NEW_SHARE * (took_s - times.unknown_s)
        if not known:
            index = min(place, PLACES - 1)
            shares = times.known_shares
            shares[index] += NEW_SHARE * (quick - shares[index])

    def _get(self, route: str, service: str, objective_s: float) -> _Times:
        times = self._times.get((route, service))
        if times is None:
            like = self._latest.get(service)
            times = self._times[(route, service)] = _Times(
                warm_s=FIRST_WARM_OBJECTIVES * objective_s,
                unknown_s=FIRST_UNKNOWN_OBJECTIVES * objective_s,
                # Objects are unknown everywhere at first.
                mean_s=FIRST_UNKNOWN_OBJECTIVES * objective_s,
            )
            if like is not None:
                # A route that was just added is judged like the others.
                times.warm_s, times.unknown_s = like.warm_s, like.unknown_s
                times.mean_s = like.mean_s
        if route:
            self._latest[service] = times
        return times
