"""Callers of a fault run: reads, orders and their repetitions."""

import hashlib
import json
import os
import random
import threading
import time

import urllib3

from fault_recorder import Recorder
from standins.caller import Caller
from standins.history_event import RequestSent, ResponseReceived
from standins.local_deployment import LocalDeployment

REQUEST_TIMEOUT_S = 6.0
OVER_RATE = "small4"
# Sessions in each region; requests above the rate wait up to the deadline.
OVER_RATE_SESSIONS = 10
OVER_RATE_DEADLINE_MS = "300"
WITHDRAWN = "small3"


class Session:
    """Sends the requests of one workspace from one region."""

    def __init__(
        self,
        local: LocalDeployment,
        recorder: Recorder,
        workspace: str,
        region: str,
        rng: random.Random,
    ) -> None:
        known = [a.caller for a in local.instances.values()]
        rng.shuffle(known)
        key = local.settings.keys[workspace]
        self._key = key
        self._key_id = key.split("_")[1]
        self._caller = Caller(known, local.settings.addresses[region], key)
        self._known = known
        self._recorder = recorder
        self._workspace = workspace
        self._rng = rng
        self._http = urllib3.PoolManager(retries=False, maxsize=8)
        self._old_orders: list[tuple[str, bytes]] = []

    def step(self) -> None:
        """Send a read or an order with its repetitions."""
        if self._rng.random() < 0.6 or self._workspace == OVER_RATE:
            self._read()
        elif self._old_orders and self._rng.random() < 0.3:
            key, body = self._rng.choice(self._old_orders)
            self.send(self._any(), "orders", body=body, key=key)
        else:
            self._order()

    def crash_servers(self) -> None:
        """Send requests that crash the backend servers that run them."""
        for instance in self._known[:3]:
            self.send(instance, "uploads", query="?crash-this-server")
        body = b"crash-this-server"
        key = self._key_of_order()
        for instance in self._known:
            self.send(instance, "orders", body=body, key=key)

    def _any(self) -> str:
        return self._rng.choice(self._known)

    def _near(self, service: str) -> str:
        """Return the first instance of the lookup, mostly."""
        try:
            found = self._caller.lookup(service)["instances"]
        except ConnectionError:
            return self._any()
        if not isinstance(found, list) or not found:
            return self._any()
        if self._rng.random() < 0.3:
            return str(self._rng.choice(found)["address"])
        return str(found[0]["address"])

    def _read(self) -> None:
        service = self._rng.choice(("catalogue", "schedules"))
        size = self._rng.choice((None, None, None, 1000, 200_000))
        query = "" if size is None else f"?bytes={size}"
        self.send(self._near(service), service, query=query, size=size)

    def _key_of_order(self) -> str:
        if self._rng.random() < 0.7:
            try:
                return self._caller.idempotency_key("orders")
            except ConnectionError:
                pass
        return f"made-up-{self._rng.getrandbits(96):024x}"

    def _order(self) -> None:
        key = self._key_of_order()
        body = self._rng.randbytes(self._rng.choice((10, 300, 40_000)))
        self._old_orders.append((key, body))
        other = None
        if self._rng.random() < 0.3:
            other = threading.Thread(
                target=self.send,
                args=(self._any(), "orders"),
                kwargs={"body": body, "key": key},
            )
            other.start()
        self.send(self._near("orders"), "orders", body=body, key=key)
        if self._rng.random() < 0.5:
            self.send(self._any(), "orders", body=body, key=key)
        if other is not None:
            other.join()

    def send(
        self,
        instance: str,
        service: str,
        *,
        query: str = "",
        size: int | None = None,
        body: bytes = b"",
        key: str = "",
    ) -> None:
        """Send one request to one instance and record it."""
        request_id = os.urandom(8).hex()
        headers = {"X-Request-Id": request_id, "X-Verbena-Key": self._key}
        if key:
            headers["Idempotency-Key"] = key
        if self._workspace == OVER_RATE:
            headers["X-Request-Deadline-Ms"] = OVER_RATE_DEADLINE_MS
        self._recorder.add(
            RequestSent(
                at_s=time.monotonic(),
                request_id=request_id,
                workspace=self._workspace,
                key_id=self._key_id,
                service=service,
                instance=instance,
                idempotency_key=key,
                body_sha256=hashlib.sha256(body).hexdigest(),
                answer_bytes=size,
            )
        )
        try:
            answer = self._http.request(
                "POST" if key else "GET",
                f"http://{instance}/s/{service}/{query}",
                body=body or None,
                headers=headers,
                timeout=urllib3.Timeout(connect=1.0, read=REQUEST_TIMEOUT_S),
            )
        except urllib3.exceptions.HTTPError as error:
            self._end(request_id, 0, "", type(error).__name__, b"", {})
            return
        run = answer.headers.get("X-Verbena-Run", "")
        content: dict[str, str] = {}
        if size is None or answer.status != 200:
            content = _json_object(answer.data)
        else:
            content["request_id"] = answer.headers.get("X-Run-Id", "")
        code = content.get("code", "")
        self._end(request_id, answer.status, run, code, answer.data, content)

    def _end(
        self,
        request_id: str,
        status: int,
        run: str,
        code: str,
        body: bytes,
        content: dict[str, str],
    ) -> None:
        self._recorder.add(
            ResponseReceived(
                at_s=time.monotonic(),
                request_id=request_id,
                status=status,
                run=run,
                code=code,
                body_sha256=hashlib.sha256(body).hexdigest(),
                body_bytes=len(body),
                named_request_id=content.get("request_id", ""),
                named_body_sha256=content.get("body_sha256", ""),
            )
        )


def regions_of(local: LocalDeployment) -> list[str]:
    """Return the regions of a deployment, that of the store first."""
    return list(local.settings.addresses)


def callers_of(
    local: LocalDeployment, recorder: Recorder, rng: random.Random
) -> list[tuple[Session, float]]:
    """Return sessions, each with the longest pause between its steps."""
    plan = [
        (OVER_RATE, region, 0.0)
        for region in regions_of(local)
        for _ in range(OVER_RATE_SESSIONS)
    ]
    plan += [
        (workspace, region, 0.2)
        for workspace in ("large1", "small5", WITHDRAWN)
        for region in regions_of(local)
    ]
    return [
        (
            Session(
                local,
                recorder,
                workspace,
                region,
                random.Random(rng.getrandbits(64)),
            ),
            pause_s,
        )
        for workspace, region, pause_s in plan
    ]


def work(session: Session, pause_s: float, end_s: float) -> None:
    """Let a session send requests until a time."""
    rng = random.Random(pause_s)
    while time.monotonic() < end_s:
        session.step()
        time.sleep(rng.uniform(0.0, pause_s))


def _json_object(data: bytes) -> dict[str, str]:
    try:
        found = json.loads(data)
    except ValueError:
        return {}
    if not isinstance(found, dict):
        return {}
    return {key: str(value) for key, value in found.items()}
