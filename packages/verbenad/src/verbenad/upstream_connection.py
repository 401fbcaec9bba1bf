"""One connection to a backend server."""

from typing import Any

from urllib3.connection import HTTPConnection

from verbenad.socket_stream import SocketStream
from verbenad.target_address import TargetAddress


class UpstreamConnection:
    """An open connection and what the pool knows about it.

    :param address: IP address and port of the backend server.
    :param timeout_s: time to connect.
    :param source_ip: own address to connect from.
    :raises urllib3.exceptions.HTTPError: if it cannot be opened.
    """

    __slots__ = ("_http", "address", "idle_since_s", "reused", "stream")

    def __init__(
        self,
        address: TargetAddress,
        timeout_s: float,
        source_ip: str | None = None,
    ) -> None:
        self.address = address
        self._http = HTTPConnection(
            address[0],
            address[1],
            timeout=timeout_s,
            source_address=(source_ip, 0) if source_ip else None,
        )
        self._http.connect()
        sock: Any = self._http.sock
        self.stream = SocketStream(sock)
        self.idle_since_s = 0.0
        self.reused = False

    def close(self) -> None:
        """Close the connection."""
        self.stream.shutdown()
        self._http.close()
