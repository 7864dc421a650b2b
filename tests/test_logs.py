"""Structured logs: one JSON object a line, and no flood from bad peers."""

from __future__ import annotations

import asyncio
import json
import logging
import signal
from pathlib import Path

from tests.process import connect_when_open, free_port, sidecar_environ, start_sidecar
from tests.sockets import FakeDiscovery, run_test
from woadyard.ops.logs import BURST, WINDOW_S, RateLimitFilter

FLOOD = 1_000


def record(at: float, message: str = "request refused") -> logging.LogRecord:
    made = logging.LogRecord("woadyard.net.server", logging.INFO, __file__, 1, message, None, None)
    made.created = at
    return made


def test_an_event_gets_its_budget_in_a_window_and_the_rest_is_counted() -> None:
    limit = RateLimitFilter()
    passed = [limit.filter(record(n / FLOOD)) for n in range(FLOOD)]
    assert passed.count(True) == BURST and passed[:BURST] == [True] * BURST
    assert limit.filter(record(0.5, "other event")), "each event has its own budget"
    later = record(WINDOW_S + 0.5)
    assert limit.filter(later) and vars(later)["suppressed"] == FLOOD - BURST
    assert limit.log_suppressed(logging.getLogger("woadyard.test")) == 0, "said once, with the line"


def test_what_is_held_back_is_said_by_a_flush() -> None:
    limit = RateLimitFilter()
    for n in range(BURST + 3):
        limit.filter(record(n * 0.01))
    assert limit.log_suppressed(logging.getLogger("woadyard.test")) == 3
    assert limit.log_suppressed(logging.getLogger("woadyard.test")) == 0


async def flood(port: int) -> None:
    """Garbage, each on a connection of its own, as fast as the sidecar takes it."""
    for _ in range(FLOOD):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"NOT HTTP AT ALL\r\n\r\n")
        await reader.read()
        writer.close()


def test_a_flood_of_garbage_gives_few_lines_and_counts_the_rest(tmp_path: Path) -> None:
    async def main() -> None:
        registry = FakeDiscovery()
        async with await registry.start():
            port = free_port()
            process = await start_sidecar(
                {**sidecar_environ(tmp_path, registry), "LB_LISTEN": f"127.0.0.1:{port}"}
            )
            await connect_when_open(port)
            await flood(port)
            process.send_signal(signal.SIGTERM)
            _, errors = await process.communicate()
        lines = [json.loads(line) for line in errors.splitlines()]
        refused = [line for line in lines if line["event"] == "request refused"]
        summaries = [line["count"] for line in lines if line["event"] == "log lines suppressed"]
        assert len(refused) == BURST and len(lines) == BURST + len(summaries)
        assert sum(summaries) + sum(line.get("suppressed", 0) for line in refused) == FLOOD - BURST

    run_test(main())
