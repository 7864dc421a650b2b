#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python files
# of review/common2 that need the standard library alone and are run from source by .venv's Python:
# here they are only compiled once, into a temporary folder, so that a fault in them shows early.
set -eu
cd "$(dirname "$0")"
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" ../.venv/bin/python -m compileall -q common2 6 7 8 9 10
