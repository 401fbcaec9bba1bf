"""A server that takes over an object from a home that is slow for long.

Loading an object's data elsewhere never pays for one request, so that requests
would stay at a slow home for ever. It pays if the next requests find the data
there. All instances choose the same server, the first one in the object's
order that is not slow.
"""

from verbenaworks.steering.placement_result import Placed

# A home is replaced if it takes longer than usual by this factor.
MIN_TIME_FACTOR = 1.3
# Requests among which the cost to load the data is divided.
REQUESTS_PER_LOAD = 5.0


class SubstituteHome:
    """Finds the substitute among the servers compared for one request."""

    def __init__(self) -> None:
        self._is_wanted = False

    def credit_s(self, placed: Placed) -> float:
        """Return the part of a server's cost that later requests bear.

        :param placed: the next server in the object's order.
        """
        if placed.rank == 0:
            # An object that was not requested lately is not worth a load.
            self._is_wanted = (
                placed.cached and placed.time_factor >= MIN_TIME_FACTOR
            )
            return 0.0
        if (
            not self._is_wanted
            or placed.rank is None
            or placed.cold
            or placed.time_factor >= MIN_TIME_FACTOR
        ):
            return 0.0
        self._is_wanted = False
        if placed.wait_s > 0:
            return 0.0
        return (1.0 - 1.0 / REQUESTS_PER_LOAD) * placed.load_cost_s
