#!/usr/bin/env bash
# Shows that proper uploads are refused on connections opened before a change.
exec python3 "$(dirname "$0")/case.py"
