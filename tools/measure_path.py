"""Measures a whole deployment of real processes on this machine.

Eleven instances, the platform's stand-ins and all backend servers run on
127.0.0.1 without the delays of real links. The processor time of a request
is compared with that of a bare proxy of eventlet and urllib3 in the same run.

``--idle`` measures only the cost of idle instances, which takes about a
minute, and prints their bus traffic by type of message.

Usage: measure_path.py [--deployment NAME] [--idle] [--json FILE]
"""

import argparse
import http.client
import json
import os
import re
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path

import measure_edge
from demo import free_base_port
from sample_quantile import quantile
from standins.caller import Caller
from standins.deployments import DEPLOYMENTS
from standins.local_deployment import BOOTSTRAP_TOKEN, LocalDeployment
from verbenaworks.admin_messages import REVISION_HEADER

INSTANCES = 11
CALLERS = 8
REQUESTS_PER_CALLER = 400
LOOKUPS = 2000
EDITS = 15
WAIT_TIMEOUT_S = 60.0
IDLE_S = 10.0
# Grants for requests sent before a measurement expire within this time.
SETTLE_S = 12.0
_BUS_BYTES = re.compile(r"^verbenad_bus_bytes_total\S* (\S+)", re.M)
_BUS_TYPES = re.compile(
    r"^verbenad_bus_(sent|received)_(bytes|messages)_total"
    r'\{message="(\w+)"\} (\S+)',
    re.M,
)
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, kw_only=True, slots=True)
class Figure:
    """One measured figure beside its target and a baseline.

    :ivar target: highest value that meets the target; None if there is none.
    :ivar baseline: text about what the figure is compared with.
    """

    name: str
    figure: float
    unit: str
    target: float | None = None
    baseline: str = ""

    @property
    def is_met(self) -> bool | None:
        """Return whether the figure meets its target; None without target."""
        return None if self.target is None else self.figure <= self.target


