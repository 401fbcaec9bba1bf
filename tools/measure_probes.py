"""Measures health probes and the spread of health changes in virtual time.

Each fleet size is run with shared probes. The result is compared with
unshared probes (the columns "old"), where each instance probes each target
that it uses. A change is spread in two ways: directly to all instances, and
by relays in each failure domain. Views of membership are fixed, so an
unreachable prober is not replaced during a run.

Usage: measure_probes.py [--sizes N ...] [--signs N] [--json FILE]
"""

import argparse
import json
import sys
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import mean

from health_harness import HealthFleet, fleet_members, fleet_targets
from verbenaworks.health_sender import MAX_DIRECT_MEMBERS
from verbenaworks.load_report import Health

# Regions, failure domains and targets, by the number of instances.
FLEET_SIZES = {
    11: (3, 6, 52),
    44: (4, 8, 100),
    330: (10, 31, 400),
    1300: (10, 31, 400),
}
SPREAD_TARGET_S = 3.0
IDLE_S = 8.0
CHANGE_DURATION_S = 4.0
# Unshared probes: at least 1.5 s between the rounds of an instance, and at
# most 10 rounds/s at a target; every fourth round also requests the load.
UNSHARED_PERIOD_S = 1.5
UNSHARED_MAX_PER_TARGET_PER_S = 10.0
UNSHARED_REQUESTS_PER_ROUND = 1.25
# Processor time of a probe at the instance that sends it.
PROBE_CPU_S = 0.001


@dataclass(frozen=True, kw_only=True, slots=True)
class SizeFigures:
    """Figures of one fleet size.

    :ivar spread_s: longest time from a health change until the last instance
        uses it.
    :ivar spread_one_dead_s: the same with one prober unreachable.
    :ivar spread_failing_s: the same for a failing target.
    """

    instances: int
    targets: int
    old_per_target_per_s: float
    per_target_per_s: float
    old_work_share: float
    worst_work_share: float
    mean_bytes_per_s: float
    worst_bytes_per_s: float
    old_spread_s: float
    spread_s: float
    spread_one_dead_s: float
    spread_failing_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class SpreadFigures:
    """Cost of spreading one target's health change by all its probers.

    :ivar busiest_messages: messages of the instance that sent most.
    """

    instances: int
    way: str
    messages: int
    sent_bytes: int
    busiest_messages: int
    spread_s: float


def measure(
    instances: int, signs: int
) -> tuple[SizeFigures, list[SpreadFigures]]:
    """Measure one fleet size."""
    regions, domains, targets = FLEET_SIZES[instances]
    fleet = HealthFleet(
        instances,
        fleet_members(instances, regions, domains),
        fleet_targets(targets, regions, domains),
        runs_membership=False,
    )
    fleet.run(2.0)
    requests = sum(fleet.target_probes.values())
    before = {
        name: (n.requests, n.sent_bytes + n.received_bytes)
        for name, n in fleet.nodes.items()
    }
    fleet.run(IDLE_S)
    rates = [
        (n.requests - before[name][0]) / IDLE_S
        for name, n in fleet.nodes.items()
    ]
    traffic = [
        (n.sent_bytes + n.received_bytes - before[name][1]) / IDLE_S
        for name, n in fleet.nodes.items()
    ]
    requests = sum(fleet.target_probes.values()) - requests
    spreads = _spreads(fleet, instances)
    ended = {s.way: s.spread_s for s in spreads}
    leaving = [
        _measure_change_s(fleet, 2 + n, Health.LEAVING) for n in range(signs)
    ]
    failing = [
        _measure_change_s(fleet, 2 + signs + n, Health.FAILING)
        for n in range(signs)
    ]
    one_dead = [
        _measure_change_s(fleet, 2 + 2 * signs + n, Health.LEAVING, dead=1)
        for n in range(signs)
    ]
    unshared_period_s = max(
        UNSHARED_PERIOD_S, instances / UNSHARED_MAX_PER_TARGET_PER_S
    )
    users = mean(
        sum(record.in_use for record in node.health._records.values())
        for node in fleet.nodes.values()
    )
    unshared_rounds_per_s = users / unshared_period_s
    figures = SizeFigures(
        instances=instances,
        targets=targets,
        old_per_target_per_s=(
            unshared_rounds_per_s
            * UNSHARED_REQUESTS_PER_ROUND
            * instances
            / targets
        ),
        per_target_per_s=requests / IDLE_S / targets,
        old_work_share=unshared_rounds_per_s
        * UNSHARED_REQUESTS_PER_ROUND
        * PROBE_CPU_S,
        worst_work_share=max(rates) * PROBE_CPU_S,
        mean_bytes_per_s=mean(traffic),
        worst_bytes_per_s=max(traffic),
        old_spread_s=unshared_period_s,
        spread_s=max([*leaving, *ended.values()]),
        spread_one_dead_s=max(one_dead),
        spread_failing_s=max(failing),
    )
    return figures, spreads


