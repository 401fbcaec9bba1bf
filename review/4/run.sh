#!/usr/bin/env bash
# Shows that a request is never answered if a refusal is truncated.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/4/case.py
