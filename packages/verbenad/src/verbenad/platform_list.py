"""Reads the platform's list of instances, which may be out of date."""

from dataclasses import dataclass

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from verbenad.bounded_fetch import FetchTimeouts, fetch

_TIMEOUT_S = 1.0
_PATH = "/v1/instances"


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedInstance:
    """An entry of the platform's list.

    :ivar kind: ``entry`` for instances, ``backend`` for backend servers.
    :ivar state: ``live`` or ``leaving``.
    :ivar bus_address: bus address of an entry instance.
    """

    kind: str
    state: str
    bus_address: str = ""


class PlatformList:
    """Client of the platform's list of instances.

    :param url: base URL, for example ``http://127.0.0.1:7001``.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/") + _PATH
        self._pool = urllib3.PoolManager(retries=False)
        self._decoder: msgspec.json.Decoder[dict[str, ListedInstance]] = (
            msgspec.json.Decoder(dict[str, ListedInstance])
        )

    def read(self) -> dict[str, ListedInstance] | None:
        """Return the entries by name, None if the list cannot be read."""
        try:
            response = fetch(
                self._pool,
                "GET",
                self._url,
                timeouts=FetchTimeouts(
                    connect_s=_TIMEOUT_S, response_s=_TIMEOUT_S
                ),
            )
            if response.status != 200:
                return None
            return self._decoder.decode(response.data)
        except (HTTPError, OSError, msgspec.DecodeError):
            return None
