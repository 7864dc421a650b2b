"""Attempts at endpoints and the connections that carry them.

It opens, reuses and drops connections and reports one outcome for each attempt.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from woadyard.interface import MOOT, NO_CONNECT
from woadyard.net.endpoint_connection import ConnectionPool, EndpointConnection
from woadyard.net.message import READ_SIZE, Attempt, Response

# Part of an endpoint's idle time for which a connection is kept: the rest guards
# against a request that crosses the endpoint's own close.
IDLE_TIMEOUT_FRACTION = 0.8
# Where the settings name none.
DEFAULT_IDLE_TIMEOUT_US, DEFAULT_CONNECT_TIMEOUT_US = 10_000_000, 1_000_000

OutcomeCallback = Callable[[Attempt, int, Response | None, bytes], None]


class Upstream:
    """All pools and open connections of this sidecar."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], int],
        most: int,
    ) -> None:
        self.loop, self.now = loop, now
        self.max_sockets = most  # sockets of both sides
        self.count_client_connections: Callable[[], int] = lambda: 0  # those of the callers
        self.close_client_connection: Callable[[], bool] = lambda: False  # asks them for one
        self.pools: dict[int, ConnectionPool] = {}
        self.connections: set[EndpointConnection] = set()
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.set_timeouts(0, 0)
        self.read_buffer = memoryview(bytearray(READ_SIZE))  # one read at a time, whoever reads
        self.on_outcome: OutcomeCallback = lambda *_: None
        self.begin_relay: Callable[[Attempt, Response, int | None], bool] = lambda *_: False
        self.may_start: Callable[[Attempt, int], bool] = lambda *_: True
        self.on_written: Callable[[Attempt, int], None] = lambda *_: None  # checks what was sent

    def set_timeouts(self, idle_us: int, connect_us: int) -> None:
        self.idle_timeout_s = IDLE_TIMEOUT_FRACTION * (idle_us or DEFAULT_IDLE_TIMEOUT_US) / 1e6
        self.connect_timeout_s = (connect_us or DEFAULT_CONNECT_TIMEOUT_US) / 1e6
        if self.sweep_timer is not None:  # it was set by the time that held before
            self.sweep_timer.cancel()
            self._close_expired()

    def open_pool(self, endpoint: int, host: str, port: int) -> None:
        """A new process or address: what was open to the old one is of no use."""
        self.close_pool(endpoint)
        self.pools[endpoint] = ConnectionPool(host, port)

    def close_pool(self, endpoint: int) -> None:
        if (pool := self.pools.pop(endpoint, None)) is not None:
            pool.close()

    def close_idle(self, endpoint: int) -> None:
        if (pool := self.pools.get(endpoint)) is not None:
            pool.close_idle()

    def send(self, attempt: Attempt) -> None:
        pool = self.pools.get(attempt.endpoint)
        if pool is None:
            self.on_outcome(attempt, NO_CONNECT, None, b"")
            return
        while pool.idle:
            link = pool.idle.pop()
            # The sweep may be late on a loaded machine.
            if self.loop.time() - link.idle_since_s < self.idle_timeout_s and link.is_reusable():
                link.attempt, attempt.connection = attempt, link
                link.write_request()
                return
            link.close()
        self._open_connection(pool, attempt)

    def _open_connection(self, pool: ConnectionPool, attempt: Attempt) -> None:
        # Callers at rest go first: a new connection costs them less than an endpoint.
        if len(self.connections) + self.count_client_connections() >= self.max_sockets:
            self.close_client_connection()
        if len(self.connections) + self.count_client_connections() >= self.max_sockets:
            self._close_longest_idle()
        if len(self.connections) + self.count_client_connections() >= self.max_sockets:
            self.on_outcome(attempt, MOOT, None, b"")  # for want of a socket: no endpoint's fault
            return
        link = attempt.connection = EndpointConnection(self, pool, attempt)
        self.connections.add(link)
        link.connect()

    def _close_longest_idle(self) -> None:
        resting = [pool.idle[0] for pool in self.pools.values() if pool.idle]
        if resting:
            oldest = min(resting, key=lambda link: link.idle_since_s)
            oldest.pool.idle.remove(oldest)
            oldest.close()
            self.on_connection_lost(oldest)

    def cancel(self, attempt: Attempt) -> bool:
        """Stop waiting for an attempt: the endpoint sees its connection close. Whether
        its last byte had not left by then, and so never will."""
        link, attempt.connection = attempt.connection, None
        if not isinstance(link, EndpointConnection) or link.attempt is not attempt:
            return not attempt.was_written
        link.attempt = None
        link.detach_upload()
        link.close()
        return link.is_request_unwritten

    def on_connection_lost(self, link: EndpointConnection) -> None:
        self.connections.discard(link)

    # --- Idle connections -----------------------------------------------------------

    def schedule_sweep(self, since: float) -> None:
        if self.sweep_timer is None:
            self.sweep_timer = self.loop.call_at(since + self.idle_timeout_s, self._close_expired)

    def _close_expired(self) -> None:
        """Drop what rested too long; one timer serves all connections."""
        self.sweep_timer = None
        limit = self.loop.time() - self.idle_timeout_s
        oldest = None
        for pool in self.pools.values():
            while pool.idle and pool.idle[0].idle_since_s <= limit:
                pool.idle.pop(0).close()
            if pool.idle and (oldest is None or pool.idle[0].idle_since_s < oldest):
                oldest = pool.idle[0].idle_since_s
        if oldest is not None:
            self.schedule_sweep(oldest)

    def close(self) -> None:
        for link in list(self.connections):
            link.close()
