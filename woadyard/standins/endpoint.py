"""A stand-in endpoint over HTTP, to the protocol page, that counts what it was sent.

`GET /_counts` tells the counts as JSON, so that a test counts from outside:
`{"attempts", "ids", "outcomes": {...}, "headers": {NAME: {VALUE: attempts}}}` for
the headers in `COUNTED`, by the names and values they came with.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import Any

from aiohttp import web

from woadyard.standins.behaviour import HANGS, REJECTED, RESETS, SERVED, Behaviour, EndpointProfile

COUNTED_HEADERS = ("X-Acted-On", "X-Class", "X-Retry")
NOT_RUN_HEADERS = {"X-Not-Run": "1"}


class StandIn:
    """One endpoint; `fields` are those of its load reports, none where empty."""

    def __init__(
        self, name: str, manner: EndpointProfile, seed: int = 0, fields: tuple[str, ...] = ()
    ) -> None:
        self.name, self.load_fields = name, fields
        self.behaviour = Behaviour(manner, seed, time.monotonic())
        self.started_ms = time.time_ns() // 1_000_000
        self.slots = asyncio.Semaphore(manner.at_once)
        self.in_flight = self.queued = self.port = 0
        self.is_draining = False
        self.attempts_by_request_id = Counter[str]()
        self.outcomes = Counter[str]()
        self.header_counts = {name: Counter[str]() for name in COUNTED_HEADERS}

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listens, on a port that the system picks where none is given."""
        app = web.Application(client_max_size=128 * 1024)
        app.router.add_get("/health/live", self.handle_health)
        app.router.add_get("/stats", self.handle_health)
        app.router.add_get("/_counts", self.handle_counts)
        app.router.add_route("*", "/{path:.*}", self.handle_request)
        # A caller that leaves gives its request up.
        self.runner = web.AppRunner(app, access_log=None, handler_cancellation=True, shutdown_timeout=1.0)
        await self.runner.setup()
        await web.TCPSite(self.runner, host, port).start()
        self.port = self.runner.addresses[0][1]

    async def close(self) -> None:
        await self.runner.cleanup()

    def set_profile(self, manner: EndpointProfile) -> None:
        """Behaves so from now on; its room for requests stays."""
        self.behaviour.profile = manner

    def entry(self, name: str | None = None, **changes: Any) -> dict[str, Any]:
        """Its entry in a list."""
        return {
            "instanceId": name or self.name, "hostPort": f"127.0.0.1:{self.port}", "zone": "here",
            "machineType": "small", "cell": 1, "lifecycle": "draining" if self.is_draining else "ready",
            "weight": 1.0, "startedAtMs": self.started_ms, **changes,
        }  # fmt: skip

    def counts(self) -> dict[str, Any]:
        return {
            "attempts": self.attempts_by_request_id.total(), "ids": len(self.attempts_by_request_id),
            "outcomes": dict(self.outcomes),
            "headers": {name: dict(found) for name, found in self.header_counts.items()},
        }  # fmt: skip

    def load_headers(self) -> dict[str, str]:
        m = self.behaviour.profile
        known = {"inflight": self.in_flight, "queue": self.queued, "waiting": self.queued,
                 "util": round(self.in_flight / m.at_once, 3)}  # fmt: skip
        told = ",".join(f"{one}={known[one]}" for one in self.load_fields if one in known)
        return {"X-Load": told} if told else {}

    async def handle_counts(self, request: web.Request) -> web.Response:
        return web.json_response(self.counts())

    async def handle_health(self, request: web.Request) -> web.Response:
        return web.Response(status=503 if self.is_draining else 200, headers=self.load_headers())

    async def handle_request(self, request: web.Request) -> web.StreamResponse:
        rid = request.headers.get("X-Request-Id")
        if rid is None:
            return web.Response(status=404)
        await request.read()  # an attempt counts once its last byte is here
        self.attempts_by_request_id[rid] += 1
        for name, found in self.header_counts.items():
            if (value := request.headers.get(name)) is not None:
                found[value] += 1
        fate = await self._process_request(request, self.behaviour.draw_outcome())
        self.outcomes[fate] += 1
        if fate == RESETS and request.transport is not None:
            request.transport.abort()
        if fate == REJECTED:
            return web.Response(status=503, headers={**NOT_RUN_HEADERS, **self.load_headers()})
        if fate == SERVED:
            return web.Response(text=f"{self.name} served {request.path}\n", headers=self.load_headers())
        return web.Response(status=500, headers=self.load_headers())

    async def _process_request(self, request: web.Request, fate: str) -> str:
        """What became of it: waits for room, then for its service time."""
        if fate == HANGS:
            self.outcomes[HANGS] += 1
            await asyncio.Event().wait()  # until its caller leaves
        full = self.slots.locked() and self.queued >= self.behaviour.profile.queue
        if full or self.is_draining or fate == REJECTED:
            return REJECTED
        self.queued += 1
        try:
            async with asyncio.timeout(int(request.headers.get("X-Deadline-Ms", "60000")) / 1000):
                await self.slots.acquire()
        except (TimeoutError, ValueError):
            return REJECTED  # over before it ran
        finally:
            self.queued -= 1
        busy, self.in_flight = self.in_flight, self.in_flight + 1
        try:
            cls = request.headers.get("X-Class", "")
            await asyncio.sleep(self.behaviour.draw_service_time_s(time.monotonic(), cls, busy))
        finally:
            self.in_flight -= 1
            self.slots.release()
        return fate
