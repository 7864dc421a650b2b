"""Registration of a stand-in endpoint: a lease at the list service, renewed until unregistered."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import aiohttp

INSTANCES_PATH = "/registry/instances"
LOG = logging.getLogger("woadyard.standins")


class Lease:
    """Keeps `entry()` registered at the list service at `HOST:PORT`.

    A follower redirects the requests to the leader.
    """

    def __init__(self, service: str, entry: Callable[[], dict[str, Any]], ttl_ms: int = 3_000) -> None:
        self.service, self.entry, self.ttl_ms = service, entry, ttl_ms

    async def keep_registered(self) -> None:
        """Register, then renew three times per lease until cancelled; register again after an expiry."""
        is_registered = False
        while True:
            if not (is_registered and await self._call("POST", "/renew")):
                is_registered = await self.register()
            await asyncio.sleep(self.ttl_ms / 3000)

    async def register(self) -> bool:
        return await self._call("PUT", f"?ttl_ms={self.ttl_ms}", self.entry())

    async def unregister(self) -> bool:
        return await self._call("DELETE", "")

    async def _call(self, method: str, suffix: str, body: Any = None) -> bool:
        """Send a request for this entry; return whether it succeeded. A failed connection is logged."""
        url = f"http://{self.service}{INSTANCES_PATH}/{self.entry()['instanceId']}{suffix}"
        request_timeout = aiohttp.ClientTimeout(total=max(0.2, self.ttl_ms / 3000))
        try:
            async with aiohttp.request(method, url, json=body, timeout=request_timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError) as error:
            LOG.warning("list service request failed", extra={"error": f"{type(error).__name__}: {error}"})
            return False
