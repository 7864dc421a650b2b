"""Connection pools to the endpoints, and the attempts sent over them.

Opens, reuses and closes connections, and reports exactly one outcome for each attempt.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from woadyard.interface import MOOT, NO_CONNECT
from woadyard.net.endpoint_connection import ConnectionPool, EndpointConnection
from woadyard.net.memory_budget import MAX_BUFFER_BYTES
from woadyard.net.memory_guard import MemoryGuard
from woadyard.net.message import Attempt, Response

# Fraction of an endpoint's idle timeout for which a connection is kept. The rest is a
# margin against sending a request while the endpoint closes the connection.
IDLE_TIMEOUT_FRACTION = 0.8
# Used where the settings give no timeouts.
DEFAULT_IDLE_TIMEOUT_US, DEFAULT_CONNECT_TIMEOUT_US = 10_000_000, 1_000_000

OutcomeCallback = Callable[[Attempt, int, Response | None, bytes], None]


class Upstream:
    """All connection pools and open endpoint connections of this sidecar.

    `now` returns the driver's time in µs. `max_sockets` bounds client connections and endpoint
    connections together. The callbacks are set by the owner before the first `send`.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], int],
        max_sockets: int,
    ) -> None:
        self.loop, self.now = loop, now
        self.max_sockets = max_sockets
        self.count_client_connections: Callable[[], int] = lambda: 0
        # Closes a dispensable client connection; false if there is none.
        self.close_client_connection: Callable[[], bool] = lambda: False
        self.pools: dict[int, ConnectionPool] = {}  # by endpoint number
        self.endpoint_connections: set[EndpointConnection] = set()
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.set_timeouts(0, 0)
        # Shared by all connections: only one reads at a time.
        self.read_buffer = memoryview(bytearray(MAX_BUFFER_BYTES))
        self.memory = MemoryGuard(self.endpoint_connections)
        self.on_outcome: OutcomeCallback = lambda *_: None
        self.begin_relay: Callable[[Attempt, Response, int | None], bool] = lambda *_: False
        self.may_start: Callable[[Attempt, int], bool] = lambda *_: True
        self.on_written: Callable[[Attempt, int], None] = lambda *_: None

    def set_timeouts(self, idle_us: int, connect_us: int) -> None:
        """Apply an endpoint's idle timeout and the connect timeout; 0 selects the default."""
        self.idle_timeout_s = IDLE_TIMEOUT_FRACTION * (idle_us or DEFAULT_IDLE_TIMEOUT_US) / 1e6
        self.connect_timeout_s = (connect_us or DEFAULT_CONNECT_TIMEOUT_US) / 1e6
        if self.sweep_timer is not None:  # it was scheduled with the previous timeout
            self.sweep_timer.cancel()
            self._close_expired()

    def open_pool(self, endpoint: int, host: str, port: int) -> None:
        """Start an empty pool for a new process or address; connections to the old one are closed."""
        self.close_pool(endpoint)
        self.pools[endpoint] = ConnectionPool(host, port)

    def close_pool(self, endpoint: int) -> None:
        """Send nothing more to this endpoint and close its idle connections."""
        if (pool := self.pools.pop(endpoint, None)) is not None:
            pool.close()

    def close_idle(self, endpoint: int) -> None:
        """Close the idle connections to this endpoint; the pool stays open."""
        if (pool := self.pools.get(endpoint)) is not None:
            pool.close_idle()

    def send(self, attempt: Attempt) -> None:
        """Send the attempt over an idle connection, or over a new one if none is usable."""
        pool = self.pools.get(attempt.endpoint)
        if pool is None:
            self.on_outcome(attempt, NO_CONNECT, None, b"")
            return
        while pool.idle:
            connection = pool.idle.pop()
            # On a loaded machine the sweep of expired connections may run late.
            if self.loop.time() - connection.idle_since_s < self.idle_timeout_s and connection.is_reusable():
                connection.attempt, attempt.connection = attempt, connection
                connection.write_request()
                return
            connection.close()
        self._open_connection(pool, attempt)

    def _open_connection(self, pool: ConnectionPool, attempt: Attempt) -> None:
        # An idle client connection is closed first: a client reconnects at less cost than
        # the sidecar opens a connection to an endpoint.
        if len(self.endpoint_connections) + self.count_client_connections() >= self.max_sockets:
            self.close_client_connection()
        if len(self.endpoint_connections) + self.count_client_connections() >= self.max_sockets:
            self._close_longest_idle()
        if len(self.endpoint_connections) + self.count_client_connections() >= self.max_sockets:
            self.on_outcome(attempt, MOOT, None, b"")  # out of sockets: not a failure of the endpoint
            return
        connection = attempt.connection = EndpointConnection(self, pool, attempt)
        self.endpoint_connections.add(connection)
        connection.connect()

    def _close_longest_idle(self) -> None:
        candidates = [pool.idle[0] for pool in self.pools.values() if pool.idle]
        if candidates:
            oldest = min(candidates, key=lambda connection: connection.idle_since_s)
            oldest.pool.idle.remove(oldest)
            oldest.close()
            self.on_connection_lost(oldest)

    def cancel(self, attempt: Attempt) -> bool:
        """Stop waiting for an attempt and close its connection, which the endpoint notices.

        Returns whether the endpoint can't have received the whole request, now or later.
        """
        connection, attempt.connection = attempt.connection, None
        if not isinstance(connection, EndpointConnection) or connection.attempt is not attempt:
            return not attempt.was_written
        connection.attempt = None
        connection.detach_upload()
        connection.close()
        return connection.is_request_unwritten

    def on_connection_lost(self, connection: EndpointConnection) -> None:
        """Forget a connection that is closed or about to be."""
        self.endpoint_connections.discard(connection)

    def on_descriptors_exhausted(self) -> None:
        """Free a descriptor for the next attempt: the system has none, whatever the limit allows."""
        self.close_client_connection()

    # --- Idle connections -----------------------------------------------------------

    def schedule_sweep(self, idle_since_s: float) -> None:
        """Make sure a sweep runs by the time a connection idle since then expires (loop time)."""
        if self.sweep_timer is None:
            self.sweep_timer = self.loop.call_at(idle_since_s + self.idle_timeout_s, self._close_expired)

    def _close_expired(self) -> None:
        """Close connections past the idle timeout; one timer serves all connections."""
        self.sweep_timer = None
        limit_s = self.loop.time() - self.idle_timeout_s
        oldest_s = None
        for pool in self.pools.values():
            while pool.idle and pool.idle[0].idle_since_s <= limit_s:
                pool.idle.pop(0).close()
            if pool.idle and (oldest_s is None or pool.idle[0].idle_since_s < oldest_s):
                oldest_s = pool.idle[0].idle_since_s
        if oldest_s is not None:
            self.schedule_sweep(oldest_s)

    def close(self) -> None:
        """Close all connections, also those that carry an attempt."""
        for connection in list(self.endpoint_connections):
            connection.close()
