"""A response that is too large to buffer, streamed to its client."""

from __future__ import annotations

import asyncio

from woadyard.net.message import LAST_CHUNK, EndpointStream, encode_chunk


class StreamedResponse:
    """Writes the body parts to the client."""

    __slots__ = ("is_chunked", "source", "transport")

    def __init__(self, transport: asyncio.Transport, source: EndpointStream, is_chunked: bool) -> None:
        self.transport, self.source, self.is_chunked = transport, source, is_chunked

    def send_part(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(encode_chunk(data) if self.is_chunked else data)

    def finish(self) -> None:
        """Write what follows the last part of a complete body."""
        if self.is_chunked and not self.transport.is_closing():
            self.transport.write(LAST_CHUNK)
