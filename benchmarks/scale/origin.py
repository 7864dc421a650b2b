"""A cheap stand-in endpoint that counts connections: `python -m benchmarks.scale.origin`.

`woadyard.standins` draws random service times and counts requests; here the path to an endpoint is
measured, so the endpoint responds at once. `GET /_counts` returns, as JSON by the `X-Way` header of
the first request on a connection, the connections accepted so far, those open now and the requests
answered. Ends at SIGTERM.
"""

from __future__ import annotations

import asyncio
import gc
import json
import signal
from collections import Counter
from typing import cast

import httptools
import uvloop

BODY = b"x" * 200
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)
COUNTS_PATH, WAY_HEADER = b"/_counts", b"x-way"


class Counts:
    """Counts by `X-Way`; the attribute names are the keys of the JSON."""

    def __init__(self) -> None:
        self.taken, self.open, self.answered = Counter[str](), Counter[str](), Counter[str]()


class Origin(asyncio.Protocol):
    """A server connection that responds to each request at once."""

    def __init__(self, counts: Counts) -> None:
        self.counts = counts
        self.parser = httptools.HttpRequestParser(self)
        self.url, self.arm = b"", ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        if self.arm:
            self.counts.open[self.arm] -= 1

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_url(self, url: bytes) -> None:
        self.url = url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.arm and name.lower() == WAY_HEADER:
            self.arm = value.decode("latin-1")
            self.counts.taken[self.arm] += 1
            self.counts.open[self.arm] += 1

    def on_message_complete(self) -> None:
        if self.url != COUNTS_PATH:
            self.counts.answered[self.arm] += 1
            self.transport.write(RESPONSE)
            return
        body = json.dumps(vars(self.counts)).encode()
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


async def main() -> None:
    loop, stopped, counts = asyncio.get_running_loop(), asyncio.Event(), Counts()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    server = await loop.create_server(lambda: Origin(counts), "127.0.0.1", 0)
    gc.disable()  # a collector pause here would count as latency of the sidecar
    print(json.dumps({"event": "listening", "port": server.sockets[0].getsockname()[1]}), flush=True)
    await stopped.wait()
    server.close()


if __name__ == "__main__":
    uvloop.run(main())
