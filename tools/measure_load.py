"""Measures request steering under load with real processes.

Eleven instances, the platform's stand-ins and all backend servers of one
deployment run on 127.0.0.1. Open-loop callers in every region send Poisson
arrivals at a share of the deployment's capacity. Service times are those of
the queueing model in ``measure_choice.py`` times ``TIME_FACTOR``, because all
processes share one machine. The baseline sends the same load to backend
servers chosen at random, without entry instances.

Usage: measure_load.py [--deployment NAME] [--duration-s S] [--json FILE]
"""

import argparse
import json
import math
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from math import floor
from pathlib import Path

import msgspec

from demo import free_base_port
from load_summary import LoadSummary, peak_in_flight, summarize
from standins.deployments import DEPLOYMENTS
from standins.load_plan import LoadPlan, LoadSample, LoadStream
from standins.local_deployment import LocalDeployment

INSTANCES = 11
SEED = 1
TIME_FACTOR = 4.0
# Mean service time and deadline by the position of a service in its
# deployment, in seconds and before TIME_FACTOR.
SERVICE_TIMES_S = (0.1, 0.25, 1.0, 0.15)
DEADLINES_S = (1.0, 2.0, 8.0, 1.5)
HEADROOM_SHARE = 0.2
WARM_UP_S = 6.0
CALLERS_TIMEOUT_S = 120.0
# Share of the load that each of the two large workspaces sends.
LARGE_SHARE = 0.3
HOT_WORKSPACE = "large1"
HOT_FACTOR = 5.0
WRONGFUL_SHARE_TARGET = 0.001
WORST_SHARE_TARGET = 0.95


@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """One experiment.

    :ivar load: requests of all workspaces, as a share of capacity.
    :ivar is_hot: whether one workspace sends ``HOT_FACTOR`` times its rate.
    :ivar is_direct: whether requests bypass the entry instances (baseline).
    """

    load: float
    is_hot: bool = False
    is_direct: bool = False

    @property
    def name(self) -> str:
        """Return a short description."""
        parts = ["random, no entry" if self.is_direct else "verbena"]
        if self.is_hot:
            parts.append("hot")
        return ", ".join(parts)


