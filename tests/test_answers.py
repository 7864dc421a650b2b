"""Responses of every framing and size, forwarded from endpoints to clients."""

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
    read_chunks,
    read_message,
    record_outcomes,
    run_sidecar,
    wait_until,
)
from woadyard.interface import TIMEOUT
from woadyard.net.client_connection import ClientConnection
from woadyard.net.memory_budget import MAX_BUFFER_BYTES
from woadyard.net.message import MAX_BUFFERED_BODY_BYTES
from woadyard.policy import response_relay


def write_and_close(raw: bytes) -> Callable[[Endpoint, Message, Writer], asyncio.Future[None]]:
    """Return a handler that writes these bytes and closes the connection."""

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(raw)
        await writer.drain()
        writer.close()

    return handler  # type: ignore[return-value]


OK_LINE = b"HTTP/1.1 200 OK\r\n"
RESPONSES = {
    "length": OK_LINE + b"Content-Length: %d\r\n\r\n%b" % (len(LARGE_BODY), LARGE_BODY),
    "chunked": OK_LINE
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + encode_chunks(LARGE_BODY, 7000, b";a=b", b"X-T: 1\r\n"),
    "close": OK_LINE + b"\r\n" + LARGE_BODY,
    "interim": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\n"
    + OK_LINE
    + b"\r\n"
    + LARGE_BODY,
    "small close": OK_LINE + b"\r\nok",
    "small interim": b"HTTP/1.1 102 X\r\n\r\n" + OK_LINE + b"Content-Length: 2\r\n\r\nok",
    "old": b"HTTP/1.0 200 OK\r\n\r\nok",
}


@pytest.mark.parametrize("form", RESPONSES)
@on_loop
async def test_a_response_of_any_framing_is_forwarded_unchanged(form: str) -> None:
    async with run_sidecar(Endpoint(write_and_close(RESPONSES[form]))) as proxy:
        reader, writer = await proxy.connect()
        for rid in ("r1", "r2"):
            writer.write(http_request(rid=rid))
            response = await read_message(reader)
            assert response.body == (b"ok" if RESPONSES[form].endswith(b"ok") else LARGE_BODY)
            assert "link" not in response.headers and "x-t" not in response.headers
        assert not proxy.driver.calls and not proxy.driver.balancer.requests
        assert all(not each.transferring for each in proxy.driver.balancer.endpoints.values())


@on_loop
async def test_a_large_response_to_an_http_1_0_client_ends_with_the_connection() -> None:
    async with run_sidecar(Endpoint(write_and_close(RESPONSES["chunked"]))) as proxy:
        reader, writer = await proxy.connect()
        writer.write(http_request().replace(b"HTTP/1.1", b"HTTP/1.0"))
        response = await reader.read()
        assert response.endswith(LARGE_BODY) and b"chunked" not in response[:300]


@on_loop
async def test_a_large_response_is_streamed() -> None:
    release = asyncio.Event()

    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        raw = RESPONSES["length"]
        writer.write(raw[:200])
        await release.wait()
        writer.write(raw[200:])

    async with run_sidecar(Endpoint(reply)) as proxy:
        reader, writer = await proxy.connect()
        writer.write(http_request(deadline_ms=4_000))
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
        assert await reader.readexactly(100) == LARGE_BODY[:100]
        (call,) = proxy.driver.calls.values()
        assert call.timer is not None, "the bound on the endpoint's silence"
        due_us = proxy.driver.now() + (call.timer.when() - asyncio.get_running_loop().time()) * 1e6
        assert due_us > call.expires_us + 20_000_000, "no deadline cuts it off"
        release.set()
        assert await reader.readexactly(len(LARGE_BODY) - 100) == LARGE_BODY[100:]


