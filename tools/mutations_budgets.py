"""Applies named one-line faults to the budgets and runs the proof of each.

Every fault is applied to a temporary copy of the tree, in which the named
test must fail. Prints "caught" or "missed"; the exit code is 1 if a fault was
missed or no longer applies.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
_LIBRARY = "packages/verbenaworks/src/verbenaworks"
_PACKAGES = ("verbenaworks", "verbenad", "verbena", "standins")


@dataclass(frozen=True, kw_only=True)
class Mutation:
    """A fault in one line and the test that must notice it."""

    name: str
    module: str
    old: str
    new: str
    test: str


_HISTORIES = "tests/test_budget_histories.py"
_OWNER = "tests/test_budget_owner.py"
_TAKER = "tests/test_budget_taker.py"

MUTATIONS = (
    Mutation(
        name="new owner starts with a full bank",
        module="rate_pool.py",
        old="        self._bank = TokenBucket()\n",
        new="        self._bank = TokenBucket()\n"
        "        self._bank.reshape(0.0, 0, budget.burst)\n"
        "        self._bank.add(budget.burst)\n",
        test=_OWNER,
    ),
    Mutation(
        name="owner ignores the order of requests",
        module="budget_owner.py",
        old="if request.seq <= last_seq:",
        new="if last_seq < 0:",
        test=_HISTORIES,
    ),
    Mutation(
        name="new owner skips the wait",
        module="budget_owner.py",
        old="self._issues_from_s = started_at_s + wait_s",
        new="self._issues_from_s = started_at_s",
        test=_OWNER,
    ),
    Mutation(
        name="owner counts a rate shorter than the taker",
        module="rate_pool.py",
        old="_HOLD_S = upper_bound_s(GRANT_TTL_S)",
        new="_HOLD_S = GRANT_TTL_S - 1.0",
        test=_HISTORIES,
    ),
    Mutation(
        name="owner forgets that units in use linger",
        module="level_pool.py",
        old="return upper_bound_s(GRANT_TTL_S + self._linger_s)",
        new="return upper_bound_s(GRANT_TTL_S)",
        test=_HISTORIES,
    ),
    Mutation(
        name="owner trusts the taker's clock rate",
        module="budget_spec.py",
        old="return duration_s * (1 + 2 * DRIFT)",
        new="return duration_s",
        test=_OWNER,
    ),
    Mutation(
        name="taker accepts an older epoch",
        module="budget_taker.py",
        old="if reply.epoch < self._highest_epoch:",
        new="if reply.epoch < 0:",
        test=_TAKER,
    ),
    Mutation(
        name="taker accepts a reply to an older request",
        module="budget_taker.py",
        old="if reply.seq != self._seq or not self._is_waiting:",
        new="if False:",
        test=_HISTORIES,
    ),
    Mutation(
        name="taker accepts a reply to an earlier incarnation",
        module="budget_taker.py",
        old="if reply.incarnation != self._incarnation:",
        new="if False:",
        test=_TAKER,
    ),
    Mutation(
        name="taker counts the validity from the reply",
        module="budget_taker.py",
        old="expires_at_s = self._sent_at_s + min(",
        new="expires_at_s = now_s + min(",
        test=_TAKER,
    ),
    Mutation(
        name="new owner does not withhold unreported grants",
        module="holding_book.py",
        old="self._unknown = capacity",
        new="self._unknown = 0",
        test=_HISTORIES,
    ),
    Mutation(
        name="new owner adopts reports from before its time",
        module="budget_owner.py",
        old="if request.epoch < self._epoch:",
        new="if request.epoch < 0:",
        test=_OWNER,
    ),
    Mutation(
        name="owner believes a delayed report of a lapsed grant",
        module="holding_book.py",
        old="kept = reported if now_s < self._unknown_until_s else 0",
        new="kept = reported",
        test=_OWNER,
    ),
    Mutation(
        name="returned tokens come on top of a kept bucket",
        module="rate_pool.py",
        old="self._bank.add(min(want.tokens_returned, released))",
        new="self._bank.add(want.tokens_returned)",
        test=_OWNER,
    ),
    Mutation(
        name="tokens on the way have no room of their own",
        module="rate_pool.py",
        old="depth = max(depth, kept_depth + tokens) if tokens else depth",
        new="depth = max(depth, tokens)",
        test=_OWNER,
    ),
    Mutation(
        name="a lost reply frees what the taker still holds",
        module="holding_book.py",
        old="amount = max(holding.amount, planned)",
        new="amount = planned",
        test=_HISTORIES,
    ),
    Mutation(
        name="raised capacity is issued beside unknown grants",
        module="holding_book.py",
        old="return min(self._capacity, self._ceiling)",
        new="return self._capacity",
        test=_OWNER,
    ),
    Mutation(
        name="what is held above a lowered capacity is renewed",
        module="holding_book.py",
        old="return min(target, holding.amount + growth, room)",
        new="return min(target, holding.amount + growth)",
        test=_OWNER,
    ),
    Mutation(
        name="owner acts without a valid lease",
        module="budget_owner.py",
        old="if not self._lease.is_valid(now_s):",
        new="if False:",
        test=_HISTORIES,
    ),
    Mutation(
        name="bucket fills at its own clock's full rate",
        module="token_bucket.py",
        old="_FILL = 1000 - DRIFT_PER_MILLE",
        new="_FILL = 1000",
        test=_TAKER,
    ),
    Mutation(
        name="bucket goes on after its grant expired",
        module="rate_holding.py",
        old="if now_s >= self._expires_at_s:",
        new="if now_s >= self._expires_at_s + 2.0:",
        test=_HISTORIES,
    ),
)


def _environment(tree: Path) -> dict[str, str]:
    sources = [str(tree / "packages" / name / "src") for name in _PACKAGES]
    return os.environ | {"PYTHONPATH": os.pathsep.join(sources)}


def run(mutation: Mutation | None, test: str) -> str:
    """Return "caught", "missed" or why there is no outcome.

    Without a mutation, "missed" means that the test passes.
    """
    with tempfile.TemporaryDirectory() as directory:
        tree = Path(directory)
        for name in ("packages", "tests", "tools"):
            shutil.copytree(
                ROOT / name,
                tree / name,
                ignore=shutil.ignore_patterns("__pycache__", "*.egg-info"),
            )
        shutil.copy(ROOT / "pyproject.toml", tree)
        if mutation is not None:
            path = tree / _LIBRARY / mutation.module
            text = path.read_text()
            if text.count(mutation.old) != 1:
                return "does not apply"
            path.write_text(text.replace(mutation.old, mutation.new))
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-x", "-q", test],
            cwd=tree,
            env=_environment(tree),
            capture_output=True,
            text=True,
        )
        # 1 is pytest's exit code for failed tests; others are its own errors.
        if done.returncode in (0, 1):
            return ("missed", "caught")[done.returncode]
        return f"test did not run: {done.stdout[-300:]}"


def main() -> int:
    """Run all faults, or those whose name contains the first argument."""
    wanted = sys.argv[1] if len(sys.argv) > 1 else ""
    # A second argument replaces the tests, to compare their strength.
    test = sys.argv[2] if len(sys.argv) > 2 else None
    chosen = [m for m in MUTATIONS if wanted in m.name]
    for name in sorted({test or mutation.test for mutation in chosen}):
        if run(None, name) != "missed":
            print(f"{name} fails without any fault")
            return 1
    with ThreadPoolExecutor(max_workers=4) as pool:
        outcomes = list(pool.map(lambda m: run(m, test or m.test), chosen))
    for mutation, outcome in zip(chosen, outcomes, strict=True):
        print(f"{outcome:8} {mutation.name} ({test or mutation.test})")
    return 0 if all(outcome == "caught" for outcome in outcomes) else 1


if __name__ == "__main__":
    sys.exit(main())
