"""Detects that the client of a connection has disconnected."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
from typing import Protocol

from woadyard.net.socket_buffers import receive_memory, unacknowledged_bytes

# The other side has shut down its sending; reported also while unread bytes precede that.
HALF_CLOSED = getattr(select, "POLLRDHUP", 0)
DISCONNECT_EVENTS = HALF_CLOSED | select.POLLHUP | select.POLLERR
# For connections that are not read: an attempt may begin 0.1 s after its client disconnected.
CHECK_INTERVAL_S = 0.05
# Of the system, for what a client sends ahead. The end of its sending is seen behind what fits in; once a
# buffer was full, the client's system may send the rest only when half of it is free again.
RECEIVE_BUFFER_BYTES, VISIBLE_SHARE = 512 * 1024, 1 / 3


class DisconnectDetector:
    """Detects the disconnect of one connection's client by polling the socket.

    The event loop reports a disconnect only in its next iteration, and never while reading is
    paused. Where the system has no POLLRDHUP, the event loop's report is all there is.
    """

    __slots__ = ("max_unread_bytes", "poll", "transport")

    def __init__(self, transport: asyncio.Transport) -> None:
        self.transport, self.poll = transport, select.poll()
        client_socket = transport.get_extra_info("socket")
        self.poll.register(client_socket.fileno(), HALF_CLOSED)
        size = 0
        with contextlib.suppress(OSError):
            client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            size = client_socket.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        self.max_unread_bytes = int((size or RECEIVE_BUFFER_BYTES) * VISIBLE_SHARE)

    def is_disconnected(self) -> bool:
        if self.transport.is_closing():
            return True
        try:
            events = self.poll.poll(0)
        except OSError:
            return False
        return bool(events) and bool(events[0][1] & DISCONNECT_EVENTS)

    def may_miss_disconnect(self) -> bool:
        """Whether so much is unread that the end of the client's sending may be waiting behind it."""
        return receive_memory(self.transport) > self.max_unread_bytes

    def awaits_reset(self) -> bool:
        """Whether a client that may have closed its connection has not acknowledged all that was written.

        Its system responds to the rest of a response with a reset.
        """
        return self.may_miss_disconnect() and unacknowledged_bytes(self.transport) > 0


def reset_connection(transport: asyncio.Transport) -> None:
    """Abort a connection with a TCP reset, so that its client sees that the response is incomplete."""
    linger = struct.pack("ii", 1, 0)
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


class PausedClient(Protocol):
    """A client connection that is not being read."""

    def check_connected(self) -> bool:
        """Return whether the client is connected; if it is not, cancel its requests."""


class PausedClients:
    """The client connections with paused reading, whose disconnects the event loop does not report."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.clients: dict[PausedClient, None] = {}
        self.timer: asyncio.TimerHandle | None = None

    def add(self, client: PausedClient) -> None:
        self.clients[client] = None
        if self.timer is None:
            self.timer = self.loop.call_later(CHECK_INTERVAL_S, self._check_all)

    def discard(self, client: PausedClient) -> None:
        self.clients.pop(client, None)

    def _check_all(self) -> None:
        """One timer serves all connections, and runs only while there are any."""
        self.timer = self.loop.call_later(CHECK_INTERVAL_S, self._check_all) if self.clients else None
        for client in list(self.clients):
            if client in self.clients:  # cancelling one client's requests may resume another's reading
                client.check_connected()
