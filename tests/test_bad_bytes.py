"""Bytes that are no request: an error or a close in time, and nothing that was taken is lost."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket

import pytest

from tests.sockets import (
    LARGE_BODY,
    TIMEOUT_S,
    Endpoint,
    Message,
    Sidecar,
    Writer,
    encode_chunks,
    http_request,
    http_response,
    on_loop,
    read_message,
    run_sidecar,
    wait_until,
)
from woadyard.net.message import READ_SIZE


def owes_nothing(one: Sidecar) -> bool:
    endpoints = one.driver.balancer.endpoints.values()
    return not one.driver.calls and all(known.inflight == 0 for known in endpoints)


GARBAGE = bytes(range(128, 256)) * 16384  # 2 MiB
HTTP2 = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + bytes(9)
TLS = bytes.fromhex("16030100c8010000c40303") + bytes(200)
BAD = {
    "method": b"FETCH / HTTP/1.1\r\n\r\n",
    "binary": GARBAGE[:5000],
    "tls": TLS,
    "http2": HTTP2,
    "huge head": b"GET /page HTTP/1.1\r\nX-Long: " + b"x" * 300_000,
    "many headers": b"GET /page HTTP/1.1\r\n" + b"X-A: b\r\n" * 40_000,
    "negative length": http_request("pay").replace(b"Length: 0", b"Length: -1"),
    "huge length": http_request("pay").replace(b"Length: 0", b"Length: " + b"9" * 400),
    "two lengths": http_request("pay").replace(b"Length: 0", b"Length: 0\r\nContent-Length: 1"),
    "chunk": http_request("pay").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    + b"zz\r\nno\r\n",
    "chunk length": http_request("pay").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    + b"f" * 40,
    "nul": http_request().replace(b"X-Class: page", b"X-Class: pa\x00ge"),
    "nul in target": http_request().replace(b"/page?", b"/page\x00?"),
    "lone cr": http_request().replace(b"\r\nHost", b"\rHost"),
    "percent": http_request().replace(b"/page?", b"/%zz%?"),
    "no path": http_request().replace(b"/page?obj=7f3a", b"*"),
    "deadline below zero": http_request(deadline_ms=-1),
    "deadline huge": http_request().replace(b"-Ms: 4000", b"-Ms: " + b"9" * 40),
    "deadline no number": http_request().replace(b"-Ms: 4000", "-Ms: ²".encode()),
    "version": http_request().replace(b"HTTP/1.1", b"HTTP/9.9"),
    "upgrade": b"CONNECT host:1 HTTP/1.1\r\n\r\n",
}


@pytest.mark.parametrize("raw", list(BAD.values()), ids=list(BAD))
@on_loop
async def test_what_is_no_request_gets_an_error_and_is_never_sent_on(
    raw: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as one:
        one.server.timeouts.linger_s = TIMEOUT_S
        good, good_writer = await one.connect()
        with caplog.at_level(logging.DEBUG):
            reader, writer = await one.connect()
            writer.write(raw)
            back = await read_message(reader)
            assert back.start_line.split()[1][0] in "45" and await reader.read() == b""
        assert [record.exc_info for record in caplog.records] == [None], "one line"
        good_writer.write(http_request(rid="good"))
        assert (await read_message(good)).body == b"ok"
        assert [message.headers["x-request-id"] for message in endpoint.received] == ["good"]
        assert owes_nothing(one)
        for each in (writer, good_writer):
            each.close()
        await wait_until(lambda: not one.server.connections)


@pytest.mark.parametrize("raw", [b"", b"\r\n\r\n", b"GE", b"GET /page HTTP/1.1\r\nHost: x\r\n"])
@pytest.mark.parametrize("goes", [False, True])
@on_loop
async def test_half_a_request_ends_in_time_and_leaves_nothing(raw: bytes, goes: bool) -> None:
    async with run_sidecar(Endpoint()) as one:
        one.server.timeouts.request_s = 0.02
        reader, writer = await one.connect()
        writer.write(raw)
        if goes:
            writer.write_eof()
        back = await reader.read()
        assert not back or back.startswith(b"HTTP/1.1 408 ")
        await wait_until(lambda: not one.server.connections)
        assert owes_nothing(one) and not one.server.idle_since


@pytest.mark.parametrize("ahead", [1, 3])
@pytest.mark.parametrize("bad", [b"nonsense\r\n\r\n", GARBAGE, http_request(rid=""), b"POST /pay"], ids=len)
@on_loop
async def test_whole_requests_before_a_bad_one_are_all_answered(ahead: int, bad: bytes) -> None:
    """And not reset away by the bytes that still come behind them."""
    release = asyncio.Event()

    async def slow(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        await release.wait()
        writer.write(http_response())

    endpoint = Endpoint(slow)
    async with run_sidecar(endpoint) as one:
        one.server.timeouts.request_s, one.server.timeouts.linger_s = 0.05, TIMEOUT_S
        reader, writer = await one.connect()
        writer.write(b"".join(http_request("pay", rid=f"r{n}") for n in range(ahead)) + bad)
        await endpoint.request_arrived.acquire()
        release.set()
        for _ in range(ahead):
            back = await read_message(reader)
            assert back.start_line.split()[1] == "200"
        with contextlib.suppress(asyncio.IncompleteReadError):
            back = await read_message(reader)
            assert back.start_line.split()[1][0] == "4"
        assert await reader.read() == b""
        assert len(endpoint.received) == ahead and owes_nothing(one)
        writer.close()
        await wait_until(lambda: not one.server.connections)


@pytest.mark.parametrize("behind", [b"zz\r\n" + GARBAGE, b"0\r\n\r\n" + GARBAGE], ids=["chunk", "whole"])
@on_loop
async def test_an_answer_given_early_is_not_reset_away_by_what_follows_the_body(behind: bytes) -> None:
    """The caller looks for its answer once it has written all."""
    async with run_sidecar(Endpoint(), known=False) as one:
        one.server.timeouts.linger_s = TIMEOUT_S
        one.driver.balancer.membership.banned[7] = None  # all endpoints are out: refused at once
        reader, writer = await one.connect()
        head = http_request("pay").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        writer.write(head + encode_chunks(LARGE_BODY, 5000)[:-5] + behind)
        await writer.drain()
        assert (await read_message(reader)).start_line.split()[1] == "503"
        assert await reader.read() == b"" and owes_nothing(one)
        writer.close()
        await wait_until(lambda: not one.server.connections)


@on_loop
async def test_a_thousand_requests_in_one_write_are_answered_in_turn_and_keep_nobody_out() -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as one:
        reader, writer = await one.connect()
        writer.write(b"".join(http_request(rid=f"a{n}") for n in range(1000)))
        await endpoint.request_arrived.acquire()
        assert (await one.send(http_request(rid="other"))).body == b"ok"
        assert len(endpoint.received) < 1001, "not behind all of them"
        (caller,) = (each for each in one.server.connections if each.pipelined)
        assert len(caller.pipelined) <= READ_SIZE // len(http_request(rid="a0")), "what one read holds"
        for _ in range(1000):
            assert (await read_message(reader)).body == b"ok"
        order = [message.headers["x-request-id"] for message in endpoint.received]
        assert [rid for rid in order if rid != "other"] == [f"a{n}" for n in range(1000)]
        assert owes_nothing(one)
        writer.close()
        await wait_until(lambda: not one.server.connections)


@on_loop
async def test_a_large_body_waits_for_its_turn_behind_an_answer_that_is_read_slowly() -> None:
    """One request unanswered before it, and no place to write an answer to."""

    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        rid = message.headers["x-request-id"].encode()
        writer.write(http_response(body=rid * 30_000 if rid == b"r1" else rid))

    endpoint = Endpoint(reply)
    async with run_sidecar(endpoint) as one:
        slow = socket.socket()
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        slow.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(slow, ("127.0.0.1", one.port))
        await wait_until(lambda: bool(one.server.connections))
        (caller,) = one.server.connections
        assert caller.transport is not None
        ours = caller.transport.get_extra_info("socket")
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        large = http_request("pay", LARGE_BODY, rid="r3")
        await loop.sock_sendall(slow, http_request(rid="r1") + http_request(rid="r2") + large[:2000])
        await wait_until(lambda: caller.writing_paused and caller.call is None)
        for _ in range(5):
            await asyncio.sleep(0)  # its turn, were it the next
        assert caller.upload is None and len(caller.pipelined) == 1
        reader, writer = await asyncio.open_connection(sock=slow)
        writer.write(large[2000:])
        assert [len((await read_message(reader)).body) for _ in range(3)] == [60_000, 2, 2]
        assert [message.headers["x-request-id"] for message in endpoint.received] == ["r1", "r2", "r3"]
        assert owes_nothing(one)
        writer.close()
        await wait_until(lambda: not one.server.connections)


@pytest.mark.parametrize(
    "head", [http_request("pay").replace(b"Length: 0", b"Length: 60000000"), b"\xff\xfe"]
)
@on_loop
async def test_sixty_megabytes_after_a_refusal_are_dropped_and_the_answer_still_comes(head: bytes) -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as one:
        one.server.timeouts.linger_s = TIMEOUT_S
        reader, writer = await one.connect()
        writer.write(head)
        await wait_until(lambda: any(caller.is_closed for caller in one.server.connections))
        (caller,) = one.server.connections
        for _ in range(30):
            writer.write(GARBAGE)
            await writer.drain()
        assert not caller.parser.body_parts and caller.parser.bytes_since_request <= READ_SIZE, (
            "none of it is read"
        )
        assert (await read_message(reader)).start_line.split()[1] in ("400", "413")
        assert await reader.read() == b"" and not endpoint.received and owes_nothing(one)
        writer.close()
        await wait_until(lambda: not one.server.connections)
