"""HTTP servers of the addresses for look-ups, readiness and metrics."""

from verbenad.http_server import HttpServer
from verbenad.http_server_limits import HttpServerLimits
from verbenad.receive_windows import head_windows
from verbenad.steering.platform_endpoints import PlatformEndpoints
from verbenad.steering.steering_settings import (
    SteeringSettings,
    parse_address,
)

MAX_ENDPOINT_CONNECTIONS = 200
MAX_RELAY_CONNECTIONS = 200


def open_endpoint_servers(
    settings: SteeringSettings,
    *,
    for_callers: PlatformEndpoints,
    for_operators: PlatformEndpoints,
) -> list[HttpServer]:
    """Return a server for each address; explanations are for operators."""
    return [
        _open(settings.ready_address, for_callers),
        _open(settings.lookup_address, for_callers),
        _open(settings.metrics_address, for_operators),
    ]


def _open(address: str, endpoints: PlatformEndpoints) -> HttpServer:
    host, port = parse_address("address", address)
    return HttpServer(
        endpoints,
        host=host,
        port=port,
        limits=HttpServerLimits(
            max_connections=MAX_ENDPOINT_CONNECTIONS,
            disconnect_check_period_s=None,
        ),
        receive_windows=head_windows(),
    )
