"""Runs histories with new random seeds for a given time.

A failing seed is printed and added to tests/failing_seeds.txt, whose entries
tests/test_failing_seeds.py replays from then on.

Usage: fuzz.py [--seconds N] [--workers N]
"""

import argparse
import random
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import histories_agreement
import histories_budgets

SEEDS_FILE = Path(__file__).parent.parent / "tests" / "failing_seeds.txt"
BATCH_SIZE_PER_KIND = 40


def check(kind: str, seed: int) -> str:
    """Run one history; return its violations, or an empty string."""
    match kind:
        case "budgets":
            _, excess, _ = histories_budgets.run(seed)
            return str(excess) if excess else ""
        case "agreement":
            _, found = histories_agreement.check_seed(seed)
            return "; ".join(map(str, found[:3]))
        case _:
            raise ValueError(f"unknown kind of history {kind!r}")


def _check_case(case: tuple[str, int]) -> tuple[str, int, str]:
    return (*case, check(*case))


def main() -> int:
    """Run histories until the time is over, and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=300.0)
    parser.add_argument("--workers", type=int, default=4)
    options = parser.parse_args()
    end_s = time.monotonic() + options.seconds
    seed_source = random.SystemRandom()
    total = failed = 0
    with ProcessPoolExecutor(options.workers) as pool:
        while time.monotonic() < end_s:
            cases = [
                (kind, seed_source.randrange(10**6, 10**9))
                for kind in ("budgets", "agreement")
                for _ in range(BATCH_SIZE_PER_KIND)
            ]
            for kind, seed, violations in pool.map(_check_case, cases):
                total += 1
                if violations:
                    failed += 1
                    print(f"{kind} SEED={seed}: {violations}", flush=True)
                    with SEEDS_FILE.open("a") as file:
                        file.write(f"{kind} {seed}\n")
    print(f"{total} histories, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
