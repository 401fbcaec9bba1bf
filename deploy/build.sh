#!/usr/bin/env bash
# Puts the libraries and the project's packages, byte-compiled, under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
if ! [ "$deps/.libraries" -nt requirements.txt ]; then
    rm -rf "$deps"
    python3 -m pip install -q --target "$deps" -r requirements.txt
    touch "$deps/.libraries"
fi
rm -rf "$deps/verbenaworks" "$deps/verbenad" "$deps/verbena_platform"
cp -r packages/verbenaworks/src/verbenaworks packages/verbenad/src/verbenad \
    platform/verbena_platform "$deps/"
python3 -m compileall -q "$deps"
