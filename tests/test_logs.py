"""Structured logs: one JSON object per line, and a rate limit on what peers can cause."""

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


def record_at(created_s: float, message: str = "request rejected") -> logging.LogRecord:
    log_record = logging.LogRecord("woadyard.net.server", logging.INFO, __file__, 1, message, None, None)
    log_record.created = created_s
    return log_record


def test_lines_above_an_events_budget_in_a_window_are_counted() -> None:
    rate_limit = RateLimitFilter()
    passed = [rate_limit.filter(record_at(n / FLOOD)) for n in range(FLOOD)]
    assert passed.count(True) == BURST and passed[:BURST] == [True] * BURST
    assert rate_limit.filter(record_at(0.5, "other event")), "each event has its own budget"
    later = record_at(WINDOW_S + 0.5)
    assert rate_limit.filter(later) and vars(later)["suppressed"] == FLOOD - BURST
    assert rate_limit.log_suppressed(logging.getLogger("woadyard.test")) == 0, (
        "the next line that passed carried the count"
    )


def test_log_suppressed_logs_the_counts_once() -> None:
    rate_limit = RateLimitFilter()
    for n in range(BURST + 3):
        rate_limit.filter(record_at(n * 0.01))
    assert rate_limit.log_suppressed(logging.getLogger("woadyard.test")) == 3
    assert rate_limit.log_suppressed(logging.getLogger("woadyard.test")) == 0


async def flood(port: int) -> None:
    """Send garbage, each time on a new connection, as fast as the sidecar accepts it."""
    for _ in range(FLOOD):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"NOT HTTP AT ALL\r\n\r\n")
        await reader.read()
        writer.close()


def test_a_flood_of_invalid_requests_is_logged_in_few_lines_and_counted(tmp_path: Path) -> None:
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
        refused = [line for line in lines if line["event"] == "request rejected"]
        summaries = [line["count"] for line in lines if line["event"] == "log lines suppressed"]
        assert len(refused) == BURST and len(lines) == BURST + len(summaries)
        assert sum(summaries) + sum(line.get("suppressed", 0) for line in refused) == FLOOD - BURST

    run_test(main())
