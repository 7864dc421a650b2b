"""The listener for clients, the limits on their connections, and the graceful shutdown."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterator
from itertools import islice

from woadyard.net.acceptor import DESCRIPTOR_ERRORS, Acceptor, error_name, open_listening_sockets
from woadyard.net.client_connection import ClientConnection
from woadyard.net.disconnects import PausedClients
from woadyard.net.driver import Driver
from woadyard.net.memory_budget import MAX_BUFFER_BYTES
from woadyard.net.message import Response
from woadyard.net.request_head import MAX_U63, READ_HEADERS
from woadyard.net.request_log import CloseReason, log_connection_closed
from woadyard.net.timeouts import Timeouts

# Clients get at most this share of the sockets: the rest is reserved for endpoints.
CLIENT_SOCKET_SHARE = 0.75
# Silent connections among this newest share are aborted at once to make room for each
# other: a client that sends its request right away is served at any load.
NEWEST_CONNECTIONS_SHARE = 0.125
# New connections are accepted for this long after SIGTERM, and the last one gets this
# long to send its request. Then client connections are closed.
KEEP_ACCEPTING_S, LAST_REQUEST_WAIT_S = 0.4, 0.15
KEEP_CONNECTIONS_S = KEEP_ACCEPTING_S + LAST_REQUEST_WAIT_S
# Requests that came within this time after SIGTERM may be cut off by SIGKILL. Of those that come
# later none is taken on a connection at rest: an endpoint may hang for longer than is left.
UNCOUNTED_REQUESTS_S = 0.7
# SIGKILL follows SIGTERM no sooner than the longest deadline, counted as at most 3 s, plus
# 0.7 s. What was accepted after SIGTERM gets its response `RESPONSE_MARGIN_S` before that.
MAX_DEADLINE_S, SIGKILL_DELAY_S = 3.0, 0.7
RESPONSE_MARGIN_S = 0.3
MIN_RESPONSE_TIME_S = 0.1  # where all deadlines are short
READ_PENDING_S = 0.002  # one iteration of the event loop
BACKLOG = 1024
# After this many failures of `accept` in a row for lack of descriptors, connections are closed to
# free some, and `SHORTAGE_S` later the usual limit is tried again.
SHORTAGE_FAILURES, SHORTAGE_S = 5, 5.0
MIN_SOCKETS = 16  # of clients and endpoints, however few descriptors there are


def last_response_due_s(deadline_s: float) -> float:
    """Return when after SIGTERM the last response is due, given the longest deadline, in seconds."""
    before_sigkill_s = min(MAX_DEADLINE_S, deadline_s) + SIGKILL_DELAY_S - RESPONSE_MARGIN_S
    return max(before_sigkill_s, KEEP_CONNECTIONS_S + MIN_RESPONSE_TIME_S)


class Server:
    """Accepts client connections and closes them: when idle, at the socket limit, and at shutdown."""

    def __init__(self, driver: Driver, max_sockets: int = 512, reserved_fds: int = 0) -> None:
        self.driver = driver
        self.timeouts = Timeouts()
        # Of clients and endpoints together: now, and without a second process of this sidecar.
        self.max_sockets = self.total_sockets = max_sockets
        self.reserved_fds = reserved_fds  # what each process opens besides
        self.socket_share = 1.0  # of the sockets of all processes of this sidecar
        self.shortage_timer: asyncio.TimerHandle | None = None  # runs while descriptors are short
        self.memory = driver.upstream.memory
        self.read_buffer = memoryview(bytearray(MAX_BUFFER_BYTES))  # shared: one connection reads at a time
        self.connections: dict[ClientConnection, None] = {}  # oldest first
        self.memory.clients = self.connections
        # On the event loop's clock, the longest time ago first.
        self.idle_since: dict[ClientConnection, float] = {}
        self.lingering_since: dict[ClientConnection, float] = {}  # the last response was written
        self.paused_clients = PausedClients(driver.loop)
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.is_stopping = False  # SIGTERM was received
        self.is_shut_out = False  # by the audit: new requests are rejected, accepted ones finished
        self.is_draining = False  # connections are closed after their responses
        self.responses_due_us = MAX_U63  # on the driver's clock
        self.stopping_since_us = MAX_U63  # on the driver's clock, when SIGTERM was received
        self.listener: Acceptor | None = None
        self.has_shared_socket = False  # the listening socket outlives this process
        self.last_accept_s = 0.0  # on the event loop's clock
        self.on_stopped: Callable[[], None] = lambda: None

    @property
    def read_headers(self) -> frozenset[bytes]:
        """The names of the request headers that are read here, in lower case."""
        affinity_header = self.driver.affinity_header
        # Without it one set serves all connections.
        return READ_HEADERS | {affinity_header} if affinity_header else READ_HEADERS

    @property
    def is_accepting(self) -> bool:
        return self.listener is not None and not self.is_stopping

    @property
    def is_ready(self) -> bool:
        """The result of clients' health checks."""
        return not (self.is_stopping or self.is_shut_out)

    @property
    def rejects_requests(self) -> bool:
        """Whether requests that are complete by now are rejected; after `responses_due_us` there
        is no time left to serve them."""
        return self.is_shut_out or self.driver.now() >= self.responses_due_us

    def reject_request(self) -> Response:
        """Return the response to a request that is not accepted any more, and count it."""
        metrics = self.driver.metrics
        metrics.request_received()
        metrics.request_rejected()
        metrics.response_sent(503, 0)
        return Response(503, b"Retry-After: 1\r\n" if self.driver.settings.retry_after else b"")

    async def listen(self, host: str, port: int) -> int:
        """Listen on an address, and return the port, which the system picks for 0."""
        self.listener = self._create_acceptor(await open_listening_sockets(host, port, BACKLOG))
        return self.listener.port

    async def adopt_socket(self, descriptor: int) -> None:
        """Listen on a socket that the platform owns.

        Other processes of this sidecar accept connections from it too, before and after this one.
        Raises OSError if the descriptor is no listening socket.
        """
        self.has_shared_socket = True
        listening_socket = socket.socket(fileno=descriptor)
        if not listening_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            listening_socket.detach()  # it belongs to the platform, and must not be closed
            raise OSError(f"descriptor {descriptor} is not a listening socket")
        listening_socket.listen(BACKLOG)
        self.listener = self._create_acceptor([listening_socket])

    def _create_acceptor(self, listening_sockets: list[socket.socket]) -> Acceptor:
        return Acceptor(
            self.driver.loop,
            listening_sockets,
            lambda: ClientConnection(self),
            self._accept_failed,
            self._check_stopped,
        )

    def connection_opened(self, connection: ClientConnection) -> None:
        """Enforce the socket limit, and the endpoints' share of it.

        A new connection is aborted only if no other one can be closed instead.
        """
        self.connections[connection] = None
        self.last_accept_s = self.driver.loop.time()
        if self._is_over_limit():
            self.release_connection()
        if self._is_over_limit():
            newest = islice(
                reversed(self.connections), max(1, int(NEWEST_CONNECTIONS_SHARE * len(self.connections)))
            )
            oldest_silent = [candidate for candidate in newest if candidate.parser.is_silent][-1]
            oldest_silent.is_closed = True
            del self.connections[oldest_silent]
            self.abort_connection(oldest_silent, CloseReason.SOCKET_LIMIT)

    def _is_over_limit(self) -> bool:
        return self._count_open_sockets() > self.max_sockets or len(self.connections) > max(
            1, CLIENT_SOCKET_SHARE * self.max_sockets
        )

    def set_socket_share(self, share: float) -> None:
        """Adapt the limit to a share of all descriptors.

        Where a second process of this sidecar runs, each has half of them, which includes the
        descriptors that each needs besides the sockets of clients and endpoints.
        """
        self.socket_share = share
        self.memory.set_process_share(share)
        self._set_max_sockets(int((self.total_sockets + self.reserved_fds) * share) - self.reserved_fds)

    def _set_max_sockets(self, max_sockets: int) -> None:
        self.max_sockets = self.driver.upstream.max_sockets = max(MIN_SOCKETS, max_sockets)
        while self._is_over_limit() and self.release_connection():
            pass

    def _accept_failed(self, error: OSError, consecutive_failures: int) -> None:
        """Count the failure; if descriptors stay short, make do with as many as are open now.

        The endpoints' part of those is then freed, and after a while the usual limit is tried again.
        """
        self.driver.metrics.accept_failed(error_name(error))
        is_short = error.errno in DESCRIPTOR_ERRORS and consecutive_failures >= SHORTAGE_FAILURES
        if is_short and self.shortage_timer is None:
            self.shortage_timer = self.driver.loop.call_later(SHORTAGE_S, self._end_shortage)
            self._set_max_sockets(min(self.max_sockets, self._count_open_sockets()))

    def _end_shortage(self) -> None:
        self.shortage_timer = None
        self.set_socket_share(self.socket_share)

    def _count_open_sockets(self) -> int:
        return len(self.connections) + len(self.driver.upstream.endpoint_connections)

    def connection_closed(self, connection: ClientConnection) -> None:
        self.connections.pop(connection, None)
        self.idle_since.pop(connection, None)
        self.lingering_since.pop(connection, None)
        self._check_stopped()

    def _check_stopped(self) -> None:
        """Report the end of the shutdown once nothing is accepted any more and no connection is left."""
        has_listener = self.listener is not None and not self.listener.is_finished
        if self.is_stopping and not (has_listener or self.connections):
            on_stopped, self.on_stopped = self.on_stopped, lambda: None
            on_stopped()

    def mark_idle(self, connection: ClientConnection) -> None:
        self.idle_since[connection] = self.driver.loop.time()
        if self.sweep_timer is None:
            self.sweep_timer = self.driver.loop.call_later(self.timeouts.idle_s, self._close_expired)

    def release_connection(self) -> bool:
        """Close one connection to free its socket; return whether there was one to close.

        A connection is spared as long as a byte of its response is unwritten.
        """
        connection = next((c for c in self._closable_connections() if c.is_flushed), None)
        if connection is None:
            return False
        self.close_connection(connection, CloseReason.SOCKET_LIMIT)
        self.connections.pop(connection, None)
        return True

    def _closable_connections(self) -> Iterator[ClientConnection]:
        """Yield the connections that may be closed, the least valuable first.

        Those that became idle just now come last: the next request may be on its way, and would be lost.
        """
        now = self.driver.loop.time()
        linger_limit_s, request_limit_s = (
            now - self.timeouts.overload_linger_s,
            now - self.timeouts.overload_request_s,
        )
        yield from (c for c, since_s in self.lingering_since.items() if since_s <= linger_limit_s)
        awaited = (c for c in self.connections if c.request_timer.is_running and c.call is None)
        overdue = [c for c in awaited if c.request_timer.awaiting_since_s <= request_limit_s]
        yield from (c for c in overdue if not c.parser.is_reading)
        yield from (c for c, since_s in self.idle_since.items() if since_s <= request_limit_s)
        yield from overdue
        yield from self.idle_since

    def _close_expired(self) -> None:
        """Close connections that were idle for too long; one timer serves all connections."""
        self.sweep_timer = None
        loop = self.driver.loop
        for connection, since_s in list(self.idle_since.items()):
            if since_s + self.timeouts.idle_s > loop.time():
                self.sweep_timer = loop.call_at(since_s + self.timeouts.idle_s, self._close_expired)
                break
            self.close_connection(connection, CloseReason.IDLE)

    def stop(self, on_stopped: Callable[[], None]) -> None:
        """Shut down gracefully, as upon SIGTERM: serve what still arrives, then finish.

        Connections are kept meanwhile: in a rolling restart the next sidecar may not be up yet,
        and clients have nowhere else to go. Where the platform owns the listening socket, the
        process that accepts next takes the new connections: the present ones are then closed
        with their next response, and those that stay idle at the end of the time they are kept.
        """
        if self.is_stopping:
            return
        self.is_stopping, self.on_stopped = True, on_stopped
        driver, loop = self.driver, self.driver.loop
        # Only classes in force count: those removed by a reload do not postpone SIGKILL.
        numbers, classes = driver.names.classes.values(), driver.settings.classes
        due_s = last_response_due_s(max(classes[number].deadline_us for number in numbers) / 1e6)
        self.stopping_since_us = driver.now()
        self.responses_due_us = self.stopping_since_us + round(due_s * 1e6)
        if self.has_shared_socket:
            self.is_draining = True
            self._close_listener()
        else:
            loop.call_later(KEEP_ACCEPTING_S, self._stop_listening, loop.time() + KEEP_ACCEPTING_S)
        loop.call_later(KEEP_CONNECTIONS_S, self._begin_draining)
        loop.call_later(due_s, self._respond_to_remaining)

    def _begin_draining(self) -> None:
        """Accept nothing more, and close idle connections once the requests received by now are read.

        Closes the listener also if clients keep connecting, which would postpone the end.
        """
        self.is_draining = True
        self._close_listener()
        self.driver.loop.call_later(READ_PENDING_S, self._close_idle)

    def _close_idle(self) -> None:
        if self.listener is not None and self.listener.opening:  # their requests are not read yet
            self.driver.loop.call_later(READ_PENDING_S, self._close_idle)
            return
        for connection in [c for c in self.connections if c.is_idle()]:
            self.close_connection(connection, CloseReason.SHUTDOWN)

    def _respond_to_remaining(self) -> None:
        """Respond to what SIGKILL would cut off: requests with deadlines from before SIGTERM,
        streamed bodies, and incomplete requests. Streamed responses that are not long are given up."""
        counted_from_us = self.stopping_since_us + round(UNCOUNTED_REQUESTS_S * 1e6)
        for connection in list(self.connections):
            connection.respond_before_exit(counted_from_us)

    def mark_lingering(self, connection: ClientConnection) -> None:
        self.lingering_since[connection] = self.driver.loop.time()

    def _check_pending_response(self, connection: ClientConnection) -> None:
        """Report an invariant violation if a connected client still awaits a response."""
        if connection.detector is not None and not connection.detector.is_disconnected():
            self.driver.attempts.invariants.check_closed(connection.call)

    def abort_connection(self, connection: ClientConnection, reason: CloseReason) -> None:
        """Close a connection at once, discarding unwritten data."""
        log_connection_closed(connection.call, reason)
        self._check_pending_response(connection)
        if connection.transport is not None:
            connection.transport.abort()

    def close_connection(self, connection: ClientConnection, reason: CloseReason) -> None:
        """Close a connection once all responses are written.

        Client connections are ended only here and by `abort_connection`.
        """
        log_connection_closed(connection.call, reason)
        self._check_pending_response(connection)
        self.idle_since.pop(connection, None)
        self.lingering_since.pop(connection, None)
        connection.is_closed = True
        if connection.transport is not None:
            connection.transport.close()
            connection.watch_client()  # one that never reads would stay forever

    def _stop_listening(self, not_before_s: float) -> None:
        """Close the listener once the last connection had time to send its request."""
        loop = self.driver.loop
        close_at_s = max(not_before_s, self.last_accept_s) + LAST_REQUEST_WAIT_S
        if loop.time() < close_at_s:
            loop.call_later(close_at_s - loop.time(), self._stop_listening, not_before_s)
            return
        self._close_listener()

    def _close_listener(self) -> None:
        if self.listener is not None:
            self.listener.close()
        self._check_stopped()
