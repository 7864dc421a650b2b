"""Tasks that wait for a change, by topic: the name of a state machine, or the log."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

LOG_TOPIC, REPLICATION_TOPIC = "log", "copies"


class Waiters:
    """Wakes the tasks that wait on a topic; for one event loop."""

    def __init__(self) -> None:
        self.futures: dict[str, set[asyncio.Future[None]]] = {}

    def notify(self, *topics: str) -> None:
        """Wake the tasks that wait on these topics, or on any topic if none is given."""
        for topic in topics or tuple(self.futures):
            for future in self.futures.pop(topic, ()):
                if not future.done():
                    future.set_result(None)

    async def wait_until(self, topic: str, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Wait until `condition()` holds; return False after `timeout_s`.

        The condition is evaluated at the start and after each notification of the topic."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while not condition():
            if (remaining_s := deadline_s - loop.time()) <= 0.0:
                return False
            await self.wait_for_notification(topic, remaining_s)
        return True

    async def wait_for_notification(self, topic: str, timeout_s: float) -> None:
        """Return at the topic's next notification, or after `timeout_s`."""
        future = asyncio.get_running_loop().create_future()
        self.futures.setdefault(topic, set()).add(future)
        try:
            await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            pass
        finally:
            self.futures.get(topic, set()).discard(future)
