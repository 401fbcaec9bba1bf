"""Applies named small faults to copies of the tree and runs their tests.

Each module ``tools/mutations_*.py`` has a list ``MUTATIONS``. A mutation is
caught when its test passes on the unchanged tree and fails on the changed
one. ``--only TEXT`` selects mutations by name.
"""

import argparse
import importlib
import os
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
_COPIED = ("packages", "tests", "tools", "pyproject.toml")
_TEST_TIMEOUT_S = 300
_PASSED, _FAILED = 0, 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Mutation:
    """A fault in one place of the source.

    :param path: file, relative to the root of the tree.
    :param old: text that occurs exactly once in the file.
    :param new: text that replaces it.
    :param test: pytest node that must fail.
    """

    name: str
    path: str
    old: str
    new: str
    test: str


@contextmanager
def copied_tree() -> Iterator[Path]:
    """Yield the root of a temporary copy of the tree."""
    with tempfile.TemporaryDirectory() as directory:
        root = Path(directory)
        for name in _COPIED:
            source = ROOT / name
            if source.is_dir():
                ignore = shutil.ignore_patterns("__pycache__", "*.egg-info")
                shutil.copytree(source, root / name, ignore=ignore)
            else:
                shutil.copy(source, root / name)
        yield root


def run_test(root: Path, test: str) -> int:
    """Return pytest's exit code for one test in a tree."""
    packages = [str(p) for p in sorted(root.glob("packages/*/src"))]
    environment = os.environ | {
        "PYTHONPATH": os.pathsep.join(packages),
        "PYTHONDONTWRITEBYTECODE": "1",
    }
    try:
        return subprocess.run(
            [sys.executable, "-m", "pytest", "-x", "-q", test],
            cwd=root,
            env=environment,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            timeout=_TEST_TIMEOUT_S,
            check=False,
        ).returncode
    except subprocess.TimeoutExpired:
        return _FAILED


def evaluate(mutation: Mutation) -> str:
    """Return "caught", "missed" or what is wrong with the mutation."""
    with copied_tree() as root:
        path = root / mutation.path
        source = path.read_text()
        if source.count(mutation.old) != 1:
            return f"invalid: old text found {source.count(mutation.old)}x"
        if run_test(root, mutation.test) != _PASSED:
            return "invalid: the test fails without the mutation"
        path.write_text(source.replace(mutation.old, mutation.new))
        code = run_test(root, mutation.test)
    if code == _PASSED:
        return "missed"
    return "caught" if code == _FAILED else f"invalid: pytest exit {code}"


def load_mutations() -> list[Mutation]:
    """Return the mutations of all lists, in the order of the files."""
    return [
        _to_mutation(item)
        for path in sorted(Path(__file__).parent.glob("mutations_*.py"))
        for item in importlib.import_module(path.stem).MUTATIONS
    ]


def _to_mutation(item: Mutation | tuple[str, str, str, str, str]) -> Mutation:
    if isinstance(item, Mutation):
        return item
    name, path, old, new, test = item
    return Mutation(name=name, path=path, old=old, new=new, test=test)


def main() -> int:
    """Evaluate the mutations and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="")
    parser.add_argument("--workers", type=int, default=2)
    options = parser.parse_args()
    mutations = [m for m in load_mutations() if options.only in m.name]
    verdicts = []
    with ThreadPoolExecutor(options.workers) as pool:
        for mutation, verdict in zip(
            mutations, pool.map(evaluate, mutations), strict=True
        ):
            verdicts.append(verdict)
            print(f"{verdict:8} {mutation.name}", flush=True)
    caught = verdicts.count("caught")
    print(f"{caught} of {len(verdicts)} mutations caught")
    return 0 if caught == len(verdicts) else 1


if __name__ == "__main__":
    # The mutation lists import this module as "mutants". Without this entry
    # they would get a second copy of it, with another class Mutation.
    sys.modules["mutants"] = sys.modules["__main__"]
    sys.exit(main())
