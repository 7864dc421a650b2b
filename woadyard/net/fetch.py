"""One HTTP/1.1 call to a peer of the project's own: one connection, one answer.

Between the processes of a deployment only (replicas, gossip, the release
tool); requests of callers go through `woadyard.net.upstream`.
"""

from __future__ import annotations

import asyncio
from typing import cast

import httptools

from woadyard.errors import PeerError

MAX_RESPONSE_BYTES = 16 * 1024 * 1024


class FetchError(PeerError):
    """The call failed: nothing listens, it broke off, came late, or is no HTTP."""


class ResponseTooLargeError(FetchError):
    """The peer answers with more than was asked for."""


class _Exchange(asyncio.Protocol):
    """Writes one request and collects its answer, at most `most` bytes of it."""

    def __init__(self, request: bytes, max_bytes: int) -> None:
        self.request, self.max_bytes = request, max_bytes
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.response: asyncio.Future[tuple[int, bytes]] = asyncio.get_running_loop().create_future()
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
        if len(self.body) > self.max_bytes:
            self._fail(ResponseTooLargeError(f"the answer is over {self.max_bytes} bytes"))

    def on_message_complete(self) -> None:
        if not self.response.done():
            self.response.set_result((self.parser.get_status_code(), bytes(self.body)))

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(FetchError("the connection ended before the answer"))

    def _fail(self, error: FetchError) -> None:
        if not self.response.done():
            self.response.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


async def fetch(
    address: tuple[str, int],
    method: str,
    target: str,
    body: bytes = b"",
    *,
    timeout_s: float,
    max_bytes: int = MAX_RESPONSE_BYTES,
    headers: str = "",
) -> tuple[int, bytes]:
    """Status and body of one call, within `timeout_s` in all; `FetchError` where there is none.
    `headers` are lines to add to the head, each with its CRLF."""
    host, port = address
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: close\r\n{headers}"
    request = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
    exchange = _Exchange(request, max_bytes)
    try:
        async with asyncio.timeout(timeout_s):
            await asyncio.get_running_loop().create_connection(lambda: exchange, host, port)
            return await exchange.response
    except FetchError:
        raise
    except (OSError, TimeoutError) as error:
        raise FetchError(f"{method} {target} at {host}:{port}: {error or 'too late'}") from None
    finally:
        exchange.response.cancel()
        if exchange.transport is not None:
            exchange.transport.abort()
