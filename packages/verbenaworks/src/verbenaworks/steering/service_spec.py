"""What the operator says about a service."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceSpec:
    """A service with backend servers.

    :param connection_limit: connections that one server takes from all
        callers together.
    :param cold_start_s: how long a server stays cold after its start.
    :param cold_requests_per_s: requests per second that a cold server bears.
    """

    name: str
    connection_limit: int
    cold_start_s: float
    cold_requests_per_s: float
