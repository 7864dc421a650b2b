"""Accepts the connections of listening sockets.

The event loop's own server handles a lack of descriptors by accepting the waiting connections
on a spare one and closing them unread. Here they stay in the backlog until `accept` succeeds.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable, Sequence
from functools import partial

LOG = logging.getLogger(__name__)
# A socket can't be opened or accepted for lack of descriptors of this process or this machine.
DESCRIPTOR_ERRORS = frozenset((errno.EMFILE, errno.ENFILE))
# The backlog stays readable after a failure, so that the event loop would report it at once.
RETRY_DELAY_S = 0.01


def error_name(error: OSError) -> str:
    """Return the symbolic name of an error of the system, for logs and metrics."""
    return errno.errorcode.get(error.errno or 0, "unknown")


async def open_listening_sockets(host: str, port: int, backlog: int) -> list[socket.socket]:
    """Listen on all addresses of a host; the system picks the port for 0.

    Raises OSError if an address can't be used, and OverflowError if the port is out of range.
    """
    loop = asyncio.get_running_loop()
    resolved = await loop.getaddrinfo(host or None, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)
    addresses = {(family, address[0]): None for family, _, _, _, address in resolved}
    sockets: list[socket.socket] = []
    try:
        for family, address in addresses:
            sockets.append(socket.create_server((str(address), port), family=family, backlog=backlog))
    except BaseException:
        for each in sockets:
            each.close()
        raise
    return sockets


class Acceptor:
    """Accepts connections and gives each a protocol, one connection in an iteration of the event loop.

    It owns the sockets. `on_failure` gets each error of `accept` that leaves the connection in
    the backlog, with the count of such errors in a row. `on_opened` is called when the opening
    of an accepted connection has ended, whether its protocol got it or not.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listening_sockets: Sequence[socket.socket],
        create_protocol: Callable[[], asyncio.BaseProtocol],
        on_failure: Callable[[OSError, int], None] = lambda *_: None,
        on_opened: Callable[[], None] = lambda: None,
    ) -> None:
        self.loop, self.sockets = loop, list(listening_sockets)
        self.create_protocol, self.on_failure, self.on_opened = create_protocol, on_failure, on_opened
        self.opening: set[asyncio.Task[None]] = set()  # accepted, and not yet with their protocols
        self.retry_timers: dict[socket.socket, asyncio.TimerHandle] = {}
        self.consecutive_failures = 0
        self.is_closed = False
        for each in self.sockets:
            each.setblocking(False)
            self._resume(each)

    @property
    def port(self) -> int:
        """The port of the first socket."""
        return int(self.sockets[0].getsockname()[1])

    @property
    def is_finished(self) -> bool:
        """Whether it is closed and each accepted connection has reached its protocol."""
        return self.is_closed and not self.opening

    def close(self) -> None:
        """Close the sockets; connections that were accepted still reach their protocols."""
        if self.is_closed:
            return
        self.is_closed = True
        for timer in self.retry_timers.values():
            timer.cancel()
        for each in self.sockets:
            self.loop.remove_reader(each)
            each.close()

    def _resume(self, listening_socket: socket.socket) -> None:
        self.retry_timers.pop(listening_socket, None)
        self.loop.add_reader(listening_socket, self._accept, listening_socket)

    def _accept(self, listening_socket: socket.socket) -> None:
        try:
            accepted, _ = listening_socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return  # the connection went to another process, or its client has gone
        except OSError as error:
            self._accept_failed(listening_socket, error)
            return
        if self.consecutive_failures:
            LOG.info("accepting again", extra={"failures": self.consecutive_failures})
            self.consecutive_failures = 0
        accepted.setblocking(False)
        opening = self.loop.create_task(self._open(accepted))
        self.opening.add(opening)
        opening.add_done_callback(partial(self._opening_ended, accepted))

    def _accept_failed(self, listening_socket: socket.socket, error: OSError) -> None:
        self.consecutive_failures += 1
        if self.consecutive_failures == 1:
            LOG.warning("can't accept connections", extra={"error": error_name(error), "why": str(error)})
        self.loop.remove_reader(listening_socket)
        self.retry_timers[listening_socket] = self.loop.call_later(
            RETRY_DELAY_S, self._resume, listening_socket
        )
        self.on_failure(error, self.consecutive_failures)

    async def _open(self, accepted: socket.socket) -> None:
        await self.loop.connect_accepted_socket(self.create_protocol, accepted)

    def _opening_ended(self, accepted: socket.socket, opening: asyncio.Task[None]) -> None:
        self.opening.discard(opening)
        if opening.cancelled():
            accepted.close()
        elif (error := opening.exception()) is not None:
            LOG.error("can't open an accepted connection", extra={"why": str(error)})
            accepted.close()
        self.on_opened()
