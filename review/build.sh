#!/usr/bin/env bash
# Byte-compiles the stand-ins and the scripts of the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q -f review platform/tests/platform_store.py
