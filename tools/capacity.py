"""Computes the tables of docs/CAPACITY.md from costs measured here.

Usage: python tools/capacity.py [--write] [--workers N]

Without --write the tables are printed. Each cost is measured at four or more
sizes and fitted by a straight line, which gives the cost at the design size.
"""

import argparse
import sys
import time
from collections import defaultdict
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from capacity_measurements import TASKS, Points
from linear_fit import Line, fit_line

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"

NODES = 1300
BLOCKS = 120_000
SITES = 270
REGIONS = 10
DOMAINS = 31
LOOKUPS_PER_S = 500_000
EDITS_PER_DAY = 3900
SHARDS = 16
MAX_CORE_SHARE = 0.027
MAX_MEMORY_BYTES = 32e6
MAX_NETWORK_BYTES_PER_S = 3000.0
MAX_STORE_READS_PER_S, MAX_STORE_WRITES_PER_S = 2000.0, 300.0
FRESHNESS_LIMIT_S = 2.0
MAX_EDIT_DELAY_S = 11.0

# Assumptions about a node at the design size; no requirement states them.
WORKSPACES = 100
TARGETS = 400
BLOCK_EDIT_SHARE = 0.2
ACTIVE_WORKSPACES = 12
REGION_PARTS = 8
NEAR_TARGETS = round(TARGETS / DOMAINS)
BUDGETS_PER_CLIENT = ACTIVE_WORKSPACES + NEAR_TARGETS + REGION_PARTS
DOCUMENT_BYTES = 900_000
KEYED_REQUESTS_PER_S = 25.0
# Requests with an idempotency key, as a share of those with a workspace key.
IDEMPOTENCY_KEY_SHARE = 0.01
LEDGER_RECORDS = 20_000
LEDGER_RETENTION_S = 3600.0
# Relay levels below the watchers of a failure domain with 42 nodes, and the
# interval of freshness polls.
RELAY_LEVELS = 2
POLL_S = 0.4
CONFIG_HISTORY_EDITS = 256
MAX_DELTA_BASES = 4

Slopes = dict[str, Line]


@dataclass(frozen=True, kw_only=True, slots=True)
class Cost:
    """Cost of one role on one node.

    :ivar core: share of a processor core.
    :ivar memory: bytes.
    """

    core: float = 0.0
    memory: float = 0.0
    bytes_per_s: float = 0.0


def run_task(task: tuple[int, int]) -> Points:
    """Run one measurement at one size."""
    index, size = task
    return TASKS[index][0](size)


def measure(workers: int) -> dict[str, list[tuple[float, float]]]:
    """Return the measured points of each figure."""
    # The largest sizes start first, so that no long task runs alone at the
    # end. Each task has its own process, so that the memory of one task does
    # not affect the next.
    tasks = [
        (index, sizes[rank])
        for rank in range(4)
        for index, (_, sizes) in enumerate(TASKS)
    ]
    points: dict[str, list[tuple[float, float]]] = defaultdict(list)
    with ProcessPoolExecutor(workers, max_tasks_per_child=1) as pool:
        for result in pool.map(run_task, tasks):
            for name, size, value in result:
                points[name].append((size, value))
    return points


def _table(head: list[str], rows: list[list[str]]) -> str:
    lines = ["| " + " | ".join(head) + " |", "|" + "---|" * len(head)]
    return "\n".join(lines + ["| " + " | ".join(r) + " |" for r in rows])


def _number(value: float) -> str:
    return f"{value:.3g}" if abs(value) < 1000 else f"{value:,.0f}"


def _share(value: float) -> str:
    return f"{100 * value:.2f}%"


def _memory(value: float) -> str:
    return f"{value / 1e6:.2f} MB"


def _rate(value: float) -> str:
    return f"{value:,.0f} B/s"


def _time(value_s: float) -> str:
    return f"{value_s:.2f} s" if value_s >= 1 else f"{1000 * value_s:.3g} ms"


def _verdict(value: float, limit: float) -> str:
    return "fits" if value <= limit else "**does not fit**"


