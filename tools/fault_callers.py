"""Callers of a fault run, which send reads, orders and retries of orders."""

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
OVER_RATE_WORKSPACE = "small4"
OVER_RATE_SESSIONS_PER_REGION = 10
# A request above the rate limit waits until its deadline at most.
OVER_RATE_DEADLINE_MS = "300"
WITHDRAWN_KEY_WORKSPACE = "small3"


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
        instances = [a.caller for a in local.instances.values()]
        rng.shuffle(instances)
        key = local.settings.keys[workspace]
        self._key = key
        self._key_id = key.split("_")[1]
        self._caller = Caller(instances, local.settings.addresses[region], key)
        self._instances = instances
        self._recorder = recorder
        self._workspace = workspace
        self._rng = rng
        self._http = urllib3.PoolManager(retries=False, maxsize=8)
        self._past_orders: list[tuple[str, bytes]] = []

    def step(self) -> None:
        """Send a read, a new order with retries, or an old order again."""
        if self._rng.random() < 0.6 or self._workspace == OVER_RATE_WORKSPACE:
            self._send_read()
        elif self._past_orders and self._rng.random() < 0.3:
            key, body = self._rng.choice(self._past_orders)
            self.send(self._random_instance(), "orders", body=body, key=key)
        else:
            self._send_order()

    def crash_servers(self) -> None:
        """Send requests that crash the backend servers that run them."""
        for instance in self._instances[:3]:
            self.send(instance, "uploads", query="?crash-this-server")
        body = b"crash-this-server"
        key = self._make_idempotency_key()
        for instance in self._instances:
            self.send(instance, "orders", body=body, key=key)

    def _random_instance(self) -> str:
        return self._rng.choice(self._instances)

    def _nearest_instance(self, service: str) -> str:
        """Return an instance from the lookup, usually the first one."""
        try:
            found = self._caller.lookup(service)["instances"]
        except ConnectionError:
            return self._random_instance()
        if not isinstance(found, list) or not found:
            return self._random_instance()
        if self._rng.random() < 0.3:
            return str(self._rng.choice(found)["address"])
        return str(found[0]["address"])

    def _send_read(self) -> None:
        service = self._rng.choice(("catalogue", "schedules"))
        size = self._rng.choice((None, None, None, 1000, 200_000))
        query = "" if size is None else f"?bytes={size}"
        self.send(
            self._nearest_instance(service), service, query=query, size=size
        )

    def _make_idempotency_key(self) -> str:
        if self._rng.random() < 0.7:
            try:
                return self._caller.idempotency_key("orders")
            except ConnectionError:
                pass
        return f"made-up-{self._rng.getrandbits(96):024x}"

    def _send_order(self) -> None:
        key = self._make_idempotency_key()
        body = self._rng.randbytes(self._rng.choice((10, 300, 40_000)))
        self._past_orders.append((key, body))
        other = None
        if self._rng.random() < 0.3:
            other = threading.Thread(
                target=self.send,
                args=(self._random_instance(), "orders"),
                kwargs={"body": body, "key": key},
            )
            other.start()
        self.send(
            self._nearest_instance("orders"), "orders", body=body, key=key
        )
        if self._rng.random() < 0.5:
            self.send(self._random_instance(), "orders", body=body, key=key)
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
        if self._workspace == OVER_RATE_WORKSPACE:
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
            self._record_response(
                request_id, 0, "", type(error).__name__, b"", {}
            )
            return
        run = answer.headers.get("X-Verbena-Run", "")
        content: dict[str, str] = {}
        if size is None or answer.status != 200:
            content = _json_object(answer.data)
        else:
            content["request_id"] = answer.headers.get("X-Run-Id", "")
        code = content.get("code", "")
        self._record_response(
            request_id, answer.status, run, code, answer.data, content
        )

    def _record_response(
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


def region_names(local: LocalDeployment) -> list[str]:
    """Return the regions of a deployment; the store is in the first one."""
    return list(local.settings.addresses)


def make_sessions(
    local: LocalDeployment, recorder: Recorder, rng: random.Random
) -> list[tuple[Session, float]]:
    """Return sessions, each with the longest pause between two steps."""
    plan = [
        (OVER_RATE_WORKSPACE, region, 0.0)
        for region in region_names(local)
        for _ in range(OVER_RATE_SESSIONS_PER_REGION)
    ]
    plan += [
        (workspace, region, 0.2)
        for workspace in ("large1", "small5", WITHDRAWN_KEY_WORKSPACE)
        for region in region_names(local)
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


def run_session(session: Session, pause_s: float, end_s: float) -> None:
    """Let a session send requests until ``end_s``."""
    rng = random.Random(pause_s)
    while time.monotonic() < end_s:
        session.step()
        time.sleep(rng.uniform(0.0, pause_s))


def _json_object(data: bytes) -> dict[str, str]:
    try:
        parsed = json.loads(data)
    except ValueError:
        return {}
    if not isinstance(parsed, dict):
        return {}
    return {key: str(value) for key, value in parsed.items()}
