"""Connections to endpoints: kept, reused, bounded."""

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
async def test_a_request_passes_and_its_answer_comes_back_whole() -> None:
    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(
            http_response(body=b"x" * 60_000, headers="Content-Type: image/png\r\nX-Load: queue=2,qps=9\r\n")
        )

    endpoint = Endpoint(reply)
    async with run_sidecar(endpoint) as one:
        told = record_outcomes(one)
        back = await one.send(http_request("put", b"b" * 50_000, "X-Other: 1\r\nConnection: X-Other\r\n"))
        assert back.start_line.startswith("HTTP/1.1 200") and back.body == b"x" * 60_000
        assert back.headers["content-type"] == "image/png"
        (got,) = endpoint.received
        assert got.start_line == "POST /put?obj=7f3a HTTP/1.1" and got.body == b"b" * 50_000
        assert got.headers["x-request-id"] == "r1" and got.headers["idempotency-key"] == "k1"
        assert 0 < int(got.headers["x-deadline-ms"]) <= 4000
        assert "x-other" not in got.headers, "named by Connection: it ends here"
        assert [event.report for event in told] == [[2.0, 9.0]], "in the settings' order"


@pytest.mark.parametrize("cls", ["page", "pay"])
@on_loop
async def test_connections_are_kept_on_both_sides(cls: str) -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as one:
        reader, writer = await one.connect()
        for n in range(5):
            writer.write(http_request(cls, rid=f"r{n}"))
            assert (await read_message(reader)).body == b"ok"
        assert endpoint.connection_count == 1 and len(one.server.connections) == 1
        assert not one.driver.calls and not one.driver.balancer.requests


@on_loop
async def test_the_latest_used_connection_is_reused_and_the_idle_are_dropped() -> None:
    gates = {"r1": asyncio.Event(), "r2": asyncio.Event()}
    served: list[tuple[str, int]] = []

    async def gated(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        rid = message.headers["x-request-id"]
        if rid in gates:
            await gates[rid].wait()
        served.append((rid, writer.get_extra_info("peername")[1]))
        writer.write(http_response())

    endpoint = Endpoint(gated)
    async with run_sidecar(endpoint, ceilings={"conn-idle-us": 30_000_000}) as one:
        asked = []
        for rid in gates:
            asked.append(asyncio.create_task(one.send(http_request(rid=rid))))
            await endpoint.request_arrived.acquire()
        for gate, task in zip(gates.values(), asked, strict=True):
            gate.set()
            await task
        await one.send(http_request(rid="r3"))
        ports = dict(served)
        assert ports["r3"] == ports["r2"] != ports["r1"]
        assert one.upstream.idle_timeout_s <= 24.0, "well before the endpoint's idle time"
        (pool,) = one.upstream.pools.values()
        pool.idle[0].idle_since_s -= 24.0
        one.upstream._close_expired()
        await endpoint.connection_closed.acquire()
        assert len(one.upstream.connections) == 1


@on_loop
async def test_an_idle_connection_that_the_endpoint_closes_is_not_used() -> None:
    async def once(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(http_response())
        writer.close()

    endpoint = Endpoint(once)
    async with run_sidecar(endpoint) as one:
        told = record_outcomes(one)
        for n in range(3):
            await one.send(http_request("pay", rid=f"r{n}"))
            while one.upstream.connections:
                await asyncio.sleep(0)
        assert [event.outcome for event in told] == [OK, OK, OK]


@on_loop
async def test_open_connections_stay_within_their_limit() -> None:
    first, second = Endpoint(), Endpoint()
    async with run_sidecar(first, second) as one:
        one.upstream.max_sockets = 1
        one.set_list(first.entry("s-0"))
        await one.send(http_request())
        one.set_list(first.entry("s-0"), second.entry("s-1"))
        assert one.upstream.pools[endpoint_number("s-0")].idle
        one.set_list(second.entry("s-1", lifecycle="ready"), is_full=False)
        vars(one.driver.balancer.picker)["pick"] = lambda now, req, due: one.driver.balancer.endpoints[
            endpoint_number("s-1")
        ]
        assert (await one.send(http_request(rid="r2"))).body == b"ok"
        await first.connection_closed.acquire()  # the longest idle made room
        assert len(one.upstream.connections) == 1


@on_loop
async def test_want_of_a_socket_is_no_fault_of_the_endpoint() -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint, ceilings={"max-attempts": 1}) as one:
        told = record_outcomes(one)
        one.upstream.max_sockets = 0
        assert (await one.send(http_request("pay"))).start_line.split()[1] == "503"
        assert [event.outcome for event in told] == [MOOT] and not endpoint.received
        (known,) = one.driver.balancer.endpoints.values()
        assert all(health == 1.0 for health, _, _ in known.health)


@pytest.mark.parametrize("late", ["settings", "sweep"])
@on_loop
async def test_what_rested_too_long_carries_nothing(late: str) -> None:
    """Neither under settings that name a shorter time, nor where the sweep comes late."""
    endpoint = Endpoint()
    async with run_sidecar(endpoint, ceilings={"conn-idle-us": 30_000_000}) as one:
        await one.send(http_request(rid="r1"))
        (link,) = one.upstream.connections
        await wait_until(lambda: link in link.pool.idle)
        if late == "settings":
            link.idle_since_s -= 5.0
            raw = {
                **one.driver.raw_settings,
                "ceilings": {**one.driver.raw_settings["ceilings"], "conn-idle-us": 6_000_000},
            }
            one.driver.apply_settings(raw, read_settings(json.dumps(raw).encode()))
            assert not link.pool.idle, "at once, not when the time before would have been over"
        else:
            link.idle_since_s -= 24.0
        await one.send(http_request(rid="r2"))
        assert endpoint.connection_count == 2
