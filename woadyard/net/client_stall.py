"""Detects a client that takes nothing of what is written to it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from woadyard.net.socket_buffers import unacknowledged_bytes

# How often the connection is looked at within the time that a client has.
CHECKS_PER_STALL = 4


class ClientStallTimer:
    """Runs while bytes wait to be written; reports a client that has taken nothing for a whole `stall_s`.

    The system asks for more to write only once a third of its send buffer is free, which takes a slow client
    tens of seconds. What the client's system has acknowledged shows its progress meanwhile.
    """

    __slots__ = ("changed_s", "handle", "last_untaken_bytes", "loop", "on_stalled", "stall_s", "transport")

    def __init__(
        self, loop: asyncio.AbstractEventLoop, transport: asyncio.Transport, on_stalled: Callable[[], None]
    ) -> None:
        self.loop, self.transport, self.on_stalled = loop, transport, on_stalled
        self.handle: asyncio.TimerHandle | None = None
        self.stall_s = 0.0
        self.last_untaken_bytes = 0
        self.changed_s = 0.0  # on the event loop's clock

    def start(self, stall_s: float) -> None:
        """Watch the client until everything is written; `stall_s` is in seconds."""
        if self.handle is not None or not self.transport.get_write_buffer_size():
            return
        self.stall_s = stall_s
        self.last_untaken_bytes, self.changed_s = self._untaken_bytes(), self.loop.time()
        self._schedule()

    def close(self) -> None:
        """Stop watching, and break the reference cycle with the connection."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
        self.on_stalled = lambda: None

    def _schedule(self) -> None:
        self.handle = self.loop.call_later(self.stall_s / CHECKS_PER_STALL, self._check)

    def _untaken_bytes(self) -> int:
        return self.transport.get_write_buffer_size() + unacknowledged_bytes(self.transport)

    def _check(self) -> None:
        self.handle = None
        if not self.transport.get_write_buffer_size():
            return
        untaken_bytes, now_s = self._untaken_bytes(), self.loop.time()
        if untaken_bytes != self.last_untaken_bytes:
            self.last_untaken_bytes, self.changed_s = untaken_bytes, now_s
        if now_s >= self.changed_s + self.stall_s:
            self.on_stalled()
        else:
            self._schedule()
