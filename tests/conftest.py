"""The fixture of tests that run processes. Such tests are coroutines, on asyncio's own loop:
unlike uvloop's, it lets a test's time limit break into a wait."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.lab import Lab


@pytest.fixture
def lab(tmp_path: Path) -> Iterator[Lab]:
    """Ends what the test started, however the test ends."""
    lab = Lab(tmp_path)
    try:
        yield lab
    finally:
        lab.close()
