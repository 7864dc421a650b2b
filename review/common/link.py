"""A link between two processes, as a TCP relay that can fall silent or close."""

from __future__ import annotations

import asyncio
import contextlib


class Link:
    """Relays to `target`; while `is_cut` it accepts and relays nothing, and nobody is told.

    What a cut has swallowed is never delivered: a connection with a gap stays silent after the cut, and
    is closed once one of its ends closes.
    """

    def __init__(self, target: int) -> None:
        self.target, self.is_cut, self.port = target, False, 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> Link:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop_listening(self) -> None:
        self.server.close()

    def close_connections(self) -> None:
        for writer in self.writers:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
            self.writers.add(far_writer)
            there = asyncio.create_task(self._pipe(reader, far_writer))
            back = asyncio.create_task(self._pipe(far_reader, writer))
            await asyncio.wait((there, back), return_when=asyncio.FIRST_COMPLETED)
            there.cancel(), back.cancel()
            far_writer.close()
            self.writers.discard(far_writer)
        writer.close()
        self.writers.discard(writer)

    async def _pipe(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        has_gap = False
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                has_gap = has_gap or self.is_cut
                if not has_gap:
                    writer.write(data)
                    await writer.drain()
