"""Request bodies of every size and framing, over loopback."""

from __future__ import annotations

import asyncio

import pytest

from tests.sockets import (
    LARGE_BODY,
    Endpoint,
    Message,
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
from woadyard.interface import NO_CONNECT
from woadyard.net.message import MAX_BUFFERED_BODY_BYTES


def chunked_request(cls: str, body: bytes, rid: str = "r1") -> bytes:
    head = http_request(cls, rid=rid).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + encode_chunks(body, 5000, b';note="a;b"', b"X-Class: other\r\n")


# --- From clients ---------------------------------------------------------------------


@pytest.mark.parametrize("size", [10, MAX_BUFFERED_BODY_BYTES, MAX_BUFFERED_BODY_BYTES + 1, len(LARGE_BODY)])
@pytest.mark.parametrize("form", ["length", "chunked"])
@on_loop
async def test_a_body_reaches_the_endpoint_unchanged_and_the_connection_is_kept(size: int, form: str) -> None:
    endpoint, body = Endpoint(), LARGE_BODY[:size]
    async with run_sidecar(endpoint) as proxy:
        reader, writer = await proxy.connect()
        for rid in ("r1", "r2"):
            raw = (
                http_request("pay", body, rid=rid) if form == "length" else chunked_request("pay", body, rid)
            )
            writer.write(raw)
            response = await read_message(reader)
            assert response.body == b"ok" and "connection" not in response.headers
        assert [message.body for message in endpoint.received] == [
            body,
            body,
        ] and endpoint.connection_count == 1
        assert all(0 < int(message.headers["x-deadline-ms"]) <= 4000 for message in endpoint.received)
        assert not proxy.driver.calls and not proxy.driver.balancer.requests
        assert all(not each.transferring for each in proxy.driver.balancer.endpoints.values())


@on_loop
async def test_pipelined_large_bodies_are_served_in_order() -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as proxy:
        reader, writer = await proxy.connect()
        writer.write(
            http_request("pay", LARGE_BODY, rid="r1")
            + chunked_request("pay", LARGE_BODY, "r2")
            + http_request(rid="r3")
        )
        for _ in range(3):
            assert (await read_message(reader)).body == b"ok"
        assert [len(message.body) for message in endpoint.received] == [len(LARGE_BODY), len(LARGE_BODY), 0]


@on_loop
async def test_a_client_that_expects_100_continue_gets_it_before_its_body() -> None:
    async with run_sidecar(Endpoint()) as proxy:
        reader, writer = await proxy.connect()
        raw = http_request("pay", b"sum", headers="Expect: 100-continue\r\n")
        writer.write(raw[:-3])
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(b"sum")
        assert (await read_message(reader)).body == b"ok"


@on_loop
async def test_whitespace_around_header_values_and_trailers_change_nothing() -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as proxy:
        raw = chunked_request("pay", b"sum").replace(b"X-Class: pay", b"X-Class: \t pay \t")
        assert (await proxy.send(raw.replace(b"-Ms: 4000", b"-Ms: 4000 "))).body == b"ok"
        assert endpoint.received[0].headers["x-class"] == "pay"


@pytest.mark.parametrize(
    "raw",
    [
        http_request("pay", b"sum").replace(b"\r\n\r\n", b"\r\nContent-Length: 3\r\n\r\n"),
        http_request("pay", b"sum").replace(b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n"),
        chunked_request("pay", b"sum").replace(b"chunked\r\n", b"gzip, chunked\r\n"),
        chunked_request("pay", b"sum").replace(b"chunked\r\n", b"chunked\r\nTransfer-Encoding: chunked\r\n"),
        http_request("pay", b"sum").replace(b"Length: 3", b"Length: +3"),
        chunked_request("pay", b"sum").replace(b"3;note", b"3x;note"),
    ],
    ids=["doubled", "both", "gzip", "coded twice", "signed", "bad chunk"],
)
@on_loop
async def test_ambiguous_or_unknown_framing_is_rejected(raw: bytes) -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as proxy:
        response = await proxy.send(raw)
        assert response.start_line.split()[1] in ("400", "501") and not endpoint.received


@on_loop
async def test_a_large_body_is_sent_once_and_a_failed_connect_does_not_count() -> None:
    async def fail(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(http_response(500))

    failing, not_listening, working = Endpoint(fail), Endpoint(), Endpoint()
    async with run_sidecar(failing, working) as proxy:
        (await not_listening.start()).close()  # nothing listens there any more
        proxy.set_list(not_listening.entry("s-0"), working.entry("s-1"))
        for n in range(8):  # so that each endpoint is tried first at times
            assert (await proxy.send(http_request("put", LARGE_BODY, rid=f"a{n}"))).body == b"ok"
        proxy.set_list(failing.entry("s-0"))
        response = await proxy.send(http_request("put", LARGE_BODY, rid="b"))
        assert response.start_line.split()[1] == "502" and len(failing.received) == 1


@on_loop
async def test_an_early_response_does_not_cut_the_body_off() -> None:
    async with run_sidecar(Endpoint(), has_cached_list=False) as proxy:
        proxy.driver.balancer.membership.banned[7] = None  # all endpoints are detached: rejected at once
        reader, writer = await proxy.connect()
        raw = http_request("pay", LARGE_BODY)
        writer.write(raw[:70_000])
        response = await read_message(reader)
        assert response.start_line.split()[1] == "503" and response.headers["connection"] == "close"
        writer.write(raw[70_000:])
        await writer.drain()
        assert await reader.read() == b"", "closed once the whole body was read"


@on_loop
async def test_a_body_that_makes_progress_is_waited_for_and_one_that_does_not_is_rejected() -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as proxy:
        proxy.server.timeouts.request_s = 0.05
        proxy.server.timeouts.body_s = proxy.server.timeouts.body_pause_s = 0.05
        reader, writer = await proxy.connect()
        raw = http_request("pay", LARGE_BODY)
        writer.write(raw[:70_000])
        await wait_until(lambda: bool(proxy.upstream.endpoint_connections))
        (connection,) = proxy.server.connections
        for offset in range(70_000, 70_000 + 5 * 40_000, 40_000):
            previous_timer = connection.request_timer.handle
            await wait_until(
                lambda previous_timer=previous_timer: connection.request_timer.handle is not previous_timer  # type: ignore[misc]
            )
            writer.write(raw[offset : offset + 40_000])
            await wait_until(lambda offset=offset: connection.parser.body_size >= offset - 20_000)  # type: ignore[misc]
        assert (await read_message(reader)).start_line.split()[1] == "408"
        assert not proxy.driver.calls and not endpoint.received


@on_loop
async def test_a_body_may_pause_after_a_part_of_which_enough_came() -> None:
    """Guards against a 408 in a pause between two large parts of a body."""
    async with run_sidecar(Endpoint()) as proxy:
        reader, writer = await proxy.connect()
        raw = http_request("pay", LARGE_BODY)
        writer.write(raw[:200_000])
        await wait_until(lambda: bool(proxy.upstream.endpoint_connections))
        (connection,) = proxy.server.connections
        await wait_until(lambda: connection.parser.body_size > 190_000)
        for _ in range(2):  # the latter finds nothing new
            connection.request_timer._check()
        assert connection.request_timer.is_in_pause
        writer.write(raw[200_000:])
        assert (await read_message(reader)).body == b"ok"


@on_loop
async def test_an_attempt_whose_endpoint_stops_reading_the_body_fails() -> None:
    class NeverReads(Endpoint):
        async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
            reader._transport.pause_reading()  # type: ignore[attr-defined]

    async with run_sidecar(NeverReads()) as proxy:
        proxy.server.timeouts.request_s = 0.05
        proxy.server.timeouts.body_s = proxy.server.timeouts.upload_stall_s = 0.05
        attempt_outcomes = record_outcomes(proxy)
        reader, writer = await proxy.connect()
        writer.write(http_request("pay", LARGE_BODY * 40))
        response = await read_message(reader)
        assert response.start_line.split()[1] == "503", (
            "no endpoint has the whole request: a retry is harmless"
        )
        assert [event.outcome for event in attempt_outcomes] == [NO_CONNECT]
        assert not proxy.driver.calls and not proxy.driver.balancer.requests


@on_loop
async def test_a_body_that_stalls_after_its_response_gets_no_second_one() -> None:
    async with run_sidecar(Endpoint(), has_cached_list=False) as proxy:
        proxy.server.timeouts.request_s = 0.05
        proxy.driver.balancer.membership.banned[7] = None  # all endpoints are detached: rejected at once
        reader, writer = await proxy.connect()
        writer.write(http_request("pay", LARGE_BODY)[:70_000])
        assert (await read_message(reader)).start_line.split()[1] == "503"
        assert await reader.read() == b""
