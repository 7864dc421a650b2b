"""Keeps what all connections hold within the memory budget.

Clients and endpoints decide how much arrives, and how long it waits: for the rest of a request, for
an endpoint, or for a client that reads slowly. When the connections hold too much, requests that are
still incomplete are rejected with 503, those first that made no progress for the longest time. No
request that was forwarded loses its response.
"""

from __future__ import annotations

import logging
from collections.abc import Collection, Sequence
from typing import Protocol

from woadyard.net.memory_budget import MAX_BUFFER_BYTES, MIN_BUFFER_BYTES, MemoryBudget

LOG = logging.getLogger(__name__)
# Shares of the capacity: what is freed beyond the need, and the least that is read between two counts.
ROOM_SHARE, MIN_INTERVAL_SHARE = 1 / 8, 1 / 32
# Once this share of the capacity is in use, responses are streamed rather than buffered.
SCARCE_SHARE = 1 / 2


class HoldsBytes(Protocol):
    """A connection that holds parts of messages."""

    @property
    def held_bytes(self) -> int:
        """The bytes of the messages that it holds."""


class Client(HoldsBytes, Protocol):
    """A client connection."""

    last_read_s: float

    @property
    def is_request_incomplete(self) -> bool:
        """Whether it holds the beginning of a request and nothing else."""

    def reject_incomplete(self) -> None:
        """Respond with 503, and keep nothing of the request."""


class MemoryGuard:
    """Counts what the connections hold, and makes room.

    `clients` and `endpoints` are live views of the connections. Without a budget nothing is bounded.
    """

    def __init__(self, endpoints: Collection[HoldsBytes]) -> None:
        self.clients: Collection[Client] = ()
        self.endpoints = endpoints
        self.budget: MemoryBudget | None = None
        self.buffer_bytes = MAX_BUFFER_BYTES  # that one connection reads at once
        self.uncounted_bytes = 0  # read since the last count
        self.next_count_bytes = 0  # the next one is due when that many are uncounted
        self.is_full = False
        self.is_scarce = False

    def set_budget(self, budget: MemoryBudget, max_sockets: int) -> None:
        """Apply the budget from now on; up to `max_sockets` connections share it."""
        self.budget = budget
        self.buffer_bytes = budget.buffer_bytes(max_sockets)

    def set_process_share(self, share: float) -> None:
        """Use this share of the memory limit: another process of the sidecar has the rest."""
        if self.budget is not None:
            self.budget.process_share = share

    def bytes_received(self, size: int) -> None:
        """Count what a connection has read; makes room if that is too much."""
        self.uncounted_bytes += size
        if self.budget is not None and self.uncounted_bytes >= self.next_count_bytes:
            self._count(self.budget)

    def max_buffered_body(self, usual: int) -> int:
        """Return up to which size a response is buffered whole rather than streamed."""
        return MIN_BUFFER_BYTES if self.is_scarce else usual

    def _count(self, budget: MemoryBudget) -> None:
        clients = list(self.clients)
        held = sum(each.held_bytes for each in (*clients, *self.endpoints))
        capacity = budget.capacity(len(clients) + len(self.endpoints))
        if held > capacity:
            held -= self._make_room(clients, held - int(capacity * (1 - ROOM_SHARE)))
        self.is_full = held > capacity
        self.is_scarce = held > capacity * SCARCE_SHARE
        self.uncounted_bytes = 0
        self.next_count_bytes = max(int((capacity - held) / 2), int(capacity * MIN_INTERVAL_SHARE))

    def _make_room(self, clients: Sequence[Client], wanted_bytes: int) -> int:
        """Reject incomplete requests until so much is free; return how much that was."""
        incomplete = [client for client in clients if client.is_request_incomplete]
        incomplete.sort(key=lambda client: client.last_read_s)
        freed = 0
        for rejected, client in enumerate(incomplete):
            if freed >= wanted_bytes:
                LOG.warning("incomplete requests rejected for memory", extra={"count": rejected})
                break
            freed += client.held_bytes
            client.reject_incomplete()
        return freed
