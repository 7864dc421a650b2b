"""A stand-in for discovery that sends its list, and can be made to reject every call."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import Any

from tests.sockets import LoopbackServer, Reader, Writer, push_line, push_list, read_message

QUEUE_S = 2.0  # how long a call is queued before it is rejected
HEARTBEAT_S = 0.5
REJECTION = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@dataclass
class OverloadedRegistry(LoopbackServer):
    """While `is_overloaded`, it resets its watches and rejects each call with 503 after `QUEUE_S`."""

    entries: list[dict[str, Any]] = field(default_factory=list)
    generation: int = 5
    is_overloaded: bool = False
    watches: set[Writer] = field(default_factory=set)
    list_sent: asyncio.Event = field(default_factory=asyncio.Event)
    rejected: int = 0

    def overload(self) -> None:
        self.is_overloaded = True
        for writer in self.watches:
            writer.transport.abort()

    def recover(self, *entries: dict[str, Any]) -> None:
        """Accept calls again, with this list."""
        self.entries, self.generation, self.is_overloaded = list(entries), self.generation + 1, False
        self.list_sent.clear()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await read_message(reader)
            if self.is_overloaded:
                await self._reject(writer)
            else:
                await self._watch(writer)
        self.watches.discard(writer)
        writer.close()

    async def _reject(self, writer: Writer) -> None:
        await asyncio.sleep(QUEUE_S)
        self.rejected += 1
        writer.write(REJECTION)
        await writer.drain()

    async def _watch(self, writer: Writer) -> None:
        self.watches.add(writer)
        writer.write(HEAD)
        push_list(writer, self.generation, True, *self.entries)
        self.list_sent.set()
        while not writer.transport.is_closing():
            await asyncio.sleep(HEARTBEAT_S)
            push_line(writer, b"\n")
