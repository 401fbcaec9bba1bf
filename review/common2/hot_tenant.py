"""Clients of a tenant that sends many times its usual, and its limit."""

import contextlib
import http.client
import itertools
import json
import threading
import time
from collections import Counter
from random import Random

import deployment
from standin_server import StandinServer

KEY = "k-hot-0123456789ab"
RATE_PER_S = 100
BURST = 0
WINDOW_S = deployment.BOUNDS["quotaWindowS"]
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (
    1 + deployment.BOUNDS["quotaOverage"]
) + deployment.BOUNDS["quotaSlack"]
CLIENTS = 32
# As quota_x of the site file: the rate is 1.6 times the usual traffic.
USUAL_PER_S = RATE_PER_S / 1.6
# As hot_tenant of the site file: eight times the usual traffic.
HOT_FACTOR = 8.0

# When a request was sent, its id and the status of the answer; 0 for none.
Answer = tuple[float, str, int]


class Client(threading.Thread):
    """Looks up the instances and sends requests at a steady pace."""

    def __init__(
        self,
        *,
        number: int,
        region: str,
        directories: list[tuple[str, int]],
        hot_from_s: float,
        until_s: float,
        answers: list[Answer],
    ) -> None:
        super().__init__(daemon=True)
        self._number = number
        self._directories = directories
        self._hot_from_s = hot_from_s
        self._until_s = until_s
        self._answers = answers
        self._addresses: list[str] = []
        self._addresses_until_s = 0.0
        self._connection: http.client.HTTPConnection | None = None
        self._address = ""
        self._random = Random(number)
        self._region = region
        # The clients did not all start at the same moment.
        self._ttl_share = (number + 1) / CLIENTS

    def run(self) -> None:
        """Send requests until the end."""
        time.sleep(CLIENTS / USUAL_PER_S * self._number / CLIENTS)
        for turn in itertools.count():
            started_s = time.monotonic()
            pause_s = CLIENTS / USUAL_PER_S
            if started_s >= self._hot_from_s:
                pause_s /= HOT_FACTOR
            if started_s >= self._until_s:
                return
            self._look_up(started_s)
            request_id = f"r-{self._number}-{turn}"
            status = 0
            with contextlib.suppress(OSError, http.client.HTTPException):
                status = self._send(request_id)
            if not status:
                self._drop()
            self._answers.append((started_s, request_id, status))
            next_s = started_s + pause_s
            if started_s < self._hot_from_s < next_s:
                next_s = self._hot_from_s + pause_s * self._number / CLIENTS
            time.sleep(max(0.0, next_s - time.monotonic()))

    def _look_up(self, now_s: float) -> None:
        if now_s < self._addresses_until_s:
            return
        for directory in self._directories:
            with contextlib.suppress(OSError, http.client.HTTPException):
                connection = http.client.HTTPConnection(*directory, timeout=1)
                try:
                    connection.request(
                        "GET",
                        f"/-/resolve?name={deployment.HOST}"
                        f"&region={self._region}",
                    )
                    response = connection.getresponse()
                    body = response.read()
                finally:
                    connection.close()
                if response.status == 200:
                    data = json.loads(body)
                    self._addresses = data["addresses"]
                    self._addresses_until_s = (
                        now_s + self._ttl_share * (data["ttlS"])
                    )
                    # Some clients keep an answer three times as long.
                    self._ttl_share = 1.0 if self._number % 3 else 3.0
                    break
        if self._address not in self._addresses:
            self._drop()

    def _send(self, request_id: str) -> int:
        if self._connection is None:
            self._address = self._random.choice(self._addresses)
            host, _, port = self._address.rpartition(":")
            self._connection = http.client.HTTPConnection(
                host, int(port), timeout=3
            )
        self._connection.request(
            "GET",
            "/browse/1",
            headers={
                "Host": deployment.HOST,
                "Request-Id": request_id,
                "Deadline-Ms": "3000",
                "Key": KEY,
            },
        )
        response = self._connection.getresponse()
        response.read()
        if response.will_close:
            self._drop()
        return response.status

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def start_clients(
    *,
    instances: list[deployment.Instance],
    started_s: float,
    hot_from_s: float,
    end_s: float,
    answers: list[Answer],
) -> list[Client]:
    """Start the clients, spread over the regions.

    :param hot_from_s: when the tenant starts to send more, from the start.
    :param end_s: when the clients stop, from the start.
    """
    regions = sorted(set(deployment.ZONES.values()))
    clients = []
    for number in range(CLIENTS):
        region = regions[number % len(regions)]
        nearest = sorted(instances, key=lambda i: i.region != region)
        clients.append(
            Client(
                number=number,
                region=region,
                directories=[i.directory for i in nearest][:3],
                hot_from_s=started_s + hot_from_s,
                until_s=started_s + end_s,
                answers=answers,
            )
        )
    for client in clients:
        client.start()
    return clients


def open_deployment(
    *, fleet: deployment.Deployment, tenant: str
) -> list[StandinServer]:
    """Start servers in all zones, and publish a tenant with a limit."""
    servers = []
    for number, zone in enumerate(2 * list(deployment.ZONES)):
        server = StandinServer(server_id=f"i-{number}", work_s=0.01)
        fleet.on_close(server.close)
        servers.append(server)
        fleet.store.put(
            f"servers/{server.server_id}",
            deployment.server_entry(
                address=server.address,
                service_name="sokoni",
                zone=zone,
                slots=server.slots,
            ),
        )
    fleet.publish(
        version=1,
        resources=[
            deployment.service(name="sokoni"),
            deployment.route(name="browse"),
            deployment.tenant(
                name=tenant, keys=[KEY], ratePerS=RATE_PER_S, burst=BURST
            ),
        ],
    )
    return servers


def is_within_limit(
    *,
    record: deployment.Record,
    servers: list[StandinServer],
    answers: list[Answer],
    tenant: str,
    started_s: float,
) -> bool:
    """Return whether the tenant stayed within its limit."""
    sent_s = {request_id: at_s for at_s, request_id, _ in answers}
    statuses = Counter(status for *_, status in answers)
    record.write(f"answers by status: {dict(sorted(statuses.items()))}")
    runs = sorted(
        (sent_s[request_id], at_s)
        for server in servers
        for at_s, ran_for, request_id in server.runs
        if ran_for == tenant and request_id in sent_s
    )
    per_second = Counter(int(at_s - started_s) for _, at_s in runs)
    record.write(f"runs by second: {dict(sorted(per_second.items()))}")
    most, most_at_s = 0, 0.0
    for first_s, _ in runs:
        count = sum(
            first_s <= sent and ran <= first_s + WINDOW_S for sent, ran in runs
        )
        if count > most:
            most, most_at_s = count, first_s - started_s
    text = (
        f"most requests sent and run in {WINDOW_S} s: {most}, from"
        f" {most_at_s:.3f} s; allowed {ALLOWED:.0f}"
    )
    record.write(text)
    print(text)
    return most <= ALLOWED
