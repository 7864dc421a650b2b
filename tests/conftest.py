"""Fixtures of the tests.

Tests that run processes are coroutines on asyncio's own event loop: unlike uvloop's, it lets the time limit
of a test interrupt a wait.
"""

from __future__ import annotations

import gc
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


@pytest.fixture
def caplog(caplog: pytest.LogCaptureFixture) -> pytest.LogCaptureFixture:
    """pytest's `caplog`, without what earlier tests left behind.

    A task that is still pending when its loop closes is reported by asyncio once it is collected as
    garbage, which may be during a later test. Collecting before the test keeps that out of its records.
    """
    gc.collect()
    caplog.clear()
    return caplog