class PathMeasurement:
    """The steps of the measurement; later steps depend on earlier ones."""

    def __init__(self, local: LocalDeployment) -> None:
        self._local = local
        self.figures: list[Figure] = []
        self._idle_share = 0.0

    def run_idle(self) -> None:
        """Measure idle instances only."""
        service = self._start()
        # Idle work includes what instances still do after earlier requests.
        key = self._local.settings.keys["large1"]
        for instance in self._local.instances.values():
            _send_requests(instance.caller, f"/s/{service}/", key, 1)
        time.sleep(SETTLE_S)
        before = self._bus_types()
        self._idle(3 * IDLE_S)
        for row, value in sorted(self._bus_types().items()):
            increase = value - before[row]
            direction, unit, message = row
            if increase:
                self._add(
                    f"{message}, {unit} {direction}, mean",
                    increase / (3 * IDLE_S) / len(self._local.instances),
                    "/s",
                )

    def run(self) -> None:
        """Run all steps."""
        service = self._start()
        self._idle()
        self._processor_time(service)
        self._lookup(service)
        self._edits()
        self._key_withdrawal(service)
        self._drain(service)
        self._kill_instance(service)

    def _start(self) -> str:
        """Start the deployment; return a service that responds."""
        self._local.start()
        caller = self._caller("large1")
        service = self._local.deployment.services[0].name
        _wait_until(lambda: caller.call(service).status == 200)
        return service

    def _caller(self, workspace: str, region: int = 0) -> Caller:
        settings = self._local.settings
        return Caller(
            [a.caller for a in self._local.instances.values()],
            list(settings.addresses.values())[region],
            settings.keys[workspace],
        )

    def _add(
        self,
        name: str,
        figure: float,
        unit: str,
        target: float | None = None,
        baseline: str = "",
    ) -> None:
        self.figures.append(
            Figure(
                name=name,
                figure=round(figure, 4),
                unit=unit,
                target=target,
                baseline=baseline,
            )
        )

    def _idle(self, duration_s: float = IDLE_S) -> None:
        """Measure the cost of control work while there are no requests."""
        calls = self._store_calls()
        before_s = [self._processor_s(name) for name in self._local.instances]
        before_bytes = self._bus_bytes()
        time.sleep(duration_s)
        sent = [
            (b - a) / duration_s
            for a, b in zip(before_bytes, self._bus_bytes(), strict=True)
        ]
        after_s = [self._processor_s(name) for name in self._local.instances]
        shares = [
            (b - a) / duration_s
            for a, b in zip(before_s, after_s, strict=True)
        ]
        self._idle_share = shares[0]
        count = len(shares)
        self._add("idle processor share, worst", max(shares) * 100, "%", 2.7)
        self._add("idle processor share, mean", sum(shares) / count * 100, "%")
        self._add(
            "bus traffic of an instance, worst", max(sent) / 1000, "KB/s", 3.0
        )
        self._add(
            "bus traffic of an instance, mean",
            sum(sent) / count / 1000,
            "KB/s",
        )
        self._add(
            "store calls by 11 instances",
            (self._store_calls() - calls) / duration_s,
            "/s",
            2000.0,
        )
        name = next(iter(self._local.instances))
        self._add(
            "resident size of an instance", self._resident_mb(name), "MB"
        )

    def _processor_time(self, service: str) -> None:
        self._local.verbena(
            *("set", "/workspaces/large1", "rate_per_s=100000"),
            *("burst=100000", "--wait"),
        )
        name = next(iter(self._local.instances))
        instance = self._local.instances[name].caller
        key = self._local.settings.keys["large1"]
        target_port = self._local.target_ports[f"{service}/t1"]
        bare = measure_edge.start_bare(target_port)
        try:
            bare_port = bare.result()["port"]
            _send_requests(f"127.0.0.1:{bare_port}", "/", key, 50)
            _send_requests(instance, f"/s/{service}/", key, 50)
            before_s = bare.processor_s()
            _send_requests(
                f"127.0.0.1:{bare_port}", "/", key, REQUESTS_PER_CALLER
            )
            bare_us = (bare.processor_s() - before_s) * 1e6
            before_s = self._processor_s(name)
            started_at_s = time.monotonic()
            latencies = _send_requests(
                instance, f"/s/{service}/", key, REQUESTS_PER_CALLER
            )
            path_us = (self._processor_s(name) - before_s) * 1e6
            idle_us = (
                self._idle_share * (time.monotonic() - started_at_s) * 1e6
            )
        finally:
            bare.close()
        total = CALLERS * REQUESTS_PER_CALLER
        self._add(
            "processor time per request, to bare proxy",
            path_us / bare_us,
            "x",
            1.3,
            f"path {path_us / total:.0f} us, bare {bare_us / total:.0f} us",
        )
        self._add(
            "the same without the work of an idle instance",
            (path_us - idle_us) / bare_us,
            "x",
        )
        self._add("latency p50", quantile(latencies, 0.5) * 1000, "ms")
        self._add("latency p99", quantile(latencies, 0.99) * 1000, "ms")

    def _lookup(self, service: str) -> None:
        name, instance = next(iter(self._local.instances.items()))
        connection = http.client.HTTPConnection(instance.caller, timeout=10)
        before_s = self._processor_s(name)
        started_at_s = time.monotonic()
        for number in range(LOOKUPS):
            connection.request(
                "GET",
                f"/v1/lookup?service={service}&address=10.0.0.{number % 250}",
            )
            connection.getresponse().read()
        spent_s = self._processor_s(name) - before_s
        idle_s = self._idle_share * (time.monotonic() - started_at_s)
        connection.close()
        self._add(
            "processor time per lookup, with HTTP and 24 blocks",
            spent_s / LOOKUPS * 1000,
            "ms",
            0.25,
        )
        self._add(
            "the same without the work of an idle instance",
            (spent_s - idle_s) / LOOKUPS * 1000,
            "ms",
        )

    def _edits(self) -> None:
        """Measure the time from accepting an edit until all apply it."""
        times_s = []
        for number in range(EDITS):
            text = self._local.verbena(
                *("set", "/workspaces/small4", f"rate_per_s={50 + number}"),
                *("burst=60", "--json"),
            )
            started_at_s = time.monotonic()
            revision = json.loads(text)["config_revision"]
            _wait_until(lambda r=revision: self._all_at(r))  # type: ignore[misc]
            times_s.append(time.monotonic() - started_at_s)
        self._add(
            "edit in force on 11 instances, median",
            quantile(times_s, 0.5),
            "s",
        )
        self._add(
            "edit in force on 11 instances, worst of 15",
            max(times_s),
            "s",
            2.0,
        )

    def _key_withdrawal(self, service: str) -> None:
        settings = self._local.settings
        key = settings.keys["small3"]
        headers = {"X-Verbena-Key": key}

        def works(address: str) -> bool:
            connection = http.client.HTTPConnection(address, timeout=10)
            try:
                connection.request("GET", f"/s/{service}/", headers=headers)
                return connection.getresponse().status != 401
            finally:
                connection.close()

        self._local.verbena("key", "withdraw", key.split("_")[1])
        started_at_s = time.monotonic()
        for instance in self._local.instances.values():
            _wait_until(lambda a=instance.caller: not works(a))  # type: ignore[misc]
        self._add(
            "withdrawn key refused by 11 instances",
            time.monotonic() - started_at_s,
            "s",
            5.0,
        )

    def _drain(self, service: str) -> None:
        """Measure how long requests reach a target that reports a failure."""
        target = f"{service}/t2"
        stop = threading.Event()
        key = self._local.settings.keys["large1"]
        threads = [
            threading.Thread(
                target=_send_until_stopped,
                args=(instance.caller, f"/s/{service}/", key, stop),
            )
            for instance in self._local.instances.values()
        ]
        for thread in threads:
            thread.start()
        time.sleep(2.0)
        self._local.set_target_faults(target, reported_healthy=False)
        faulty_at_s = time.monotonic()
        time.sleep(5.0)
        stop.set()
        for thread in threads:
            thread.join()
        url = f"{self._local.target_url(target)}/admin/history"
        runs = self._local.get_json(url)
        last_s = max(
            (run["started_at_s"] for run in runs),  # type: ignore[attr-defined, union-attr]
            default=faulty_at_s,
        )
        self._local.set_target_faults(target)
        self._add(
            "last new work after a health endpoint fails",
            max(0.0, last_s - faulty_at_s),
            "s",
            3.0,
        )

    def _kill_instance(self, service: str) -> None:
        caller = self._caller("large1")
        first = caller.lookup(service)["instances"][0]  # type: ignore[index]
        name = str(first["name"])
        self._local.kill(name)
        started_at_s = time.monotonic()
        results = []
        while time.monotonic() < started_at_s + 10.0:
            results.append(caller.call(service))
        failed = [r for r in results if r.status != 200]
        self._add(
            "calls not answered in 10 s after a kill",
            len(failed) / len(results) * 100,
            "%",
            baseline=f"{len(results)} calls",
        )
        self._add(
            "slowest call after a kill",
            max(r.latency_s for r in results),
            "s",
            5.0,
        )
        self._local.start_instance(name)
        self._add(
            "replaced instance ready",
            self._local.wait_until_ready([name]),
            "s",
            3.0,
        )

    def _bus_bytes(self) -> list[float]:
        """Return the bus bytes that each instance counted."""
        matches = [_BUS_BYTES.search(page) for page in self._metrics_pages()]
        return [float(match[1]) if match else 0.0 for match in matches]

    def _bus_types(self) -> Counter[tuple[str, str, str]]:
        """Return bus traffic by direction, unit and type of message."""
        totals: Counter[tuple[str, str, str]] = Counter()
        for page in self._metrics_pages():
            for direction, unit, message, value in _BUS_TYPES.findall(page):
                totals[direction, unit, message] += int(float(value))
        return totals

    def _metrics_pages(self) -> list[str]:
        pages = []
        for instance in self._local.instances.values():
            connection = http.client.HTTPConnection(
                instance.caller, timeout=10
            )
            connection.request("GET", "/metrics")
            pages.append(connection.getresponse().read().decode())
            connection.close()
        return pages

    def _all_at(self, revision: int) -> bool:
        """Return whether every live instance applies a revision."""
        url = "/v1/admin/config"
        headers = {"Authorization": f"Bearer {BOOTSTRAP_TOKEN}"}
        for instance in self._local.instances.values():
            connection = http.client.HTTPConnection(instance.admin, timeout=10)
            connection.request("GET", url, headers=headers)
            response = connection.getresponse()
            response.read()
            connection.close()
            if int(response.headers[REVISION_HEADER]) < revision:
                return False
        return True

    def _store_calls(self) -> int:
        calls = self._local.get_json(f"{self._local.store_url}/admin/calls")
        return calls["reads"] + calls["writes"]  # type: ignore[index]

    def _processor_s(self, name: str) -> float:
        pid = self._local.pid(name)
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
        user, system = fields.split()[11:13]
        return (int(user) + int(system)) / _TICKS_PER_S

    def _resident_mb(self, name: str) -> float:
        pages = Path(f"/proc/{self._local.pid(name)}/statm").read_text()
        return int(pages.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def _send_requests(
    address: str, path: str, key: str, requests: int
) -> list[float]:
    """Send requests from 8 callers; return the latencies in seconds."""
    latencies: list[float] = []

    def send() -> None:
        connection = http.client.HTTPConnection(address, timeout=30)
        for _ in range(requests):
            started_at_s = time.monotonic()
            connection.request("GET", path, headers={"X-Verbena-Key": key})
            response = connection.getresponse()
            response.read()
            if response.status != 200:
                raise SystemExit(
                    f"unexpected response status {response.status}"
                )
            latencies.append(time.monotonic() - started_at_s)
        connection.close()

    threads = [threading.Thread(target=send) for _ in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return latencies


def _send_until_stopped(
    address: str, path: str, key: str, stop: threading.Event
) -> None:
    connection = http.client.HTTPConnection(address, timeout=30)
    while not stop.is_set():
        connection.request("GET", path, headers={"X-Verbena-Key": key})
        connection.getresponse().read()
        time.sleep(0.02)
    connection.close()


def _wait_until(is_done: Callable[[], bool]) -> None:
    end_s = time.monotonic() + WAIT_TIMEOUT_S
    while not is_done():
        if time.monotonic() >= end_s:
            raise SystemExit(
                "timed out while waiting for a state of the deployment"
            )
        time.sleep(0.01)


def _print(figures: list[Figure]) -> None:
    for figure in figures:
        target = "" if figure.target is None else f"target {figure.target}"
        verdict = {None: "", True: "met", False: "MISSED"}[figure.is_met]
        print(
            f"{figure.name:52} {figure.figure:9.3f} {figure.unit:3} "
            f"{target:14} {verdict:7} {figure.baseline}".rstrip()
        )


def main() -> int:
    """Measure one deployment and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--deployment", choices=sorted(DEPLOYMENTS), default="matunda"
    )
    parser.add_argument("--idle", action="store_true")
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    local = LocalDeployment(
        DEPLOYMENTS[options.deployment],
        base_port=free_base_port(),
        instances=INSTANCES,
        log_directory=Path("out") / f"measure-{options.deployment}",
    )
    measurement = PathMeasurement(local)
    try:
        if options.idle:
            measurement.run_idle()
        else:
            measurement.run()
    finally:
        local.stop()
    _print(measurement.figures)
    if options.json:
        rows = [asdict(f) | {"is_met": f.is_met} for f in measurement.figures]
        options.json.write_text(json.dumps(rows, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
