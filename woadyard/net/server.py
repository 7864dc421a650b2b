"""The callers' side: the listener, its connections, and the stop in order."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterator
from itertools import islice

from woadyard.net.client_connection import ClientConnection
from woadyard.net.disconnects import PausedClients
from woadyard.net.driver import Driver
from woadyard.net.message import READ_SIZE, Response
from woadyard.net.request_head import MAX_U63, BadRequestError
from woadyard.net.timeouts import Timeouts

# Callers fill this part of the sockets at most: the others are for endpoints.
CLIENT_SOCKET_SHARE = 0.75
# The latest to come, this part of them, give way to each other at once while they say
# nothing: who asks for something as it comes is heard in any crowd.
NEWEST_CONNECTIONS_SHARE = 0.125
# New connections come for this long after SIGTERM, and a last one gets this
# long to bring its request.
KEEP_ACCEPTING_S, LAST_REQUEST_WAIT_S = 0.4, 0.15
# SIGKILL follows SIGTERM no sooner than the longest deadline, counted as 3 s at
# most, and 0.7 s. What was taken after SIGTERM is answered this long before that,
# and callers' connections are kept until this much time is left for it.
MAX_DEADLINE_S, SIGKILL_DELAY_S = 3.0, 0.7
RESPONSE_MARGIN_S, RESPONSE_TIME_S = 0.3, 1.0
MIN_RESPONSE_TIME_S = 0.1  # where all deadlines are short
READ_PENDING_S = 0.002  # one turn of the loop
BACKLOG = 1024
# Ids of requests are remembered for this long, and for as long as the request may run.
REQUEST_ID_RETENTION_S, MAX_REQUEST_ID_BYTES = 30.0, 128
# And no more than these, the latest: guards memory against floods of them.
MAX_REMEMBERED_IDS = 32_768


def shutdown_times(deadline_s: float) -> tuple[float, float]:
    """By the longest deadline: until when after SIGTERM connections are kept, and when
    the last answer is due."""
    last_s = KEEP_ACCEPTING_S + LAST_REQUEST_WAIT_S
    answered_s = max(
        min(MAX_DEADLINE_S, deadline_s) + SIGKILL_DELAY_S - RESPONSE_MARGIN_S, last_s + MIN_RESPONSE_TIME_S
    )
    return max(last_s, answered_s - RESPONSE_TIME_S), answered_s


class Server:
    """The listener and its connections."""

    def __init__(self, driver: Driver, max_sockets: int = 512, reserved_fds: int = 0) -> None:
        self.driver = driver
        self.timeouts = Timeouts()
        self.max_sockets = self.total_sockets = max_sockets  # sockets of both sides
        self.reserved_fds = reserved_fds  # what each process has besides
        self.read_buffer = memoryview(bytearray(READ_SIZE))  # one read at a time, whoever reads
        self.connections: dict[ClientConnection, None] = {}  # the first to come first
        self.idle_since: dict[ClientConnection, float] = {}  # between requests since, the longest first
        self.lingering_since: dict[ClientConnection, float] = {}  # answered for good since, the longest first
        self.paused_clients = PausedClients(driver.loop)
        self.sweep_timer: asyncio.TimerHandle | None = None
        # Of requests: when that was or was looked at last, the oldest first, and when its time is up; µs.
        self.request_ids: dict[bytes, tuple[int, int]] = {}
        self.is_stopping = False  # told to
        self.is_shut_out = False  # from now on requests are turned away; those taken are finished
        self.is_draining = False  # no connection is kept any more
        self.responses_due_us = MAX_U63  # on the driver's clock, µs
        self.listener: asyncio.Server | None = None
        self.has_shared_socket = False  # the listening socket outlives this process
        self.last_accept_s = 0.0
        self.on_stopped: Callable[[], None] = lambda: None

    @property
    def is_accepting(self) -> bool:
        return self.listener is not None and not self.is_stopping

    @property
    def is_ready(self) -> bool:
        """What callers are told when they ask whether it is ready."""
        return not (self.is_stopping or self.is_shut_out)

    @property
    def rejects_requests(self) -> bool:
        """Whether requests that come whole now are refused; after the last no time is left."""
        return self.is_shut_out or self.driver.now() >= self.responses_due_us

    def reject_request(self) -> Response:
        """The answer to a request that this sidecar takes no more."""
        metrics = self.driver.metrics
        metrics.request_received()
        metrics.request_rejected()
        metrics.response_sent(503, 0)
        return Response(503, b"Retry-After: 1\r\n" if self.driver.settings.retry_after else b"")

    def claim_request_id(self, name: bytes, expires: int) -> None:
        """An id is for one request. Guards the endpoints against stray copies: one
        that runs twice breaks a rule, and an answer to it would blame who gave it."""
        if not 0 < len(name) <= MAX_REQUEST_ID_BYTES:
            raise BadRequestError(400, "X-Request-Id is missing, doubled or too long")
        now = self.driver.now()
        while (
            self.request_ids
            and (oldest := next(iter(self.request_ids.items())))[1][0] <= now - REQUEST_ID_RETENTION_S * 1e6
        ):
            del self.request_ids[oldest[0]]
            if (until := oldest[1][1]) > now:
                self.request_ids[oldest[0]] = now, until
        if name in self.request_ids:
            raise BadRequestError(409, "X-Request-Id was taken before")
        self.request_ids[name] = now, expires
        if len(self.request_ids) > MAX_REMEMBERED_IDS:
            del self.request_ids[next(iter(self.request_ids))]

    async def listen(self, host: str, port: int) -> int:
        loop = self.driver.loop
        self.listener = await loop.create_server(lambda: ClientConnection(self), host, port, backlog=BACKLOG)
        return int(self.listener.sockets[0].getsockname()[1])

    async def adopt_socket(self, descriptor: int) -> None:
        """Listen on a socket that the platform holds: other processes of this
        sidecar accept from it too, before and after this one."""
        self.has_shared_socket = True
        listening = socket.socket(fileno=descriptor)
        if not listening.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            listening.detach()  # whatever it is, it is not ours to close
            raise OSError(f"descriptor {descriptor} does not listen")
        self.listener = await self.driver.loop.create_server(
            lambda: ClientConnection(self), sock=listening, backlog=BACKLOG
        )

    def connection_opened(self, caller: ClientConnection) -> None:
        """Guards the limit on sockets, and the endpoints' part of them, against
        crowds. A new connection is turned away only where nobody can give way."""
        self.connections[caller] = None
        self.last_accept_s = self.driver.loop.time()
        if self._is_over_limit():
            self.release_connection()
        if self._is_over_limit():
            latest = islice(
                reversed(self.connections), max(1, int(NEWEST_CONNECTIONS_SHARE * len(self.connections)))
            )
            last = [one for one in latest if one.parser.is_silent][-1]
            last.is_closed = True
            del self.connections[last]
            self.abort_connection(last)

    def _is_over_limit(self) -> bool:
        both = len(self.connections) + len(self.driver.upstream.endpoint_connections)
        return both > self.max_sockets or len(self.connections) > max(
            1, CLIENT_SOCKET_SHARE * self.max_sockets
        )

    def set_socket_share(self, part: float) -> None:
        """With a second process of this sidecar each has half of all descriptors,
        and in its half what each has besides the sockets of both sides."""
        most = int((self.total_sockets + self.reserved_fds) * part) - self.reserved_fds
        self.max_sockets = self.driver.upstream.max_sockets = max(16, most)
        while self._is_over_limit() and self.release_connection():
            pass

    def connection_closed(self, caller: ClientConnection) -> None:
        self.connections.pop(caller, None)
        self.idle_since.pop(caller, None)
        self.lingering_since.pop(caller, None)
        if self.is_stopping and self.listener is None and not self.connections:
            self.on_stopped()

    def mark_idle(self, caller: ClientConnection) -> None:
        self.idle_since[caller] = self.driver.loop.time()
        if self.sweep_timer is None:
            self.sweep_timer = self.driver.loop.call_later(self.timeouts.idle_s, self._close_expired)

    def release_connection(self) -> bool:
        """One socket less. Whoever is served is left alone, as long as a byte of its
        answer is unwritten."""
        caller = next((one for one in self._closable_connections() if one.is_flushed), None)
        if caller is None:
            return False
        self.close_connection(caller)
        self.connections.pop(caller, None)
        return True

    def _closable_connections(self) -> Iterator[ClientConnection]:
        """Who may be closed, the least to be missed first: the next request of one that
        came to rest just now may be on its way, and would be lost."""
        now = self.driver.loop.time()
        limit, owed = now - self.timeouts.overload_linger_s, now - self.timeouts.overload_request_s
        yield from (one for one, since in self.lingering_since.items() if since <= limit)
        owing = (one for one in self.connections if one.request_timer is not None and one.call is None)
        late = [one for one in owing if one.awaiting_since_s <= owed]
        yield from (one for one in late if not one.parser.is_reading)
        yield from (one for one, since in self.idle_since.items() if since <= owed)
        yield from late
        yield from self.idle_since

    def _close_expired(self) -> None:
        """Drop who rested too long; one timer serves all connections."""
        self.sweep_timer = None
        loop = self.driver.loop
        for caller, since in list(self.idle_since.items()):
            if since + self.timeouts.idle_s > loop.time():
                self.sweep_timer = loop.call_at(since + self.timeouts.idle_s, self._close_expired)
                break
            self.close_connection(caller)

    def stop(self, on_end: Callable[[], None]) -> None:
        """SIGTERM: serve what comes while it comes, then finish and end.

        Connections are kept meanwhile: where sidecars restart in turn, the next
        one may not be up yet, and callers have nowhere else to go. Where the
        platform holds the socket, whoever accepts next takes the new ones: each
        connection then ends with its next answer, and only at rest without one.
        """
        if self.is_stopping:
            return
        self.is_stopping, self.on_stopped = True, on_end
        driver, loop = self.driver, self.driver.loop
        # Of the classes in force: those of before a reload put SIGKILL off no more.
        force, classes = driver.names.classes.values(), driver.settings.classes
        kept_s, answered_s = shutdown_times(max(classes[number].deadline_us for number in force) / 1e6)
        self.responses_due_us = driver.now() + round(answered_s * 1e6)
        if self.has_shared_socket:
            self.is_draining = True
            self._close_listener()
        else:
            loop.call_later(KEEP_ACCEPTING_S, self._stop_listening, loop.time() + KEEP_ACCEPTING_S)
        loop.call_later(kept_s, self._begin_draining)
        loop.call_later(answered_s, self._respond_to_remaining)

    def _begin_draining(self) -> None:
        """What has come by now is read before those at rest are closed under it. Nobody
        comes any more, however many did to the last: they would hold up the end."""
        self.is_draining = True
        self._close_listener()
        self.driver.loop.call_later(READ_PENDING_S, self._close_idle)

    def _close_idle(self) -> None:
        for caller in [one for one in self.connections if one.is_idle()]:
            self.close_connection(caller)

    def _respond_to_remaining(self) -> None:
        """SIGKILL cuts off whatever is not answered by now: a deadline of before SIGTERM,
        a body on its way, a request that is not whole."""
        for caller in list(self.connections):
            caller.respond_before_exit()

    def mark_lingering(self, caller: ClientConnection) -> None:
        self.lingering_since[caller] = self.driver.loop.time()

    def _check_pending_response(self, caller: ClientConnection) -> None:
        if caller.detector is not None and not caller.detector.is_disconnected():
            self.driver.attempts.invariants.check_closed(caller.call)

    def abort_connection(self, caller: ClientConnection) -> None:
        """Break a connection off at once, whatever is unwritten."""
        self._check_pending_response(caller)
        if caller.transport is not None:
            caller.transport.abort()

    def close_connection(self, caller: ClientConnection) -> None:
        """End a connection once all that was answered is written; no caller's ends but here and by `cut`."""
        self._check_pending_response(caller)
        self.idle_since.pop(caller, None)
        self.lingering_since.pop(caller, None)
        caller.is_closed = True
        if caller.transport is not None:
            caller.transport.close()
            if caller.transport.get_write_buffer_size():  # who never reads would stay for good
                self.driver.loop.call_later(self.timeouts.stall_s, self.abort_connection, caller)

    def _stop_listening(self, least: float) -> None:
        loop = self.driver.loop
        until = max(least, self.last_accept_s) + LAST_REQUEST_WAIT_S
        if loop.time() < until:
            loop.call_later(until - loop.time(), self._stop_listening, least)
            return
        self._close_listener()

    def _close_listener(self) -> None:
        if self.listener is None:
            return
        self.listener.close()
        self.listener = None
        if not self.connections:
            self.on_stopped()
