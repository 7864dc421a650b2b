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

CALL_TIMEOUT_S = 2.0
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.2, 2.0

# What to write now (method, target, body), and what is done with the answer.
BuildRequest = Callable[[], tuple[str, str, dict[str, Any]]]
HandleResponse = Callable[[dict[str, Any]], None]


class RegistryClient:
    """Writes again and again at the service with these addresses, commas between.

    It goes to the writer that a replica names, and tells each the greatest term it has
    heard in an answer: an answer of an older one is of a writer that was replaced, and
    counts as none.
    """

    def __init__(self, addresses: str, rng: random.Random) -> None:
        self.replicas = [parse_address(one.strip()) for one in addresses.split(",")]
        self.replica_index = 0
        self.leader: tuple[str, int] | None = None  # the writer, as a replica named it
        self.latest_term: tuple[str, int] | None = None  # lineage and term, the greatest told
        self.backoff = Backoff(rng, MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)

    async def write_periodically(
        self, every_s: float, call: BuildRequest, done: HandleResponse = lambda told: None
    ) -> None:
        """Make the call every `every_s` until cancelled; where it fails, at the next
        replica after a backoff."""
        while True:
            if await self.write(*call(), done):
                self.backoff.reset()
                await asyncio.sleep(every_s)
            else:
                await asyncio.sleep(self.backoff.next_delay_s())

    async def write(self, method: str, target: str, content: dict[str, Any], done: HandleResponse) -> bool:
        """One call; at the writer that a replica names, in the same call. False where it
        failed: the next is made at another replica."""
        body = json.dumps(content).encode()
        for _ in range(2):
            status, back = await self._send(method, target, body)
            if status == HTTPStatus.OK and self._accept_response(back, done):
                return True
            if status != HTTPStatus.TEMPORARY_REDIRECT or not self._follow_redirect(back):
                break
        self.leader = None
        self.replica_index = (self.replica_index + 1) % len(self.replicas)
        return False

    async def _send(self, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        at = self.leader or self.replicas[self.replica_index]
        headers = f"X-Term: {self.latest_term[0]}:{self.latest_term[1]}\r\n" if self.latest_term else ""
        try:
            return await fetch(at, method, target, body, timeout_s=CALL_TIMEOUT_S, headers=headers)
        except FetchError:
            return 0, b""

    def _follow_redirect(self, back: bytes) -> bool:
        writer = read_error_body(back).writer
        try:
            self.leader = parse_address(writer) if writer else None
        except ConfigError:
            self.leader = None
        return self.leader is not None

    def _accept_response(self, back: bytes, done: HandleResponse) -> bool:
        try:
            told = json.loads(back)
            if term := told.get("term"):
                named = str(told.get("lineage")), int(term)
                if self.latest_term and named[0] == self.latest_term[0] and named[1] < self.latest_term[1]:
                    return False
                self.latest_term = named
            done(told)
        except (ValueError, KeyError, TypeError, AttributeError):
            return False
        return True
