"""Shows a small deployment in normal operation and during failures."""

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
WAIT_TIMEOUT_S = 12.0


class Demo:
    """Runs the steps of the demo and collects their results."""

    def __init__(self, local: LocalDeployment) -> None:
        self._local = local
        self._rows: list[tuple[str, str, str]] = []
        self.failed = False

    def run(self) -> None:
        """Run all steps and print the table."""
        local = self._local
        started_at_s = time.monotonic()
        local.start()
        self._add_row(
            "start", f"{INSTANCES} instances, settings in force", started_at_s
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
        self._print_table()

    def _caller(self, workspace: str) -> Caller:
        settings = self._local.settings
        return Caller(
            [a.caller for a in self._local.instances.values()],
            next(iter(settings.addresses.values())),
            settings.keys[workspace],
        )

    def _first_call(self, caller: Caller, service: str) -> None:
        """Wait for the first response.

        A new budget owner grants nothing until earlier grants have expired.
        """
        started_at_s = time.monotonic()
        self._wait_until(lambda: caller.call(service).status == 200)
        self._add_row("first keyed call", "answered", started_at_s)

    def _serve(self, caller: Caller, service: str) -> None:
        started_at_s = time.monotonic()
        results = [caller.call(service) for _ in range(200)]
        succeeded = [r for r in results if r.status == 200]
        latencies = sorted(r.latency_s for r in succeeded)
        self._check(len(succeeded) == len(results), _codes(results))
        self._add_row(
            "calls",
            f"{len(succeeded)} of {len(results)} answered, p50 "
            f"{latencies[len(latencies) // 2] * 1000:.1f} ms",
            started_at_s,
        )

    def _order(self, caller: Caller, service: str) -> None:
        started_at_s = time.monotonic()
        key = caller.idempotency_key(service)
        headers = {"Idempotency-Key": key}
        first = caller.call(service, "POST", "/orders", b"2 baskets", headers)
        resent = caller.call(service, "POST", "/orders", b"2 baskets", headers)
        self._check(first.status == 200, f"order: {first.code}")
        self._check(first.body == resent.body, f"resend: {resent.code}")
        replayed = resent.headers.get("X-Verbena-Replayed") == "1"
        self._add_row(
            "order sent twice",
            "ran once, the resend got the first answer"
            if replayed
            else f"resend: {resent.status} {resent.code}",
            started_at_s,
        )

    def _edit(self, caller: Caller, service: str) -> None:
        started_at_s = time.monotonic()
        self._local.verbena(
            "set", f"/services/{service}", "max_body_bytes=100", "--wait"
        )
        result = caller.call(service, "POST", "/", b"x" * 101)
        self._check(result.code == "body-too-large", result.code)
        self._add_row("live edit", f"in force: {result.code}", started_at_s)
        self._local.verbena(
            "unset", f"/services/{service}", "max_body_bytes", "--wait"
        )

    def _withdraw_key(self) -> None:
        caller = self._caller("small3")
        service = self._local.deployment.services[0].name
        self._check(
            caller.call(service).status == 200,
            "call failed before the key was withdrawn",
        )
        key_id = self._local.settings.keys["small3"].split("_")[1]
        started_at_s = time.monotonic()
        self._local.verbena("key", "withdraw", key_id)
        self._wait_until(lambda: caller.call(service).status == 401)
        self._add_row("key withdrawn", "refused: key-unknown", started_at_s)

    def _drain(self, service: str) -> None:
        caller = self._caller("large2")
        target = f"{service}/t1"
        started_at_s = time.monotonic()
        self._local.verbena(
            "drain", "start", f"/services/{service}/targets/t1", "--wait"
        )
        time.sleep(0.5)
        runs_before = self._runs(target)
        results = [caller.call(service) for _ in range(100)]
        new_runs = self._runs(target) - runs_before
        self._check(new_runs == 0, f"{new_runs} runs on a draining target")
        self._check(all(r.status == 200 for r in results), _codes(results))
        self._add_row(
            "target drained", f"{new_runs} new runs of 100 calls", started_at_s
        )
        self._local.verbena("drain", "stop", f"/services/{service}/targets/t1")

    def _kill(self, service: str) -> None:
        caller = self._caller("large1")
        instances = caller.lookup(service)["instances"]
        name = instances[0]["name"]  # type: ignore[index]
        results: list[CallResult] = []
        started_at_s = time.monotonic()
        self._local.kill(name)
        while time.monotonic() < started_at_s + 4.0:
            results.append(caller.call(service))
            time.sleep(0.01)
        succeeded = [r for r in results if r.status == 200]
        slowest_s = max(r.latency_s for r in results)
        self._check(len(succeeded) == len(results), _codes(results))
        self._add_row(
            f"{name} killed",
            f"{len(succeeded)} of {len(results)} calls answered, slowest "
            f"{slowest_s * 1000:.0f} ms",
            started_at_s,
        )
        started_at_s = time.monotonic()
        self._local.start_instance(name)
        self._local.wait_until_ready([name])
        self._add_row(f"{name} replaced", "ready", started_at_s)

    def _store_outage(self, service: str) -> None:
        caller = self._caller("large2")
        self._local.set_store_faults(down=True)
        started_at_s = time.monotonic()
        results = []
        while time.monotonic() < started_at_s + 5.0:
            results.append(caller.call(service))
            time.sleep(0.01)
        succeeded = [r for r in results if r.status == 200]
        self._local.set_store_faults()
        self._check(len(succeeded) == len(results), _codes(results))
        self._add_row(
            "store down for 5 s",
            f"{len(succeeded)} of {len(results)} calls answered",
            started_at_s,
        )

    def _runs(self, target: str) -> int:
        url = f"{self._local.target_url(target)}/admin/history"
        return len(self._local.get_json(url))  # type: ignore[arg-type]

    def _wait_until(self, is_done: object) -> None:
        end_s = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < end_s:
            if callable(is_done) and is_done():
                return
            time.sleep(0.02)
        self._check(False, "timed out while waiting for the expected state")

    def _check(self, passed: bool, detail: str) -> None:
        if not passed:
            self.failed = True
            print(f"demo: unexpected result: {detail}", file=sys.stderr)

    def _add_row(self, step: str, result: str, started_at_s: float) -> None:
        elapsed_s = time.monotonic() - started_at_s
        self._rows.append((step, result, f"{elapsed_s:.2f} s"))

    def _print_table(self) -> None:
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
    """Return the first base port that is not in use.

    The ports after it are assumed to be free as well.
    """
    for port in BASE_PORTS:
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) != 0:
                return port
    raise OSError("every base port of the demo is in use")


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
