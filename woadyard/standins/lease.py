"""A stand-in's place in the list: a lease at the list service, renewed until it leaves."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import aiohttp

INSTANCES_PATH = "/registry/instances"
LOG = logging.getLogger("woadyard.standins")


class Lease:
    """Keeps `entry()` listed at a list service, `HOST:PORT`; a replica sends it on to the writer."""

    def __init__(self, service: str, entry: Callable[[], dict[str, Any]], ttl_ms: int = 3_000) -> None:
        self.service, self.entry, self.ttl_ms = service, entry, ttl_ms

    async def keep_registered(self) -> None:
        """Registers, then renews three times a lease, until cancelled; anew where the lease ran out."""
        listed = False
        while True:
            if not (listed and await self._call("POST", "/renew")):
                listed = await self.register()
            await asyncio.sleep(self.ttl_ms / 3000)

    async def register(self) -> bool:
        return await self._call("PUT", f"?ttl_ms={self.ttl_ms}", self.entry())

    async def unregister(self) -> bool:
        return await self._call("DELETE", "")

    async def _call(self, method: str, tail: str, body: Any = None) -> bool:
        url = f"http://{self.service}{INSTANCES_PATH}/{self.entry()['instanceId']}{tail}"
        most = aiohttp.ClientTimeout(total=max(0.2, self.ttl_ms / 3000))
        try:
            async with aiohttp.request(method, url, json=body, timeout=most) as back:
                return back.status == 200
        except (aiohttp.ClientError, TimeoutError) as error:
            LOG.warning("list service not reached", extra={"error": f"{type(error).__name__}: {error}"})
            return False
