"""Answers of any form and size on their way from endpoints to callers."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

import pytest

from tests.sockets import (
    LARGE_BODY,
    Endpoint,
    Message,
    Sidecar,
    Writer,
    encode_chunks,
    http_request,
    http_response,
    on_loop,
    read_message,
    record_outcomes,
    run_sidecar,
    wait_until,
)
from woadyard.net.client_connection import ClientConnection
from woadyard.net.message import MAX_BUFFERED_BODY_BYTES, READ_SIZE


def head(raw: bytes) -> Callable[[Endpoint, Message, Writer], asyncio.Future[None]]:
    """A handler that writes this, and ends the connection."""

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(raw)
        await writer.drain()
        writer.close()

    return handler  # type: ignore[return-value]


HEAD = b"HTTP/1.1 200 OK\r\n"
FORMS = {
    "length": HEAD + b"Content-Length: %d\r\n\r\n%b" % (len(LARGE_BODY), LARGE_BODY),
    "chunked": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + encode_chunks(LARGE_BODY, 7000, b";a=b", b"X-T: 1\r\n"),
    "close": HEAD + b"\r\n" + LARGE_BODY,
    "interim": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\n"
    + HEAD
    + b"\r\n"
    + LARGE_BODY,
    "small close": HEAD + b"\r\nok",
    "small interim": b"HTTP/1.1 102 X\r\n\r\n" + HEAD + b"Content-Length: 2\r\n\r\nok",
    "old": b"HTTP/1.0 200 OK\r\n\r\nok",
}


@pytest.mark.parametrize("form", FORMS)
@on_loop
async def test_an_answer_of_any_form_is_passed_on_unchanged(form: str) -> None:
    async with run_sidecar(Endpoint(head(FORMS[form]))) as one:
        reader, writer = await one.connect()
        for rid in ("r1", "r2"):
            writer.write(http_request(rid=rid))
            back = await read_message(reader)
            assert back.body == (b"ok" if FORMS[form].endswith(b"ok") else LARGE_BODY)
            assert "link" not in back.headers and "x-t" not in back.headers
        assert not one.driver.calls and not one.driver.balancer.requests
        assert all(not one.transferring for one in one.driver.balancer.endpoints.values())


@on_loop
async def test_a_large_answer_to_an_old_caller_ends_with_the_connection() -> None:
    async with run_sidecar(Endpoint(head(FORMS["chunked"]))) as one:
        reader, writer = await one.connect()
        writer.write(http_request().replace(b"HTTP/1.1", b"HTTP/1.0"))
        back = await reader.read()
        assert back.endswith(LARGE_BODY) and b"chunked" not in back[:300]


@on_loop
async def test_the_first_bytes_of_a_large_answer_do_not_wait_for_the_rest() -> None:
    release = asyncio.Event()

    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        raw = FORMS["length"]
        writer.write(raw[:200])
        await release.wait()
        writer.write(raw[200:])

    async with run_sidecar(Endpoint(reply)) as one:
        reader, writer = await one.connect()
        writer.write(http_request(deadline_ms=60_000))
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
        assert await reader.readexactly(100) == LARGE_BODY[:100]
        (call,) = one.driver.calls.values()
        assert call.timer is None, "no time runs that would cut it off"
        release.set()
        assert await reader.readexactly(len(LARGE_BODY) - 100) == LARGE_BODY[100:]


@pytest.mark.parametrize("form", ["length", "chunked", "close"])
@on_loop
async def test_an_answer_that_breaks_off_is_seen_not_to_be_whole(form: str) -> None:
    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(FORMS[form][:100_000])
        await wait_until(
            lambda: bool(one.driver.calls) and bool(next(iter(one.driver.calls.values())).streaming_attempt)
        )
        linger = struct.pack("ii", 1, 0)  # a reset: a clean end would end the last form
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()

    endpoint = Endpoint(reply)
    async with run_sidecar(endpoint) as one:
        reader, writer = await one.connect()
        writer.write(http_request())
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await read_message(reader)
            await reader.read()
        assert len(endpoint.received) == 1 and not one.driver.calls and not one.driver.balancer.requests


@pytest.mark.parametrize(
    "raw",
    [
        HEAD + b"Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
        HEAD + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        HEAD + b"Transfer-Encoding: gzip\r\n\r\nok",
        HEAD + b"Content-Length: 3\r\n\r\nok",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        HEAD + b"X: " + b"x" * 70_000,
    ],
    ids=["doubled", "both", "gzip", "short", "no last chunk", "endless head"],
)
@on_loop
async def test_an_answer_that_cannot_be_read_is_a_failed_attempt(raw: bytes) -> None:
    bad, good = Endpoint(head(raw)), Endpoint()
    async with run_sidecar(bad, good) as one:
        one.set_list(bad.entry("s-0"))
        events = record_outcomes(one)
        back = await one.send(http_request("pay"))
        assert back.start_line.split()[1] == "502" and len(bad.received) == 1, "it may have run"
        assert len(events) == 1
        one.set_list(bad.entry("s-0"), good.entry("s-1"))
        for n in range(4):
            assert (await one.send(http_request("page", rid=f"a{n}"))).body == b"ok"


@on_loop
async def test_a_caller_that_never_reads_holds_up_the_endpoint_and_not_the_memory() -> None:
    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % (64 * len(LARGE_BODY)))
        for _ in range(64):
            writer.write(LARGE_BODY)
            await writer.drain()

    endpoint = Endpoint(reply)
    async with run_sidecar(endpoint) as one:
        one.server.timeouts.stall_s = 0.2
        reader, writer = await one.connect()
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(http_request())
        await wait_until(lambda: bool(one.upstream.endpoint_connections))
        (link,) = one.upstream.endpoint_connections
        await wait_until(lambda: link.transport is not None and not link.transport.is_reading())
        (caller,) = one.server.connections
        assert caller.transport is not None
        assert caller.transport.get_write_buffer_size() <= 4 * READ_SIZE
        await wait_until(lambda: not one.server.connections and not one.upstream.endpoint_connections)
        assert not one.driver.calls, "in the end it is cut off"


@on_loop
async def test_a_caller_that_asks_on_and_never_reads_is_served_no_more() -> None:
    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(http_response(body=LARGE_BODY[:MAX_BUFFERED_BODY_BYTES]))

    endpoint = Endpoint(reply)
    async with run_sidecar(endpoint) as one:
        reader, writer = await one.connect()
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        (caller,) = await callers(one)
        for n in range(400):
            writer.write(http_request(rid=f"r{n}"))
        await wait_until(lambda: caller.reading_paused and not one.driver.calls)
        assert caller.transport is not None
        served, size = len(endpoint.received), caller.transport.get_write_buffer_size()
        assert served < 400 and size <= MAX_BUFFERED_BODY_BYTES + 4 * READ_SIZE
        reader._transport.resume_reading()  # type: ignore[attr-defined]
        for _ in range(400):
            assert len((await read_message(reader)).body) == MAX_BUFFERED_BODY_BYTES
        one.server.timeouts.stall_s = 0.05
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        for n in range(400, 800):
            writer.write(http_request(rid=f"r{n}"))
        await wait_until(lambda: not one.server.connections)


async def callers(one: Sidecar) -> list[ClientConnection]:
    await wait_until(lambda: bool(one.server.connections))
    return list(one.server.connections)


@on_loop
async def test_an_endpoint_that_reads_slowly_holds_up_the_caller() -> None:
    release = asyncio.Event()

    class Slow(Endpoint):
        async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
            await release.wait()
            await super()._serve(reader, writer)

    endpoint = Slow()
    async with run_sidecar(endpoint) as one:
        asked = asyncio.create_task(one.send(http_request("pay", LARGE_BODY * 16)))
        await wait_until(lambda: any(link.upload for link in one.upstream.endpoint_connections))
        (caller,), (link,) = one.server.connections, one.upstream.endpoint_connections
        assert link.transport is not None
        await wait_until(lambda: caller.reading_paused)
        assert link.transport.get_write_buffer_size() <= 4 * READ_SIZE
        release.set()
        assert (await asked).body == b"ok" and endpoint.received[0].body == LARGE_BODY * 16