def slopes_table(
    points: dict[str, list[tuple[float, float]]], slopes: Slopes
) -> str:
    """Return the fitted lines with their residuals."""
    rows = []
    for name, line in slopes.items():
        measured = sorted(points[name])
        rows.append(
            [
                name,
                ", ".join(f"{x:,.0f}: {_number(y)}" for x, y in measured),
                _number(line.intercept),
                _number(line.slope),
                _share(line.residual_share),
            ]
        )
    return _table(
        ["figure", "size: value", "intercept", "slope", "largest residual"],
        rows,
    )


def shards_per_client() -> float:
    """Return the expected number of shards of one client's budgets."""
    return SHARDS * (1 - (1 - 1 / SHARDS) ** BUDGETS_PER_CLIENT)


def claims_per_s() -> float:
    """Return the claims per second of one ledger, bounded by its records."""
    offered = KEYED_REQUESTS_PER_S * NODES / SHARDS * IDEMPOTENCY_KEY_SHARE
    return min(offered, LEDGER_RECORDS / LEDGER_RETENTION_S)


def role_costs(slopes: Slopes) -> dict[str, tuple[Cost, str]]:
    """Return the cost of each role and how it is calculated."""

    def at(name: str, x: float) -> float:
        return max(0.0, slopes[name].at(x))

    edits_per_s = EDITS_PER_DAY / 86_400
    plain_s = at("edit without blocks, put in force", BLOCKS)
    block_s = at("edit of a block, put in force", BLOCKS)
    edit_s = (1 - BLOCK_EDIT_SHARE) * plain_s + BLOCK_EDIT_SHARE * block_s
    delta_s = at("delta of an edit of a block", BLOCKS)
    lookups = LOOKUPS_PER_S / NODES
    look_up_s = at("look-up", BLOCKS)
    shards = shards_per_client()
    per_exchange = BUDGETS_PER_CLIENT / shards
    exchanges = NODES * shards / SHARDS
    # The measurement by the number of budgets has few clients. The cost of an
    # exchange with many clients is scaled from the one with two budgets.
    owner_s = max(
        at("owner, one exchange", per_exchange),
        at("owner, one exchange, 2 budgets", NODES) * per_exchange / 2,
    )
    client_s = at("taker, one exchange", per_exchange)
    exchange_bytes = at("exchange, bytes", per_exchange)
    owner_memory_bytes = at("owner, held, 2 budgets", NODES) * per_exchange / 2
    messages = at("members, messages/s received", NODES)
    report_s = at("a member's report, at the daemon", NODES)
    scan_s = at("a scan of the members' reports", NODES)
    member_core = at("members, processor share", NODES)
    freshness = at("freshness, mean bytes/s", NODES)
    watcher = at("freshness, busiest bytes/s", NODES)
    ledger_s = at("ledger, claim and report", LEDGER_RECORDS)
    claims = claims_per_s()
    plan_s = at("plan, build", BLOCKS / REGIONS)
    return {
        "look-up": (
            Cost(
                core=lookups * look_up_s,
                memory=at("document and table, held", BLOCKS)
                + at("rings, held", NODES),
            ),
            f"{lookups:.0f}/s x {1e6 * look_up_s:.0f} us",
        ),
        "gateway: tokens and slots": (
            Cost(
                core=KEYED_REQUESTS_PER_S
                * (
                    3 * at("taker, take a token", per_exchange)
                    + at("choice and finish", TARGETS / 4)
                )
            ),
            f"{KEYED_REQUESTS_PER_S:g} requests/s x (3 takes + 1 choice)",
        ),
        "budget taker": (
            Cost(
                core=shards * client_s,
                memory=at("taker, held", per_exchange) * shards,
                bytes_per_s=shards * exchange_bytes,
            ),
            f"{shards:.1f} shards x {1e6 * client_s:.0f} us, "
            f"x {exchange_bytes:.0f} B, each second",
        ),
        "budget owner (one shard; 16 nodes)": (
            Cost(
                core=exchanges * owner_s,
                memory=owner_memory_bytes,
                bytes_per_s=exchanges * exchange_bytes,
            ),
            f"{NODES} x {shards / SHARDS:.2f} exchanges/s x "
            f"{1e6 * owner_s:.0f} us, x {exchange_bytes:.0f} B",
        ),
        "configuration and compilation": (
            Cost(core=edits_per_s * (edit_s + delta_s)),
            f"{edits_per_s:.3f} edits/s x ({1000 * plain_s:.0f} ms, or "
            f"{1000 * block_s:.0f} ms where blocks change "
            f"({100 * BLOCK_EDIT_SHARE:.0f}%))",
        ),
        "freshness polls, relay": (
            Cost(
                core=at("freshness, processor share", NODES),
                bytes_per_s=freshness,
            ),
            "mean over the nodes, line over the fleet's size",
        ),
        "watcher (62 nodes)": (
            Cost(bytes_per_s=max(0.0, watcher - freshness)),
            f"busiest node {watcher:.0f} B/s, less the mean",
        ),
        "member": (
            Cost(
                core=member_core + messages * report_s + 2 * scan_s,
                memory=at("members, held", NODES),
                bytes_per_s=at("members, bytes/s both ways", NODES),
            ),
            f"protocol {_share(member_core)} + {messages:.1f} messages/s x "
            f"{1e6 * report_s:.0f} us + 2 scans/s x {1e3 * scan_s:.1f} ms",
        ),
        "run ledger (one shard)": (
            Cost(
                core=claims * ledger_s,
                memory=at("ledger, held", LEDGER_RECORDS),
            ),
            f"{claims:.1f}/s x {1e6 * ledger_s:.0f} us a claim and report, "
            f"{LEDGER_RECORDS:,} records",
        ),
        "crash ledger": (
            Cost(memory=at("crashes, held", 10_000)),
            "10,000 digests, its limit",
        ),
        "shift plan and driver (one shift)": (
            Cost(core=0.0, memory=at("plan, held", BLOCKS / REGIONS)),
            f"{1000 * plan_s:.0f} ms once for each change of blocks",
        ),
        "choice of target": (
            Cost(
                core=KEYED_REQUESTS_PER_S
                * at("choice and finish", TARGETS / 4),
                memory=4 * at("choice, held", TARGETS / 4),
            ),
            f"{KEYED_REQUESTS_PER_S:g}/s x "
            f"{1e6 * at('choice and finish', TARGETS / 4):.0f} us",
        ),
    }


