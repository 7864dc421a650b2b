"""An answer too large to hold, on its way to its caller as it comes."""

from __future__ import annotations

import asyncio

from woadyard.net.message import LAST_CHUNK, Carrier, chunk


class Passing:
    """It may stand still for `still_s`, whoever is to blame; then it is broken off."""

    __slots__ = ("chunked", "loop", "moved", "relayed", "source", "still_s", "timer", "transport")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        transport: asyncio.Transport,
        source: Carrier,
        chunked: bool,
        still_s: float,
    ) -> None:
        self.loop, self.transport, self.source = loop, transport, source
        self.chunked, self.still_s = chunked, still_s
        self.relayed, self.moved = 0, -1  # bytes so far, and by the last look
        self.timer: asyncio.TimerHandle | None = None

    def part(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.relayed += len(data)
            self.transport.write(chunk(data) if self.chunked else data)

    def look(self) -> None:
        """Look now and then whether it still gets on."""
        gone = self.relayed - self.transport.get_write_buffer_size()
        if gone != self.moved:
            self.moved = gone
            self.timer = self.loop.call_later(self.still_s, self.look)
        elif self.transport.get_write_buffer_size():
            self.transport.abort()  # the caller takes nothing
        else:
            self.source.close()

    def end(self, whole: bool = False) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if whole and self.chunked and not self.transport.is_closing():
            self.transport.write(LAST_CHUNK)
