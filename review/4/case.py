"""Shows that a request is never answered if a server truncates a refusal.

Two servers refuse requests while they are full, with a short body. One of them
truncates each 50th of its answers: the last 20 bytes of the body don't come,
and the connection stays open.
"""

import itertools
import socket
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from deployment import (  # noqa: E402
    HOST,
    Deployment,
    configuration,
    route,
    run_case,
    service,
)
from server import Head, Server, refusal, success  # noqa: E402

PLAY_S = 30.0
CLIENTS_PER_INSTANCE = 30
SLOTS = 3
QUEUE = 3
WORK_S = 0.1
# The share of its answers that a faulty server truncates is 1 in this many.
TRUNCATED_INTERVAL = 50
HELD_BACK_BYTES = 20
ROUTE_TIMEOUT_S = 1.5
DEADLINE_S = 4.0
# A request must be answered this long after its route's timeout.
SLACK_S = 0.5
# The rule is broken by this many requests, and more than this share.
MIN_UNANSWERED = 8
MAX_UNANSWERED_SHARE = 0.25
REFUSAL_BODY = b'{"error": "all slots of this server are taken"}'
SUCCESS_BODY = b"a page of the catalogue " * 20


class Answers:
    """Answers of one server."""

    def __init__(
        self, *, deployment: Deployment, name: str, is_faulty: bool
    ) -> None:
        self._deployment = deployment
        self._name = name
        self._is_faulty = is_faulty
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._slots = threading.Semaphore(SLOTS)
        self._present = 0
        self.counts = {"run": 0, "refused": 0, "truncated refusals": 0}

    def send(self, sock: socket.socket, head: Head) -> bool:
        """Run or refuse a request, and send the answer."""
        with self._lock:
            is_full = self._present >= SLOTS + QUEUE
            self._present += not is_full
        if is_full:
            data = refusal(head, body=REFUSAL_BODY)
        else:
            with self._slots:
                time.sleep(WORK_S)
            with self._lock:
                self._present -= 1
            data = success(head, SUCCESS_BODY)
        self.counts["refused" if is_full else "run"] += 1
        number = next(self._numbers)
        if self._is_faulty and number % TRUNCATED_INTERVAL == 0:
            self.counts["truncated refusals"] += is_full
            sock.sendall(data[:-HELD_BACK_BYTES])
            self._deployment.record.write(
                f"{self._name} truncated its {data[9:12].decode()} to"
                f" {head['request-id']} by {HELD_BACK_BYTES} bytes"
            )
            # Until the caller closes the connection.
            sock.recv(1)
            return False
        sock.sendall(data)
        return True


class Client:
    """Sends requests one after the other on a kept connection."""

    def __init__(
        self, *, front: tuple[str, int], name: str, deployment: Deployment
    ) -> None:
        self._front = front
        self._name = name
        self._record = deployment.record
        self._sock: socket.socket | None = None
        self.long: list[float] = []
        self.unanswered = 0
        self.sent = 0

    def play(self, end_s: float) -> None:
        """Send requests until the end."""
        while time.monotonic() < end_s:
            self._send(f"{self._name}-{self.sent:05d}")
            self.sent += 1
            time.sleep(0.05)

    def _send(self, request_id: str) -> None:
        head = (
            f"GET /pages/{request_id} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {request_id}\r\n"
            f"Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n\r\n"
        )
        started_s = time.monotonic()
        status = "no answer"
        try:
            if self._sock is None:
                self._sock = socket.create_connection(self._front, 1.0)
            self._sock.settimeout(DEADLINE_S)
            self._sock.sendall(head.encode())
            status = self._read()
        except OSError as error:
            self._close()
            status = f"no answer ({type(error).__name__})"
        took_s = time.monotonic() - started_s
        if took_s > ROUTE_TIMEOUT_S:
            is_late = took_s > ROUTE_TIMEOUT_S + SLACK_S
            self.unanswered += is_late
            self.long.append(took_s)
            self._record.write(f"{request_id}: {status} after {took_s:.2f} s")

    def _read(self) -> str:
        assert self._sock is not None
        data = b""
        while b"\r\n\r\n" not in data:
            data += self._receive()
        head, _, body = data.partition(b"\r\n\r\n")
        fields = head.decode("latin-1").lower().split("\r\n")
        length = next(
            int(f.split(":")[1]) for f in fields if f.startswith("content-le")
        )
        while len(body) < length:
            body += self._receive()
        if "connection: close" in fields:
            self._close()
        return head[9:12].decode()

    def _receive(self) -> bytes:
        assert self._sock is not None
        piece = self._sock.recv(65536)
        if not piece:
            raise ConnectionResetError("closed without an answer")
        return piece

    def _close(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None


def play(deployment: Deployment, with_trouble: bool) -> bool:
    """Let the clients send requests; count those without an answer."""
    record = deployment.record
    deployment.store.put(
        "op/config",
        configuration(
            3,
            route("pages", service="pages", timeoutS=ROUTE_TIMEOUT_S),
            service("pages"),
        ),
    )
    answers = {}
    for name, zone, is_faulty in (
        ("i-1", "north-a", False),
        ("i-2", "north-b", with_trouble),
    ):
        answers[name] = Answers(
            deployment=deployment, name=name, is_faulty=is_faulty
        )
        Server(
            deployment=deployment,
            server_id=name,
            service_name="pages",
            zone=zone,
            slots=SLOTS,
            answer=answers[name].send,
        )
    instances = deployment.start("north-a", "north-b")
    clients = [
        Client(
            front=instance.front,
            name=f"{instance.name[-1]}{number:02d}",
            deployment=deployment,
        )
        for instance in instances
        for number in range(CLIENTS_PER_INSTANCE)
    ]
    end_s = time.monotonic() + PLAY_S
    threads = [
        threading.Thread(target=client.play, args=(end_s,))
        for client in clients
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for name, server_answers in answers.items():
        record.write(f"{name}: {server_answers.counts}")
    long = sum(len(client.long) for client in clients)
    unanswered = sum(client.unanswered for client in clients)
    record.write(
        f"{sum(c.sent for c in clients)} requests, {long} took longer than"
        f" {ROUTE_TIMEOUT_S} s, {unanswered} of them had no answer"
        f" {SLACK_S} s later"
    )
    return (
        unanswered < MIN_UNANSWERED
        or unanswered <= MAX_UNANSWERED_SHARE * long
    )


if __name__ == "__main__":
    run_case(folder=FOLDER, play=play)
