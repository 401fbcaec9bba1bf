"""The best of the servers that are compared for a request."""

from verbenaworks.steering.placement_cost import PlacementCost
from verbenaworks.steering.placement_result import Placed, PlacementRequest
from verbenaworks.steering.substitute_home import SubstituteHome


class BestServer:
    """Keeps the server with the least cost, at usual and at current speed.

    :ivar usual: the best one if all machines work at their usual speed.
    """

    def __init__(
        self, costs: PlacementCost, request: PlacementRequest
    ) -> None:
        self._costs = costs
        self._request = request
        self._substitute = SubstituteHome()
        self.usual: Placed | None = None
        self._usual_cost_s = 0.0
        self._current: Placed | None = None
        self._current_cost_s = 0.0

    def add(self, placed: Placed) -> float:
        """Compare one more server and return its cost in seconds."""
        cost_s = self._costs.cost_s(self._request, placed)
        cost_s -= self._substitute.credit_s(placed)
        if self.usual is None or cost_s < self._usual_cost_s:
            self.usual, self._usual_cost_s = placed, cost_s
        cost_s += placed.machine_delay_s
        if self._current is None or cost_s < self._current_cost_s:
            self._current, self._current_cost_s = placed, cost_s
        return cost_s

    @property
    def chosen(self) -> Placed | None:
        """The best one at the current speed of the machines.

        A request moves only to a server without a wait. It is then not
        refused there, so that the speed of a machine causes no refusal.
        """
        if self._current is not None and self._current.wait_s == 0:
            return self._current
        return self.usual
