"""Limits on callers' connections and requests, from the configuration."""

from verbenad.http_server_limits import HttpServerLimits
from verbenad.request_body import BodyLimits
from verbenad.request_head import HeadLimits
from verbenaworks.steering.steering_config import SteeringConfig

# Of the descriptors that the process may open: for files; for the endpoints
# and relays, whose HTTP servers have limits of their own; for connections to
# backend servers, the store and peers; and for connections that are closing.
FILE_DESCRIPTORS = 200
ENDPOINT_DESCRIPTORS = 1000
SERVER_DESCRIPTORS = 300
CLOSING_DESCRIPTORS = 250
RESERVED_DESCRIPTORS = (
    FILE_DESCRIPTORS
    + ENDPOINT_DESCRIPTORS
    + SERVER_DESCRIPTORS
    + CLOSING_DESCRIPTORS
)
MIN_CALLER_CONNECTIONS = 100


def caller_connections(max_descriptors: int) -> int:
    """Return for how many connections of callers there are descriptors.

    :param max_descriptors: file descriptors that the process may use.
    """
    return max(MIN_CALLER_CONNECTIONS, max_descriptors - RESERVED_DESCRIPTORS)


def caller_http_limits(
    config: SteeringConfig | None, connections: int
) -> HttpServerLimits:
    """Return the limits; those of the program without a configuration.

    :param connections: most connections of callers.
    """
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
