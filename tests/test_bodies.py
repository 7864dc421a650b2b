"""Bodies and answers of every size and form, over loopback."""

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


def chunked(cls: str, body: bytes, rid: str = "r1") -> bytes:
    head = http_request(cls, rid=rid).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + encode_chunks(body, 5000, b';note="a;b"', b"X-Class: other\r\n")


# --- From callers ---------------------------------------------------------------------


@pytest.mark.parametrize("size", [10, MAX_BUFFERED_BODY_BYTES, MAX_BUFFERED_BODY_BYTES + 1, len(LARGE_BODY)])
@pytest.mark.parametrize("form", ["length", "chunked"])
@on_loop
async def test_a_body_reaches_the_endpoint_whole_and_the_connection_is_kept(size: int, form: str) -> None:
    endpoint, body = Endpoint(), LARGE_BODY[:size]
    async with run_sidecar(endpoint) as one:
        reader, writer = await one.connect()
        for rid in ("r1", "r2"):
            raw = http_request("pay", body, rid=rid) if form == "length" else chunked("pay", body, rid)
            writer.write(raw)
            back = await read_message(reader)
            assert back.body == b"ok" and "connection" not in back.headers
        assert [one.body for one in endpoint.received] == [body, body] and endpoint.connection_count == 1
        assert all(0 < int(one.headers["x-deadline-ms"]) <= 4000 for one in endpoint.received)
        assert not one.driver.calls and not one.driver.balancer.requests
        assert all(not one.transferring for one in one.driver.balancer.endpoints.values())


@on_loop
async def test_large_bodies_sent_ahead_are_served_in_turn() -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as one:
        reader, writer = await one.connect()
        writer.write(
            http_request("pay", LARGE_BODY, rid="r1")
            + chunked("pay", LARGE_BODY, "r2")
            + http_request(rid="r3")
        )
        for _ in range(3):
            assert (await read_message(reader)).body == b"ok"
        assert [len(one.body) for one in endpoint.received] == [len(LARGE_BODY), len(LARGE_BODY), 0]


@on_loop
async def test_a_caller_that_expects_a_word_gets_it_before_its_body() -> None:
    async with run_sidecar(Endpoint()) as one:
        reader, writer = await one.connect()
        raw = http_request("pay", b"sum", headers="Expect: 100-continue\r\n")
        writer.write(raw[:-3])
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(b"sum")
        assert (await read_message(reader)).body == b"ok"


@on_loop
async def test_white_space_around_values_and_trailers_change_nothing() -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as one:
        raw = chunked("pay", b"sum").replace(b"X-Class: pay", b"X-Class: \t pay \t")
        assert (await one.send(raw.replace(b"-Ms: 4000", b"-Ms: 4000 "))).body == b"ok"
        assert endpoint.received[0].headers["x-class"] == "pay"


@pytest.mark.parametrize(
    "raw",
    [
        http_request("pay", b"sum").replace(b"\r\n\r\n", b"\r\nContent-Length: 3\r\n\r\n"),
        http_request("pay", b"sum").replace(b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n"),
        chunked("pay", b"sum").replace(b"chunked\r\n", b"gzip, chunked\r\n"),
        chunked("pay", b"sum").replace(b"chunked\r\n", b"chunked\r\nTransfer-Encoding: chunked\r\n"),
        http_request("pay", b"sum").replace(b"Length: 3", b"Length: +3"),
        chunked("pay", b"sum").replace(b"3;note", b"3x;note"),
    ],
    ids=["doubled", "both", "gzip", "coded twice", "signed", "bad chunk"],
)
@on_loop
async def test_framing_that_is_doubled_or_unknown_is_refused(raw: bytes) -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as one:
        back = await one.send(raw)
        assert back.start_line.split()[1] in ("400", "501") and not endpoint.received


@on_loop
async def test_a_large_body_is_sent_once_and_a_connection_that_never_came_up_costs_it_nothing() -> None:
    async def fail(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(http_response(500))

    bad, closed, good = Endpoint(fail), Endpoint(), Endpoint()
    async with run_sidecar(bad, good) as one:
        (await closed.start()).close()  # nobody listens there
        one.set_list(closed.entry("s-0"), good.entry("s-1"))
        for n in range(8):  # to either first
            assert (await one.send(http_request("put", LARGE_BODY, rid=f"a{n}"))).body == b"ok"
        one.set_list(bad.entry("s-0"))
        back = await one.send(http_request("put", LARGE_BODY, rid="b"))
        assert back.start_line.split()[1] == "502" and len(bad.received) == 1


@on_loop
async def test_an_answer_while_the_body_still_comes_does_not_cut_it_off() -> None:
    async with run_sidecar(Endpoint(), known=False) as one:
        one.driver.balancer.membership.banned[7] = None  # all endpoints are out: refused at once
        reader, writer = await one.connect()
        raw = http_request("pay", LARGE_BODY)
        writer.write(raw[:70_000])
        back = await read_message(reader)
        assert back.start_line.split()[1] == "503" and back.headers["connection"] == "close"
        writer.write(raw[70_000:])
        await writer.drain()
        assert await reader.read() == b"", "closed once all of it was read"


@on_loop
async def test_a_body_that_gets_on_is_waited_for_and_one_that_does_not_is_refused() -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as one:
        one.server.timeouts.request_s = 0.05
        one.server.timeouts.body_s = 0.05
        reader, writer = await one.connect()
        raw = http_request("pay", LARGE_BODY)
        writer.write(raw[:70_000])
        await wait_until(lambda: bool(one.upstream.endpoint_connections))
        (caller,) = one.server.connections
        for at in range(70_000, 70_000 + 5 * 40_000, 40_000):
            before = caller.request_timer
            await wait_until(lambda before=before: caller.request_timer is not before)  # type: ignore[misc]
            writer.write(raw[at : at + 40_000])
            await wait_until(lambda at=at: caller.parser.body_size >= at - 20_000)  # type: ignore[misc]
        assert (await read_message(reader)).start_line.split()[1] == "408"
        assert not one.driver.calls and not endpoint.received


@on_loop
async def test_an_endpoint_that_takes_no_more_of_a_body_is_given_up() -> None:
    class Frozen(Endpoint):
        async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
            reader._transport.pause_reading()  # type: ignore[attr-defined]

    async with run_sidecar(Frozen()) as one:
        one.server.timeouts.request_s = 0.05
        one.server.timeouts.body_s = 0.05
        events = record_outcomes(one)
        reader, writer = await one.connect()
        writer.write(http_request("pay", LARGE_BODY * 40))
        back = await read_message(reader)
        assert back.start_line.split()[1] == "503", "no endpoint has it whole: trying again is harmless"
        assert [event.outcome for event in events] == [NO_CONNECT]
        assert not one.driver.calls and not one.driver.balancer.requests


@on_loop
async def test_a_body_that_stops_after_its_answer_gets_no_second_one() -> None:
    async with run_sidecar(Endpoint(), known=False) as one:
        one.server.timeouts.request_s = 0.05
        one.driver.balancer.membership.banned[7] = None  # all endpoints are out: refused at once
        reader, writer = await one.connect()
        writer.write(http_request("pay", LARGE_BODY)[:70_000])
        assert (await read_message(reader)).start_line.split()[1] == "503"
        assert await reader.read() == b""
