"""Client of the platform's key-value service.

Each call returns one of a few outcomes. A write that may have reached the
store but got no response ends in :class:`StoreOutcomeUnknownError`; it is
never reported as not applied.
"""

from dataclasses import dataclass
from urllib.parse import quote

import msgspec
import urllib3
from result import Err, Ok, Result

from verbenad.bounded_fetch import FetchedResponse, FetchTimeouts, fetch
from verbenaworks import VerbenaError

CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 1.5
# Watches and all other calls of an instance share the pool.
MAX_POOLED_CONNECTIONS = 8

_REMEDY = "check the store and the network to it; the call may be repeated"


class StoreUnavailableError(VerbenaError):
    """The store gave no response and certainly changed nothing."""

    code = "store-unavailable"


class StoreOutcomeUnknownError(VerbenaError):
    """A write may or may not have taken effect; a read shows which."""

    code = "store-outcome-unknown"


class StoreConflictError(VerbenaError):
    """The key has another version than expected.

    :ivar version: the version in the store, 0 if the key is absent.
    """

    code = "store-conflict"

    def __init__(self, version: int) -> None:
        super().__init__(
            f"the key has version {version}", "read it and try again"
        )
        self.version = version


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionedValue:
    """A value and its version; version 0 means that the key is absent."""

    data: bytes
    version: int


StoreReadError = StoreUnavailableError
StoreWriteError = (
    StoreUnavailableError | StoreOutcomeUnknownError | StoreConflictError
)


class StoreClient:
    """HTTP client of the store.

    :param url: base URL, for example ``http://127.0.0.1:7000``.
    """

    def __init__(
        self, url: str, read_timeout_s: float = READ_TIMEOUT_S
    ) -> None:
        self._url = url.rstrip("/")
        self._read_timeout_s = read_timeout_s
        self._pool = urllib3.PoolManager(
            maxsize=MAX_POOLED_CONNECTIONS, retries=False
        )

    def get(self, key: str) -> Result[VersionedValue, StoreReadError]:
        """Return the value of ``key``; version 0 if it is absent."""
        match self._call("GET", f"/v1/kv/{quote(key)}"):
            case Ok(response) if response.status == 200:
                version = int(response.headers["X-Version"])
                return Ok(VersionedValue(data=response.data, version=version))
            case Ok(response) if response.status == 404:
                return Ok(VersionedValue(data=b"", version=0))
            case Ok(response):
                return Err(_unexpected_status_error(response))
            case Err(error):
                return Err(StoreUnavailableError(str(error), _REMEDY))

    def put(
        self, key: str, data: bytes, expected_version: int, lease_id: int = 0
    ) -> Result[int, StoreWriteError]:
        """Write ``key`` if it has the expected version.

        :returns: the new version.
        """
        path = f"/v1/kv/{quote(key)}?expected_version={expected_version}"
        if lease_id:
            path += f"&lease={lease_id}"
        return self._write("PUT", path, data, "version")

    def delete(
        self, key: str, expected_version: int
    ) -> Result[int, StoreWriteError]:
        """Delete ``key`` if it has the expected version."""
        path = f"/v1/kv/{quote(key)}?expected_version={expected_version}"
        return self._write("DELETE", path, b"", "version")

    def grant_lease(self, ttl_s: float) -> Result[int, StoreWriteError]:
        """Create a lease and return its id."""
        body = msgspec.json.encode({"ttl_ms": int(ttl_s * 1000)})
        return self._write("POST", "/v1/leases", body, "lease_id")

    def version(self, key: str) -> Result[int, StoreReadError]:
        """Return the version of ``key``, 0 if it is absent."""
        return self._read_version(f"/v1/version/{quote(key)}", 0.0)

    def watch(
        self, key: str, after_version: int, wait_s: float
    ) -> Result[int, StoreReadError]:
        """Wait until the key's version changes, for at most ``wait_s``.

        :returns: the version at the end of the wait.
        """
        path = (
            f"/v1/watch/{quote(key)}?after={after_version}"
            f"&wait_ms={int(wait_s * 1000)}"
        )
        return self._read_version(path, wait_s)

    def _read_version(
        self, path: str, wait_s: float
    ) -> Result[int, StoreReadError]:
        match self._call("GET", path, wait_s=wait_s):
            case Ok(response) if response.status == 200:
                return Ok(msgspec.json.decode(response.data)["version"])
            case Ok(response):
                return Err(_unexpected_status_error(response))
            case Err(error):
                return Err(StoreUnavailableError(str(error), _REMEDY))

    def _write(
        self, method: str, path: str, body: bytes, field: str
    ) -> Result[int, StoreWriteError]:
        match self._call(method, path, body):
            case Ok(response) if response.status == 200:
                return Ok(msgspec.json.decode(response.data)[field])
            case Ok(response) if response.status == 409:
                version = msgspec.json.decode(response.data)["version"]
                return Err(StoreConflictError(version))
            case Ok(response):
                return Err(_unexpected_status_error(response))
            case Err(error) if _was_not_sent(error):
                return Err(StoreUnavailableError(str(error), _REMEDY))
            case Err(error):
                return Err(StoreOutcomeUnknownError(str(error), _REMEDY))

    def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        wait_s: float = 0.0,
    ) -> Result[FetchedResponse, urllib3.exceptions.HTTPError | OSError]:
        try:
            response = fetch(
                self._pool,
                method,
                self._url + path,
                body=body if method != "GET" else None,
                timeouts=FetchTimeouts(
                    connect_s=CONNECT_TIMEOUT_S,
                    response_s=self._read_timeout_s + wait_s,
                ),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Err(error)
        return Ok(response)


def _was_not_sent(error: Exception) -> bool:
    return isinstance(
        error,
        (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ),
    )


def _unexpected_status_error(
    response: FetchedResponse,
) -> StoreUnavailableError:
    return StoreUnavailableError(
        f"the store answered {response.status}", _REMEDY
    )
