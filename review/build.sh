#!/bin/sh
# Builds what the scripts of the cases start beside the programs of the deploy file: stand-ins in Python,
# which are compiled here so that a fault in one shows at once. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review woadyard/standins
