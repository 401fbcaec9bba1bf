"""Measure the choice of target in a queueing model against baselines.

Prints a table with each figure and the value that it should reach; a missed
value is marked MISSED. The processor time depends on this machine and its
load.
"""

import argparse
import json
import time
from collections.abc import Mapping
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from random import Random
from typing import Any

from choice_model import (
    EXACT,
    EXCHANGE,
    HEADROOM_SHARE,
    HOT_WORKSPACE,
    Model,
    ModelUnitPool,
    Result,
    Scenario,
)
from standins.deployments import DEPLOYMENTS
from verbenaworks.attempt_outcome import Completed
from verbenaworks.choice_result import Choice, ChoiceRequest
from verbenaworks.target import TargetInfo
from verbenaworks.target_choice import TargetChoice
from verbenaworks.targets_by_distance import Location

BASELINES = ("random", "round robin", "least by reports")
LOADS = (0.5, 0.8, 0.95, 1.5, 3.0)
QUICK_LOADS = (0.8, 3.0)
GOODPUT_TARGET = 0.95
WORST_SHARE_TARGET = 0.95
# A share of the requests sent by workspaces within their fair share.
WRONGFUL_SHARE_TARGET = 0.001
CHOICE_TARGET_US = 50.0
LOST_REGION_DURATION_S = 20.0


def fair_shares(
    offered: Mapping[str, float], total: float
) -> dict[str, float]:
    """Divide ``total`` among workspaces by max-min fairness."""
    shares: dict[str, float] = {}
    remaining = total
    order = sorted(offered, key=lambda name: offered[name])
    for served_count, name in enumerate(order):
        shares[name] = min(
            offered[name], remaining / (len(order) - served_count)
        )
        remaining -= shares[name]
    return shares


