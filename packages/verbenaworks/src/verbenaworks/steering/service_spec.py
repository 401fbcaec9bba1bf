"""Settings of a service in the operator's document."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceSpec:
    """A service with backend servers.

    :param connection_limit: connections that one server takes from all
        callers together.
    :param cold_start_s: duration of a server's cold start.
    :param cold_requests_per_s: requests per second that a server can
        handle during its cold start.
    """

    name: str
    connection_limit: int
    cold_start_s: float
    cold_requests_per_s: float
