"""Run the list service: `python -m woadyard.registry`."""

import sys

from woadyard.registry.command import main

sys.exit(main())