def summarise(scenario: Scenario, result: Result) -> dict[str, Any]:
    """Return the figures of one simulated scenario."""
    latencies_s = sorted(result.latencies_s)
    fair = fair_shares(result.offered, result.capacity_work)
    judged_workspaces = [
        w for w in fair if not (scenario.hot and w == HOT_WORKSPACE)
    ]
    within_share = [w for w in fair if result.offered[w] <= fair[w] * 1.0001]
    sent = sum(result.requests[w] for w in within_share)
    wrongful = sum(result.unserved[w] for w in within_share)
    return {
        "deployment": scenario.deployment.name,
        "policy": scenario.policy,
        "load": scenario.load,
        "lost_region": scenario.lose_region,
        "hot": scenario.hot,
        "goodput_share": sum(result.good.values()) / result.capacity_work,
        "offered_share": sum(result.offered.values()) / result.capacity_work,
        "p50_ms": 1000 * latencies_s[len(latencies_s) // 2],
        "p99_ms": 1000 * latencies_s[int(len(latencies_s) * 0.99)],
        "peak_region_share": result.peak_region_share,
        "wrongful_share": wrongful / sent if sent else None,
        "worst_share": min(
            result.good[w] / fair[w] for w in judged_workspaces
        ),
        "queued_at_targets": result.queued_at_targets,
        "units": {
            name: count / result.units["limit"]
            for name, count in result.units.items()
        },
    }


def run(scenario: Scenario) -> dict[str, Any]:
    """Simulate one scenario and return its figures."""
    return summarise(scenario, Model(scenario).run())


def scenarios(*, quick: bool, seed: int) -> list[Scenario]:
    """Return the scenarios of one measurement."""
    found: list[Scenario] = []
    duration_s = 10.0 if quick else 16.0
    for deployment in list(DEPLOYMENTS.values())[: 1 if quick else 2]:
        for lose in (False, True):
            for load in QUICK_LOADS if quick else LOADS:
                scenario = Scenario(
                    deployment=deployment,
                    load=load,
                    lose_region=lose,
                    seed=seed,
                    duration_s=LOST_REGION_DURATION_S if lose else duration_s,
                    warm_up_s=8.0 if lose else 4.0,
                )
                found.append(scenario)
            found.append(replace(scenario, load=0.8, hot=True))
    return [
        replace(scenario, policy=policy)
        for scenario in found
        for policy in (EXCHANGE, EXACT, *BASELINES)
    ]


def choice_time_us(rounds: int = 20_000) -> float:
    """Return the processor time of one choice with 18 targets."""
    targets = tuple(
        TargetInfo(
            name=f"t{n}",
            service="stock",
            address="127.0.0.1:1",
            region=f"r{n % 3}",
            failure_domain=f"r{n % 3}-{n % 2}",
            slots=9,
            connections=400,
        )
        for n in range(18)
    )
    units, regions = ModelUnitPool(), ModelUnitPool()
    for target in targets:
        # No units in the nearest region, so that all targets are considered.
        units.granted[target.name] = 0 if target.region == "r0" else 9
        regions.granted[target.region] = 10_000
        units.allotted[target.name] = 9
    regions.allotted.update(regions.granted)
    choice = TargetChoice(
        place=Location(
            instance="i0",
            region="r0",
            failure_domain="r0-0",
            domain_delay_s=0.0005,
            region_delay_s=0.02,
        ),
        units=units,
        region_units=regions,
        random=Random(1),
    )
    request = ChoiceRequest(
        request_id="1", service="stock", workspace="w", deadline_s=1e9
    )
    spent_s = 0.0
    for number in range(rounds):
        now_s = number / 100
        started_at_s = time.process_time()
        found = choice.choose(now_s, request, targets)
        spent_s += time.process_time() - started_at_s
        if not isinstance(found, Choice):
            raise RuntimeError(f"no target in round {number}: {found}")
        choice.finish(now_s + 0.1, found, Completed())
    return spent_s / rounds * 1e6


def _verdict(met: bool) -> str:
    return "ok" if met else "MISSED"


def table_row(row: Mapping[str, Any]) -> str:
    """Return a row of the table, with the verdicts on its figures."""
    parts = [
        f"{row['deployment']:8}{row['load']:5.2f}"
        f" {'lost' if row['lost_region'] else '-':5}"
        f"{'hot' if row['hot'] else '-':4}{row['policy']:17}"
        f"{row['goodput_share']:8.3f}{row['p50_ms']:8.0f}{row['p99_ms']:8.0f}"
        f"{row['peak_region_share']:7.2f}"
    ]
    wrongful = row["wrongful_share"]
    parts.append("       -" if wrongful is None else f"{wrongful:8.4f}")
    parts.append(f"{row['worst_share']:7.3f}")
    if row["policy"] == EXCHANGE:
        parts.append("  " + "; ".join(judge(row)))
        parts.append(
            "; units of load: "
            + ", ".join(
                f"{name} {row['units'][name]:.2f}"
                for name in ("running", "load", "load without slots")
            )
        )
    return "".join(parts)


def judge(row: Mapping[str, Any]) -> list[str]:
    """Return the verdict on each figure that has a required value."""
    verdicts = [
        f"region <= 1: {_verdict(row['peak_region_share'] <= 1.0)}",
    ]
    if row["load"] >= 3.0:
        met = row["goodput_share"] >= GOODPUT_TARGET
        verdicts.append(f"goodput >= {GOODPUT_TARGET}: {_verdict(met)}")
    if row["hot"]:
        met = row["worst_share"] >= WORST_SHARE_TARGET
        verdicts.append(f"worst >= {WORST_SHARE_TARGET}: {_verdict(met)}")
    elif row["load"] < 1.0:
        met = row["wrongful_share"] <= WRONGFUL_SHARE_TARGET
        verdicts.append(
            f"wrongful <= {WRONGFUL_SHARE_TARGET}: {_verdict(met)}"
        )
    return verdicts


def main() -> None:
    """Run the measurement and print its table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--deployment", help="only this deployment")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--processes", type=int, default=4)
    arguments = parser.parse_args()
    print(
        "capacity = region limits"
        f" ({HEADROOM_SHARE} of the slots) / mean service time\n"
        "load: offered / capacity left; goodput: answers in time / capacity;"
        "\np50, p99: latency of the answers in time, ms; region: peak load /"
        " limit;\nwrongful: unanswered requests of workspaces inside their"
        " fair share;\nworst: worst-served workspace's part of its fair"
        " share (without the hot one)"
    )
    print(
        f"{'':8}{'load':>5} {'fault':5}{'':4}{'policy':17}{'goodput':>8}"
        f"{'p50':>8}{'p99':>8}{'region':>7}{'wrongful':>9}{'worst':>6}"
    )
    jobs = [
        job
        for job in scenarios(quick=arguments.quick, seed=arguments.seed)
        if arguments.deployment in (None, job.deployment.name)
    ]
    rows = []
    with ProcessPoolExecutor(arguments.processes) as executor:
        for row in executor.map(run, jobs):
            rows.append(row)
            print(table_row(row), flush=True)
    choice_us = choice_time_us()
    print(
        f"processor time per choice, 18 targets: {choice_us:.1f} us;"
        f" <= {CHOICE_TARGET_US} us:"
        f" {_verdict(choice_us <= CHOICE_TARGET_US)}"
    )
    if arguments.json:
        with open(arguments.json, "w") as file:
            json.dump({"runs": rows, "choice_us": choice_us}, file, indent=1)


if __name__ == "__main__":
    main()
