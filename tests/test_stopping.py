"""The stop in order: what is owed when SIGTERM comes, and as the process ends."""

from __future__ import annotations

import asyncio
import json
import signal
from contextlib import suppress
from pathlib import Path
from typing import Any

from tests.process import config, free_port, open_at, start
from tests.sockets import SETTINGS, Endpoint, Registry, Sidecar, on_loop, read_message, request, sidecar
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


@on_loop
async def test_new_connections_without_end_put_off_no_end(tmp_path: Path) -> None:
    endpoint, registry = Endpoint(), Registry()
    async with await endpoint.start(), await registry.start():
        port = free_port()
        changes = {"settings": lasting(300_000), "listen": f"127.0.0.1:{port}"}
        process = await start(config(tmp_path, registry, endpoint, **changes))
        reader, writer = await open_at(port)
        writer.write(request())
        await read_message(reader)  # it heeds signals by now
        process.send_signal(signal.SIGTERM)

        async def come() -> None:
            with suppress(ConnectionError):
                while True:
                    _, writer = await asyncio.open_connection("127.0.0.1", port)
                    await asyncio.sleep(0.01)
                    writer.close()

        coming = asyncio.create_task(come())
        try:
            async with asyncio.timeout(10.0):
                await process.communicate()
        finally:
            coming.cancel()
            if process.returncode is None:
                process.kill()
        assert process.returncode == 0
