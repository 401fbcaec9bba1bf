"""Gauges of an entry instance."""

from collections.abc import Callable, Mapping

from verbenad.held_bytes import HeldBytes
from verbenad.held_bytes_gauges import declare_held_bytes
from verbenad.metrics import Metrics
from verbenaworks.steering.steering_config import SteeringConfig

MAX_SHOWN_AGE_S = 1e6


def declare_gauges(
    metrics: Metrics,
    *,
    config: Callable[[], SteeringConfig | None],
    config_age_s: Callable[[], float],
    running_requests: Callable[[], int],
    backend_servers: Callable[[], int],
    is_registered: Callable[[], bool],
    dropped_log_lines: Callable[[], int],
    connections_in_use: Callable[[], Mapping[str, float]],
    oldest_connection_use_s: Callable[[], Mapping[str, float]],
    held_bytes: HeldBytes,
) -> None:
    """Declare the gauges, which are read when the metrics are rendered."""

    def config_version() -> float:
        current = config()
        return float(current.version if current else 0)

    metrics.gauge_source(
        "verbenad_config_version",
        "Version of the operator's document in force.",
        config_version,
    )
    metrics.gauge_source(
        "verbenad_config_age_seconds",
        "Age of the last proof that the version is in force.",
        lambda: min(MAX_SHOWN_AGE_S, config_age_s()),
    )
    metrics.gauge_source(
        "verbenad_requests_running",
        "Connections of callers with a request in progress.",
        lambda: float(running_requests()),
    )
    metrics.gauge_source(
        "verbenad_backend_servers",
        "Backend servers that the platform lists.",
        lambda: float(backend_servers()),
    )
    metrics.gauge_source(
        "verbenad_registered",
        "Whether the instance is registered in the platform's store.",
        lambda: float(is_registered()),
    )
    metrics.gauge_source(
        "verbenad_log_lines_dropped_total",
        "Log lines lost because standard output stalled.",
        lambda: float(dropped_log_lines()),
    )
    metrics.gauges_source(
        "verbenad_server_connections_in_use",
        "Connections to a backend server that requests use.",
        "server",
        connections_in_use,
    )
    metrics.gauges_source(
        "verbenad_server_connection_oldest_use_seconds",
        "Longest time for which a connection to a server has been in use.",
        "server",
        oldest_connection_use_s,
    )
    declare_held_bytes(metrics, held_bytes)
