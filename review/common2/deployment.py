"""A small deployment on loopback addresses: store, servers and instances."""

import contextlib
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "tests"))

from platform_store import PlatformStore  # noqa: E402

HOST = "shop.example"
# The zones of the small matunda site.
ZONES = {
    "nbo-westlands": "nairobi",
    "mba-nyali": "mombasa",
    "ksm-milimani": "kisumu",
    "nbo-industrial": "nairobi",
    "mba-changamwe": "mombasa",
    "ksm-kondele": "kisumu",
}
READY_TIMEOUT_S = 30.0
# Bounds of the small matunda site (SYSTEM.md).
BOUNDS = {
    "stableS": 3,
    "drainS": 2,
    "graceS": 6,
    "lossSlackS": 0.2,
    "configApplyS": 2,
    "strictRevoke": True,
    "revokeS": 5,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 60,
    "quotaWindowS": 5,
    "quotaOverage": 0.1,
    "quotaSlack": 20,
    "ttl_max_s": 5,
}


class Store(PlatformStore):
    """The stand-in of the platform's store, which can also be down."""

    def go_down(self) -> None:
        """Answer all calls with 503, also those that wait."""
        self.status = 503
        with self._changed:
            self._changed.notify_all()

    def come_back(self) -> None:
        """Serve calls again."""
        self.status = 200

    def _respond(
        self,
        handler: BaseHTTPRequestHandler,
        status: int,
        response: dict[str, Any],
    ) -> None:
        if self.status != 200:
            status, response = self.status, {}
        super()._respond(handler, status, response)


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Lines of what was sent, answered and run, with the time in seconds."""

    def __init__(self, *, path: Path) -> None:
        self._started_s = time.monotonic()
        self._file = path.open("w")

    def write(self, text: str) -> None:
        """Write a line."""
        now_s = time.monotonic() - self._started_s
        self._file.write(f"{now_s:8.3f} {text}\n")
        self._file.flush()


class Instance:
    """A process of the project, started as the deploy file says."""

    def __init__(
        self, *, name: str, zone: str, store_address: str, folder: Path
    ) -> None:
        self.name = name
        self.zone = zone
        self.region = ZONES[zone]
        ip = _free_ip()
        self.front = (ip, 8686)
        self.ready = (ip, 8680)
        self.directory = (ip, 8684)
        self._log_path = folder / f"{name}.log"
        self._settings_path = folder / f"{name}.json"
        settings = {
            "nodeName": name,
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge", "directory"],
            "ip": ip,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "listen": {
                "front": f"{ip}:8686",
                "ready": f"{ip}:8680",
                "directory": f"{ip}:8684",
            },
            "innerPorts": [7740, 7755],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.86,
                "cores": 1,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
            },
            "heartbeatS": 1.5,
            "bounds": BOUNDS,
            "platform": {"address": store_address, "form": "kv", "ttlMinS": 1},
        }
        self._settings_path.write_text(json.dumps(settings))
        self.start()

    def start(self) -> None:
        """Start the process."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "VERBENAWORKS_NODE_FILE": str(self._settings_path),
        }
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "verbena_platform.main"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal."""
        self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Whether the instance says that it is ready."""
        if self.process.poll() is not None:
            raise CaseError(f"{self.name} ended: {self.tail()}")
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection = http.client.HTTPConnection(*self.ready, timeout=1)
            try:
                connection.request("GET", "/-/ready")
                return connection.getresponse().status == 200
            finally:
                connection.close()
        return False

    def tail(self) -> str:
        """Return the end of its log."""
        return self._log_path.read_text()[-2000:]

    def log_lines(self) -> list[dict[str, Any]]:
        """Return its log lines."""
        lines = self._log_path.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def wait_for_end(self, *, timeout_s: float) -> None:
        """Wait until the process has ended."""
        self.process.wait(timeout_s)

    def kill(self) -> None:
        """End the process."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait(10)


class Deployment:
    """Store, servers and instances; a context that ends all of them."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self.store = Store()
        self.instances: list[Instance] = []
        self._closers: list[Callable[[], None]] = []

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(self, *_: object) -> None:
        for instance in self.instances:
            with contextlib.suppress(Exception):
                instance.kill()
        for close in self._closers:
            with contextlib.suppress(Exception):
                close()
        with contextlib.suppress(Exception):
            self.store.close()
        self._folder.cleanup()

    def on_close(self, close: Callable[[], None]) -> None:
        """Call a function at the end."""
        self._closers.append(close)

    def publish(
        self,
        *,
        version: int,
        resources: list[dict[str, Any]],
        max_body_bytes: int = 1 << 20,
    ) -> int:
        """Write a configuration as the operator does."""
        limits = entry(
            kind="limits",
            name="limits",
            spec={
                "maxHeaderBytes": 16384,
                "maxBodyBytes": max_body_bytes,
                "headerTimeoutS": 5,
                "idleTimeoutS": 10,
            },
        )
        document = {"version": version, "resources": [*resources, limits]}
        return self.store.put("op/config", document)

    def start_instances(self, *, zones: list[str]) -> list[Instance]:
        """Start an instance in each zone and wait until all are ready."""
        for number, zone in enumerate(zones):
            self.instances.append(
                Instance(
                    name=f"edge-{zone}-{number}",
                    zone=zone,
                    store_address=self.store.address,
                    folder=self.folder,
                )
            )
        wait_until(lambda: all(i.is_ready() for i in self.instances))
        count = len(zones)
        wait_until(lambda: len(self.store.keys("verbena/instances/")) == count)
        return self.instances