_MECHANISMS = {
    "look-up": "flat arrays, one bisection; rings per region",
    "gateway: tokens and slots": "local buckets and granted units",
    "budget taker": "one request a second for each shard in use",
    "budget owner (one shard; 16 nodes)": "16 shards by hash of the name",
    "configuration and compilation": "blocks shared between revisions",
    "freshness polls, relay": "relay tree in each failure domain",
    "watcher (62 nodes)": "two watchers a domain",
    "member": "probes at a fixed rate, piggybacked updates",
    "run ledger (one shard)": "6 generations, 20,000 records, 512 KB answers",
    "crash ledger": "limit of digests, expiry after an hour",
    "shift plan and driver (one shift)": "plan kept until blocks change",
    "choice of target": "table per service, nearest class first",
}
# Work on requests of callers, which is not subject to MAX_CORE_SHARE.
_REQUEST_WORK = {
    "look-up",
    "gateway: tokens and slots",
    "choice of target",
}
# Roles that only some nodes have; all nodes have the others.
_PARTIAL_ROLES = {
    "watcher (62 nodes)",
    "budget owner (one shard; 16 nodes)",
    "run ledger (one shard)",
    "shift plan and driver (one shift)",
}


def roles_table(slopes: Slopes) -> str:
    """Return the cost of each role at the design size."""
    costs = role_costs(slopes)
    rows = [
        _role_row(name, cost, how, _MECHANISMS[name], name in _REQUEST_WORK)
        for name, (cost, how) in costs.items()
    ]
    common = [n for n in costs if n not in _PARTIAL_ROLES]
    owner = "budget owner (one shard; 16 nodes)"
    rows.append(
        _role_row(
            "**every node, control**",
            _sum(costs, common),
            "sum without the work for callers",
            "",
            False,
        )
    )
    rows.append(
        _role_row(
            "**watcher**",
            _sum(costs, [*common, "watcher (62 nodes)"]),
            "sum, and the watch",
            "",
            False,
        )
    )
    rows.append(
        _role_row(
            "**node that owns a shard**",
            _sum(costs, [*common, owner, "run ledger (one shard)"]),
            "sum, and one owner and run ledger",
            "",
            False,
        )
    )
    return _table(
        [
            "role",
            "processor",
            "memory",
            "network",
            "arithmetic",
            "carried by",
            "verdict",
        ],
        rows,
    )


