"""Shows that SIGTERM cuts off requests that servers are working on.

Two regions have an instance each. Clients of one region keep their connections
and send further idempotent requests before the first one is answered. Their
instance gets SIGTERM and is started again, three times.
"""

import collections
import random
import signal
import socket
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from deployment import (  # noqa: E402
    BOUNDS,
    HOST,
    Deployment,
    Instance,
    configuration,
    route,
    run_case,
    service,
    wait_until,
)
from server import Head, Server, success  # noqa: E402

ROUNDS = 3
CLIENTS = 60
# Requests that a client sends at once.
SERIES = 3
# A client sends the next ones as soon as at most this many are unanswered.
MAX_WAITING = 2
WORK_RANGE_S = (0.05, 0.25)
DEADLINE_S = 3.0
CALM_S = 1.5
# Time in which an instance that has started again is known to the other one.
SETTLE_S = 3.0
BODY = b"a line of the price list " * 12


class Runs:
    """Requests that reached a server, and when."""

    def __init__(self) -> None:
        self.arrived_s: dict[str, float] = {}

    def run(self, sock: socket.socket, head: Head) -> bool:
        """Run a request at a server."""
        self.arrived_s[head["request-id"]] = time.monotonic()
        time.sleep(random.uniform(*WORK_RANGE_S))
        sock.sendall(success(head, BODY))
        return True


class Client:
    """Sends series of requests on a kept connection.

    :ivar cut: requests whose connection ended without an answer, and when.
    """

    def __init__(
        self, *, name: str, instances: list[Instance], ttl_factor: float
    ) -> None:
        self._name = name
        self._instances = instances
        self._ttl_factor = ttl_factor
        self._addresses: list[str] = []
        self._fresh_until_s = 0.0
        self._failed: set[str] = set()
        self._number = 0
        self._buffer = b""
        self.cut: list[tuple[str, float, str]] = []
        self.answered = 0
        self.connections: collections.Counter[str] = collections.Counter()

    def play(self, stop: threading.Event) -> None:
        """Send requests until told to stop.

        Each new connection goes to one of the addresses of the directory,
        picked at random among those that have not failed this client.
        """
        while not stop.is_set():
            sock = self._connect()
            if sock is not None:
                with sock:
                    self._buffer = b""
                    self._use(sock, stop)

    def _connect(self) -> socket.socket | None:
        if time.monotonic() >= self._fresh_until_s:
            self._resolve()
        usable = [a for a in self._addresses if a not in self._failed]
        address = random.choice(usable or self._addresses)
        host, _, port = address.partition(":")
        try:
            sock = socket.create_connection((host, int(port)), 1.0)
        except OSError:
            self._failed.add(address)
            return None
        sock.settimeout(DEADLINE_S)
        self.connections[address] += 1
        return sock

    def _resolve(self) -> None:
        for instance in self._instances:
            try:
                addresses, ttl_s = instance.resolve_with_ttl()
            except OSError:
                continue
            if addresses:
                self._addresses = addresses
                self._failed.clear()
                self._fresh_until_s = (
                    time.monotonic() + ttl_s * self._ttl_factor
                )
                return

    def _use(self, sock: socket.socket, stop: threading.Event) -> None:
        """Send series of requests until the connection ends.

        The next series is sent before all requests are answered.
        """
        waiting: list[str] = []
        try:
            while waiting or not stop.is_set():
                if len(waiting) <= MAX_WAITING and not stop.is_set():
                    series = [self._next_id() for _ in range(SERIES)]
                    waiting += series
                    sock.sendall(b"".join(_head(i) for i in series))
                is_closing = self._read_answer(sock)
                waiting.pop(0)
                self.answered += 1
                if is_closing:
                    # What was sent behind this answer counts as not read.
                    return
        except OSError as error:
            now_s = time.monotonic()
            self.cut += [(i, now_s, str(error)) for i in waiting]

    def _next_id(self) -> str:
        self._number += 1
        return f"{self._name}-{self._number:06d}"

    def _read_answer(self, sock: socket.socket) -> bool:
        while b"\r\n\r\n" not in self._buffer:
            self._receive(sock)
        head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        fields = head.decode("latin-1").lower().split("\r\n")
        length = next(
            int(f.split(":")[1]) for f in fields if f.startswith("content-le")
        )
        while len(self._buffer) < length:
            self._receive(sock)
        self._buffer = self._buffer[length:]
        return "connection: close" in fields

    def _receive(self, sock: socket.socket) -> None:
        piece = sock.recv(65536)
        if not piece:
            raise ConnectionResetError("the connection ended")
        self._buffer += piece


