"""Client connections: kept alive, closed when idle, and closed to make room for others."""

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


async def never_respond(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    """Never respond, until the connection closes."""


@on_loop
async def test_at_the_limit_the_longest_idle_connection_is_closed_never_a_new_one() -> None:
    """Guards against closing new connections to make room: their first request was lost on its way."""
    async with run_sidecar(Endpoint()) as proxy:
        proxy.server.max_sockets = 12  # 9 of them for clients
        connections = [await proxy.connect() for _ in range(9)]
        for n, (reader, writer) in enumerate(connections):
            writer.write(http_request(rid=f"r{n}"))
            assert (await read_message(reader)).body == b"ok"
        _, extra_writer = await proxy.connect()
        assert await connections[0][0].read() == b"", "the connection that was idle longest"
        connections[1][1].write(http_request(rid="again"))
        assert (await read_message(connections[1][0])).body == b"ok"
        for _, writer in [*connections, (None, extra_writer)]:
            writer.close()


@on_loop
async def test_at_the_limit_the_oldest_connection_is_closed_once_its_request_is_overdue(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with run_sidecar(Endpoint()) as proxy:
        proxy.server.max_sockets = 8  # 6 of them for clients
        silent = [await proxy.connect() for _ in range(6)]
        late_reader, late_writer = await proxy.connect()
        with contextlib.suppress(ConnectionError):
            assert await late_reader.read() == b"", "none of the others may be closed yet"
        assert len(proxy.server.connections) == 6
        silent[0][1].write(http_request(rid="taken"))
        assert (await read_message(silent[0][0])).body == b"ok"
        proxy.server.idle_since.clear()  # as if a request were being served
        proxy.server.timeouts.overload_request_s = 0.0
        served_reader, served_writer = await proxy.connect()
        served_writer.write(http_request(rid="good"))
        assert (await read_message(served_reader)).body == b"ok"
        assert await silent[1][0].read() == b"", "the oldest connection without a request"
        proxy.server.set_socket_share(0.5)
        assert proxy.upstream.max_sockets == proxy.server.max_sockets == 256
        for _, writer in [*silent, (None, served_writer), (None, late_writer)]:
            writer.close()


@on_loop
async def test_an_idle_client_connection_is_closed_before_an_idle_endpoint_connection() -> None:
    first, second = Endpoint(), Endpoint(never_respond)
    async with run_sidecar(first, second) as proxy:
        proxy.set_list(first.entry("s-0"))
        idle_reader, writer = await proxy.connect()
        writer.write(http_request(rid="r0"))
        await read_message(idle_reader)
        await proxy.send(http_request())
        proxy.set_list(first.entry("s-0"), second.entry("s-1"))
        vars(proxy.driver.balancer.picker)["pick"] = lambda now, req, due: proxy.driver.balancer.endpoints[
            endpoint_number("s-1")
        ]
        proxy.upstream.count_client_connections, proxy.upstream.close_client_connection = (
            lambda: len(proxy.server.connections),
            proxy.server.release_connection,
        )
        while len(proxy.server.connections) > 1:  # the connection of `ask` has closed
            await asyncio.sleep(0)
        _, requesting_writer = await proxy.connect()
        while len(proxy.server.connections) < 2:
            await asyncio.sleep(0)
        proxy.upstream.max_sockets = len(proxy.upstream.endpoint_connections) + len(proxy.server.connections)
        requesting_writer.write(http_request(rid="r2"))
        await second.request_arrived.acquire()
        assert await idle_reader.read() == b""
        assert proxy.upstream.pools[endpoint_number("s-0")].idle, "endpoint connections cost more"


@on_loop
async def test_a_client_connection_that_is_idle_for_long_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    async with run_sidecar(Endpoint()) as proxy:
        proxy.server.timeouts.idle_s = 0.01
        for n in range(2):
            reader, writer = await proxy.connect()
            writer.write(http_request(rid=f"r{n}"))
            assert (await reader.read()).startswith(b"HTTP/1.1 200 "), "a complete response, then the end"
        assert not proxy.server.idle_since


@on_loop
async def test_a_health_check_is_answered_and_its_connection_closed() -> None:
    async with run_sidecar(Endpoint()) as proxy:
        reader, writer = await proxy.connect()
        writer.write(b"GET /health/ready HTTP/1.1\r\n\r\n")
        response = await reader.read()
        assert response.startswith(b"HTTP/1.1 200 ") and b"\r\nConnection: close\r\n" in response


@pytest.mark.parametrize(
    ("sent", "expected"), [(b"\r\n", b""), (http_request("pay", b"sum")[:-1], b"HTTP/1.1 408 ")]
)
@on_loop
async def test_connections_without_a_complete_request_are_closed_and_idle_ones_are_not(
    sent: bytes, expected: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as proxy:
        reader, writer = await proxy.connect()
        writer.write(http_request())
        await read_message(reader)
        proxy.server.timeouts.request_s = 0.01
        silent, _ = await proxy.connect()
        assert await silent.read() == b""
        (connection,) = proxy.server.connections
        assert not connection.is_closed, "the idle connection stays"
        writer.write(sent)  # a request that begins after an idle time has to be completed as well
        response = await reader.read()
        assert response.startswith(expected) and bool(response) == bool(expected)


@on_loop
async def test_ready_does_not_wait_for_discovery() -> None:
    async with run_sidecar(has_cached_list=False) as proxy:
        response = await proxy.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert response.start_line.startswith("HTTP/1.1 200")


def test_keys_are_numbers_of_the_object_that_a_request_names() -> None:
    assert parse_key(b"a=1&obj=7f3a9c21e0b4d655") == 0x7F3A9C21E0B4D655
    assert parse_key(b"a=1") == 0
    assert parse_key(b"obj=no-number") == parse_key(b"obj=no-number") != 0


@on_loop
async def test_finished_calls_and_connections_are_freed_without_the_garbage_collector() -> None:
    """Guards against reference cycles, which wait for the garbage collector: memory grew within a day."""

    async def respond_500(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(http_response(500, headers="Connection: close\r\n"))

    gc.collect()
    gc.disable()
    try:
        async with run_sidecar(Endpoint(), Endpoint(respond_500)) as proxy:
            for n in range(20):
                await proxy.send(http_request(rid=f"r{n}"))
            while proxy.server.connections:
                await asyncio.sleep(0)
            for _ in range(5):
                await asyncio.sleep(0)  # references held by the event loop
            kinds = (Call, Attempt, ClientConnection, EndpointConnection)
            alive = Counter(type(each).__name__ for each in gc.get_objects() if isinstance(each, kinds))
            assert set(alive) <= {"EndpointConnection"} and alive["EndpointConnection"] <= len(
                proxy.upstream.endpoint_connections
            )
    finally:
        gc.enable()
