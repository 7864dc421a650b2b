"""A response that is too large to buffer, streamed to its client."""

from __future__ import annotations

import asyncio

from woadyard.net.message import LAST_CHUNK, EndpointStream, encode_chunk


class StreamedResponse:
    """Writes the body parts to the client.

    Breaks off once the client takes nothing for `stall_s`; when the endpoint has hung for too long is decided
    elsewhere.
    """

    __slots__ = (
        "is_chunked", "last_checked_bytes", "loop", "relayed", "source", "stall_s", "timer", "transport",
    )  # fmt: skip

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        transport: asyncio.Transport,
        source: EndpointStream,
        is_chunked: bool,
        stall_s: float,
    ) -> None:
        self.loop, self.transport, self.source = loop, transport, source
        self.is_chunked, self.stall_s = is_chunked, stall_s
        # Bytes received from the endpoint, and of them sent to the client by the last check.
        self.relayed, self.last_checked_bytes = 0, -1
        self.timer: asyncio.TimerHandle | None = None

    def send_part(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.relayed += len(data)
            self.transport.write(encode_chunk(data) if self.is_chunked else data)

    def check_progress(self) -> None:
        """Check periodically that bytes reach the client."""
        unsent_bytes = self.transport.get_write_buffer_size()
        sent_bytes = self.relayed - unsent_bytes
        if unsent_bytes and sent_bytes == self.last_checked_bytes:
            self.transport.abort()  # the client reads nothing
            return
        self.last_checked_bytes = sent_bytes
        self.timer = self.loop.call_later(self.stall_s, self.check_progress)

    def finish(self, is_complete: bool = False) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if is_complete and self.is_chunked and not self.transport.is_closing():
            self.transport.write(LAST_CHUNK)