def _sum(costs: dict[str, tuple[Cost, str]], names: list[str]) -> Cost:
    return Cost(
        core=sum(costs[n][0].core for n in names if n not in _REQUEST_WORK),
        memory=sum(costs[n][0].memory for n in names),
        bytes_per_s=sum(costs[n][0].bytes_per_s for n in names),
    )


def _role_row(
    name: str, cost: Cost, how: str, mechanism: str, for_callers: bool
) -> list[str]:
    misses = [
        text
        for text, value, limit in (
            ("processor", 0 if for_callers else cost.core, MAX_CORE_SHARE),
            ("memory", cost.memory, MAX_MEMORY_BYTES),
            ("network", cost.bytes_per_s, MAX_NETWORK_BYTES_PER_S),
        )
        if value > limit
    ]
    verdict = "fits"
    if misses:
        verdict = f"**does not fit**: {', '.join(misses)}"
    return [
        name,
        _share(cost.core) + (" (callers)" if for_callers else ""),
        _memory(cost.memory),
        _rate(cost.bytes_per_s),
        how,
        mechanism,
        verdict,
    ]


def limits_table(slopes: Slopes) -> str:
    """Return the single events that could exceed a limit."""

    def at(name: str, x: float) -> float:
        return max(0.0, slopes[name].at(x))

    per_node_cost = role_costs(slopes)
    held = sum(
        cost.memory
        for name, (cost, _) in per_node_cost.items()
        if name not in _PARTIAL_ROLES
    )
    table_held = at("document and table, held", BLOCKS)
    peak = at("document and table, peak at an edit", BLOCKS)
    ring_peak = at("rings, peak", NODES)
    plain_s = at("edit without blocks, put in force", BLOCKS)
    block_s = at("edit of a block, put in force", BLOCKS)
    big_s = at("decode", DOCUMENT_BYTES) + at("compile", DOCUMENT_BYTES)
    writer_s = at("decode", DOCUMENT_BYTES) + at(
        "apply an edit and encode", DOCUMENT_BYTES
    )
    death_s = at("a member's death, at the daemon", NODES)
    levels = RELAY_LEVELS + 1
    spread_s = writer_s + levels * (POLL_S + big_s)
    seconds = [
        ("look-up, 120,000 blocks", at("look-up", BLOCKS), 0.25e-3, ""),
        (
            "look-up while a region is lost",
            at("look-up, one region lost", BLOCKS),
            0.25e-3,
            "",
        ),
        (
            "loop stopped by an edit without blocks",
            plain_s,
            FRESHNESS_LIMIT_S / 4,
            "a quarter of the freshness",
        ),
        (
            "loop stopped by an edit of a block",
            block_s,
            FRESHNESS_LIMIT_S / 4,
            "a quarter of the freshness",
        ),
        (
            "loop stopped by an edit of a 900 KB document",
            big_s,
            FRESHNESS_LIMIT_S / 4,
            "decode + compile",
        ),
        (
            "writer: an edit of a 900 KB document",
            writer_s,
            FRESHNESS_LIMIT_S / 4,
            "decode + apply + encode",
        ),
        (
            "loop stopped by the death of a member",
            death_s,
            FRESHNESS_LIMIT_S / 4,
            "poll plan and rings",
        ),
        (
            "edit of a 900 KB document in force everywhere",
            spread_s,
            MAX_EDIT_DELAY_S,
            f"{writer_s:.2f} s at the writer + {levels} levels x "
            f"({POLL_S} s poll + {big_s:.2f} s)",
        ),
    ]
    shares = [
        (
            "one edit a second, without blocks",
            plain_s,
            "",
        ),
        ("one edit a second, of blocks", block_s, ""),
    ]
    rows = [
        [
            n,
            _time(v),
            _time(limit),
            _verdict(v, limit),
            how,
        ]
        for n, v, limit, how in seconds
    ]
    rows += [
        [
            n,
            _share(v),
            _share(MAX_CORE_SHARE),
            _verdict(v, MAX_CORE_SHARE),
            how,
        ]
        for n, v, how in shares
    ]
    offered = KEYED_REQUESTS_PER_S * NODES / SHARDS * IDEMPOTENCY_KEY_SHARE
    kept = LEDGER_RECORDS / LEDGER_RETENTION_S
    rows.append(
        [
            "claims with a ticket, of one shard",
            f"{offered:.1f}/s",
            f"{kept:.1f}/s",
            _verdict(offered, kept),
            f"{LEDGER_RECORDS:,} records / {LEDGER_RETENTION_S:.0f} s; "
            f"{SHARDS * kept:.0f}/s for the fleet",
        ]
    )
    whole = held - table_held + peak + ring_peak
    rows.append(
        [
            "peak memory while table and rings are rebuilt",
            _memory(whole),
            _memory(MAX_MEMORY_BYTES),
            _verdict(whole, MAX_MEMORY_BYTES),
            f"{_memory(held - table_held)} of the other roles + "
            f"{_memory(peak)} + {_memory(ring_peak)}",
        ]
    )
    big = at("document, held", DOCUMENT_BYTES)
    rows.append(
        [
            "memory of a 900 KB document without blocks",
            _memory(big),
            _memory(MAX_MEMORY_BYTES),
            _verdict(2 * big, MAX_MEMORY_BYTES),
            "judged twice over, for the old and the new revision",
        ]
    )
    return _table(["event", "figure", "limit", "verdict", "arithmetic"], rows)