def _spreads(fleet: HealthFleet, instances: int) -> list[SpreadFigures]:
    """Spread one target's change directly and another's by relays."""
    figures = []
    ways = (("direct", instances), ("relays", 0))
    for number, (way, limit) in enumerate(ways):
        for node in fleet.nodes.values():
            node.health._sender._direct_limit = limit
        loads = _load_rate(fleet)
        messages = {n: x.sent_messages for n, x in fleet.nodes.items()}
        sent = sum(x.sent_bytes for x in fleet.nodes.values())
        spread_s = _measure_change_s(fleet, number, Health.LEAVING)
        counts = {
            name: node.sent_messages - messages[name]
            for name, node in fleet.nodes.items()
        }
        figures.append(
            SpreadFigures(
                instances=instances,
                way=way,
                # Without the load batches that are sent in the meantime.
                messages=round(
                    sum(counts.values()) - loads[0] * CHANGE_DURATION_S
                ),
                sent_bytes=round(
                    sum(x.sent_bytes for x in fleet.nodes.values())
                    - sent
                    - loads[1] * CHANGE_DURATION_S
                ),
                busiest_messages=max(counts.values()),
                spread_s=spread_s,
            )
        )
    for node in fleet.nodes.values():
        node.health._sender._direct_limit = MAX_DIRECT_MEMBERS
    return figures


def _load_rate(fleet: HealthFleet) -> tuple[float, float]:
    """Return the messages and bytes per second without health changes."""
    nodes = fleet.nodes.values()
    messages = sum(n.sent_messages for n in nodes)
    sent = sum(n.sent_bytes for n in nodes)
    fleet.run(IDLE_S)
    return (
        (sum(n.sent_messages for n in nodes) - messages) / IDLE_S,
        (sum(n.sent_bytes for n in nodes) - sent) / IDLE_S,
    )


def _measure_change_s(
    fleet: HealthFleet, number: int, health: Health, dead: int = 0
) -> float:
    """Return the time from a health change until all instances use it.

    :param dead: number of probers that are paused meanwhile.
    """
    # A step that divides no target count reaches targets of many domains.
    target = fleet.targets[number * 7 % len(fleet.targets)].name
    started_at_s = fleet.timers.now_s()
    fleet.state[target] = health
    # Paused instead of stopped, so that the next change has all instances.
    paused = fleet.probers(target)[:dead]
    for name in paused:
        fleet.pause(name, CHANGE_DURATION_S)
    fleet.run(CHANGE_DURATION_S)
    views = fleet.views(target)
    if any(
        views[name] is Health.OK
        for name in fleet.users(target)
        if name not in paused
    ):
        return float("inf")
    return (
        max(
            at_s
            for at_s, name, _ in fleet.health_changes[target]
            if name not in paused
        )
        - started_at_s
    )


def _print_sizes(rows: Sequence[SizeFigures]) -> None:
    print(
        "requests of probes per target and second; their work as a share of\n"
        "a core (1 ms each): mean of the old way, worst instance of the new;\n"
        "bytes/s of an instance in both directions; s from a sign to the\n"
        "last instance, worst of the signs shown (old: its period)"
    )
    print(
        "instances targets  /target/s old   new   work old     new"
        "   bytes/s mean worst   s old   new one dead failing"
    )
    for r in rows:
        print(
            f"{r.instances:9} {r.targets:7} {r.old_per_target_per_s:14.2f}"
            f" {r.per_target_per_s:5.2f} {r.old_work_share:10.2%}"
            f" {r.worst_work_share:7.2%} {r.mean_bytes_per_s:14.0f}"
            f" {r.worst_bytes_per_s:5.0f} {r.old_spread_s:7.1f}"
            f" {r.spread_s:5.2f} {r.spread_one_dead_s:8.2f}"
            f" {r.spread_failing_s:7.2f}"
        )


def _print_spreads(rows: Sequence[SpreadFigures]) -> None:
    print("\none target's sign, told by its three probers")
    print("instances way    messages     bytes busiest instance   s")
    for r in rows:
        print(
            f"{r.instances:9} {r.way:6} {r.messages:8} {r.sent_bytes:9}"
            f" {r.busiest_messages:16} {r.spread_s:5.2f}"
        )


def main() -> int:
    """Print the figures; return 1 if a change spreads too slowly."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--sizes", type=int, nargs="*", default=list(FLEET_SIZES)
    )
    parser.add_argument("--signs", type=int, default=4)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    sizes: list[SizeFigures] = []
    spreads: list[SpreadFigures] = []
    for instances in options.sizes:
        started_at_s = time.monotonic()
        figures, ways = measure(instances, options.signs)
        sizes.append(figures)
        spreads += ways
        print(
            f"{instances} instances: {time.monotonic() - started_at_s:.0f} s",
            file=sys.stderr,
        )
    _print_sizes(sizes)
    _print_spreads(spreads)
    if options.json:
        options.json.write_text(
            json.dumps(
                {
                    "sizes": [asdict(row) for row in sizes],
                    "spreads": [asdict(row) for row in spreads],
                },
                indent=1,
            )
        )
    worst_s = max(
        max(r.spread_s, r.spread_one_dead_s, r.spread_failing_s) for r in sizes
    )
    verdict = "met" if worst_s <= SPREAD_TARGET_S else "MISSED"
    print(
        f"\nlongest spread {worst_s:.2f} s,"
        f" target {SPREAD_TARGET_S} s: {verdict}"
    )
    return 0 if worst_s <= SPREAD_TARGET_S else 1


if __name__ == "__main__":
    sys.exit(main())
