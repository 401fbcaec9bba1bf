"""Measure agreement and membership in virtual time against their targets.

Message sizes are those of the encoded messages, without the headers of the
transport. Bytes and messages of an instance count both directions.
"""

import argparse
import json
import sys
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from agreement_harness import STORE, Cluster
from membership_harness import MemberNetwork
from sample_quantile import quantile
from verbenaworks.member import Member, MemberState

Row = dict[str, Any]

# One-way latencies in seconds: between failure domains of a region, and
# between regions.
_LATENCIES_S = {"matunda": (0.0015, 0.012), "toile": (0.0005, 0.020)}
_SAME_DOMAIN_LATENCY_S = 0.0003
_INSTANCES_PER_DOMAIN = 42


def make_layout(size: int) -> tuple[tuple[str, str, str], ...]:
    """Return names, regions and failure domains.

    Up to 252 instances have six domains in three regions; larger fleets
    have one domain per 42 instances, in up to ten regions.
    """
    domains = max(6, -(-size // _INSTANCES_PER_DOMAIN))
    regions = 3 if domains == 6 else min(10, domains // 3)
    return tuple(
        (
            f"i{n % domains:02d}-{n // domains:04d}",
            f"r{n % domains % regions:02d}",
            f"d{n % domains:02d}",
        )
        for n in range(size)
    )


class MeasuredCluster(Cluster):
    """A cluster with the latencies of a deployment and fixed members."""

    def __init__(self, size: int, deployment: str, seed: int = 1) -> None:
        self.domain_latency_s, self.region_latency_s = _LATENCIES_S[deployment]
        self.locations = {n: (r, d) for n, r, d in make_layout(size)}
        self.locations[STORE] = ("r00", "d00")
        self.traffic: Counter[str] = Counter()
        self.traffic_messages: Counter[str] = Counter()
        self.has_members = False
        super().__init__(seed, names=make_layout(size))

    def delay_s(self, sender: str, receiver: str) -> float:
        """Return the latency between two nodes, with up to 20% of jitter."""
        a, b = self.locations[sender], self.locations[receiver]
        latency_s = (
            self.region_latency_s if a[0] != b[0] else self.domain_latency_s
        )
        if a == b:
            latency_s = _SAME_DOMAIN_LATENCY_S
        return latency_s * self.rng.uniform(1.0, 1.2)

    def _region(self, name: str) -> str:
        return self.locations[name][0]

    def count_message(self, sender: str, receiver: str, size: int) -> None:
        """Count a message at its sender and at its receiver."""
        for name in (sender, receiver):
            self.traffic[name] += size
            self.traffic_messages[name] += 1

    def observe(self) -> None:
        """Record nothing; the measurements read the state of the instances."""

    def update_members(self) -> None:
        """Give every new instance the list of all members.

        Membership is fixed here: failures are not detected.
        """
        running = [
            Member(
                name=node.name,
                incarnation=node.incarnation,
                region=node.region,
                failure_domain=node.failure_domain,
                fresh=True,
            )
            for node in self.nodes.values()
        ]
        for node in self.nodes.values():
            if node.name not in node.last_contact_s:
                node.last_contact_s[node.name] = 0.0
                node.agreement.set_members(running)

    def settle(self) -> None:
        """Start all instances and wait until they are fresh."""
        self.start_all()
        self.timers.advance(12.0)
        stale = [n for n, node in self.nodes.items() if not is_fresh(node)]
        if stale:
            raise RuntimeError(
                f"{len(stale)} instances are not fresh 12 s after their start"
            )

    def reset_counts(self) -> None:
        """Reset the counters of traffic and store calls."""
        self.traffic.clear()
        self.traffic_messages.clear()
        self.store.calls.clear()


def is_fresh(node: Any) -> bool:
    """Return whether the configuration of a node is fresh now."""
    return bool(node.agreement.is_fresh(node.clock.now_s()))


def row(
    name: str,
    size: int,
    value: float,
    unit: str,
    target: float | None = None,
) -> Row:
    """Return one line of the table."""
    return {
        "name": name,
        "instances": size,
        "value": round(value, 3),
        "unit": unit,
        "target": target,
        "met": None if target is None else value <= target,
    }


def measure_edits(size: int, deployment: str) -> list[Row]:
    """Measure the time until an edit is in force on every instance."""
    cluster = MeasuredCluster(size, deployment)
    cluster.settle()
    writer = next(n for n in cluster.nodes.values() if n.agreement.is_writer)
    delays_s: list[float] = []
    for _ in range(60 if size < 300 else 15):
        cluster.timers.advance(cluster.rng.uniform(0.5, 1.5))
        edit = cluster.next_edit()
        start_s = cluster.timers.now_s()
        cluster.history.clear()
        cluster.submit(edit, [writer.name])
        cluster.timers.advance(5.0)
        applied = {
            e["node"]: e["t"] - start_s
            for e in reversed(cluster.history)
            if e["kind"] == "apply" and edit in e["edits"]
        }
        delays_s.extend(applied.get(n, float("inf")) for n in cluster.nodes)
    name = f"edit in force, {deployment}"
    target = 2.0 if size <= 11 else 11.0
    return [
        row(f"{name}, p50", size, quantile(delays_s, 0.5), "s"),
        row(f"{name}, p99", size, quantile(delays_s, 0.99), "s", target),
        row(f"{name}, max", size, max(delays_s), "s"),
    ]


def measure_start(size: int) -> list[Row]:
    """Measure the time from the start of an instance until it is fresh."""
    rows = []
    for is_down in (False, True):
        delays_s = []
        for seed in range(25):
            cluster = MeasuredCluster(size, "matunda", seed)
            cluster.settle()
            cluster.store.is_down = is_down
            cluster.timers.advance(3.0)
            name = next(
                n
                for n in reversed(cluster.nodes)
                if not cluster.nodes[n].agreement.is_writer
            )
            cluster.kill(name)
            cluster.timers.advance(cluster.rng.uniform(0.0, 1.0))
            node = cluster.start(name)
            waited_s = 0.0
            while not is_fresh(node) and waited_s < 20:
                cluster.timers.advance(0.05)
                waited_s += 0.05
            delays_s.append(waited_s)
        state = "down" if is_down else "up"
        rows.append(
            row(
                f"start until fresh, store {state}, max of 25",
                size,
                max(delays_s),
                "s",
                3.0,
            )
        )
    return rows


def measure_load(size: int) -> list[Row]:
    """Measure traffic and store calls, also around a store outage."""
    cluster = MeasuredCluster(size, "matunda")
    cluster.settle()
    writer = next(n for n in cluster.nodes.values() if n.agreement.is_writer)
    cluster.reset_counts()
    duration_s = 30.0
    cluster.submit(cluster.next_edit(), [writer.name])
    cluster.timers.advance(duration_s)
    rows = _traffic_rows(cluster, size, duration_s, "freshness", "", 3000.0)
    reads, writes = _store_calls(cluster)
    rows += [
        row("store reads, ordinary", size, reads / duration_s, "/s", 2000.0),
        row("store writes, ordinary", size, writes / duration_s, "/s", 300.0),
    ]
    cluster.store.is_down = cluster.store.is_silent = True
    max_stale = 0
    for _ in range(100):
        cluster.timers.advance(0.1)
        max_stale = max(
            max_stale, sum(not is_fresh(n) for n in cluster.nodes.values())
        )
    rows.append(
        row(
            "not fresh, store goes down, max",
            size,
            max_stale,
            "instances",
            0.0,
        )
    )
    cluster.reset_counts()
    outage_s = 3600.0 if size <= 11 else 20.0
    cluster.timers.advance(outage_s)
    stale = sum(not is_fresh(node) for node in cluster.nodes.values())
    rows += _traffic_rows(
        cluster, size, outage_s, "freshness", ", store down", 3000.0
    )
    rows.append(row("not fresh, store down", size, stale, "instances", 0.0))
    cluster.store.is_down = False
    max_reads = max_writes = 0
    for _ in range(40):
        cluster.reset_counts()
        cluster.timers.advance(0.5)
        reads, writes = _store_calls(cluster)
        max_reads, max_writes = (
            max(max_reads, reads),
            max(max_writes, writes),
        )
    rows += [
        row(
            "store reads on return, busiest 0.5 s x2",
            size,
            2 * max_reads,
            "/s",
            2000.0,
        ),
        row(
            "store writes on return, busiest 0.5 s x2",
            size,
            2 * max_writes,
            "/s",
            300.0,
        ),
    ]
    return rows


def _store_calls(cluster: Cluster) -> tuple[int, int]:
    writes = cluster.store.calls.get("StorePut", 0)
    return sum(cluster.store.calls.values()) - writes, writes


def _traffic_rows(
    cluster: MeasuredCluster,
    size: int,
    duration_s: float,
    what: str,
    suffix: str,
    target: float,
) -> list[Row]:
    per_node = [cluster.traffic[n] / duration_s for n in cluster.nodes]
    messages = sum(cluster.traffic_messages.values()) / duration_s / size
    return [
        row(f"{what} bytes, mean{suffix}", size, sum(per_node) / size, "B/s"),
        row(
            f"{what} bytes, busiest{suffix}",
            size,
            max(per_node),
            "B/s",
            target,
        ),
        row(f"{what} messages, mean{suffix}", size, messages, "/s"),
    ]


def known_members(layout: Sequence[tuple[str, str, str]]) -> list[Member]:
    """Return the records of all instances of a layout."""
    return [
        Member(
            name=name,
            incarnation=1_700_000_000_000 + n,
            caller_address=f"10.0.{n % 250}.1:8080",
            bus_address=name,
            region=region,
            failure_domain=domain,
        )
        for n, (name, region, domain) in enumerate(layout, 1)
    ]


def measure_membership(size: int) -> list[Row]:
    """Measure traffic and detection of the membership protocol."""
    network = MemberNetwork(1)
    layout = make_layout(size)
    known = known_members(layout)
    for name, region, domain in layout:
        network.start(name, [layout[0][0]], known, region, domain)
    network.timers.advance(5.0)
    network.sent_bytes = network.sent_messages = 0
    duration_s = 20.0 if size < 1000 else 8.0
    for n, peer in enumerate(network.peers.values()):
        # An edit, expected every 22 s, changes the report of every instance.
        network.timers.after(
            n / size * duration_s,
            lambda p=peer: p.membership.report(
                config_revision=2, fresh=True, load=0.3
            ),
        )
    network.timers.advance(duration_s)
    rate = 2 / duration_s / size
    rows = [
        row(
            "membership bytes, mean",
            size,
            network.sent_bytes * rate,
            "B/s",
            3000.0,
        ),
        row(
            "membership messages, mean",
            size,
            network.sent_messages * rate,
            "/s",
        ),
    ]
    first_detections_s: list[float] = []
    full_detections_s: list[float] = []
    for name, _, _ in layout[-1 : -(11 if size < 1000 else 5) : -1][:10]:
        if len(network.peers) < 4:
            break
        network.kill(name)
        waited_s, first_s = 0.0, 0.0
        while waited_s < 30.0:
            network.timers.advance(0.1)
            waited_s += 0.1
            unaware = sum(
                peer.membership.member(name).state is not MemberState.DEAD  # type: ignore[union-attr]
                for peer in network.peers.values()
            )
            if unaware < len(network.peers) and not first_s:
                first_s = waited_s
            if not unaware:
                break
        first_detections_s.append(first_s)
        full_detections_s.append(waited_s)
    return rows + [
        row(
            "dead instance known to one, max",
            size,
            max(first_detections_s),
            "s",
        ),
        row(
            "dead instance known to all, median",
            size,
            quantile(full_detections_s, 0.5),
            "s",
        ),
        row(
            "dead instance known to all, max",
            size,
            max(full_detections_s),
            "s",
        ),
    ]


_TASKS: list[tuple[Callable[..., list[Row]], tuple[Any, ...]]] = [
    (measure_membership, (1300,)),
    (measure_load, (1300,)),
    (measure_edits, (1300, "matunda")),
    (measure_load, (400,)),
    (measure_edits, (600, "matunda")),
    (measure_edits, (11, "matunda")),
    (measure_edits, (11, "toile")),
    (measure_edits, (50, "matunda")),
    (measure_edits, (200, "matunda")),
    (measure_start, (11,)),
    (measure_load, (11,)),
    (measure_load, (100,)),
    (measure_membership, (11,)),
    (measure_membership, (100,)),
    (measure_membership, (400,)),
]


def add_derived(rows: list[Row]) -> None:
    """Append the slope of the edit time and the total traffic."""
    p99 = {
        r["instances"]: r["value"]
        for r in rows
        if r["name"] == "edit in force, matunda, p99"
    }
    if {50, 1300} <= p99.keys():
        slope = (p99[1300] - p99[50]) / 1250 * 1000
        rows.append(row("edit in force, p99, slope", 1300, slope, "ms/inst."))
    busiest = {
        r["instances"]: r["value"]
        for r in rows
        if r["name"] == "freshness bytes, busiest"
    }
    for r in list(rows):
        if r["name"] == "membership bytes, mean":
            size = r["instances"]
            if size in busiest:
                total = r["value"] + busiest[size]
                rows.append(
                    row("all bytes, busiest", size, total, "B/s", 3000.0)
                )


def run_task(index: int) -> list[Row]:
    """Run one measurement."""
    function, arguments = _TASKS[index]
    return function(*arguments)


def main() -> int:
    """Run the measurements and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--workers", type=int, default=3)
    parser.add_argument("--max-instances", type=int, default=1300)
    options = parser.parse_args()
    chosen = [
        n
        for n, (_, arguments) in enumerate(_TASKS)
        if arguments[0] <= options.max_instances
    ]
    with ProcessPoolExecutor(options.workers) as pool:
        rows = [r for result in pool.map(run_task, chosen) for r in result]
    add_derived(rows)
    rows.sort(key=lambda r: (r["name"], r["instances"]))
    print(f"{'figure':46} {'inst.':>5} {'value':>10} {'target':>8}")
    for r in rows:
        target = "" if r["target"] is None else f"{r['target']:g}"
        verdict = {None: "", True: "met", False: "MISSED"}[r["met"]]
        print(
            f"{r['name']:46} {r['instances']:5} {r['value']:10.3f} "
            f"{target:>8} {r['unit']:9} {verdict}"
        )
    if options.json:
        with open(options.json, "w") as file:
            json.dump(rows, file, indent=1)
    return 0


if __name__ == "__main__":
    sys.exit(main())
