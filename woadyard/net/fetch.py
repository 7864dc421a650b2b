"""Minimal HTTP/1.1 client for calls between the project's own processes.

Each call opens one connection and reads one response. It serves replicas, gossip and the release
tool; requests of clients go through `woadyard.net.upstream`.
"""

from __future__ import annotations

import asyncio
from typing import cast

import httptools

from woadyard.errors import PeerError

MAX_RESPONSE_BYTES = 16 * 1024 * 1024


class FetchError(PeerError):
    """The call failed: connection refused or lost, timeout, or an invalid HTTP response."""


class ResponseTooLargeError(FetchError):
    """The response body exceeds the size limit of the call."""


class _Exchange(asyncio.Protocol):
    """Writes one request and collects its response, at most `max_bytes` of body."""

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
            self._fail(FetchError(f"invalid HTTP response: {error}"))

    def on_body(self, data: bytes) -> None:
        self.body += data
        if len(self.body) > self.max_bytes:
            self._fail(ResponseTooLargeError(f"the response exceeds {self.max_bytes} bytes"))

    def on_message_complete(self) -> None:
        if not self.response.done():
            self.response.set_result((self.parser.get_status_code(), bytes(self.body)))

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(FetchError("connection closed before the response was complete"))

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
    """Send one request and return the status and body of its response.

    `timeout_s` covers the whole call; `headers` are extra header lines, each ending with CRLF.
    Raises `FetchError` if there is no complete response in time."""
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
        raise FetchError(f"{method} {target} at {host}:{port}: {error or 'timed out'}") from None
    finally:
        exchange.response.cancel()
        if exchange.transport is not None:
            exchange.transport.abort()
