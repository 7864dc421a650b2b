"""Client for writes to the list service: only the leader accepts them, other replicas redirect to it."""

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

# Builds the next request (method, target, body); takes the decoded response.
BuildRequest = Callable[[], tuple[str, str, dict[str, Any]]]
HandleResponse = Callable[[dict[str, Any]], None]


class RegistryClient:
    """Sends writes to the list service at `addresses` (HOST:PORT of the replicas, separated by commas).

    It follows redirects to the leader, and sends each replica the greatest term it has
    received. A response of an older term comes from a deposed leader and counts as a failure.
    """

    def __init__(self, addresses: str, rng: random.Random) -> None:
        self.replicas = [parse_address(address.strip()) for address in addresses.split(",")]
        self.replica_index = 0
        self.leader: tuple[str, int] | None = None  # as a replica named it
        self.latest_term: tuple[str, int] | None = None  # lineage and greatest term received
        self.backoff = Backoff(rng, MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)

    async def write_periodically(
        self,
        interval_s: float,
        build_request: BuildRequest,
        handle_response: HandleResponse = lambda response: None,
    ) -> None:
        """Send the request every `interval_s` until cancelled; after a failure, send it to the
        next replica after a backoff."""
        while True:
            if await self.write(*build_request(), handle_response):
                self.backoff.reset()
                await asyncio.sleep(interval_s)
            else:
                await asyncio.sleep(self.backoff.next_delay_s())

    async def write(
        self, method: str, target: str, content: dict[str, Any], handle_response: HandleResponse
    ) -> bool:
        """Send one request, following one redirect to the leader. Return False if it failed;
        the next request then goes to another replica."""
        body = json.dumps(content).encode()
        for _ in range(2):
            status, response = await self._send(method, target, body)
            if status == HTTPStatus.OK and self._accept_response(response, handle_response):
                return True
            if status != HTTPStatus.TEMPORARY_REDIRECT or not self._follow_redirect(response):
                break
        self.leader = None
        self.replica_index = (self.replica_index + 1) % len(self.replicas)
        return False

    async def _send(self, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        address = self.leader or self.replicas[self.replica_index]
        headers = f"X-Term: {self.latest_term[0]}:{self.latest_term[1]}\r\n" if self.latest_term else ""
        try:
            return await fetch(address, method, target, body, timeout_s=CALL_TIMEOUT_S, headers=headers)
        except FetchError:
            return 0, b""

    def _follow_redirect(self, response: bytes) -> bool:
        leader_address = read_error_body(response).writer
        try:
            self.leader = parse_address(leader_address) if leader_address else None
        except ConfigError:
            self.leader = None
        return self.leader is not None

    def _accept_response(self, body: bytes, handle_response: HandleResponse) -> bool:
        try:
            response = json.loads(body)
            if term := response.get("term"):
                received_term = str(response.get("lineage")), int(term)
                if (
                    self.latest_term
                    and received_term[0] == self.latest_term[0]
                    and received_term[1] < self.latest_term[1]
                ):
                    return False
                self.latest_term = received_term
            handle_response(response)
        except (ValueError, KeyError, TypeError, AttributeError):
            return False
        return True
