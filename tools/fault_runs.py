"""Runs seeded workloads under seeded faults and checks their histories.

Usage: fault_runs.py [FIRST_SEED [COUNT]]. SEED=n in the environment replays
one seed. FAULT_RUN_LOGS names a directory in which the logs of the processes
are kept. ``fault_plan.PLANS`` lists the faults of each seed: one fault, two
faults, or the same fault twice. The exit code is 1 if a run cannot be
completed, a checker finds a violation, or the log of an instance shows an
unhandled exception.
"""

import os
import random
import re
import socket
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from fault_callers import Session, make_sessions, region_names, run_session
from fault_operators import RevisionWatch
from fault_plan import PLANS, FaultPlan, faults_of_seed
from fault_recorder import Recorder
from standins.caller import Caller
from standins.deployments import MATUNDA
from standins.history_checkers import CHECKERS
from standins.history_event import (
    DrainStarted,
    EditAccepted,
    EditOutcomeUnknown,
    Event,
    History,
    KeyWithdrawn,
    RateSet,
    RequestSent,
    ResponseReceived,
    RunStarted,
    ShutdownEnded,
)
from standins.local_deployment import LocalDeployment

INSTANCES = 4
DURATION_S = 20.0
MAX_DEPLOYMENTS = 3
START_TIMEOUT_S = 90.0
# These ports are outside the ranges of the tests and the demo, and below the
# range that the operating system uses for outgoing connections.
BASE_PORTS = (*range(10000, 17000, 250), *range(29200, 32400, 250))
MAX_SHOWN_VIOLATIONS = 5


@dataclass
class RunResult:
    """History of a run and the violations that the checkers found.

    :ivar notes: faults that could not be applied.
    :ivar exceptions: unhandled exceptions in the logs of entry instances.
    """

    seed: int
    faults: tuple[str, ...]
    history: History
    counts: Counter[str]
    notes: list[str]
    violations: dict[str, list[str]] = field(default_factory=dict)
    exceptions: list[str] = field(default_factory=list)

    @property
    def failed(self) -> bool:
        """Whether there is a violation or an unhandled exception."""
        return bool(self.exceptions or any(self.violations.values()))

    def describe(self) -> str:
        """Return a report of several lines."""
        counts = ", ".join(f"{n} {k}" for k, n in sorted(self.counts.items()))
        lines = [f"SEED={self.seed} {'+'.join(self.faults)}: {counts}"]
        lines += [f"  note: {note}" for note in self.notes]
        lines += [f"  {line}" for line in _describe_last_runs(self.history)]
        for name, wrong in self.violations.items():
            verdict = f"{len(wrong)} VIOLATIONS" if wrong else "ok"
            lines.append(f"  {name}: {verdict}")
            lines += [f"    {line}" for line in wrong[:MAX_SHOWN_VIOLATIONS]]
        lines += [f"  unhandled: {line}" for line in self.exceptions]
        return "\n".join(lines)


def run(
    seed: int,
    faults: tuple[str, ...] | None = None,
    duration_s: float = DURATION_S,
) -> RunResult:
    """Run a seed on a new deployment and check its history."""
    faults = faults_of_seed(seed) if faults is None else faults
    with (
        tempfile.TemporaryDirectory() as temporary,
        _reserve_base_port() as base_port,
    ):
        directory = os.environ.get("FAULT_RUN_LOGS", temporary)
        logs = Path(directory) / f"seed-{seed}"
        local = LocalDeployment(
            MATUNDA,
            base_port=base_port,
            instances=INSTANCES,
            log_directory=logs,
        )
        try:
            local.start()
            result = _run(local, seed, faults, duration_s)
        finally:
            local.stop()
        result.exceptions = _find_logged_exceptions(logs)
    result.violations = {
        name: check(result.history) for name, check in CHECKERS.items()
    }
    return result


def _describe_last_runs(history: History) -> list[str]:
    """Return lines on the last run after each withdrawal and drain."""
    key_of = {
        event.request_id: event.key_id
        for event in history
        if isinstance(event, RequestSent)
    }
    lines = []
    for event in history:
        if isinstance(event, KeyWithdrawn):
            what, name = "key", event.key_id
        elif isinstance(event, DrainStarted):
            what, name = "target", event.target
        else:
            continue
        times_s = [
            run.at_s - event.at_s
            for run in history
            if isinstance(run, RunStarted)
            and name in (run.target, key_of.get(run.request_id))
        ]
        if times_s:
            lines.append(
                f"{what} {name}: {len(times_s)} runs, the last"
                f" {max(times_s):+.3f} s after the operator's edit"
            )
        else:
            lines.append(f"{what} {name}: no run at all")
    return lines


def _find_logged_exceptions(logs: Path) -> list[str]:
    """Return the unhandled exceptions in the logs of the entry instances."""
    lines = []
    for name in (f"e{number}" for number in range(1, INSTANCES + 1)):
        text = (logs / f"{name}.log").read_text(errors="replace")
        found = Counter(
            line
            for line in text.splitlines()
            if re.match(r"(\w+\.)*\w+(Error|Exception)\b", line)
        )
        lines += [f"{name}: {n} times {line}" for line, n in found.items()]
    return lines


