"""Connections of callers: kept, closed, and given up for one another."""

from __future__ import annotations

import asyncio
import contextlib
import gc
from collections import Counter

import pytest

from tests.sockets import (
    Endpoint,
    Message,
    Writer,
    http_request,
    http_response,
    on_loop,
    read_message,
    run_sidecar,
)
from woadyard.net.client_connection import ClientConnection
from woadyard.net.endpoint_connection import EndpointConnection
from woadyard.net.message import Attempt, Call
from woadyard.net.request_head import parse_key
from woadyard.net.state import endpoint_number


async def hold(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    """No answer, until the connection closes."""


@on_loop
async def test_at_the_limit_the_longest_at_rest_gives_way_never_a_new_one() -> None:
    """A new connection that was closed to make room lost the request on its way."""
    async with run_sidecar(Endpoint()) as one:
        one.server.max_sockets = 12  # 9 of them for callers
        new = [await one.connect() for _ in range(9)]
        for n, (reader, writer) in enumerate(new):
            writer.write(http_request(rid=f"r{n}"))
            assert (await read_message(reader)).body == b"ok"
        _, extra = await one.connect()
        assert await new[0][0].read() == b"", "the one that rested longest"
        new[1][1].write(http_request(rid="again"))
        assert (await read_message(new[1][0])).body == b"ok"
        for _, writer in [*new, (None, extra)]:
            writer.close()


@on_loop
async def test_in_a_crowd_the_first_to_come_gives_way_once_it_owes_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with run_sidecar(Endpoint()) as one:
        one.server.max_sockets = 8  # 6 of them for callers
        crowd = [await one.connect() for _ in range(6)]
        late, late_writer = await one.connect()
        with contextlib.suppress(ConnectionError):
            assert await late.read() == b"", "none may be closed yet"
        assert len(one.server.connections) == 6
        crowd[0][1].write(http_request(rid="taken"))
        assert (await read_message(crowd[0][0])).body == b"ok"
        one.server.idle_since.clear()  # as if it were being served
        one.server.timeouts.overload_request_s = 0.0
        good, good_writer = await one.connect()
        good_writer.write(http_request(rid="good"))
        assert (await read_message(good)).body == b"ok"
        assert await crowd[1][0].read() == b"", "the first that brought nothing"
        one.server.set_socket_share(0.5)
        assert one.upstream.max_sockets == one.server.max_sockets == 256
        for _, writer in [*crowd, (None, good_writer), (None, late_writer)]:
            writer.close()


@on_loop
async def test_a_caller_at_rest_gives_way_to_an_attempt_before_an_idle_connection_does() -> None:
    first, second = Endpoint(), Endpoint(hold)
    async with run_sidecar(first, second) as one:
        one.set_list(first.entry("s-0"))
        resting, writer = await one.connect()
        writer.write(http_request(rid="r0"))
        await read_message(resting)
        await one.send(http_request())
        one.set_list(first.entry("s-0"), second.entry("s-1"))
        vars(one.driver.balancer.picker)["pick"] = lambda now, req, due: one.driver.balancer.endpoints[
            endpoint_number("s-1")
        ]
        one.upstream.count_client_connections, one.upstream.close_client_connection = (
            lambda: len(one.server.connections),
            one.server.release_connection,
        )
        while len(one.server.connections) > 1:  # the one that asked has closed
            await asyncio.sleep(0)
        _, asker = await one.connect()
        while len(one.server.connections) < 2:
            await asyncio.sleep(0)
        one.upstream.max_sockets = len(one.upstream.endpoint_connections) + len(one.server.connections)
        asker.write(http_request(rid="r2"))
        await second.request_arrived.acquire()
        assert await resting.read() == b""
        assert one.upstream.pools[endpoint_number("s-0")].idle, "an endpoint's connection is dearer"


@on_loop
async def test_a_caller_that_rests_long_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    async with run_sidecar(Endpoint()) as one:
        one.server.timeouts.idle_s = 0.01
        for n in range(2):
            reader, writer = await one.connect()
            writer.write(http_request(rid=f"r{n}"))
            assert (await reader.read()).startswith(b"HTTP/1.1 200 "), "whole, then the end"
        assert not one.server.idle_since


@on_loop
async def test_a_health_check_is_answered_and_its_connection_ended() -> None:
    async with run_sidecar(Endpoint()) as one:
        reader, writer = await one.connect()
        writer.write(b"GET /health/ready HTTP/1.1\r\n\r\n")
        back = await reader.read()
        assert back.startswith(b"HTTP/1.1 200 ") and b"\r\nConnection: close\r\n" in back


@pytest.mark.parametrize(
    ("sent", "expected"), [(b"\r\n", b""), (http_request("pay", b"sum")[:-1], b"HTTP/1.1 408 ")]
)
@on_loop
async def test_who_brings_no_whole_request_is_ended_and_who_rests_is_not(
    sent: bytes, expected: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as one:
        reader, writer = await one.connect()
        writer.write(http_request())
        await read_message(reader)
        one.server.timeouts.request_s = 0.01
        silent, _ = await one.connect()
        assert await silent.read() == b""
        (caller,) = one.server.connections
        assert not caller.is_closed, "the connection at rest stays"
        writer.write(sent)  # a request begun after a rest is owed as well
        back = await reader.read()
        assert back.startswith(expected) and bool(back) == bool(expected)


@on_loop
async def test_ready_does_not_wait_for_discovery() -> None:
    async with run_sidecar(known=False) as one:
        back = await one.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert back.start_line.startswith("HTTP/1.1 200")


def test_keys_are_numbers_of_what_a_request_is_about() -> None:
    assert parse_key(b"a=1&obj=7f3a9c21e0b4d655") == 0x7F3A9C21E0B4D655
    assert parse_key(b"a=1") == 0
    assert parse_key(b"obj=no-number") == parse_key(b"obj=no-number") != 0


@on_loop
async def test_what_is_over_is_freed_without_the_collector() -> None:
    """Circles of garbage wait for the collector, and a day's memory grew by them."""

    async def refuse(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(http_response(500, headers="Connection: close\r\n"))

    gc.collect()
    gc.disable()
    try:
        async with run_sidecar(Endpoint(), Endpoint(refuse)) as one:
            for n in range(20):
                await one.send(http_request(rid=f"r{n}"))
            while one.server.connections:
                await asyncio.sleep(0)
            for _ in range(5):
                await asyncio.sleep(0)  # what the loop still holds
            kinds = (Call, Attempt, ClientConnection, EndpointConnection)
            left = Counter(type(one).__name__ for one in gc.get_objects() if isinstance(one, kinds))
            assert set(left) <= {"EndpointConnection"} and left["EndpointConnection"] <= len(
                one.upstream.endpoint_connections
            )
    finally:
        gc.enable()
