#!/usr/bin/env bash
# Shows that a request that crashes servers runs again after rolling restarts.
exec python3 "$(dirname "$0")/case.py"
