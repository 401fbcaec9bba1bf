"""Record of what a decision compared, for an explanation."""

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.placement_result import Placed
from verbenaworks.steering.server_admission import ServerRefusal


class DecisionTrace:
    """Gets what a decision compares and excludes; keeps nothing."""

    def record_compared(self, placed: Placed, cost_s: float) -> None:
        """Record a server that can take the request, and its cost."""

    def record_excluded(
        self, server: BackendServer, refusal: ServerRefusal
    ) -> None:
        """Record a server that can not take the request now."""


class KeptTrace(DecisionTrace):
    """Keeps what a decision compares and excludes, in its order.

    :ivar compared: servers by id with their last prediction and cost.
    :ivar excluded: servers by id with the reason.
    """

    def __init__(self) -> None:
        self.compared: dict[str, tuple[Placed, float]] = {}
        self.excluded: dict[str, tuple[BackendServer, ServerRefusal]] = {}

    @property
    def best(self) -> Placed | None:
        """The server with the least cost; none if none was compared."""
        if not self.compared:
            return None
        return min(self.compared.values(), key=lambda entry: entry[1])[0]

    def record_compared(self, placed: Placed, cost_s: float) -> None:
        """Keep a server that can take the request, and its cost."""
        self.compared[placed.server.server_id] = (placed, cost_s)

    def record_excluded(
        self, server: BackendServer, refusal: ServerRefusal
    ) -> None:
        """Keep a server that can not take the request now."""
        self.excluded[server.server_id] = (server, refusal)
