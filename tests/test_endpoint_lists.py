"""Endpoints as lists tell them, and the watch that brings the lists."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.sockets import (
    Endpoint,
    FakeDiscovery,
    Message,
    Sidecar,
    Writer,
    http_request,
    http_response,
    on_loop,
    push_line,
    push_list,
    run_sidecar,
)
from woadyard.interface import (
    DRAINING,
    LIST_CACHED,
    LIST_DELTA,
    LIST_FULL,
    Action,
    Entry,
)
from woadyard.net.driver import Driver
from woadyard.net.state import endpoint_number
from woadyard.policy import Balancer


def lists(one: Sidecar) -> asyncio.Queue[tuple[int, list[Entry]]]:
    """All lists that the module is told from now on."""
    told: asyncio.Queue[tuple[int, list[Entry]]] = asyncio.Queue()
    real = one.driver.balancer.members

    def members(now: int, mode: int, entries: list[Entry]) -> list[Action]:
        told.put_nowait((mode, list(entries)))
        return real(now, mode, entries)

    vars(one.driver.balancer)["members"] = members
    return told


@on_loop
async def test_endpoint_numbers_come_from_the_name_alone() -> None:
    first, second = Endpoint(), Endpoint()
    async with run_sidecar(first, second) as one, run_sidecar(second, first, known=False) as other:
        other.set_list(second.entry("s-1"), first.entry("s-0"))
        assert set(one.driver.balancer.endpoints) == set(other.driver.balancer.endpoints)
        assert endpoint_number("s-0") in one.driver.balancer.endpoints
    assert endpoint_number("s-5be2a07c") == 0x850D21AD14919D0C, "the same after a restart"


@on_loop
async def test_a_start_in_wall_time_is_converted_once() -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as one:
        wall = 1_700_000_000_000_000
        one.driver.listed_endpoints.wall_clock.read_wall_us = lambda: wall
        started = endpoint.entry(startedAtMs=wall // 1000 - 4_000)
        before = Driver.now()
        one.set_list(started)
        (known,) = one.driver.balancer.endpoints.values()
        boot = known.boot_us
        assert before - 4_000_000 <= boot <= Driver.now() - 4_000_000
        wall += 3_600_000_000  # the wall clock is set: no restart
        one.set_list(started)
        assert known.boot_us == boot


@pytest.mark.parametrize("change", [{"startedAtMs": 5}, {"lifecycle": "draining"}, {"lifecycle": "gone"}])
@on_loop
async def test_a_new_start_or_a_drain_drops_the_idle_connections(change: dict[str, Any]) -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as one:
        await one.send(http_request())
        one.set_list(endpoint.entry("s-0", **change), is_full=False)
        await endpoint.connection_closed.acquire()
        assert not one.upstream.endpoint_connections


@on_loop
async def test_a_new_address_drops_the_old_pool() -> None:
    old, new = Endpoint(), Endpoint()
    async with run_sidecar(old, new) as one:
        one.set_list(old.entry("s-0"))
        await one.send(http_request())
        one.set_list(new.entry("s-0"), is_full=False)
        await old.connection_closed.acquire()
        assert (await one.send(http_request(rid="r2"))).body == b"ok"
        assert len(old.received) == len(new.received) == 1


@on_loop
async def test_a_whole_list_replaces_and_a_connection_out_is_not_kept() -> None:
    release = asyncio.Event()

    async def slow(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        await release.wait()
        writer.write(http_response())

    endpoint = Endpoint(slow)
    async with run_sidecar(endpoint) as one:
        asked = asyncio.create_task(one.send(http_request()))
        await endpoint.request_arrived.acquire()
        one.set_list()
        release.set()
        assert (await asked).body == b"ok", "what was sent is finished"
        await endpoint.connection_closed.acquire()


@on_loop
async def test_known_goes_in_as_cached_and_the_watch_resumes_where_it_ended() -> None:
    endpoint, registry = Endpoint(), FakeDiscovery()
    async with run_sidecar(endpoint, discovery_server=registry) as one:
        told = lists(one)
        start, watch = await registry.watches.get()
        assert start == "GET /registry/instances?watch=1&from=41 HTTP/1.1"
        push_list(watch, 44, False, endpoint.entry("s-0", lifecycle="draining"))
        mode, (entry,) = await told.get()
        assert (mode, entry.phase) == (LIST_DELTA, DRAINING)
        watch.close()
        start, watch = await registry.watches.get()
        assert "from=44 " in start
        push_list(watch, 45, True, endpoint.entry("s-9"))
        mode, (entry,) = await told.get()
        assert (mode, entry.endpoint) == (LIST_FULL, endpoint_number("s-9"))
        assert list(one.driver.balancer.endpoints) == [endpoint_number("s-9")]


@on_loop
async def test_known_is_told_as_the_cached_list(monkeypatch: pytest.MonkeyPatch) -> None:
    modes: list[int] = []
    real = Balancer.members

    def members(self: Balancer, now: int, mode: int, entries: list[Entry]) -> list[Action]:
        modes.append(mode)
        return real(self, now, mode, entries)

    monkeypatch.setattr(Balancer, "members", members)
    async with run_sidecar(Endpoint()):
        pass
    assert modes == [LIST_CACHED]


@on_loop
async def test_a_silent_watch_is_opened_anew() -> None:
    registry = FakeDiscovery()
    async with run_sidecar(Endpoint(), discovery_server=registry) as one:
        assert one.driver.discovery is not None
        one.driver.discovery.silence_timeout_s = 0.05
        await registry.watches.get()
        start, _ = await registry.watches.get()
        assert "from=41 " in start


@pytest.mark.parametrize(
    "line",
    [
        b"{not json\n",
        b"[1]\n",
        b'{"generation": 43, "reset": true}\n',
        b'{"generation": Infinity, "reset": true, "instances": []}\n',
        b'{"generation": 43, "reset": true, "instances": [{"instanceId": "s-3", "lifecycle": "odd"}]}\n',
        b'{"generation": 43, "reset": true, "instances": [{"instanceId": 3, "lifecycle": "ready"}]}\n',
    ],
)
@on_loop
async def test_a_bad_line_is_logged_and_the_watch_restarted(
    line: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    registry = FakeDiscovery()
    async with run_sidecar(Endpoint(), discovery_server=registry) as one:
        _, watch = await registry.watches.get()
        push_line(watch, line)
        start, watch = await registry.watches.get()
        assert "from=41 " in start, "nothing of the bad line was taken"
        assert (await one.send(http_request())).body == b"ok"
    assert "bad line from discovery" in caplog.messages


@on_loop
async def test_endpoints_that_left_are_forgotten_after_the_grace() -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as one:
        one.set_list()
        (place,) = one.driver.endpoints_by_number.values()
        assert place.removed_at_us is not None, "kept for the grace"
        place.removed_at_us -= 500_000
        one.set_list(is_full=False)
        assert not one.driver.endpoints_by_number and not one.upstream.pools
