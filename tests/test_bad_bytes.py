"""Malformed input: it gets an error or a close in time, and no accepted request is lost."""

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
from woadyard.net.memory_budget import MAX_BUFFER_BYTES
from woadyard.net.message import MAX_HEAD_BYTES


def has_no_pending_work(proxy: Sidecar) -> bool:
    endpoints = proxy.driver.balancer.endpoints.values()
    return not proxy.driver.calls and all(endpoint.inflight == 0 for endpoint in endpoints)


GARBAGE = bytes(range(128, 256)) * 16384  # 2 MiB
HTTP2 = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + bytes(9)
TLS = bytes.fromhex("16030100c8010000c40303") + bytes(200)
MALFORMED = {
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


@pytest.mark.parametrize("raw", list(MALFORMED.values()), ids=list(MALFORMED))
@on_loop
async def test_malformed_input_gets_an_error_and_is_never_forwarded(
    raw: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as proxy:
        proxy.server.timeouts.linger_s = TIMEOUT_S
        other_reader, other_writer = await proxy.connect()
        with caplog.at_level(logging.DEBUG):
            reader, writer = await proxy.connect()
            writer.write(raw)
            response = await read_message(reader)
            assert response.start_line.split()[1][0] in "45" and await reader.read() == b""
        assert [record.exc_info for record in caplog.records] == [None], "one log line, without a traceback"
        other_writer.write(http_request(rid="good"))
        assert (await read_message(other_reader)).body == b"ok"
        assert [message.headers["x-request-id"] for message in endpoint.received] == ["good"]
        assert has_no_pending_work(proxy)
        for each in (writer, other_writer):
            each.close()
        await wait_until(lambda: not proxy.server.connections)


@pytest.mark.parametrize("raw", [b"", b"\r\n\r\n", b"GE", b"GET /page HTTP/1.1\r\nHost: x\r\n"])
@pytest.mark.parametrize("half_closes", [False, True])
@on_loop
async def test_an_incomplete_request_times_out_and_leaves_nothing_behind(
    raw: bytes, half_closes: bool
) -> None:
    async with run_sidecar(Endpoint()) as proxy:
        proxy.server.timeouts.request_s = 0.02
        reader, writer = await proxy.connect()
        writer.write(raw)
        if half_closes:
            writer.write_eof()
        response = await reader.read()
        assert not response or response.startswith(b"HTTP/1.1 408 ")
        await wait_until(lambda: not proxy.server.connections)
        assert has_no_pending_work(proxy) and not proxy.server.idle_since


@pytest.mark.parametrize("pipelined", [1, 3])
@pytest.mark.parametrize(
    "malformed", [b"nonsense\r\n\r\n", GARBAGE, http_request(rid=""), b"POST /pay"], ids=len
)
@on_loop
async def test_complete_requests_before_a_malformed_one_are_all_answered(
    pipelined: int, malformed: bytes
) -> None:
    """Guards against a reset, caused by the bytes after them, that loses the responses."""
    release = asyncio.Event()

    async def respond_when_released(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        await release.wait()
        writer.write(http_response())

    endpoint = Endpoint(respond_when_released)
    async with run_sidecar(endpoint) as proxy:
        proxy.server.timeouts.request_s, proxy.server.timeouts.linger_s = 0.05, TIMEOUT_S
        reader, writer = await proxy.connect()
        writer.write(b"".join(http_request("pay", rid=f"r{n}") for n in range(pipelined)) + malformed)
        await endpoint.request_arrived.acquire()
        release.set()
        for _ in range(pipelined):
            response = await read_message(reader)
            assert response.start_line.split()[1] == "200"
        with contextlib.suppress(asyncio.IncompleteReadError):
            response = await read_message(reader)
            assert response.start_line.split()[1][0] == "4"
        assert await reader.read() == b""
        assert len(endpoint.received) == pipelined and has_no_pending_work(proxy)
        writer.close()
        await wait_until(lambda: not proxy.server.connections)


@pytest.mark.parametrize("trailing", [b"zz\r\n" + GARBAGE, b"0\r\n\r\n" + GARBAGE], ids=["chunk", "whole"])
@on_loop
async def test_an_early_response_is_not_lost_to_a_reset_by_what_follows_the_body(trailing: bytes) -> None:
    """The client reads its response only after it has sent everything."""
    async with run_sidecar(Endpoint(), has_cached_list=False) as proxy:
        proxy.server.timeouts.linger_s = TIMEOUT_S
        proxy.driver.balancer.membership.banned[7] = None  # all endpoints are detached: rejected at once
        reader, writer = await proxy.connect()
        head = http_request("pay").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        writer.write(head + encode_chunks(LARGE_BODY, 5000)[:-5] + trailing)
        await writer.drain()
        assert (await read_message(reader)).start_line.split()[1] == "503"
        assert await reader.read() == b"" and has_no_pending_work(proxy)
        writer.close()
        await wait_until(lambda: not proxy.server.connections)


@on_loop
async def test_a_thousand_pipelined_requests_are_answered_in_order_and_delay_no_other_client() -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as proxy:
        reader, writer = await proxy.connect()
        writer.write(b"".join(http_request(rid=f"a{n}") for n in range(1000)))
        await endpoint.request_arrived.acquire()
        assert (await proxy.send(http_request(rid="other"))).body == b"ok"
        assert len(endpoint.received) < 1001, "it does not wait for all of them"
        (connection,) = (each for each in proxy.server.connections if each.pipelined)
        assert len(connection.pipelined) <= MAX_BUFFER_BYTES // len(http_request(rid="a0")), (
            "as many as one read holds"
        )
        for _ in range(1000):
            assert (await read_message(reader)).body == b"ok"
        order = [message.headers["x-request-id"] for message in endpoint.received]
        assert [rid for rid in order if rid != "other"] == [f"a{n}" for n in range(1000)]
        assert has_no_pending_work(proxy)
        writer.close()
        await wait_until(lambda: not proxy.server.connections)


@pytest.mark.parametrize(
    "endless", [b"0\r\nx: ", b"0\r\na:\r\n", b"3;"], ids=["trailer", "trailers", "extension"]
)
@on_loop
async def test_what_follows_a_body_without_an_end_is_rejected_while_it_arrives(endless: bytes) -> None:
    """Guards against a trailer that the HTTP parser buffers for as long as the client sends it."""
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as proxy:
        reader, writer = await proxy.connect()
        head = http_request("pay").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        writer.write(
            head + b"3\r\nabc\r\n" + endless + endless[3:] * MAX_HEAD_BYTES + b"y" * 2 * MAX_HEAD_BYTES
        )
        assert (await read_message(reader)).start_line.split()[1] == "431"
        assert not endpoint.received and has_no_pending_work(proxy)
        writer.close()
        await wait_until(lambda: not proxy.server.connections)


@on_loop
async def test_requests_that_are_refused_at_once_do_not_hold_up_other_clients() -> None:
    """Guards against one connection whose small requests are all answered before any other has its turn."""
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as proxy:
        reader, writer = await proxy.connect()
        count = 4000
        writer.write(b"".join(http_request(rid=f"a{n}", deadline_ms=0) for n in range(count)))
        assert (await read_message(reader)).start_line.split()[1] in ("503", "504")
        (flooding,) = proxy.server.connections
        remaining = []
        for n in range(10):
            assert (await proxy.send(http_request(rid=f"other-{n}"))).body == b"ok"
            remaining.append(len(flooding.pipelined))
        assert any(remaining), "its requests wait meanwhile"
        assert len(endpoint.received) == 10
        writer.transport.abort()
        await wait_until(lambda: not proxy.server.connections)


@on_loop
async def test_a_large_body_waits_for_its_turn_behind_a_response_that_is_read_slowly() -> None:
    """There is a pending request before it, and the write buffer is full."""

    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        rid = message.headers["x-request-id"].encode()
        writer.write(http_response(body=rid * 30_000 if rid == b"r1" else rid))

    endpoint = Endpoint(reply)
    async with run_sidecar(endpoint) as proxy:
        client_socket = socket.socket()
        client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client_socket.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client_socket, ("127.0.0.1", proxy.port))
        await wait_until(lambda: bool(proxy.server.connections))
        (connection,) = proxy.server.connections
        assert connection.transport is not None
        server_socket = connection.transport.get_extra_info("socket")
        server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        large = http_request("pay", LARGE_BODY, rid="r3")
        await loop.sock_sendall(client_socket, http_request(rid="r1") + http_request(rid="r2") + large[:2000])
        await wait_until(lambda: connection.is_writing_paused and connection.call is None)
        for _ in range(5):
            await asyncio.sleep(0)  # it would be served now if it were the next
        assert connection.upload is None and len(connection.pipelined) == 1
        reader, writer = await asyncio.open_connection(sock=client_socket)
        writer.write(large[2000:])
        assert [len((await read_message(reader)).body) for _ in range(3)] == [60_000, 2, 2]
        assert [message.headers["x-request-id"] for message in endpoint.received] == ["r1", "r2", "r3"]
        assert has_no_pending_work(proxy)
        writer.close()
        await wait_until(lambda: not proxy.server.connections)


@pytest.mark.parametrize(
    "head", [http_request("pay").replace(b"Length: 0", b"Length: 60000000"), b"\xff\xfe"]
)
@on_loop
async def test_sixty_megabytes_after_a_rejection_are_discarded_and_the_response_still_arrives(
    head: bytes,
) -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as proxy:
        proxy.server.timeouts.linger_s = TIMEOUT_S
        reader, writer = await proxy.connect()
        writer.write(head)
        await wait_until(lambda: any(connection.is_closed for connection in proxy.server.connections))
        (connection,) = proxy.server.connections
        for _ in range(30):
            writer.write(GARBAGE)
            await writer.drain()
        assert not connection.parser.body and connection.parser.bytes_since_request <= MAX_BUFFER_BYTES, (
            "none of it is parsed"
        )
        assert (await read_message(reader)).start_line.split()[1] in ("400", "413")
        assert await reader.read() == b"" and not endpoint.received and has_no_pending_work(proxy)
        writer.close()
        await wait_until(lambda: not proxy.server.connections)
