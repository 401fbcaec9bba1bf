"""An open-loop load generator based on eventlet.

Requests start when they are due, whether or not earlier ones have ended, so
that a slow system does not reduce the load that it is measured with.
"""

import random
import time
from collections.abc import Callable

import eventlet
import urllib3

from standins.caller import Caller, CallResult
from standins.load_plan import LoadPlan, LoadSample, LoadStream

# Further requests wait; their wait counts as latency.
MAX_IN_FLIGHT = 2000
DEADLINE_HEADER = "X-Request-Deadline-Ms"
SERVICE_UNAVAILABLE = 503


class LoadGenerator:
    """Sends the streams of a plan and records the result of each request.

    :param record: called with the sample of each request.
    """

    def __init__(
        self, plan: LoadPlan, record: Callable[[LoadSample], None]
    ) -> None:
        self._plan = plan
        self._record = record
        self._pool = eventlet.GreenPool(MAX_IN_FLIGHT)
        self._http = urllib3.PoolManager(
            num_pools=200, maxsize=64, retries=False
        )

    def run(self) -> None:
        """Send all streams and wait until their requests have ended."""
        end_s = time.monotonic() + self._plan.duration_s
        threads = [
            eventlet.spawn(self._send_stream, number, stream, end_s)
            for number, stream in enumerate(self._plan.streams)
        ]
        for thread in threads:
            thread.wait()
        self._pool.waitall()

    def _send_stream(
        self, number: int, stream: LoadStream, end_s: float
    ) -> None:
        rng = random.Random(f"{self._plan.seed}/{number}")
        caller = Caller(
            rng.sample(self._plan.instances, len(self._plan.instances)),
            stream.address,
            self._plan.keys[stream.workspace],
        )
        due_s = time.monotonic()
        while True:
            due_s += rng.expovariate(stream.rate_per_s)
            if due_s >= end_s:
                return
            eventlet.sleep(max(0.0, due_s - time.monotonic()))
            self._pool.spawn_n(self._send, stream, caller, due_s, rng)

    def _send(
        self,
        stream: LoadStream,
        caller: Caller,
        due_s: float,
        rng: random.Random,
    ) -> None:
        result = (
            self._send_to_target(stream, rng)
            if self._plan.targets
            else self._send_to_instance(stream, caller)
        )
        self._record(
            LoadSample(
                at_s=due_s,
                latency_s=time.monotonic() - due_s,
                workspace=stream.workspace,
                service=stream.service,
                status=result.status if result else 0,
                run=result.run if result else "",
                code=result.code if result else "no-instance",
            )
        )

    def _send_to_instance(
        self, stream: LoadStream, caller: Caller
    ) -> CallResult | None:
        headers = {DEADLINE_HEADER: str(stream.deadline_ms)}
        try:
            if stream.is_order:
                key = caller.idempotency_key(stream.service)
                headers["Idempotency-Key"] = key
            return caller.call(
                stream.service,
                method="POST" if stream.is_order else "GET",
                path=f"/?ms={stream.service_ms}",
                body=b"order" if stream.is_order else None,
                headers=headers,
                timeout_s=2 * stream.deadline_ms / 1000,
            )
        except ConnectionError:
            return None

    def _send_to_target(
        self, stream: LoadStream, rng: random.Random
    ) -> CallResult:
        target = rng.choice(self._plan.targets[stream.service])
        status, code = 0, ""
        try:
            response = self._http.request(
                "GET",
                f"http://{target}/?ms={stream.service_ms}",
                timeout=stream.deadline_ms / 1000,
            )
            status = response.status
        except urllib3.exceptions.HTTPError as error:
            code = type(error).__name__
        is_shed = status == SERVICE_UNAVAILABLE
        return CallResult(
            status=status,
            run="not run" if is_shed else "",
            code="shed" if is_shed else code,
            instance=target,
            latency_s=0.0,
            request_id="",
            body=b"",
            headers={},
        )
