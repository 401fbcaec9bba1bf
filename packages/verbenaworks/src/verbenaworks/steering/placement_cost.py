"""Cost of serving a request at a server, for comparing servers."""

from collections.abc import Callable

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.placement_result import Placed, PlacementRequest

# Rate used to convert body sizes into a cost for crossing failure domains. The
# links are faster, but the body takes bandwidth from other requests.
CROSS_DOMAIN_BYTES_PER_S = 150_000
# Cost of crossing regions besides the time that it takes: the links between
# them carry the requests of all instances.
CROSS_REGION_COST_S = 0.030


class PlacementCost:
    """Costs as one instance sees them.

    :param region: region of this instance.
    :param failure_domain: failure domain of this instance.
    :param late_share: returns the share of a service's requests that are late.
    """

    def __init__(
        self,
        *,
        region: str,
        failure_domain: str,
        late_share: Callable[[str], float],
    ) -> None:
        self._region = region
        self._failure_domain = failure_domain
        self._late_share = late_share

    def cost_s(self, request: PlacementRequest, placed: Placed) -> float:
        """Return the cost in seconds of predicted time."""
        # The longer service time without cached data takes capacity from
        # other requests. It counts more if many requests are late.
        return (
            placed.predicted_s
            + self._late_share(request.service) * placed.expected_s
            + self._crossing_cost_s(request, placed.server)
        )

    def _crossing_cost_s(
        self, request: PlacementRequest, server: BackendServer
    ) -> float:
        """Return the cost of sending the request to another domain."""
        if server.failure_domain == self._failure_domain:
            return 0.0
        cost_s = request.body_bytes / CROSS_DOMAIN_BYTES_PER_S
        if server.region != self._region:
            cost_s += CROSS_REGION_COST_S
        return cost_s
