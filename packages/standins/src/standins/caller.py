"""A caller that looks up entry instances and sends requests to them."""

import secrets
import time
from dataclasses import dataclass

import urllib3

MAX_ATTEMPTS = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class CallResult:
    """The result of one request as its caller saw it.

    :ivar status: HTTP status, 0 if there was no response.
    :ivar run: what a refusal states about the run, such as ``not run``;
        empty for the response of a backend server.
    :ivar instance: entry instance that the caller tried last.
    """

    status: int
    run: str
    code: str
    instance: str
    latency_s: float
    request_id: str
    body: bytes
    headers: dict[str, str]


class Caller:
    """Sends requests of one workspace from one address.

    :param instances: caller addresses of some entry instances, tried in
        turn for lookups.
    :param address: address of the caller, which lookups send.
    :param key: key of the workspace, None to send no key.
    """

    def __init__(
        self, instances: list[str], address: str, key: str | None
    ) -> None:
        self._lookup_instances = list(instances)
        self._address = address
        self._key = key
        self._http = urllib3.PoolManager(retries=False, maxsize=32)
        self._cached: dict[str, tuple[float, dict[str, object]]] = {}

    def lookup(self, service: str) -> dict[str, object]:
        """Return the lookup response, cached for its time to live.

        :raises ConnectionError: if no instance responds.
        """
        now_s = time.monotonic()
        cached = self._cached.get(service)
        if cached is not None and now_s < cached[0]:
            return cached[1]
        for instance in self._lookup_instances:
            url = (
                f"http://{instance}/v1/lookup?service={service}"
                f"&address={self._address}"
            )
            try:
                response = self._http.request("GET", url, timeout=2.0)
            except urllib3.exceptions.HTTPError:
                continue
            if response.status == 200:
                lookup: dict[str, object] = response.json()
                ttl_s = float(str(lookup["lookup_ttl_s"]))
                self._cached[service] = (now_s + ttl_s, lookup)
                return lookup
        raise ConnectionError("no entry instance responds to lookups")

    def idempotency_key(self, service: str) -> str:
        """Return a new idempotency key, with the lookup's ticket if any."""
        ticket = self.lookup(service)["ticket"]
        random_part = secrets.token_hex(12)
        return f"{ticket}.{random_part}" if ticket else random_part

    def call(
        self,
        service: str,
        method: str = "GET",
        path: str = "/",
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 15.0,
    ) -> CallResult:
        """Send a request; try other instances if it was not run.

        :raises ConnectionError: if no lookup succeeds or it names no
            instance.
        """
        started_s = time.monotonic()
        request_headers = {
            "X-Request-Id": secrets.token_hex(8),
            **(headers or {}),
        }
        if self._key is not None:
            request_headers["X-Verbena-Key"] = self._key
        result = None
        for instance in self._instance_addresses(service):
            result = self._attempt(
                instance,
                service,
                method,
                path,
                body,
                request_headers,
                timeout_s,
            )
            if result.status not in (0, 503) or result.run != "not run":
                break
        if result is None:
            raise ConnectionError("the lookup names no entry instance")
        latency_s = time.monotonic() - started_s
        return CallResult(
            status=result.status,
            run=result.run,
            code=result.code,
            instance=result.instance,
            latency_s=latency_s,
            request_id=request_headers["X-Request-Id"],
            body=result.body,
            headers=result.headers,
        )

    def _instance_addresses(self, service: str) -> list[str]:
        instances = self.lookup(service)["instances"]
        if not isinstance(instances, list):
            return []
        return [str(entry["address"]) for entry in instances][:MAX_ATTEMPTS]

    def _attempt(
        self,
        instance: str,
        service: str,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
        timeout_s: float,
    ) -> CallResult:
        try:
            response = self._http.request(
                method,
                f"http://{instance}/s/{service}{path}",
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(connect=1.0, read=timeout_s),
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            return _no_response(instance, headers, "not run")
        except urllib3.exceptions.HTTPError:
            return _no_response(instance, headers, "outcome unknown")
        run = response.headers.get("X-Verbena-Run", "")
        return CallResult(
            status=response.status,
            run=run,
            code=str(response.json().get("code", "")) if run else "",
            instance=instance,
            latency_s=0.0,
            request_id=headers["X-Request-Id"],
            body=response.data,
            headers=dict(response.headers),
        )


def _no_response(
    instance: str, headers: dict[str, str], run: str
) -> CallResult:
    return CallResult(
        status=0,
        run=run,
        code="no-answer",
        instance=instance,
        latency_s=0.0,
        request_id=headers["X-Request-Id"],
        body=b"",
        headers={},
    )
