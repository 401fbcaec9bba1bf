#!/usr/bin/env bash
# Shows that a tenant exceeds its limit after a lapse of leases and a restart.
exec python3 "$(dirname "$0")/case.py"
