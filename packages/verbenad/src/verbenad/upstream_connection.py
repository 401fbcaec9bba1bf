"""One connection to a backend server."""

import socket
from typing import Any

from urllib3.connection import HTTPConnection

from verbenad.socket_stream import SocketStream
from verbenad.target_address import TargetAddress

# Idle time before the first keep-alive probe, and the interval between
# probes. The kernel takes whole seconds.
_KEEPALIVE_INTERVAL_S = 1


class UpstreamConnection:
    """An open connection and the pool's bookkeeping for it.

    :param address: IP address and port of the backend server.
    :param timeout_s: timeout for connecting.
    :param source_ip: local address to connect from.
    :param silent_s: time after which a peer that does not acknowledge data
        or probes is taken as lost; none for the system's defaults.
    :param receive_bytes: receive buffer; none for the system's default.
    :raises urllib3.exceptions.HTTPError: if it cannot be opened.
    """

    __slots__ = (
        "_http",
        "address",
        "idle_since_s",
        "idle_time_s",
        "reused",
        "stream",
    )

    def __init__(
        self,
        address: TargetAddress,
        timeout_s: float,
        source_ip: str | None = None,
        silent_s: float | None = None,
        receive_bytes: int | None = None,
    ) -> None:
        self.address = address
        self._http = HTTPConnection(
            address[0],
            address[1],
            timeout=timeout_s,
            source_address=(source_ip, 0) if source_ip else None,
            socket_options=[
                *HTTPConnection.default_socket_options,
                *keepalive_options(silent_s),
                *_receive_options(receive_bytes),
            ],
        )
        self._http.connect()
        sock: Any = self._http.sock
        self.stream = SocketStream(sock)
        self.idle_since_s = 0.0
        # How long it was idle before the current request.
        self.idle_time_s = 0.0
        self.reused = False

    def close(self) -> None:
        """Close the connection."""
        self.stream.shutdown()
        self._http.close()


def _receive_options(receive_bytes: int | None) -> list[tuple[int, int, int]]:
    if receive_bytes is None:
        return []
    return [(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)]


def keepalive_options(silent_s: float | None) -> list[tuple[int, int, int]]:
    """Return socket options that end a connection whose peer is silent."""
    if silent_s is None:
        return []
    tcp = socket.IPPROTO_TCP
    return [
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_INTERVAL_S),
        (tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (
            tcp,
            socket.TCP_KEEPCNT,
            max(1, round(silent_s / _KEEPALIVE_INTERVAL_S)),
        ),
        (tcp, socket.TCP_USER_TIMEOUT, int(silent_s * 1000)),
    ]
