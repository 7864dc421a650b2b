"""A stand-in HTTP endpoint that follows the protocol page and counts the requests it receives.

`GET /_counts` returns the counts as JSON, so that a test can read them from outside the process:
`{"attempts", "ids", "outcomes": {...}, "headers": {NAME: {VALUE: attempts}}}`, where
`headers` covers the headers in `COUNTED_HEADERS`, by name and by each value received.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import Any

from aiohttp import web

from woadyard.standins.behaviour import HANGS, REJECTED, RESETS, SERVED, Behaviour, Manner

COUNTED_HEADERS = ("X-Acted-On", "X-Class", "X-Retry")
NOT_RUN_HEADERS = {"X-Not-Run": "1"}


class StandIn:
    """An endpoint with simulated behaviour; its load reports carry `load_fields` (no report if empty)."""

    def __init__(self, name: str, manner: Manner, seed: int = 0, load_fields: tuple[str, ...] = ()) -> None:
        self.name, self.load_fields = name, load_fields
        self.behaviour = Behaviour(manner, seed, time.monotonic())
        self.started_ms = time.time_ns() // 1_000_000
        self.slots = asyncio.Semaphore(manner.at_once)
        self.in_flight = self.queued = self.port = 0
        self.is_draining = False
        self.attempts_by_request_id = Counter[str]()
        self.outcomes = Counter[str]()
        self.header_counts = {name: Counter[str]() for name in COUNTED_HEADERS}

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start listening; port 0 lets the operating system choose a free port."""
        app = web.Application(client_max_size=128 * 1024)
        app.router.add_get("/health/live", self.handle_health)
        app.router.add_get("/stats", self.handle_health)
        app.router.add_get("/_counts", self.handle_counts)
        app.router.add_route("*", "/{path:.*}", self.handle_request)
        # The handler is cancelled when the client disconnects.
        self.runner = web.AppRunner(app, access_log=None, handler_cancellation=True, shutdown_timeout=1.0)
        await self.runner.setup()
        await web.TCPSite(self.runner, host, port).start()
        self.port = self.runner.addresses[0][1]

    async def close(self) -> None:
        await self.runner.cleanup()

    def set_manner(self, manner: Manner) -> None:
        """Change the behaviour from now on; the number of concurrent requests stays as it was."""
        self.behaviour.manner = manner

    def entry(self, name: str | None = None, **changes: Any) -> dict[str, Any]:
        """Return the entry under which this endpoint is listed."""
        return {
            "instanceId": name or self.name, "hostPort": f"127.0.0.1:{self.port}", "zone": "here",
            "machineType": "small", "cell": 1, "lifecycle": "draining" if self.is_draining else "ready",
            "weight": 1.0, "startedAtMs": self.started_ms, **changes,
        }  # fmt: skip

    def counts(self) -> dict[str, Any]:
        return {
            "attempts": self.attempts_by_request_id.total(), "ids": len(self.attempts_by_request_id),
            "outcomes": dict(self.outcomes),
            "headers": {name: dict(values) for name, values in self.header_counts.items()},
        }  # fmt: skip

    def load_headers(self) -> dict[str, str]:
        current_manner = self.behaviour.manner
        known = {"inflight": self.in_flight, "queue": self.queued, "waiting": self.queued,
                 "util": round(self.in_flight / current_manner.at_once, 3)}  # fmt: skip
        report = ",".join(f"{field}={known[field]}" for field in self.load_fields if field in known)
        return {"X-Load": report} if report else {}

    async def handle_counts(self, request: web.Request) -> web.Response:
        return web.json_response(self.counts())

    async def handle_health(self, request: web.Request) -> web.Response:
        return web.Response(status=503 if self.is_draining else 200, headers=self.load_headers())

    async def handle_request(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get("X-Request-Id")
        if request_id is None:
            return web.Response(status=404)
        await request.read()  # an attempt counts only once its body has been received completely
        self.attempts_by_request_id[request_id] += 1
        for name, value_counts in self.header_counts.items():
            if (value := request.headers.get(name)) is not None:
                value_counts[value] += 1
        outcome = await self._process_request(request, self.behaviour.draw_outcome())
        self.outcomes[outcome] += 1
        if outcome == RESETS and request.transport is not None:
            request.transport.abort()
        if outcome == REJECTED:
            return web.Response(status=503, headers={**NOT_RUN_HEADERS, **self.load_headers()})
        if outcome == SERVED:
            return web.Response(text=f"{self.name} served {request.path}\n", headers=self.load_headers())
        return web.Response(status=500, headers=self.load_headers())

    async def _process_request(self, request: web.Request, outcome: str) -> str:
        """Wait for a free slot, then for the service time; return the actual outcome."""
        if outcome == HANGS:
            self.outcomes[HANGS] += 1
            await asyncio.Event().wait()  # until the client disconnects, which cancels this handler
        is_full = self.slots.locked() and self.queued >= self.behaviour.manner.queue
        if is_full or self.is_draining or outcome == REJECTED:
            return REJECTED
        self.queued += 1
        try:
            async with asyncio.timeout(int(request.headers.get("X-Deadline-Ms", "60000")) / 1000):
                await self.slots.acquire()
        except (TimeoutError, ValueError):
            return REJECTED  # the deadline passed before processing began, or the header is malformed
        finally:
            self.queued -= 1
        others_in_flight, self.in_flight = self.in_flight, self.in_flight + 1
        try:
            cls = request.headers.get("X-Class", "")
            await asyncio.sleep(self.behaviour.draw_service_time_s(time.monotonic(), cls, others_in_flight))
        finally:
            self.in_flight -= 1
            self.slots.release()
        return outcome
