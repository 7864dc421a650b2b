"""Clients that read their responses slowly, or not at all."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from tests.sockets import (
    LARGE_BODY,
    Endpoint,
    Message,
    Writer,
    http_request,
    on_loop,
    run_sidecar,
    wait_until,
)
from woadyard.net.client_stall import ClientStallTimer

ANSWER = LARGE_BODY * 64  # more than all buffers of the systems hold
STALL_S = 20.0


class StubLoop:
    """A clock that the test moves; timers are run by hand."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def time(self) -> float:
        return self.now_s

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Any:
        return asyncio.get_running_loop().call_later(3600.0, callback)


async def reply_large(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(ANSWER) + ANSWER)
    await writer.drain()


async def read_until_taken(reader: asyncio.StreamReader, timer: ClientStallTimer) -> bytes:
    """Read until the client's system has acknowledged more, though the sidecar could write nothing yet."""
    untaken_bytes, parts = timer._untaken_bytes(), [b""]
    while timer._untaken_bytes() == untaken_bytes:
        parts.append(await reader.read(4_096))
    return b"".join(parts)


@pytest.mark.parametrize("headers", ["", "Connection: close\r\n"])
@on_loop
async def test_a_client_that_reads_slowly_is_not_cut_off_and_one_that_stops_is(headers: str) -> None:
    # Guards against a time limit that takes the pauses between two writes for a client that reads nothing.
    async with run_sidecar(Endpoint(reply_large)) as proxy:
        reader, writer = await proxy.connect()
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(http_request(headers=headers))
        await wait_until(lambda: any(connection.is_writing_paused for connection in proxy.server.connections))
        (connection,) = proxy.server.connections
        timer, clock = connection.stall_timer, StubLoop()
        assert timer is not None and timer.handle is not None
        timer.handle.cancel()
        timer.handle, timer.loop = None, clock  # type: ignore[assignment]
        timer.start(STALL_S)
        reader._transport.resume_reading()  # type: ignore[attr-defined]
        for _ in range(4):
            await read_until_taken(reader, timer)
            clock.now_s += STALL_S - 1.0
            timer._check()
            assert connection.call is not None and not connection.is_closed
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        while proxy.server.connections or proxy.driver.calls:
            await asyncio.sleep(0)
            if timer.handle is not None:  # until all buffers are full, the client's system takes more
                clock.now_s += STALL_S
                timer._check()


@on_loop
async def test_the_end_of_a_response_is_written_however_slowly_its_client_reads() -> None:
    # Guards against a fixed time after the last part of a response, whatever its client still takes.
    async with run_sidecar(Endpoint(reply_large)) as proxy:
        reader, writer = await proxy.connect()
        writer.write(http_request(headers="Connection: close\r\n"))
        await reader.readuntil(b"\r\n\r\n")
        received = 0
        while not (proxy.server.connections and all(each.is_closed for each in proxy.server.connections)):
            received += len(await reader.read(4_096))
            if not proxy.server.connections:
                break
        for connection in proxy.server.connections:
            if connection.stall_timer is not None and connection.stall_timer.handle is not None:
                connection.stall_timer._check()
        received += len(await reader.read())
        assert received == len(ANSWER)
