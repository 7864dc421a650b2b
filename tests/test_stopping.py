"""The stop in order: what is owed when SIGTERM comes, and as the process ends."""

from __future__ import annotations

import json
from typing import Any

from tests.sockets import SETTINGS, Endpoint, Sidecar, on_loop, sidecar
from woadyard.wire import read_settings


def lasting(deadline_us: int) -> dict[str, Any]:
    """The settings with this deadline for each class."""
    classes = [{**one, "aim-us": deadline_us, "deadline-us": deadline_us} for one in SETTINGS["classes"]]
    return {**SETTINGS, "classes": classes}


def retune(one: Sidecar, deadline_us: int) -> None:
    raw = lasting(deadline_us)
    one.driver.retune(raw, read_settings(json.dumps(raw).encode()))


@on_loop
async def test_classes_that_are_gone_put_off_no_kill() -> None:
    """SIGKILL follows by the deadlines in force, not by those of before a reload."""
    async with sidecar(Endpoint()) as one:
        retune(one, 300_000)
        one.server.stop(lambda: None)
        assert one.server.answered_by < one.driver.now() + 1_000_000, "SIGKILL may come then"
