"""Limits of each service in the configuration, as they bind one instance."""

from verbenad.steering.steering_state import SteeringState
from verbenaworks.steering.instance_directory import InstanceDirectory

# Each instance may open this many connections to one server, even if its
# share of the connection limit is smaller.
MIN_SERVER_CONNECTIONS = 4
# Requests per second to a cold server of a service that is not configured.
DEFAULT_COLD_REQUESTS_PER_S = 1.0


class ServiceLimits:
    """Limits for the requests of this instance."""

    def __init__(
        self, *, state: SteeringState, directory: InstanceDirectory
    ) -> None:
        self._state = state
        self._directory = directory

    def connections(self, service: str) -> int:
        """Return how many connections to open to one server."""
        config = self._state.config
        spec = config.services.get(service) if config else None
        if spec is None:
            return MIN_SERVER_CONNECTIONS
        share = spec.connection_limit // len(self._directory.names)
        return max(MIN_SERVER_CONNECTIONS, share)

    def cold_requests_per_s(self, service: str) -> float:
        """Return what all instances may send to one cold server."""
        config = self._state.config
        spec = config.services.get(service) if config else None
        if spec is None:
            return DEFAULT_COLD_REQUESTS_PER_S
        return spec.cold_requests_per_s
