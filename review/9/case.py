"""Uploads that the configuration allows are refused on kept connections.

Shows that a connection keeps the limits that were in force when it was opened.
"""

import http.client
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))

import deployment  # noqa: E402
from standin_server import StandinServer  # noqa: E402

FOLDER = Path(__file__).resolve().parent
KEY = "k-farmer-0123456789"
# As req_bytes of manifest-upload in the site file: 60,000 on average, 360,000
# at most.
SMALL_BODY = b"p" * 30_000
LARGE_BODY = b"p" * 300_000
SMALL_LIMIT = 65_536
LARGE_LIMIT = 1 << 20
CLIENTS = 40
ROUNDS_BEFORE = 2
ROUNDS_AFTER = 20
APPLY_S = deployment.BOUNDS["configApplyS"]


class Client:
    """A client that keeps its connection between its uploads."""

    def __init__(self, *, number: int, address: tuple[str, int]) -> None:
        self._number = number
        self._address = address
        self._turn = 0
        self._connection: http.client.HTTPConnection | None = None

    def upload(self, body: bytes) -> int:
        """Upload a body and return the status; 0 without an answer."""
        self._turn += 1
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                *self._address, timeout=10
            )
        try:
            self._connection.request(
                "POST",
                "/upload/1",
                body=body,
                headers={
                    "Host": deployment.HOST,
                    "Request-Id": f"r-{self._number}-{self._turn}",
                    "Deadline-Ms": "4000",
                    "Key": KEY,
                },
            )
            response = self._connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            self._drop()
            return 0
        if response.will_close:
            self._drop()
        return response.status

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None


def _resources() -> list[dict[str, object]]:
    return [
        deployment.service(name="pakia"),
        deployment.route(
            name="upload",
            kind="upload",
            service="pakia",
            timeoutS=4.0,
            maxAttempts=1,
        ),
        deployment.tenant(name="farmers", keys=[KEY]),
    ]


def run(record: deployment.Record, disrupts: bool) -> bool:
    """Return whether the proper uploads were let through."""
    with deployment.Deployment() as fleet:
        for number in range(4):
            server = StandinServer(server_id=f"i-{number}", work_s=0.005)
            fleet.on_close(server.close)
            fleet.store.put(
                f"servers/{server.server_id}",
                deployment.server_entry(
                    address=server.address,
                    service_name="pakia",
                    zone="nbo-westlands",
                    slots=server.slots,
                ),
            )
        # Without the disruption, the larger limit is in force from the start.
        first_limit = SMALL_LIMIT if disrupts else LARGE_LIMIT
        fleet.publish(
            version=1, resources=_resources(), max_body_bytes=first_limit
        )
        instance = fleet.start_instances(zones=["nbo-westlands"])[0]
        clients = [
            Client(number=number, address=instance.front)
            for number in range(CLIENTS)
        ]
        before = Counter(
            client.upload(SMALL_BODY)
            for _ in range(ROUNDS_BEFORE)
            for client in clients
        )
        record.write(f"statuses under version 1: {dict(before)}")
        fleet.publish(
            version=2, resources=_resources(), max_body_bytes=LARGE_LIMIT
        )
        record.write("version 2 acknowledged")
        time.sleep(APPLY_S + 1.0)
        after: Counter[int] = Counter()
        for turn in range(ROUNDS_AFTER):
            statuses = Counter(client.upload(LARGE_BODY) for client in clients)
            record.write(f"round {turn} under version 2: {dict(statuses)}")
            after += statuses
        total = (before + after).total()
        denied = after[413]
        allowed = 5 + total / 500
        text = (
            f"{denied} of {total} requests ended with 413;"
            f" {allowed:.1f} are allowed"
        )
        record.write(text)
        print(text)
        return denied <= allowed


deployment.run_case(main=run, folder=FOLDER)