def situations_table(slopes: Slopes) -> str:
    """Return the worst figures of each situation."""

    def at(name: str, x: float) -> float:
        return max(0.0, slopes[name].at(x))

    domain = NODES / DOMAINS
    region = NODES / REGIONS
    death_s = at("a member's death, at the daemon", NODES)
    messages = at("members, messages/s received", NODES)
    reads = at("store reads/s, ordinary", NODES)
    writes = at("store writes/s, ordinary", NODES)
    # The daemon acts once for each message, which carries up to four updates.
    # The message rate therefore limits the load while changes spread.
    busy = messages * death_s
    updates_per_s = 4 * messages

    def spread(changes: float) -> str:
        return (
            f"{messages:.1f} messages/s x {1000 * death_s:.0f} ms, for at "
            f"least {changes / updates_per_s:.0f} s ({changes:.0f} changes, "
            "four a message)"
        )

    document = at("document bytes", BLOCKS)
    edits_hour = EDITS_PER_DAY / 24
    watchers = 2 * DOMAINS / REGIONS
    relayed_bytes = region * document
    load = at("look-up", BLOCKS) * LOOKUPS_PER_S / NODES
    rows = [
        [
            "ordinary minute",
            "store reads/s",
            _number(reads),
            _verdict(reads, MAX_STORE_READS_PER_S),
            f"{_number(slopes['store reads/s, ordinary'].intercept)} + "
            f"{_number(slopes['store reads/s, ordinary'].slope)} x {NODES}",
        ],
        [
            "",
            "store writes/s",
            _number(writes + EDITS_PER_DAY / 86_400),
            _verdict(writes, MAX_STORE_WRITES_PER_S),
            "edits, and the control record's line",
        ],
        [
            "failure domain lost",
            "processor of every other node",
            _share(busy),
            _verdict(busy, MAX_CORE_SHARE),
            spread(domain),
        ],
        [
            "",
            "look-ups in its region",
            _share(load * 1.5),
            "no limit stated",
            f"{DOMAINS / REGIONS:.1f} domains a region: the others answer "
            f"1.5 x {_share(load)}",
        ],
        [
            "region cut off for an hour",
            "processor of a node outside",
            _share(busy),
            _verdict(busy, MAX_CORE_SHARE),
            spread(region),
        ],
        [
            "healed",
            "edits to catch up with",
            _number(edits_hour),
            _verdict(edits_hour, CONFIG_HISTORY_EDITS),
            f"{EDITS_PER_DAY} / 24, history of {CONFIG_HISTORY_EDITS}; "
            f"deltas reach back {MAX_DELTA_BASES} states, so each node "
            "takes the whole document",
        ],
        [
            "",
            "bytes from the store",
            f"{watchers * document / 1e6:.1f} MB",
            "no limit stated",
            f"{watchers:.1f} watchers x {document / 1e3:.0f} KB",
        ],
        [
            "",
            "bytes over the relays",
            f"{relayed_bytes / 1e6:.0f} MB",
            "no limit stated",
            f"{region:.0f} nodes x {document / 1e3:.0f} KB inside the region, "
            "8 to 10 children a parent",
        ],
        [
            "",
            "processor of a node inside",
            _share(busy),
            _verdict(busy, MAX_CORE_SHARE),
            spread(NODES - region),
        ],
        [
            "store outage of an hour",
            "busiest node",
            _rate(at("freshness, busiest bytes/s, store down", NODES)),
            _verdict(
                at("freshness, busiest bytes/s, store down", NODES),
                MAX_NETWORK_BYTES_PER_S,
            ),
            "a writer attests to the fleet",
        ],
        [
            "return of the store",
            "store reads/s",
            _number(at("store reads/s, on return", NODES)),
            _verdict(
                at("store reads/s, on return", NODES), MAX_STORE_READS_PER_S
            ),
            f"{_number(slopes['store reads/s, on return'].intercept)} + "
            f"{_number(slopes['store reads/s, on return'].slope)} x {NODES}, "
            "busiest half second",
        ],
        [
            "",
            "store writes/s",
            _number(at("store writes/s, on return", NODES)),
            _verdict(
                at("store writes/s, on return", NODES), MAX_STORE_WRITES_PER_S
            ),
            "edits wait at the writers, one write at a time",
        ],
    ]
    return _table(
        ["situation", "figure", "value", "verdict", "arithmetic"], rows
    )


