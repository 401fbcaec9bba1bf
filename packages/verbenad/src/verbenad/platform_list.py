"""Reads the platform's lagging list of live and leaving instances."""

from dataclasses import dataclass

import msgspec
import urllib3

_TIMEOUT_S = 1.0
_PATH = "/v1/instances"


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedInstance:
    """An entry of the platform's list.

    :ivar kind: ``entry`` for our instances, ``backend`` for targets.
    :ivar state: ``live`` or ``leaving``.
    :ivar bus_address: bus address of an entry instance.
    """

    kind: str
    state: str
    bus_address: str = ""


class PlatformList:
    """Client of the list.

    :param url: base URL, for example ``http://127.0.0.1:7001``.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/") + _PATH
        self._pool = urllib3.PoolManager(retries=False)
        self._decoder: msgspec.json.Decoder[dict[str, ListedInstance]] = (
            msgspec.json.Decoder(dict[str, ListedInstance])
        )

    def read(self) -> dict[str, ListedInstance] | None:
        """Return the entries by name, None if the list gives no answer."""
        try:
            response = self._pool.request("GET", self._url, timeout=_TIMEOUT_S)
            if response.status != 200:
                return None
            return self._decoder.decode(response.data)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError):
            return None
