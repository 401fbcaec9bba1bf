"""Reads the platform's list of instances, which may be out of date."""

from dataclasses import dataclass

import logbook
import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from verbenad.bounded_fetch import FetchTimeouts, fetch
from verbenaworks.json_values import decode_json, decode_json_list

_TIMEOUT_S = 1.0
_PATH = "/v1/instances"

_log = logbook.Logger("verbenad.platform")


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
        self._unreadable: frozenset[str] = frozenset()

    def read(self) -> dict[str, ListedInstance] | None:
        """Return the entries by name, None if the list cannot be read.

        Entries that cannot be read are left out.
        """
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
            listed = decode_json_list(response.data, dict[str, msgspec.Raw])
        except (HTTPError, OSError, ValueError):
            return None
        return self._decode_entries(listed)

    def _decode_entries(
        self, listed: dict[str, msgspec.Raw]
    ) -> dict[str, ListedInstance]:
        """Decode entries one by one, so that none hides the others."""
        entries = {}
        unreadable: dict[str, str] = {}
        for name, data in listed.items():
            try:
                entries[name] = decode_json(data, ListedInstance)
            except ValueError as error:
                unreadable[name] = str(error)
        for name in unreadable.keys() - self._unreadable:
            _log.warning(
                "unreadable entry of the instance list ignored",
                extra={"entry": name, "reason": unreadable[name]},
            )
        self._unreadable = frozenset(unreadable)
        return entries
