"""Checks many seeded histories of the agreement.

``SEED=7 python tools/histories_agreement.py`` replays one history and prints
its events. Otherwise ``--count`` histories are checked.
"""

import argparse
import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor

from agreement_checkers import check_all
from agreement_harness import run_history


def check_seed(seed: int) -> tuple[int, list[str]]:
    """Return the violations of one history.

    Only odd seeds restore the store to an older state.
    """
    return seed, check_all(run_history(seed, restores=seed % 2 == 1))


def replay(seed: int) -> int:
    """Print one history and its violations."""
    history = run_history(seed, restores=seed % 2 == 1)
    for event in history:
        if event["kind"] != "observe":
            print({k: v for k, v in event.items() if k != "edits"})
    found = check_all(history)
    print(*found, sep="\n")
    return 1 if found else 0


def main() -> int:
    """Run the histories and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=10_000)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--workers", type=int, default=4)
    options = parser.parse_args()
    if "SEED" in os.environ:
        return replay(int(os.environ["SEED"]))
    started_s = time.monotonic()
    failed = 0
    seeds = range(options.first, options.first + options.count)
    with ProcessPoolExecutor(options.workers) as pool:
        for seed, found in pool.map(check_seed, seeds, chunksize=20):
            if found:
                failed += 1
                print(f"SEED={seed}: {found[:3]}", flush=True)
    print(
        f"{options.count} histories from seed {options.first}, {failed} with "
        f"violations, {time.monotonic() - started_s:.0f} s"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
