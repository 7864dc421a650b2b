"""Whether the client at the other end of a connection is still there."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from typing import Protocol

# The other side has ended its sending; told also while unread bytes lie before that end.
HALF_CLOSED = getattr(select, "POLLRDHUP", 0)
DISCONNECT_EVENTS = HALF_CLOSED | select.POLLHUP | select.POLLERR
CHECK_INTERVAL_S = 0.05  # between looks at who is not read: an attempt may begin 0.1 s after its client left


class DisconnectDetector:
    """Of the client of one connection. Asks the system: the loop hears of an end only in
    its turn, and of none while it does not read. Where the system can't tell, the loop's
    word is all there is."""

    __slots__ = ("poll", "transport")

    def __init__(self, transport: asyncio.Transport) -> None:
        self.transport, self.poll = transport, select.poll()
        self.poll.register(transport.get_extra_info("socket").fileno(), HALF_CLOSED)

    def is_disconnected(self) -> bool:
        if self.transport.is_closing():
            return True
        try:
            told = self.poll.poll(0)
        except OSError:
            return False
        return bool(told) and bool(told[0][1] & DISCONNECT_EVENTS)


def reset_connection(transport: asyncio.Transport) -> None:
    """End a connection so that its client sees that an answer broke off."""
    linger = struct.pack("ii", 1, 0)
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


class PausedClient(Protocol):
    """One end of a connection that may be left at the other."""

    def check_connected(self) -> bool:
        """Looks whether it was left; if so, all that it asked for ends."""


class PausedClients:
    """The clients that are not read for now, whose ends the loop would not hear of."""

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
        """One timer serves all, and runs only while there are any."""
        self.timer = self.loop.call_later(CHECK_INTERVAL_S, self._check_all) if self.clients else None
        for client in list(self.clients):
            if client in self.clients:  # one that ends may let another be read again
                client.check_connected()