@pytest.mark.parametrize("framing", ["Transfer-Encoding: chunked", "Connection: close"])
@pytest.mark.parametrize("size", [30_000, 100_000])
@on_loop
async def test_a_response_that_still_arrives_at_the_deadline_is_not_cut_off(framing: str, size: int) -> None:
    """Guards against a 504 in place of a long response without a length, of which little has come yet."""
    deadline_passed = asyncio.Event()

    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        def encode(data: bytes) -> bytes:
            return b"%x\r\n%b\r\n" % (len(data), data) if "chunked" in framing else data

        writer.write(f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode() + encode(LARGE_BODY[:20_000]))
        await deadline_passed.wait()
        writer.write(encode(LARGE_BODY[20_000:size]))
        if "chunked" in framing:
            writer.write(b"0\r\n\r\n")
        writer.close()

    async with run_sidecar(Endpoint(reply)) as proxy:
        reader, writer = await proxy.connect()
        writer.write(http_request("pay", deadline_ms=300))
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        (call,) = proxy.driver.calls.values()
        await wait_until(lambda: proxy.driver.now() > call.expires_us)
        assert call.is_open and call.streaming_attempt is not None
        deadline_passed.set()
        assert await read_chunks(reader) == LARGE_BODY[:size]


@on_loop
async def test_a_response_that_has_come_to_a_halt_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a response without an end that keeps its client waiting, or is taken for a whole one."""
    monkeypatch.setattr(response_relay, "MAX_SILENCE_US", 0)

    async def begin(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")

    async with run_sidecar(Endpoint(begin)) as proxy:
        attempt_outcomes = record_outcomes(proxy)
        reader, writer = await proxy.connect()
        writer.write(http_request("pay", deadline_ms=100))
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await read_message(reader)
        assert [each.outcome for each in attempt_outcomes] == [TIMEOUT]


@pytest.mark.parametrize("sent_before_deadline", [0, 100])
@on_loop
async def test_a_response_whose_head_comes_just_before_the_deadline_is_not_cut_off(
    sent_before_deadline: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a 504 in place of a long response that begins after the last look at it."""
    monkeypatch.setattr(response_relay, "RELAY_LEAD_US", 60_000_000)
    client_was_answered = asyncio.Event()

    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + LARGE_BODY[:sent_before_deadline])
        await client_was_answered.wait()
        writer.write(LARGE_BODY[sent_before_deadline:])
        writer.close()

    async with run_sidecar(Endpoint(reply)) as proxy:
        reader, writer = await proxy.connect()
        writer.write(http_request("pay"))
        await reader.readuntil(b"\r\n\r\n")
        client_was_answered.set()
        assert await read_chunks(reader) == LARGE_BODY


