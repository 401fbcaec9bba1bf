"""Learned service times of routes, for servers that know the object or not.

A server that has handled an object recently answers several times faster.
"""

from dataclasses import dataclass

# Share of a new observation in the moving average.
NEW_SHARE = 0.1
# Before the first observation, in latency objectives of the route: a known
# object is expected to meet the objective, an unknown one to miss it.
FIRST_WARM_OBJECTIVES = 0.5
FIRST_UNKNOWN_OBJECTIVES = 1.5


@dataclass(kw_only=True, slots=True)
class _Times:
    warm_s: float
    unknown_s: float


class ServiceTimes:
    """Moving averages of the time that servers work on a request."""

    def __init__(self) -> None:
        self._times: dict[tuple[str, str], _Times] = {}

    def expected_s(
        self, route: str, service: str, objective_s: float, *, warm: bool
    ) -> float:
        """Return the expected time without waiting.

        :param warm: whether the server has handled the object recently.
        """
        times = self._get(route, service, objective_s)
        return times.warm_s if warm else times.unknown_s

    def observe(
        self,
        route: str,
        service: str,
        objective_s: float,
        took_s: float,
        *,
        warm: bool,
    ) -> None:
        """Enter the time of a request that did not wait."""
        times = self._get(route, service, objective_s)
        if warm:
            times.warm_s += NEW_SHARE * (took_s - times.warm_s)
        else:
            times.unknown_s += NEW_SHARE * (took_s - times.unknown_s)

    def _get(self, route: str, service: str, objective_s: float) -> _Times:
        times = self._times.get((route, service))
        if times is None:
            times = self._times[(route, service)] = _Times(
                warm_s=FIRST_WARM_OBJECTIVES * objective_s,
                unknown_s=FIRST_UNKNOWN_OBJECTIVES * objective_s,
            )
        return times
