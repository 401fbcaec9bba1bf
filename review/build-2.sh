#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. They need only
# the standard library, so this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/common2/*.py review/[0-9]*/case.py platform/tests/platform_store.py <<'P'
import ast
import pathlib
import sys

for path in sys.argv[1:]:
    ast.parse(pathlib.Path(path).read_text(), path)
P
