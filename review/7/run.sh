#!/usr/bin/env bash
# Shows that a tenant exceeds its limit during a rolling restart.
exec python3 "$(dirname "$0")/case.py"
