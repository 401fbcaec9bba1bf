"""Shows a small deployment at work and under failures."""

import argparse
import collections
import socket
import sys
import time
from pathlib import Path

from standins.caller import Caller, CallResult
from standins.deployments import DEPLOYMENTS
from standins.local_deployment import LocalDeployment

INSTANCES = 4
BASE_PORTS = range(21000, 29000, 400)
WAIT_LIMIT_S = 12.0


class Demo:
    """The steps of the demo and their results."""

    def __init__(self, local: LocalDeployment) -> None:
        self._local = local
        self._rows: list[tuple[str, str, str]] = []
        self.failed = False

    def run(self) -> None:
        """Run all steps and print the table."""
        local = self._local
        began_s = time.monotonic()
        local.start()
        self._row(
            "start", f"{INSTANCES} instances, settings in force", began_s
        )
        first, second = local.deployment.services[:2]
        caller = self._caller("large1")
        self._first_call(caller, first.name)
        self._serve(caller, first.name)
        self._order(caller, second.name)
        self._edit(caller, first.name)
        self._withdraw_key()
        self._drain(first.name)
        self._kill(first.name)
        self._store_outage(first.name)
        self._print()

    def _caller(self, workspace: str) -> Caller:
        settings = self._local.settings
        return Caller(
            [a.caller for a in self._local.instances.values()],
            next(iter(settings.addresses.values())),
            settings.keys[workspace],
        )

    def _first_call(self, caller: Caller, service: str) -> None:
        """Wait until budgets are issued: a new owner waits for old grants."""
        began_s = time.monotonic()
        self._until(lambda: caller.call(service).status == 200)
        self._row("first keyed call", "answered", began_s)

    def _serve(self, caller: Caller, service: str) -> None:
        began_s = time.monotonic()
        results = [caller.call(service) for _ in range(200)]
        good = [r for r in results if r.status == 200]
        latencies = sorted(r.latency_s for r in good)
        self._check(len(good) == len(results), _codes(results))
        self._row(
            "calls",
            f"{len(good)} of {len(results)} answered, p50 "
            f"{latencies[len(latencies) // 2] * 1000:.1f} ms",
            began_s,
        )

    def _order(self, caller: Caller, service: str) -> None:
        began_s = time.monotonic()
        key = caller.idempotency_key(service)
        headers = {"Idempotency-Key": key}
        first = caller.call(service, "POST", "/orders", b"2 baskets", headers)
        again = caller.call(service, "POST", "/orders", b"2 baskets", headers)
        self._check(first.status == 200, f"order: {first.code}")
        self._check(first.body == again.body, f"resend: {again.code}")
        replayed = again.headers.get("X-Verbena-Replayed") == "1"
        self._row(
            "order sent twice",
            "ran once, the resend got the first answer"
            if replayed
            else f"resend: {again.status} {again.code}",
            began_s,
        )

    def _edit(self, caller: Caller, service: str) -> None:
        began_s = time.monotonic()
        self._local.verbena(
            "set", f"/services/{service}", "max_body_bytes=100", "--wait"
        )
        result = caller.call(service, "POST", "/", b"x" * 101)
        self._check(result.code == "body-too-large", result.code)
        self._row("live edit", f"in force: {result.code}", began_s)
        self._local.verbena(
            "unset", f"/services/{service}", "max_body_bytes", "--wait"
        )

    def _withdraw_key(self) -> None:
        caller = self._caller("small3")
        service = self._local.deployment.services[0].name
        self._check(caller.call(service).status == 200, "before withdrawal")
        key_id = self._local.settings.keys["small3"].split("_")[1]
        began_s = time.monotonic()
        self._local.verbena("key", "withdraw", key_id)
        self._until(lambda: caller.call(service).status == 401)
        self._row("key withdrawn", "refused: key-unknown", began_s)

    def _drain(self, service: str) -> None:
        caller = self._caller("large2")
        target = f"{service}/t1"
        began_s = time.monotonic()
        self._local.verbena(
            "drain", "start", f"/services/{service}/targets/t1", "--wait"
        )
        time.sleep(0.5)
        before = self._runs(target)
        results = [caller.call(service) for _ in range(100)]
        new = self._runs(target) - before
        self._check(new == 0, f"{new} runs on a draining target")
        self._check(all(r.status == 200 for r in results), _codes(results))
        self._row("target drained", f"{new} new runs of 100 calls", began_s)
        self._local.verbena("drain", "stop", f"/services/{service}/targets/t1")

    def _kill(self, service: str) -> None:
        caller = self._caller("large1")
        instances = caller.lookup(service)["instances"]
        name = instances[0]["name"]  # type: ignore[index]
        results: list[CallResult] = []
        began_s = time.monotonic()
        self._local.kill(name)
        while time.monotonic() < began_s + 4.0:
            results.append(caller.call(service))
            time.sleep(0.01)
        good = [r for r in results if r.status == 200]
        slowest_s = max(r.latency_s for r in results)
        self._check(len(good) == len(results), _codes(results))
        self._row(
            f"{name} killed",
            f"{len(good)} of {len(results)} calls answered, slowest "
            f"{slowest_s * 1000:.0f} ms",
            began_s,
        )
        began_s = time.monotonic()
        self._local.start_instance(name)
        self._local.wait_until_ready([name])
        self._row(f"{name} replaced", "ready", began_s)

    def _store_outage(self, service: str) -> None:
        caller = self._caller("large2")
        self._local.set_store_faults(down=True)
        began_s = time.monotonic()
        results = []
        while time.monotonic() < began_s + 5.0:
            results.append(caller.call(service))
            time.sleep(0.01)
        good = [r for r in results if r.status == 200]
        self._local.set_store_faults()
        self._check(len(good) == len(results), _codes(results))
        self._row(
            "store down for 5 s",
            f"{len(good)} of {len(results)} calls answered",
            began_s,
        )

    def _runs(self, target: str) -> int:
        url = f"{self._local.target_url(target)}/admin/history"
        return len(self._local.get_json(url))  # type: ignore[arg-type]

    def _until(self, is_done: object) -> None:
        end_s = time.monotonic() + WAIT_LIMIT_S
        while time.monotonic() < end_s:
            if callable(is_done) and is_done():
                return
            time.sleep(0.02)
        self._check(False, "not reached in time")

    def _check(self, passed: bool, detail: str) -> None:
        if not passed:
            self.failed = True
            print(f"demo: unexpected result: {detail}", file=sys.stderr)

    def _row(self, step: str, result: str, began_s: float) -> None:
        took_s = time.monotonic() - began_s
        self._rows.append((step, result, f"{took_s:.2f} s"))

    def _print(self) -> None:
        widths = [max(len(row[i]) for row in self._rows) for i in range(3)]
        for row in self._rows:
            print(
                "  ".join(
                    cell.ljust(width)
                    for cell, width in zip(row, widths, strict=True)
                ).rstrip()
            )


def _codes(results: list[CallResult]) -> str:
    counts = collections.Counter(
        f"{r.status} {r.code} {r.run}".strip() for r in results
    )
    return ", ".join(f"{text}: {n}" for text, n in counts.most_common())


def free_base_port() -> int:
    """Return the first base port whose next ports seem to be free."""
    for port in BASE_PORTS:
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) != 0:
                return port
    raise OSError("no range of free ports was found")


def main() -> int:
    """Run the demo and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--deployment", choices=sorted(DEPLOYMENTS), default="matunda"
    )
    parser.add_argument(
        "--no-links",
        action="store_true",
        help="leave out the delays and rates of the network",
    )
    arguments = parser.parse_args()
    logs = Path("out") / f"demo-{arguments.deployment}"
    local = LocalDeployment(
        DEPLOYMENTS[arguments.deployment],
        base_port=free_base_port(),
        instances=INSTANCES,
        log_directory=logs,
        links=not arguments.no_links,
    )
    demo = Demo(local)
    try:
        demo.run()
    finally:
        local.stop()
    print(f"logs: {logs}")
    return int(demo.failed)


if __name__ == "__main__":
    sys.exit(main())