def _run(
    local: LocalDeployment,
    seed: int,
    faults: tuple[str, ...],
    duration_s: float,
) -> RunResult:
    rng = random.Random(seed)
    recorder = Recorder()
    sessions = make_sessions(local, recorder, rng)
    crash_session = Session(
        local, recorder, "large2", region_names(local)[0], rng
    )
    plan = FaultPlan(local, recorder, rng, crash_session.crash_servers)
    _wait_for_service(local)
    watch = RevisionWatch(local, recorder)
    watch.start()
    end_s = time.monotonic() + duration_s
    threads = [
        threading.Thread(target=run_session, args=(session, pause_s, end_s))
        for session, pause_s in sessions
    ]
    for thread in threads:
        thread.start()
    for thread in (*plan.start(faults), *threads):
        thread.join()
    # A request that its caller gave up on may still reach a backend server.
    time.sleep(1.0)
    watch.settle()
    watch.stop()
    watch.record_value()
    events = [*recorder.events(), *_configured_rates(local)]
    sent = {e.request_id for e in events if isinstance(e, RequestSent)}
    events += [r for r in _fetch_backend_runs(local) if r.request_id in sent]
    return RunResult(
        seed=seed,
        faults=faults,
        history=tuple(sorted(events, key=lambda event: event.at_s)),
        counts=_count_events(events),
        notes=plan.notes,
    )


def _wait_for_service(local: LocalDeployment) -> None:
    """Wait until a request of a workspace without sessions succeeds."""
    caller = Caller(
        [a.caller for a in local.instances.values()],
        next(iter(local.settings.addresses.values())),
        local.settings.keys["small6"],
    )
    end_s = time.monotonic() + START_TIMEOUT_S
    while caller.call("catalogue").status != 200:
        if time.monotonic() > end_s:
            raise TimeoutError("no request is answered")
        time.sleep(0.1)


def _configured_rates(local: LocalDeployment) -> Iterator[RateSet]:
    for workspace in local.settings.keys:
        branch = local.settings.branches[f"/workspaces/{workspace}"]
        yield RateSet(
            at_s=0.0,
            workspace=workspace,
            rate_per_s=float(str(branch["rate_per_s"])),
            burst=float(str(branch["burst"])),
        )


def _fetch_backend_runs(local: LocalDeployment) -> Iterator[RunStarted]:
    end_s = time.monotonic() + START_TIMEOUT_S
    for name in local.target_ports:
        while not local.accepts_connections(name):
            if time.monotonic() > end_s:
                raise TimeoutError(f"{name} does not restart")
            time.sleep(0.05)
        runs = local.get_json(f"{local.target_url(name)}/admin/history")
        assert isinstance(runs, list)
        for found in runs:
            yield RunStarted(
                at_s=found["started_at_s"],
                request_id=found["request_id"],
                target=found["target"],
                idempotency_key=found["idempotency_key"],
                outcome=found["outcome"],
                body_sha256=found["body_sha256"],
                secrets_seen=tuple(found["secrets_seen"]),
            )


def _count_events(events: list[Event]) -> Counter[str]:
    counts: Counter[str] = Counter()
    for event in events:
        match event:
            case RequestSent():
                counts["sent"] += 1
            case RunStarted():
                counts["runs"] += 1
            case KeyWithdrawn():
                counts["keys withdrawn"] += 1
            case DrainStarted():
                counts["drains"] += 1
            case EditAccepted():
                counts["edits accepted"] += 1
            case EditOutcomeUnknown():
                counts["edits of unknown outcome"] += 1
            case ShutdownEnded():
                counts["shutdowns"] += 1
            case ResponseReceived(status=200):
                counts["answered"] += 1
            case ResponseReceived(status=0):
                counts["without answer"] += 1
            case ResponseReceived():
                counts[f"{event.run or 'other'} ({event.code})"] += 1
    return counts


@contextmanager
def _reserve_base_port() -> Iterator[int]:
    """Reserve a range of free ports that no other run of this tool uses."""
    candidates = list(BASE_PORTS)
    random.SystemRandom().shuffle(candidates)
    for base in candidates:
        with socket.socket() as reservation:
            try:
                # The deployment does not use this port, so that it can
                # serve as the lock of the range.
                reservation.bind(("127.0.0.1", base + 2))
                _check_ports_are_free(base)
            except OSError:
                continue
            yield base
            return
    raise RuntimeError("no range of ports is free")


def _check_ports_are_free(base: int) -> None:
    for port in (base, base + 1, *range(base + 10, base + 200)):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind(("127.0.0.1", port))


def main() -> int:
    """Run the seeds and return 1 if one of them fails."""
    first = int(sys.argv[1]) if len(sys.argv) > 1 else 0
    count = int(sys.argv[2]) if len(sys.argv) > 2 else len(PLANS)
    if "SEED" in os.environ:
        first, count = int(os.environ["SEED"]), 1
    has_failed = False
    with ProcessPoolExecutor(max_workers=MAX_DEPLOYMENTS) as pool:
        runs = {
            seed: pool.submit(run, seed)
            for seed in range(first, first + count)
        }
        for seed, future in runs.items():
            try:
                result = future.result()
            except (OSError, RuntimeError) as error:
                # A run that cannot be completed must not stop the others.
                print(f"SEED={seed} FAILED: {error!r}", flush=True)
                has_failed = True
                continue
            print(result.describe(), flush=True)
            has_failed |= result.failed
    return 1 if has_failed else 0


if __name__ == "__main__":
    sys.exit(main())
