"""Endpoint connections are kept alive, reused and limited in number."""

from __future__ import annotations

import asyncio
import json

import pytest

from tests.sockets import (
    Endpoint,
    Message,
    Writer,
    http_request,
    http_response,
    on_loop,
    read_message,
    record_outcomes,
    run_sidecar,
    wait_until,
)
from woadyard.interface import (
    MOOT,
    OK,
)
from woadyard.net.state import endpoint_number
from woadyard.wire import read_settings


@on_loop
async def test_request_and_response_are_forwarded_whole() -> None:
    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(
            http_response(body=b"x" * 60_000, headers="Content-Type: image/png\r\nX-Load: queue=2,qps=9\r\n")
        )

    endpoint = Endpoint(reply)
    async with run_sidecar(endpoint) as sidecar:
        outcomes = record_outcomes(sidecar)
        response = await sidecar.send(
            http_request("put", b"b" * 50_000, "X-Other: 1\r\nConnection: X-Other\r\n")
        )
        assert response.start_line.startswith("HTTP/1.1 200") and response.body == b"x" * 60_000
        assert response.headers["content-type"] == "image/png"
        (received,) = endpoint.received
        assert received.start_line == "POST /put?obj=7f3a HTTP/1.1" and received.body == b"b" * 50_000
        assert received.headers["x-request-id"] == "r1" and received.headers["idempotency-key"] == "k1"
        assert 0 < int(received.headers["x-deadline-ms"]) <= 4000
        assert "x-other" not in received.headers, "named by Connection: a hop-by-hop header"
        assert [event.report for event in outcomes] == [[2.0, 9.0]], "in the order of the settings"


@pytest.mark.parametrize("cls", ["page", "pay"])
@on_loop
async def test_connections_are_kept_alive_on_both_sides(cls: str) -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as sidecar:
        reader, writer = await sidecar.connect()
        for n in range(5):
            writer.write(http_request(cls, rid=f"r{n}"))
            assert (await read_message(reader)).body == b"ok"
        assert endpoint.connection_count == 1 and len(sidecar.server.connections) == 1
        assert not sidecar.driver.calls and not sidecar.driver.balancer.requests


@on_loop
async def test_the_last_used_connection_is_reused_and_idle_ones_time_out() -> None:
    gates = {"r1": asyncio.Event(), "r2": asyncio.Event()}
    served: list[tuple[str, int]] = []

    async def gated(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        rid = message.headers["x-request-id"]
        if rid in gates:
            await gates[rid].wait()
        served.append((rid, writer.get_extra_info("peername")[1]))
        writer.write(http_response())

    endpoint = Endpoint(gated)
    async with run_sidecar(endpoint, ceilings={"conn-idle-us": 30_000_000}) as sidecar:
        tasks = []
        for rid in gates:
            tasks.append(asyncio.create_task(sidecar.send(http_request(rid=rid))))
            await endpoint.request_arrived.acquire()
        for gate, task in zip(gates.values(), tasks, strict=True):
            gate.set()
            await task
        await sidecar.send(http_request(rid="r3"))
        ports = dict(served)
        assert ports["r3"] == ports["r2"] != ports["r1"]
        assert sidecar.upstream.idle_timeout_s <= 24.0, "well before the endpoint's idle time"
        (pool,) = sidecar.upstream.pools.values()
        pool.idle[0].idle_since_s -= 24.0
        sidecar.upstream._close_expired()
        await endpoint.connection_closed.acquire()
        assert len(sidecar.upstream.endpoint_connections) == 1


@on_loop
async def test_an_idle_connection_closed_by_the_endpoint_is_not_reused() -> None:
    async def once(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(http_response())
        writer.close()

    endpoint = Endpoint(once)
    async with run_sidecar(endpoint) as sidecar:
        outcomes = record_outcomes(sidecar)
        for n in range(3):
            await sidecar.send(http_request("pay", rid=f"r{n}"))
            while sidecar.upstream.endpoint_connections:
                await asyncio.sleep(0)
        assert [event.outcome for event in outcomes] == [OK, OK, OK]


@on_loop
async def test_open_connections_are_limited() -> None:
    first, second = Endpoint(), Endpoint()
    async with run_sidecar(first, second) as sidecar:
        sidecar.upstream.max_sockets = 1
        sidecar.set_list(first.entry("s-0"))
        await sidecar.send(http_request())
        sidecar.set_list(first.entry("s-0"), second.entry("s-1"))
        assert sidecar.upstream.pools[endpoint_number("s-0")].idle
        sidecar.set_list(second.entry("s-1", lifecycle="ready"), is_full=False)
        vars(sidecar.driver.balancer.picker)["pick"] = (
            lambda now, req, due: sidecar.driver.balancer.endpoints[endpoint_number("s-1")]
        )
        assert (await sidecar.send(http_request(rid="r2"))).body == b"ok"
        await first.connection_closed.acquire()  # the longest idle connection is closed first
        assert len(sidecar.upstream.endpoint_connections) == 1


@on_loop
async def test_running_out_of_sockets_is_not_counted_against_the_endpoint() -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint, ceilings={"max-attempts": 1}) as sidecar:
        outcomes = record_outcomes(sidecar)
        sidecar.upstream.max_sockets = 0
        assert (await sidecar.send(http_request("pay"))).start_line.split()[1] == "503"
        assert [event.outcome for event in outcomes] == [MOOT] and not endpoint.received
        (known_endpoint,) = sidecar.driver.balancer.endpoints.values()
        assert all(health == 1.0 for health, _, _ in known_endpoint.health)


@pytest.mark.parametrize("late", ["settings", "sweep"])
@on_loop
async def test_connections_past_the_idle_timeout_are_not_reused(late: str) -> None:
    """Not after new settings shorten the timeout, and not if the sweep is late."""
    endpoint = Endpoint()
    async with run_sidecar(endpoint, ceilings={"conn-idle-us": 30_000_000}) as sidecar:
        await sidecar.send(http_request(rid="r1"))
        (connection,) = sidecar.upstream.endpoint_connections
        await wait_until(lambda: connection in connection.pool.idle)
        if late == "settings":
            connection.idle_since_s -= 5.0
            raw = {
                **sidecar.driver.raw_settings,
                "ceilings": {**sidecar.driver.raw_settings["ceilings"], "conn-idle-us": 6_000_000},
            }
            sidecar.driver.apply_settings(raw, read_settings(json.dumps(raw).encode()))
            assert not connection.pool.idle, (
                "closed at once, not when the previous timeout would have expired"
            )
        else:
            connection.idle_since_s -= 24.0
        await sidecar.send(http_request(rid="r2"))
        assert endpoint.connection_count == 2


@on_loop
async def test_a_connection_whose_reading_was_paused_is_read_again_for_the_next_response() -> None:
    # Guards against a pooled connection that is never read, where the last part met a slow client.
    body = b"b" * 100_000
    raw = http_response(body=body)

    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(raw[:-1] if message.headers["x-request-id"] == "first" else http_response())

    endpoint = Endpoint(reply)
    async with run_sidecar(endpoint) as proxy:
        first = asyncio.create_task(proxy.send(http_request(rid="first")))
        await wait_until(
            lambda: any(
                each.reader.progress.body_bytes == len(body) - 1
                for each in proxy.upstream.endpoint_connections
            )
        )
        (connection,) = proxy.upstream.endpoint_connections
        connection.set_reading_paused(True)
        connection.feed_response(raw[-1:])
        assert (await first).body == body
        assert (await proxy.send(http_request(rid="second", deadline_ms=1_000))).body == b"ok"
        assert list(proxy.upstream.endpoint_connections) == [connection], "the same connection"
