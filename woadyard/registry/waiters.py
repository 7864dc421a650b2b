"""Those that wait until something changed, by topic: a book's name, or the log."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

LOG_TOPIC, REPLICATION_TOPIC = "log", "copies"


class Waiters:
    def __init__(self) -> None:
        self.futures: dict[str, set[asyncio.Future[None]]] = {}

    def notify(self, *topics: str) -> None:
        """Those of these topics; without any, all."""
        for topic in topics or tuple(self.futures):
            for waiter in self.futures.pop(topic, ()):
                if not waiter.done():
                    waiter.set_result(None)

    async def wait_until(self, topic: str, true: Callable[[], bool], wait_s: float) -> bool:
        """Returns once `true()`, looked at after each wake of the topic, or after `wait_s`."""
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_s
        while not true():
            if (left := end - loop.time()) <= 0.0:
                return False
            await self.wait_for_notification(topic, left)
        return True

    async def wait_for_notification(self, topic: str, wait_s: float) -> None:
        """Returns at the topic's next wake, or after `wait_s`."""
        waiter = asyncio.get_running_loop().create_future()
        self.futures.setdefault(topic, set()).add(waiter)
        try:
            await asyncio.wait_for(waiter, wait_s)
        except TimeoutError:
            pass
        finally:
            self.futures.get(topic, set()).discard(waiter)
