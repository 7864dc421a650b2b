#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review .venv/bin/python -B -c "import common.endpoint, common.link" || exit 2
exec .venv/bin/python -B review/3/case.py
