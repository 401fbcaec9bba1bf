"""A caller that asks which entry instance to use and sends requests there."""

import secrets
import time
from dataclasses import dataclass

import urllib3

MAX_TRIES = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class CallResult:
    """What a caller saw of one request.

    :ivar status: HTTP status, 0 if there was no answer.
    :ivar run: what a refusal says about the run, empty for an answer.
    :ivar instance: entry instance that answered last.
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
    """Sends the requests of one workspace from one address.

    :param instances: caller addresses of some entry instances; any of them
        answers lookups.
    """

    def __init__(
        self, instances: list[str], address: str, key: str | None
    ) -> None:
        self._known = list(instances)
        self._address = address
        self._key = key
        self._http = urllib3.PoolManager(retries=False, maxsize=32)
        self._cached: dict[str, tuple[float, dict[str, object]]] = {}

    def lookup(self, service: str) -> dict[str, object]:
        """Return the lookup answer, from the cache while it lasts.

        :raises ConnectionError: if no instance answers.
        """
        now_s = time.monotonic()
        cached = self._cached.get(service)
        if cached is not None and now_s < cached[0]:
            return cached[1]
        for instance in self._known:
            url = (
                f"http://{instance}/v1/lookup?service={service}"
                f"&address={self._address}"
            )
            try:
                answer = self._http.request("GET", url, timeout=2.0)
            except urllib3.exceptions.HTTPError:
                continue
            if answer.status == 200:
                found: dict[str, object] = answer.json()
                ttl_s = float(str(found["lookup_ttl_s"]))
                self._cached[service] = (now_s + ttl_s, found)
                return found
        raise ConnectionError("no entry instance answers lookups")

    def idempotency_key(self, service: str) -> str:
        """Return a new idempotency key with the lookup's ticket."""
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
        """Send a request; try other instances after a "not run"."""
        began_s = time.monotonic()
        fields = {"X-Request-Id": secrets.token_hex(8), **(headers or {})}
        if self._key is not None:
            fields["X-Verbena-Key"] = self._key
        result = None
        for instance in self._addresses(service):
            result = self._try(
                instance, service, method, path, body, fields, timeout_s
            )
            if result.status not in (0, 503) or result.run != "not run":
                break
        if result is None:
            raise ConnectionError("the lookup names no entry instance")
        latency_s = time.monotonic() - began_s
        return CallResult(
            status=result.status,
            run=result.run,
            code=result.code,
            instance=result.instance,
            latency_s=latency_s,
            request_id=fields["X-Request-Id"],
            body=result.body,
            headers=result.headers,
        )

    def _addresses(self, service: str) -> list[str]:
        instances = self.lookup(service)["instances"]
        if not isinstance(instances, list):
            return []
        return [str(entry["address"]) for entry in instances][:MAX_TRIES]

    def _try(
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
            answer = self._http.request(
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
            return _no_answer(instance, headers, "not run")
        except urllib3.exceptions.HTTPError:
            return _no_answer(instance, headers, "outcome unknown")
        run = answer.headers.get("X-Verbena-Run", "")
        return CallResult(
            status=answer.status,
            run=run,
            code=str(answer.json().get("code", "")) if run else "",
            instance=instance,
            latency_s=0.0,
            request_id=headers["X-Request-Id"],
            body=answer.data,
            headers=dict(answer.headers),
        )


def _no_answer(instance: str, headers: dict[str, str], run: str) -> CallResult:
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
