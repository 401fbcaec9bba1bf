"""Checks seeded histories of budgets under random faults.

Usage: histories_budgets.py [COUNT [PROCESSES]]; 10,000 and 4 by default.
SEED=n in the environment replays one seed and prints its faults.
"""

import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from budget_world import random_world  # noqa: E402

_DURATION_S = 30.0
_WORKERS = 4


def run(seed: int) -> tuple[int, dict[str, float], int]:
    """Return the seed, the excess over each limit and the number of uses."""
    world = random_world(seed)
    world.run(_DURATION_S)
    uses = sum(len(uses) for uses in world.uses.values())
    return seed, world.excess(), uses


def main() -> int:
    """Run the histories and return 1 if one of them exceeds a limit."""
    if "SEED" in os.environ:
        seed = int(os.environ["SEED"])
        print(random_world(seed).faults)
        print(run(seed))
        return 1 if run(seed)[1] else 0
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 10_000
    started_s = time.monotonic()
    uses = served = broken = 0
    workers = int(sys.argv[2]) if len(sys.argv) > 2 else _WORKERS
    with ProcessPoolExecutor(max_workers=workers) as pool:
        for seed, excess, used in pool.map(run, range(count), chunksize=25):
            uses += used
            served += used > 0
            if excess:
                broken += 1
                print(f"SEED={seed} {excess}")
    print(
        f"{count} histories, {served} with service, {uses} uses,"
        f" {broken} above a limit, {time.monotonic() - started_s:.0f} s"
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
