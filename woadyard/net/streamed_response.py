"""An answer too large to hold, on its way to its caller as it comes."""

from __future__ import annotations

import asyncio

from woadyard.net.message import LAST_CHUNK, EndpointStream, encode_chunk


class StreamedResponse:
    """It may stand still for `still_s`, whoever is to blame; then it is broken off."""

    __slots__ = (
        "chunked", "last_checked_bytes", "loop", "relayed", "source", "stall_s", "timer", "transport",
    )  # fmt: skip

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        transport: asyncio.Transport,
        source: EndpointStream,
        chunked: bool,
        still_s: float,
    ) -> None:
        self.loop, self.transport, self.source = loop, transport, source
        self.chunked, self.stall_s = chunked, still_s
        self.relayed, self.last_checked_bytes = 0, -1  # bytes so far, and by the last look
        self.timer: asyncio.TimerHandle | None = None

    def send_part(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.relayed += len(data)
            self.transport.write(encode_chunk(data) if self.chunked else data)

    def check_progress(self) -> None:
        """Look now and then whether it still gets on."""
        gone = self.relayed - self.transport.get_write_buffer_size()
        if gone != self.last_checked_bytes:
            self.last_checked_bytes = gone
            self.timer = self.loop.call_later(self.stall_s, self.check_progress)
        elif self.transport.get_write_buffer_size():
            self.transport.abort()  # the caller takes nothing
        else:
            self.source.close()

    def finish(self, whole: bool = False) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if whole and self.chunked and not self.transport.is_closing():
            self.transport.write(LAST_CHUNK)
