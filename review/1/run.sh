#!/usr/bin/env bash
# Shows that SIGTERM cuts off requests that servers are working on.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/1/case.py