@on_loop
async def test_a_response_is_not_held_back_until_a_late_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against parts of a long response that are held back for as long as its request has time."""
    monkeypatch.setattr(response_relay, "MAX_HOLD_US", 50_000)
    client_was_answered = asyncio.Event()

    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
        await client_was_answered.wait()
        writer.write(b"0\r\n\r\n")

    async with run_sidecar(Endpoint(reply)) as proxy:
        reader, writer = await proxy.connect()
        writer.write(http_request("page", deadline_ms=60_000))
        await reader.readuntil(b"ok")
        client_was_answered.set()
        assert (await reader.readuntil(b"0\r\n\r\n")).endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("form", ["length", "chunked", "close"])
@on_loop
async def test_the_client_notices_an_incomplete_response(form: str) -> None:
    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(RESPONSES[form][:100_000])
        await wait_until(
            lambda: bool(proxy.driver.calls)
            and bool(next(iter(proxy.driver.calls.values())).streaming_attempt)
        )
        linger = struct.pack("ii", 1, 0)  # a reset: a clean close would complete a response without a length
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()

    endpoint = Endpoint(reply)
    async with run_sidecar(endpoint) as proxy:
        reader, writer = await proxy.connect()
        writer.write(http_request())
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await read_message(reader)
            await reader.read()
        assert len(endpoint.received) == 1 and not proxy.driver.calls and not proxy.driver.balancer.requests


@pytest.mark.parametrize(
    "raw",
    [
        OK_LINE + b"Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
        OK_LINE + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        OK_LINE + b"Transfer-Encoding: gzip\r\n\r\nok",
        OK_LINE + b"Content-Length: 3\r\n\r\nok",
        OK_LINE + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        OK_LINE + b"X: " + b"x" * 70_000,
    ],
    ids=["doubled", "both", "gzip", "short", "no last chunk", "endless head"],
)
@on_loop
async def test_a_malformed_response_is_a_failed_attempt(raw: bytes) -> None:
    bad, good = Endpoint(write_and_close(raw)), Endpoint()
    async with run_sidecar(bad, good) as proxy:
        proxy.set_list(bad.entry("s-0"))
        attempt_outcomes = record_outcomes(proxy)
        response = await proxy.send(http_request("pay"))
        assert response.start_line.split()[1] == "502" and len(bad.received) == 1, (
            "not repeated: it may have run"
        )
        assert len(attempt_outcomes) == 1
        proxy.set_list(bad.entry("s-0"), good.entry("s-1"))
        for n in range(4):
            assert (await proxy.send(http_request("page", rid=f"a{n}"))).body == b"ok"


@on_loop
async def test_a_client_that_never_reads_slows_the_endpoint_down_and_fills_no_memory() -> None:
    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(OK_LINE + b"Content-Length: %d\r\n\r\n" % (64 * len(LARGE_BODY)))
        for _ in range(64):
            writer.write(LARGE_BODY)
            await writer.drain()

    endpoint = Endpoint(reply)
    async with run_sidecar(endpoint) as proxy:
        proxy.server.timeouts.stall_s = 0.2
        reader, writer = await proxy.connect()
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(http_request())
        await wait_until(lambda: bool(proxy.upstream.endpoint_connections))
        (link,) = proxy.upstream.endpoint_connections
        await wait_until(lambda: link.transport is not None and not link.transport.is_reading())
        (connection,) = proxy.server.connections
        assert connection.transport is not None
        assert connection.transport.get_write_buffer_size() <= 4 * MAX_BUFFER_BYTES
        await wait_until(lambda: not proxy.server.connections and not proxy.upstream.endpoint_connections)
        assert not proxy.driver.calls, "it is aborted in the end"


@on_loop
async def test_a_client_that_sends_requests_and_never_reads_is_not_served_any_more() -> None:
    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(http_response(body=LARGE_BODY[:MAX_BUFFERED_BODY_BYTES]))

    endpoint = Endpoint(reply)
    async with run_sidecar(endpoint) as proxy:
        reader, writer = await proxy.connect()
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        (connection,) = await client_connections(proxy)
        for n in range(400):
            writer.write(http_request(rid=f"r{n}"))
        await wait_until(lambda: connection.is_reading_paused and not proxy.driver.calls)
        assert connection.transport is not None
        served_count, unwritten_bytes = len(endpoint.received), connection.transport.get_write_buffer_size()
        assert served_count < 400 and unwritten_bytes <= MAX_BUFFERED_BODY_BYTES + 4 * MAX_BUFFER_BYTES
        reader._transport.resume_reading()  # type: ignore[attr-defined]
        for _ in range(400):
            assert len((await read_message(reader)).body) == MAX_BUFFERED_BODY_BYTES
        proxy.server.timeouts.stall_s = 0.05
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        for n in range(400, 800):
            writer.write(http_request(rid=f"r{n}"))
        await wait_until(lambda: not proxy.server.connections)


async def client_connections(proxy: Sidecar) -> list[ClientConnection]:
    await wait_until(lambda: bool(proxy.server.connections))
    return list(proxy.server.connections)


@on_loop
async def test_an_endpoint_that_reads_slowly_slows_the_client_down() -> None:
    release = asyncio.Event()

    class Slow(Endpoint):
        async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
            await release.wait()
            await super()._serve(reader, writer)

    endpoint = Slow()
    async with run_sidecar(endpoint) as proxy:
        pending_response = asyncio.create_task(proxy.send(http_request("pay", LARGE_BODY * 16)))
        await wait_until(lambda: any(link.upload for link in proxy.upstream.endpoint_connections))
        (connection,), (link,) = proxy.server.connections, proxy.upstream.endpoint_connections
        assert link.transport is not None
        await wait_until(lambda: connection.is_reading_paused)
        assert link.transport.get_write_buffer_size() <= 4 * MAX_BUFFER_BYTES
        release.set()
        assert (await pending_response).body == b"ok" and endpoint.received[0].body == LARGE_BODY * 16
