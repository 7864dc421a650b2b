"""One HTTP/1.1 call to a peer of the project's own: one connection, one answer.

Between the processes of a deployment only (replicas, gossip, the release
tool); requests of callers go through `woadyard.net.upstream`.
"""

from __future__ import annotations

import asyncio
from typing import cast

import httptools

from woadyard.errors import PeerError

ANSWER_MAX = 16 * 1024 * 1024


class FetchError(PeerError):
    """The call failed: nothing listens, it broke off, came late, or is no HTTP."""


class AnswerTooLargeError(FetchError):
    """The peer answers with more than was asked for."""


class _Exchange(asyncio.Protocol):
    """Writes one request and collects its answer, at most `most` bytes of it."""

    def __init__(self, request: bytes, most: int) -> None:
        self.request, self.most = request, most
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.answered: asyncio.Future[tuple[int, bytes]] = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self.request)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(FetchError(f"no HTTP answer: {error}"))

    def on_body(self, data: bytes) -> None:
        self.body += data
        if len(self.body) > self.most:
            self._fail(AnswerTooLargeError(f"the answer is over {self.most} bytes"))

    def on_message_complete(self) -> None:
        if not self.answered.done():
            self.answered.set_result((self.parser.get_status_code(), bytes(self.body)))

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(FetchError("the connection ended before the answer"))

    def _fail(self, why: FetchError) -> None:
        if not self.answered.done():
            self.answered.set_exception(why)
        if self.transport is not None:
            self.transport.abort()


async def fetch(
    address: tuple[str, int],
    method: str,
    target: str,
    body: bytes = b"",
    *,
    timeout_s: float,
    most: int = ANSWER_MAX,
    headers: str = "",
) -> tuple[int, bytes]:
    """Status and body of one call, within `timeout_s` in all; `FetchError` where there is none.
    `headers` are lines to add to the head, each with its CRLF."""
    host, port = address
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: close\r\n{headers}"
    request = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
    exchange = _Exchange(request, most)
    try:
        async with asyncio.timeout(timeout_s):
            await asyncio.get_running_loop().create_connection(lambda: exchange, host, port)
            return await exchange.answered
    except FetchError:
        raise
    except (OSError, TimeoutError) as error:
        raise FetchError(f"{method} {target} at {host}:{port}: {error or 'too late'}") from None
    finally:
        exchange.answered.cancel()
        if exchange.transport is not None:
            exchange.transport.abort()
