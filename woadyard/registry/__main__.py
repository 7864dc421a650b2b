"""`python -m woadyard.registry`: the list service."""

import sys

from woadyard.registry.command import main

sys.exit(main())
