"""Limits on callers' connections and requests, from the configuration."""

from verbenad.http_server_limits import HttpServerLimits
from verbenad.request_body import BodyLimits
from verbenad.request_head import HeadLimits
from verbenaworks.steering.steering_config import SteeringConfig

# File descriptors that are not available for callers' connections: files, the
# store, peers and backend servers.
RESERVED_DESCRIPTORS = 900
MIN_CALLER_CONNECTIONS = 100


def caller_connections(max_descriptors: int) -> int:
    """Return the most connections of callers.

    :param max_descriptors: file descriptors that the process may use.
    """
    return max(MIN_CALLER_CONNECTIONS, max_descriptors - RESERVED_DESCRIPTORS)


def caller_http_limits(
    config: SteeringConfig | None, max_descriptors: int
) -> HttpServerLimits:
    """Return the limits; those of the program without a configuration.

    :param max_descriptors: file descriptors that the process may use.
    """
    connections = caller_connections(max_descriptors)
    if config is None:
        return HttpServerLimits(max_connections=connections)
    limits = config.limits
    return HttpServerLimits(
        max_connections=connections,
        idle_timeout_s=limits.idle_timeout_s,
        head_timeout_s=limits.header_timeout_s,
        head=HeadLimits(
            line_bytes=limits.max_header_bytes,
            block_bytes=limits.max_header_bytes,
        ),
        body=BodyLimits(body_bytes=limits.max_body_bytes),
    )