SCENARIOS = (
    Scenario(load=0.5),
    Scenario(load=0.8),
    Scenario(load=0.8, is_direct=True),
    Scenario(load=0.95),
    Scenario(load=0.8, is_hot=True),
    Scenario(load=0.8, is_hot=True, is_direct=True),
    Scenario(load=1.5),
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """The figures of one scenario.

    :ivar offered_share: requests sent, as a share of capacity.
    :ivar region_share: highest load of a region, as a share of its limit.
    """

    scenario: str
    load: float
    offered_share: float
    goodput_share: float
    p50_ms: float
    p99_ms: float
    region_share: float
    wrongful_share: float
    worst_share: float
    codes: dict[str, int]

    def table_row(self) -> str:
        """Return the line to print."""
        return (
            f"{self.scenario:22} {self.load:5.2f} {self.offered_share:8.3f}"
            f" {self.goodput_share:8.3f} {self.p50_ms:7.0f}"
            f" {self.p99_ms:7.0f} {self.region_share:7.2f}"
            f" {self.wrongful_share:9.4f} {self.worst_share:6.3f}  "
            + ", ".join(f"{n} {k}" for k, n in sorted(self.codes.items()))
        )


class LoadExperiment:
    """Runs scenarios on one deployment."""

    def __init__(
        self, local: LocalDeployment, duration_s: float, directory: Path
    ) -> None:
        self._local = local
        self._duration_s = duration_s
        self._directory = directory
        services = local.deployment.services
        self._service_times_s = {
            service.name: TIME_FACTOR * service_s
            for service, service_s in zip(
                services, SERVICE_TIMES_S, strict=True
            )
        }
        self._deadlines_s = {
            service.name: TIME_FACTOR * deadline_s
            for service, deadline_s in zip(services, DEADLINES_S, strict=True)
        }
        self._capacity_per_s = {
            service.name: (1 - HEADROOM_SHARE)
            * service.targets
            * service.slots
            / self._service_times_s[service.name]
            for service in services
        }

    @property
    def capacity_per_s(self) -> float:
        """Return the requests per second that the regions' limits allow."""
        return sum(self._capacity_per_s.values())

    def prepare(self) -> None:
        """Set the deadlines, and rates that add up to the capacity."""
        for service, deadline_s in self._deadlines_s.items():
            self._local.verbena(
                *("set", f"/services/{service}", f"deadline_s={deadline_s}"),
                "--wait",
            )
        for name, share in self._load_shares().items():
            rate_per_s = max(1.0, share * self.capacity_per_s)
            self._local.verbena(
                *("set", f"/workspaces/{name}"),
                *(f"rate_per_s={rate_per_s:.1f}", f"burst={rate_per_s:.0f}"),
                "--wait",
            )

    def run(self, scenario: Scenario) -> Row:
        """Run one scenario."""
        started_at_s = time.monotonic()
        samples = [
            sample
            for sample in self._send(scenario)
            if sample.at_s >= started_at_s + WARM_UP_S
        ]
        measured_s = max((s.at_s for s in samples), default=math.nan) - (
            started_at_s + WARM_UP_S
        )
        summary = summarize(
            samples,
            duration_s=measured_s,
            deadlines_s=self._deadlines_s,
            over_rate=[HOT_WORKSPACE] if scenario.is_hot else (),
        )
        return self._row(
            scenario, summary, len(samples) / measured_s, started_at_s
        )

    def _row(
        self,
        scenario: Scenario,
        summary: LoadSummary,
        offered_per_s: float,
        started_at_s: float,
    ) -> Row:
        return Row(
            scenario=scenario.name,
            load=scenario.load,
            offered_share=offered_per_s / self.capacity_per_s,
            goodput_share=summary.goodput_per_s / self.capacity_per_s,
            p50_ms=summary.latency_ms[50],
            p99_ms=summary.latency_ms[99],
            region_share=self._region_share(started_at_s),
            wrongful_share=summary.wrongful_share,
            worst_share=summary.worst_share,
            codes=dict(summary.codes),
        )

    def _load_shares(self) -> dict[str, float]:
        names = list(self._local.settings.keys)
        large = [name for name in names if name.startswith("large")]
        small = [name for name in names if name not in large]
        small_share = (1 - LARGE_SHARE * len(large)) / len(small)
        return {
            name: LARGE_SHARE if name in large else small_share
            for name in names
        }

    def _streams(self, scenario: Scenario, address: str) -> list[LoadStream]:
        regions = len(self._local.settings.addresses)
        return [
            LoadStream(
                workspace=name,
                service=service.name,
                address=address,
                rate_per_s=(
                    share
                    * self._capacity_per_s[service.name]
                    * (
                        HOT_FACTOR
                        if scenario.is_hot and name == HOT_WORKSPACE
                        else scenario.load
                    )
                    / regions
                ),
                service_ms=round(self._service_times_s[service.name] * 1000),
                deadline_ms=round(self._deadlines_s[service.name] * 1000),
                is_order=not service.is_idempotent,
            )
            for name, share in self._load_shares().items()
            for service in self._local.deployment.services
        ]

    def _send(self, scenario: Scenario) -> Iterator[LoadSample]:
        """Run a process of callers for each region; yield their samples."""
        processes = []
        for region, address in self._local.settings.addresses.items():
            plan = LoadPlan(
                instances=tuple(
                    a.caller for a in self._local.instances.values()
                ),
                keys=self._local.settings.keys,
                streams=tuple(self._streams(scenario, address)),
                duration_s=WARM_UP_S + self._duration_s,
                seed=SEED,
                targets=self._targets() if scenario.is_direct else {},
            )
            path = self._directory / f"plan-{region}.json"
            out = self._directory / f"samples-{region}.jsonl"
            path.write_bytes(msgspec.json.encode(plan))
            processes.append((out, _start_callers(path, out)))
        for out, process in processes:
            process.wait(CALLERS_TIMEOUT_S)
            yield from msgspec.json.Decoder(LoadSample).decode_lines(
                out.read_bytes()
            )

    def _targets(self) -> dict[str, tuple[str, ...]]:
        addresses_by_service: dict[str, tuple[str, ...]] = {}
        for name, port in self._local.target_ports.items():
            service = name.split("/")[0]
            addresses_by_service[service] = (
                *addresses_by_service.get(service, ()),
                f"127.0.0.1:{port}",
            )
        return addresses_by_service

    def _region_share(self, started_at_s: float) -> float:
        """Return the highest load of a region as a share of its limit."""
        slots_by_region: dict[str, int] = {}
        runs = []
        for service in self._local.deployment.services:
            service_s = self._service_times_s[service.name]
            for number in range(1, service.targets + 1):
                name = f"{service.name}/t{number}"
                region = self._local.region_of(name)
                slots_by_region[region] = (
                    slots_by_region.get(region, 0) + service.slots
                )
                history = self._local.get_json(
                    f"{self._local.target_url(name)}/admin/history"
                )
                assert isinstance(history, list)
                runs += [
                    (
                        region,
                        run["started_at_s"],
                        run["started_at_s"] + service_s,
                    )
                    for run in history
                    if run["started_at_s"] >= started_at_s
                ]
        peaks = peak_in_flight(runs)
        return max(
            peaks.get(region, 0) / (slots - floor(slots * HEADROOM_SHARE))
            for region, slots in slots_by_region.items()
        )


def _start_callers(plan: Path, out: Path) -> "subprocess.Popen[bytes]":
    return subprocess.Popen(
        [
            *(sys.executable, "-m", "standins", "load"),
            *("--plan", str(plan), "--out", str(out)),
        ],
        stdin=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


def measure(deployment: str, duration_s: float) -> list[Row]:
    """Run all scenarios and print a line for each."""
    with tempfile.TemporaryDirectory() as directory:
        local = LocalDeployment(
            DEPLOYMENTS[deployment],
            base_port=free_base_port(),
            instances=INSTANCES,
            log_directory=Path(directory) / "logs",
        )
        rows = []
        try:
            local.start()
            experiment = LoadExperiment(local, duration_s, Path(directory))
            experiment.prepare()
            print(
                f"{deployment}: capacity {experiment.capacity_per_s:.0f}/s,"
                f" {duration_s:.0f} s each after {WARM_UP_S:.0f} s\n"
                "scenario                load  offered  goodput     p50"
                "     p99  region  wrongful  worst  not answered in time"
            )
            for scenario in SCENARIOS:
                rows.append(experiment.run(scenario))
                print(rows[-1].table_row(), flush=True)
        finally:
            local.stop()
    return rows


def main() -> int:
    """Run the measurement."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--deployment", default="matunda", choices=DEPLOYMENTS)
    parser.add_argument("--duration-s", type=float, default=20.0)
    parser.add_argument("--json", type=Path)
    arguments = parser.parse_args()
    rows = measure(arguments.deployment, arguments.duration_s)
    print(
        f"targets: region <= 1; wrongful <= {WRONGFUL_SHARE_TARGET}"
        " below capacity;"
        f" worst >= {WORST_SHARE_TARGET} with a hot workspace"
    )
    if arguments.json:
        arguments.json.write_text(
            json.dumps([asdict(row) for row in rows], indent=2)
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