def entry(*, kind: str, name: str, spec: dict[str, Any]) -> dict[str, Any]:
    """Return an entry of the operator's configuration."""
    return {"entryKind": kind, "metadata": {"name": name}, "spec": spec}


def route(*, name: str, **fields: Any) -> dict[str, Any]:
    """Return a route."""
    spec: dict[str, Any] = {
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": "idempotent",
        "timeoutS": 3.0,
        "sloLatencyS": 0.4,
        "priority": 1,
        "service": "sokoni",
        "maxAttempts": 2,
        "public": False,
        "stickySessions": False,
        "homeRegions": [],
    }
    return entry(kind="routes", name=name, spec=spec | fields)


def service(*, name: str) -> dict[str, Any]:
    """Return a service."""
    return entry(
        kind="services",
        name=name,
        spec={
            "healthPath": "/health",
            "maxConns": 360,
            "coldStartS": 3.0,
            "coldPerS": 8,
        },
    )


def tenant(*, name: str, keys: list[str], **fields: Any) -> dict[str, Any]:
    """Return a tenant."""
    spec = {"apiKeys": keys, "priority": 1, "homeRegions": []}
    return entry(kind="tenants", name=name, spec=spec | fields)


def server_entry(
    *,
    address: str,
    service_name: str,
    zone: str,
    slots: int,
    sequence: int = 1,
    state: str = "ready",
) -> dict[str, Any]:
    """Return what a server writes into the store."""
    return {
        "address": address,
        "details": {
            "service": service_name,
            "version": "v1",
            "zone": zone,
            "slots": slots,
        },
        "status": {
            "state": state,
            "sequence": sequence,
            "coldRemainingS": 0,
        },
        "born": 1_700_000_000_000,
    }


def wait_until(
    condition: Callable[[], Any], *, timeout_s: float = READY_TIMEOUT_S
) -> None:
    """Wait until a condition holds.

    :raises CaseError: if it does not hold in time.
    """
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= end_s:
            raise CaseError("a condition did not hold in time")
        time.sleep(0.05)


def run_case(*, main: Callable[[Record, bool], bool], folder: Path) -> None:
    """Run a case and exit: 0 if the rule held, 1 if not, 2 without a result.

    :param main: gets the record and whether the disruption is on, and returns
        whether the rule held.
    """
    disrupts = os.environ.get("TROUBLE", "1") != "0"
    record = Record(path=folder / "record.txt")
    record.write(f"disruption: {'on' if disrupts else 'off'}")
    try:
        held = main(record, disrupts)
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    result = "the rule held" if held else "the rule was broken"
    record.write(result)
    print(result)
    sys.exit(0 if held else 1)


def _free_ip() -> str:
    """Return a loopback address on which the instance's ports are free."""
    for _ in range(50):
        ip = ".".join(
            ["127"] + [str(random.randint(2, 250)) for _ in range(3)]
        )
        with contextlib.ExitStack() as stack:
            try:
                for port in (8680, 8684, 8686, 7740, 9464):
                    sock = stack.enter_context(socket.socket())
                    sock.bind((ip, port))
            except OSError:
                continue
            return ip
    raise CaseError("no loopback address has free ports")
