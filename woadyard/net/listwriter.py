"""Writes at the list service: one of its replicas writes, the others send callers on."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from woadyard.errors import ConfigError
from woadyard.net.backoff import Backoff
from woadyard.net.config import parse_address
from woadyard.net.fetch import FetchError, fetch
from woadyard.registry.error_body import read_error_body

CALL_S = 2.0
RETRY_S, RETRY_MOST_S = 0.2, 2.0

# What to write now (method, target, body), and what is done with the answer.
Call = Callable[[], tuple[str, str, dict[str, Any]]]
Done = Callable[[dict[str, Any]], None]


class ListWriter:
    """Writes again and again at the service with these addresses, commas between.

    It goes to the writer that a replica names, and tells each the greatest term it has
    heard in an answer: an answer of an older one is of a writer that was replaced, and
    counts as none.
    """

    def __init__(self, addresses: str, rng: random.Random) -> None:
        self.replicas = [parse_address(one.strip()) for one in addresses.split(",")]
        self.turn = 0
        self.sent_on: tuple[str, int] | None = None  # the writer, as a replica named it
        self.term: tuple[str, int] | None = None  # lineage and term, the greatest told
        self.backoff = Backoff(rng, RETRY_S, RETRY_MOST_S)

    async def keep(self, every_s: float, call: Call, done: Done = lambda told: None) -> None:
        """Make the call every `every_s` until cancelled; where it fails, at the next
        replica after a backoff."""
        while True:
            if await self.write(*call(), done):
                self.backoff.reset()
                await asyncio.sleep(every_s)
            else:
                await asyncio.sleep(self.backoff.next_delay_s())

    async def write(self, method: str, target: str, content: dict[str, Any], done: Done) -> bool:
        """One call; at the writer that a replica names, in the same call. False where it
        failed: the next is made at another replica."""
        body = json.dumps(content).encode()
        for _ in range(2):
            status, back = await self._ask(method, target, body)
            if status == HTTPStatus.OK and self._take(back, done):
                return True
            if status != HTTPStatus.TEMPORARY_REDIRECT or not self._send_on(back):
                break
        self.sent_on = None
        self.turn = (self.turn + 1) % len(self.replicas)
        return False

    async def _ask(self, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        at = self.sent_on or self.replicas[self.turn]
        headers = f"X-Term: {self.term[0]}:{self.term[1]}\r\n" if self.term else ""
        try:
            return await fetch(at, method, target, body, timeout_s=CALL_S, headers=headers)
        except FetchError:
            return 0, b""

    def _send_on(self, back: bytes) -> bool:
        writer = read_error_body(back).writer
        try:
            self.sent_on = parse_address(writer) if writer else None
        except ConfigError:
            self.sent_on = None
        return self.sent_on is not None

    def _take(self, back: bytes, done: Done) -> bool:
        try:
            told = json.loads(back)
            if term := told.get("term"):
                named = str(told.get("lineage")), int(term)
                if self.term and named[0] == self.term[0] and named[1] < self.term[1]:
                    return False
                self.term = named
            done(told)
        except (ValueError, KeyError, TypeError, AttributeError):
            return False
        return True
