"""Requests whose responses are bounded in size and in time.

urllib3 reads a whole response into memory, and its timeouts apply to each
read. A peer that sends bytes without end would use up the memory, and one that
sends a byte now and then would hold the green thread.
"""

import contextlib
import zlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

import eventlet
import urllib3
from eventlet.patcher import is_monkey_patched
from urllib3.exceptions import HTTPError

# Above any set of items that the store holds, and well below the memory of an
# instance.
MAX_RESPONSE_BYTES = 32 << 20
# Time for the bytes of a response after the first one.
TRANSFER_TIMEOUT_S = 5.0


class ResponseTooLargeError(HTTPError):
    """The response is larger than its limit."""

    def __init__(self, limit_bytes: int) -> None:
        super().__init__(f"the response is larger than {limit_bytes} bytes")


class ConnectionPool(Protocol):
    """The part of urllib3's pools that is used here."""

    def urlopen(
        self, method: str, url: str, **options: Any
    ) -> urllib3.BaseHTTPResponse:
        """Send a request."""
        ...


@dataclass(frozen=True, kw_only=True, slots=True)
class FetchTimeouts:
    """Time limits of one request.

    :param connect_s: time for connecting.
    :param response_s: longest wait for the first byte, or the next ones.
    :param transfer_s: further time until the response must be complete.
    """

    connect_s: float
    response_s: float
    transfer_s: float = TRANSFER_TIMEOUT_S

    @property
    def total_s(self) -> float:
        """Time for the whole request."""
        return self.connect_s + self.response_s + self.transfer_s


@dataclass(frozen=True, kw_only=True, slots=True)
class FetchedResponse:
    """A response that was received completely."""

    status: int
    headers: Mapping[str, str]
    data: bytes


def fetch(
    pool: ConnectionPool,
    method: str,
    url: str,
    *,
    timeouts: FetchTimeouts,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    limit_bytes: int = MAX_RESPONSE_BYTES,
) -> FetchedResponse:
    """Make a request and return its whole response.

    The total time is enforced in green threads only.

    :raises urllib3.exceptions.HTTPError: if the request fails, takes too long
        or gets a response over the limit.
    :raises TimeoutError: if it takes too long.
    """
    with _total_timeout(timeouts.total_s):
        response = pool.urlopen(
            method,
            url,
            body=body,
            headers=headers or {},
            timeout=urllib3.Timeout(
                connect=timeouts.connect_s, read=timeouts.response_s
            ),
            preload_content=False,
        )
        try:
            data = response.read(limit_bytes + 1)
            if len(data) > limit_bytes:
                raise ResponseTooLargeError(limit_bytes)
        except BaseException:
            response.close()
            raise
        finally:
            response.release_conn()
    return FetchedResponse(
        status=response.status, headers=response.headers, data=data
    )


class FetchClient:
    """Base of clients whose calls are counted.

    :ivar on_call: called with the bytes of the bodies sent and received when
        a call got a response.
    """

    on_call: Callable[[int, int], None] | None = None

    def _fetch(
        self,
        pool: ConnectionPool,
        method: str,
        url: str,
        *,
        timeouts: FetchTimeouts,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> FetchedResponse:
        """Make a request with :func:`fetch` and count it."""
        response = fetch(
            pool, method, url, timeouts=timeouts, body=body, headers=headers
        )
        if self.on_call is not None:
            self.on_call(len(body or b""), len(response.data))
        return response


def decompress(data: bytes, limit_bytes: int = MAX_RESPONSE_BYTES) -> bytes:
    """Return the content of compressed data.

    :raises zlib.error: if it is malformed, incomplete or over the limit.
    """
    decoder = zlib.decompressobj()
    content = decoder.decompress(data, limit_bytes)
    if not decoder.eof:
        raise zlib.error("the data is incomplete or over the limit")
    return content


def _total_timeout(total_s: float) -> contextlib.AbstractContextManager[Any]:
    if not is_monkey_patched("socket"):
        # Blocking calls cannot be interrupted.
        return contextlib.nullcontext()
    return eventlet.Timeout(
        total_s, TimeoutError(f"no whole response within {total_s:.1f} s")
    )
