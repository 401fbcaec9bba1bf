"""After rolling restarts, a request that crashes servers runs again and again.

Shows that a restarted instance does not learn which requests crash servers.
"""

import http.client
import signal
import socket
import subprocess
import sys
import threading
import time
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))

import deployment  # noqa: E402
from standin_server import StandinServer  # noqa: E402

FOLDER = Path(__file__).resolve().parent
KEY = "k-browse-0123456789"
POISON = "/browse/poison"
SERVERS = 12
# "The target is back after some seconds."
DOWN_S = 2.0
STABLE_S = deployment.BOUNDS["stableS"]
GRACE_S = deployment.BOUNDS["graceS"]
RESTART_DELAY_S = 0.3
# As roll_term of the site file: all machines, one at a time, 2 s apart.
GAP_S = 2.0
ROLLS_AT_S = (8.0, 30.0)
# The request comes in series; none falls into a rolling restart.
SERIES_S = ((0.0, 7.0), (20.0, 29.0), (42.0, 51.0))
END_S = 51.0
PAUSE_S = 0.3
MAX_RETRIES = 3


class CrashingServer(StandinServer):
    """Crashes when it begins to run the poison request, and comes back."""

    def __init__(self, *, server_id: str, store: deployment.Store) -> None:
        super().__init__(server_id=server_id, work_s=0.01)
        self._store = store
        self._starts = 0
        self._is_down = False
        self.crashes: list[tuple[float, str]] = []
        self.register()

    def register(self) -> None:
        """Write its entry, as a new incarnation under the same id."""
        self._starts += 1
        entry = deployment.server_entry(
            address=self.address,
            service_name="sokoni",
            zone="nbo-westlands",
            slots=self.slots,
        )
        entry["born"] += 60_000 * self._starts
        self._store.put(f"servers/{self.server_id}", entry)

    def accepts(self) -> bool:
        """Return whether it is up."""
        return not self._is_down

    def respond(self, sock: socket.socket, head: dict[str, str]) -> bool:
        """Answer a request, or crash."""
        if self._is_down:
            return False
        if head["path"] != POISON:
            return super().respond(sock, head)
        self._is_down = True
        self.crashes.append((time.monotonic(), head["request-id"]))
        self.reset_connections()
        threading.Timer(DOWN_S, self._come_back).start()
        return False

    def _come_back(self) -> None:
        self._is_down = False
        self.register()


@dataclass(frozen=True, kw_only=True)
class Sent:
    """A poison request, and how it ended; status 0 without an answer."""

    request_id: str
    at_s: float
    instance: str
    in_touch: bool
    status: int


class Caller:
    """Sends the poison request again and again, to each instance in turn."""

    def __init__(self, *, instances: list[deployment.Instance]) -> None:
        self._instances = instances
        self.sent: list[Sent] = []
        # When each instance was last stopped or started.
        self.changed_s = {i.name: time.monotonic() for i in instances}

    def run(self, *, started_s: float) -> None:
        """Send all series."""
        turn = 0
        while time.monotonic() < started_s + END_S:
            elapsed_s = time.monotonic() - started_s
            if not any(a <= elapsed_s < b for a, b in SERIES_S):
                time.sleep(0.05)
                continue
            turn += 1
            instance = self._instances[turn % len(self._instances)]
            at_s = time.monotonic()
            # A margin, so that no request is counted wrongly.
            since_s = at_s - self.changed_s[instance.name]
            in_touch = since_s > STABLE_S + 0.5
            request_id = f"poison-{turn}"
            self.sent.append(
                Sent(
                    request_id=request_id,
                    at_s=at_s,
                    instance=instance.name,
                    in_touch=in_touch,
                    status=_send(instance.front, POISON, request_id),
                )
            )
            time.sleep(max(0.0, at_s + PAUSE_S - time.monotonic()))


def _send(address: tuple[str, int], path: str, request_id: str) -> int:
    connection = http.client.HTTPConnection(*address, timeout=4)
    try:
        connection.request(
            "GET",
            path,
            headers={
                "Host": deployment.HOST,
                "Request-Id": request_id,
                "Deadline-Ms": "3000",
                "Key": KEY,
            },
        )
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()


def run(record: deployment.Record, disrupts: bool) -> bool:
    """Return whether the request reached servers in few enough retries."""
    with deployment.Deployment() as fleet:
        servers = []
        for number in range(SERVERS):
            server = CrashingServer(server_id=f"i-{number}", store=fleet.store)
            fleet.on_close(server.close)
            servers.append(server)
        fleet.publish(
            version=1,
            resources=[
                deployment.service(name="sokoni"),
                deployment.route(name="browse", maxAttempts=2),
                deployment.tenant(name="office", keys=[KEY]),
            ],
        )
        instances = fleet.start_instances(
            zones=["nbo-westlands", "nbo-industrial", "nbo-westlands"]
        )
        time.sleep(STABLE_S + 1.0)
        started_s = time.monotonic()
        caller = Caller(instances=instances)
        caller.changed_s = dict.fromkeys(caller.changed_s, 0.0)
        thread = threading.Thread(
            target=caller.run, kwargs={"started_s": started_s}
        )
        thread.start()
        if disrupts:
            for roll_at_s in ROLLS_AT_S:
                for number, instance in enumerate(instances):
                    stop_s = started_s + roll_at_s + number * GAP_S
                    time.sleep(max(0.0, stop_s - time.monotonic()))
                    threading.Thread(
                        target=_restart, args=(instance, caller, record)
                    ).start()
        thread.join(END_S + 10)
        return _check(record, servers, caller.sent, started_s)


def _restart(
    instance: deployment.Instance,
    caller: Caller,
    record: deployment.Record,
) -> None:
    """Stop an instance as the platform does, and start it again."""
    caller.changed_s[instance.name] = time.monotonic()
    record.write(f"SIGTERM to {instance.name}")
    instance.signal(signal.SIGTERM)
    try:
        instance.wait_for_end(timeout_s=GRACE_S)
    except subprocess.TimeoutExpired:
        instance.kill()
    time.sleep(RESTART_DELAY_S)
    instance.start()
    caller.changed_s[instance.name] = time.monotonic()
    record.write(f"{instance.name} started again")


def _check(
    record: deployment.Record,
    servers: list[CrashingServer],
    sent: list[Sent],
    started_s: float,
) -> bool:
    crashes = sorted(crash for server in servers for crash in server.crashes)
    reached = {request_id for _, request_id in crashes}
    third_s = crashes[2][0] if len(crashes) > 2 else float("inf")
    retries = 0
    for request in sent:
        is_retry = (
            request.in_touch
            and request.at_s > third_s + STABLE_S
            and request.request_id in reached
        )
        retries += is_retry
        record.write(
            f"{request.request_id} at {request.at_s - started_s:.3f} s to"
            f" {request.instance}: status {request.status},"
            f" crashed {sum(i == request.request_id for _, i in crashes)},"
            f" {'counts' if is_retry else 'does not count'}"
        )
    text = (
        f"{retries} retries reached servers from instances in touch, later"
        f" than {STABLE_S} s after the third crash; {MAX_RETRIES} are allowed"
    )
    record.write(text)
    print(text)
    return retries <= MAX_RETRIES


deployment.run_case(main=run, folder=FOLDER)
