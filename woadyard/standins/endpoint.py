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

from woadyard.standins.behaviour import HANGS, RESETS, SERVED, TURNED_AWAY, Behaviour, Manner

COUNTED = ("X-Acted-On", "X-Class", "X-Retry")
NOT_RUN = {"X-Not-Run": "1"}


class StandIn:
    """One endpoint; `fields` are those of its load reports, none where empty."""

    def __init__(self, name: str, manner: Manner, seed: int = 0, fields: tuple[str, ...] = ()) -> None:
        self.name, self.fields = name, fields
        self.behaviour = Behaviour(manner, seed, time.monotonic())
        self.started_ms = time.time_ns() // 1_000_000
        self.room = asyncio.Semaphore(manner.at_once)
        self.busy = self.waiting = self.port = 0
        self.draining = False
        self.ids = Counter[str]()
        self.outcomes = Counter[str]()
        self.headers = {name: Counter[str]() for name in COUNTED}

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listens, on a port that the system picks where none is given."""
        app = web.Application(client_max_size=128 * 1024)
        app.router.add_get("/health/live", self.live)
        app.router.add_get("/stats", self.live)
        app.router.add_get("/_counts", self.tell)
        app.router.add_route("*", "/{path:.*}", self.serve)
        # A caller that leaves gives its request up.
        self.runner = web.AppRunner(app, access_log=None, handler_cancellation=True, shutdown_timeout=1.0)
        await self.runner.setup()
        await web.TCPSite(self.runner, host, port).start()
        self.port = self.runner.addresses[0][1]

    async def close(self) -> None:
        await self.runner.cleanup()

    def become(self, manner: Manner) -> None:
        """Behaves so from now on; its room for requests stays."""
        self.behaviour.manner = manner

    def entry(self, name: str | None = None, **changes: Any) -> dict[str, Any]:
        """Its entry in a list."""
        return {
            "instanceId": name or self.name, "hostPort": f"127.0.0.1:{self.port}", "zone": "here",
            "machineType": "small", "cell": 1, "lifecycle": "draining" if self.draining else "ready",
            "weight": 1.0, "startedAtMs": self.started_ms, **changes,
        }  # fmt: skip

    def counts(self) -> dict[str, Any]:
        return {
            "attempts": self.ids.total(), "ids": len(self.ids), "outcomes": dict(self.outcomes),
            "headers": {name: dict(found) for name, found in self.headers.items()},
        }  # fmt: skip

    def report(self) -> dict[str, str]:
        m = self.behaviour.manner
        known = {"inflight": self.busy, "queue": self.waiting, "waiting": self.waiting,
                 "util": round(self.busy / m.at_once, 3)}  # fmt: skip
        told = ",".join(f"{one}={known[one]}" for one in self.fields if one in known)
        return {"X-Load": told} if told else {}

    async def tell(self, request: web.Request) -> web.Response:
        return web.json_response(self.counts())

    async def live(self, request: web.Request) -> web.Response:
        return web.Response(status=503 if self.draining else 200, headers=self.report())

    async def serve(self, request: web.Request) -> web.StreamResponse:
        rid = request.headers.get("X-Request-Id")
        if rid is None:
            return web.Response(status=404)
        await request.read()  # an attempt counts once its last byte is here
        self.ids[rid] += 1
        for name, found in self.headers.items():
            if (value := request.headers.get(name)) is not None:
                found[value] += 1
        fate = await self._run(request, self.behaviour.fate())
        self.outcomes[fate] += 1
        if fate == RESETS and request.transport is not None:
            request.transport.abort()
        if fate == TURNED_AWAY:
            return web.Response(status=503, headers={**NOT_RUN, **self.report()})
        if fate == SERVED:
            return web.Response(text=f"{self.name} served {request.path}\n", headers=self.report())
        return web.Response(status=500, headers=self.report())

    async def _run(self, request: web.Request, fate: str) -> str:
        """What became of it: waits for room, then for its service time."""
        if fate == HANGS:
            self.outcomes[HANGS] += 1
            await asyncio.Event().wait()  # until its caller leaves
        full = self.room.locked() and self.waiting >= self.behaviour.manner.queue
        if full or self.draining or fate == TURNED_AWAY:
            return TURNED_AWAY
        self.waiting += 1
        try:
            async with asyncio.timeout(int(request.headers.get("X-Deadline-Ms", "60000")) / 1000):
                await self.room.acquire()
        except (TimeoutError, ValueError):
            return TURNED_AWAY  # over before it ran
        finally:
            self.waiting -= 1
        busy, self.busy = self.busy, self.busy + 1
        try:
            cls = request.headers.get("X-Class", "")
            await asyncio.sleep(self.behaviour.service_s(time.monotonic(), cls, busy))
        finally:
            self.busy -= 1
            self.room.release()
        return fate