def write_tables(page: str, tables: dict[str, str]) -> str:
    """Replace the text between the markers of each table.

    :raises ValueError: if the page lacks a marker.
    """
    for name, table in tables.items():
        begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
        head, found, rest = page.partition(begin)
        _, found_end, tail = rest.partition(end)
        if not found or not found_end:
            raise ValueError(f"the page has no markers for table {name}")
        page = f"{head}{begin}\n{table}\n{end}{tail}"
    return page


def main() -> int:
    """Measure, then print or write the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true")
    parser.add_argument("--workers", type=int, default=4)
    options = parser.parse_args()
    start = time.monotonic()
    points = measure(options.workers)
    slopes = {name: fit_line(values) for name, values in points.items()}
    makers: dict[str, Callable[[Slopes], str]] = {
        "roles": roles_table,
        "limits": limits_table,
        "situations": situations_table,
    }
    tables = {name: make(slopes) for name, make in makers.items()}
    tables["slopes"] = slopes_table(points, slopes)
    if options.write:
        PAGE.write_text(write_tables(PAGE.read_text(), tables))
    else:
        for name, table in tables.items():
            print(f"{name}\n\n{table}\n")
    print(f"measured in {time.monotonic() - start:.0f} s", file=sys.stderr)
    return 0


if __name__ == "__main__":
    sys.exit(main())
