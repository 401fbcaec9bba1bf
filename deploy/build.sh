#!/usr/bin/env bash
# Installs the libraries and the byte-compiled packages of the project in
# target/deps. Files are replaced only after a change, so that several runs can
# share the directory.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
if ! [ "$deps/.libraries" -nt requirements.txt ]; then
    rm -rf "$deps"
    python3 -m pip install -q --target "$deps" -r requirements.txt
    touch "$deps/.libraries"
fi
sources=(packages/verbenaworks/src/verbenaworks packages/verbenad/src/verbenad
    platform/verbena_platform)
digest=$(find "${sources[@]}" -name '*.py' -print0 | sort -z |
    xargs -0 sha256sum | sha256sum)
if [ "$(cat "$deps/.sources" 2>/dev/null)" != "$digest" ]; then
    rm -rf "$deps/verbenaworks" "$deps/verbenad" "$deps/verbena_platform"
    cp -r "${sources[@]}" "$deps/"
    python3 -m compileall -q "$deps"
    echo "$digest" >"$deps/.sources"
fi
