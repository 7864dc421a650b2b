"""A sound stand-in endpoint, in the process of the case: it runs each request and answers with its name."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from common.harness import Case
from common.http import Request, encode_response, read_request


class Endpoint:
    """Runs each request for `work_s` and answers 200; `on_run` hears of each request that is whole."""

    def __init__(self, case: Case, name: str, work_s: float = 0.02) -> None:
        self.case, self.name, self.work_s, self.port = case, name, work_s, 0
        self.on_run: Callable[[Request], None] = lambda request: None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """End: nothing listens at its address from now on, and its connections are closed."""
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                request = await read_request(reader)
                self.case.record("ran", endpoint=self.name, request=request.headers.get("x-request-id"))
                self.on_run(request)
                await self.answer(request, writer)
        writer.close()
        self.writers.discard(writer)

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.work_s)
        writer.write(encode_response(200, self.name.encode()))
