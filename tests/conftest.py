"""The fixture of tests that run processes.

Such tests are coroutines on asyncio's own event loop: unlike uvloop's, it lets the time limit
of a test interrupt a wait.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.lab import Lab


@pytest.fixture
def lab(tmp_path: Path) -> Iterator[Lab]:
    """A `Lab` that stops the processes of the test, however the test ends."""
    lab = Lab(tmp_path)
    try:
        yield lab
    finally:
        lab.close()