def _head(request_id: str) -> bytes:
    return (
        f"GET /prices/{request_id} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Request-Id: {request_id}\r\n"
        f"Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n\r\n"
    ).encode()


def play_round(
    *,
    deployment: Deployment,
    number: int,
    runs: Runs,
    with_trouble: bool,
) -> int:
    """Play one round; returns how many requests were cut off at a server."""
    first = deployment.instances[0]
    clients = [
        Client(
            name=f"{number}{n:02d}",
            instances=deployment.instances,
            # Some clients keep an answer three times as long.
            ttl_factor=1.0 if n % 3 else 3.0,
        )
        for n in range(CLIENTS)
    ]
    stop = threading.Event()
    threads = [
        threading.Thread(target=client.play, args=(stop,))
        for client in clients
    ]
    for thread in threads:
        thread.start()
    time.sleep(CALM_S)
    term_s = time.monotonic()
    assert first.process is not None
    if with_trouble:
        first.process.send_signal(signal.SIGTERM)
        deployment.record.write(f"SIGTERM to {first.name}")
        code = first.process.wait(15)
        took_s = time.monotonic() - term_s
        deployment.record.write(f"it ended with {code} after {took_s:.2f} s")
    else:
        time.sleep(3.0)
    stop.set()
    for thread in threads:
        thread.join()
    if with_trouble:
        first.start()
        wait_until(first.is_ready)
        time.sleep(SETTLE_S)
    grace_s = float(BOUNDS["graceS"])
    answered = sum(client.answered for client in clients)
    cut: collections.Counter[str] = collections.Counter()
    for client in clients:
        for request_id, at_s, reason in client.cut:
            arrived_s = runs.arrived_s.get(request_id)
            if arrived_s is None:
                cut["not passed on"] += 1
            elif term_s <= at_s <= term_s + grace_s + 1.0 or not with_trouble:
                cut["passed on"] += 1
                deployment.record.write(
                    f"{request_id} reached a server at"
                    f" {arrived_s - term_s:+.3f} s from the SIGTERM; {reason}"
                    f" at {at_s - term_s:+.3f} s"
                )
    connections: collections.Counter[str] = collections.Counter()
    for client in clients:
        connections.update(client.connections)
    deployment.record.write(f"connections: {dict(connections)}")
    deployment.record.write(
        f"round {number}: {answered} answers; without an answer:"
        f" {cut['passed on']} that were passed on to a server,"
        f" {cut['not passed on']} that were not"
    )
    return cut["passed on"]


def play(deployment: Deployment, with_trouble: bool) -> bool:
    """Play all rounds."""
    deployment.store.put(
        "op/config",
        configuration(3, route("prices", service="prices"), service("prices")),
    )
    runs = Runs()
    for number in range(1, 5):
        Server(
            deployment=deployment,
            server_id=f"i-{number}",
            service_name="prices",
            zone="north-a",
            slots=64,
            answer=runs.run,
        )
    deployment.start("north-a", "south-a")
    cut = [
        play_round(
            deployment=deployment,
            number=number,
            runs=runs,
            with_trouble=with_trouble,
        )
        for number in range(1, ROUNDS + 1)
    ]
    return not any(cut)


if __name__ == "__main__":
    run_case(folder=FOLDER, play=play)
