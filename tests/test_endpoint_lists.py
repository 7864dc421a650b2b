"""How received lists change the endpoints, and the watch that receives the lists."""

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


def received_lists(running: Sidecar) -> asyncio.Queue[tuple[int, list[Entry]]]:
    """Return a queue of all lists that the policy receives from now on."""
    lists: asyncio.Queue[tuple[int, list[Entry]]] = asyncio.Queue()
    real = running.driver.balancer.members

    def members(now: int, mode: int, entries: list[Entry]) -> list[Action]:
        lists.put_nowait((mode, list(entries)))
        return real(now, mode, entries)

    vars(running.driver.balancer)["members"] = members
    return lists


@on_loop
async def test_endpoint_numbers_depend_on_the_name_alone() -> None:
    first, second = Endpoint(), Endpoint()
    async with (
        run_sidecar(first, second) as running,
        run_sidecar(second, first, has_cached_list=False) as other,
    ):
        other.set_list(second.entry("s-1"), first.entry("s-0"))
        assert set(running.driver.balancer.endpoints) == set(other.driver.balancer.endpoints)
        assert endpoint_number("s-0") in running.driver.balancer.endpoints
    assert endpoint_number("s-5be2a07c") == 0x850D21AD14919D0C, "the same after a restart"


@on_loop
async def test_start_in_wall_clock_time_is_converted_once() -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as running:
        wall_us = 1_700_000_000_000_000
        running.driver.listed_endpoints.wall_clock.read_wall_us = lambda: wall_us
        started = endpoint.entry(startedAtMs=wall_us // 1000 - 4_000)
        before_us = Driver.now()
        running.set_list(started)
        (known,) = running.driver.balancer.endpoints.values()
        boot_us = known.boot_us
        assert before_us - 4_000_000 <= boot_us <= Driver.now() - 4_000_000
        wall_us += 3_600_000_000  # the wall clock is stepped: no restart
        running.set_list(started)
        assert known.boot_us == boot_us


@pytest.mark.parametrize("change", [{"startedAtMs": 5}, {"lifecycle": "draining"}, {"lifecycle": "gone"}])
@on_loop
async def test_restart_or_drain_closes_the_idle_connections(change: dict[str, Any]) -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as running:
        await running.send(http_request())
        running.set_list(endpoint.entry("s-0", **change), is_full=False)
        await endpoint.connection_closed.acquire()
        assert not running.upstream.endpoint_connections


@on_loop
async def test_new_address_closes_the_old_pool() -> None:
    old, new = Endpoint(), Endpoint()
    async with run_sidecar(old, new) as running:
        running.set_list(old.entry("s-0"))
        await running.send(http_request())
        running.set_list(new.entry("s-0"), is_full=False)
        await old.connection_closed.acquire()
        assert (await running.send(http_request(rid="r2"))).body == b"ok"
        assert len(old.received) == len(new.received) == 1


@on_loop
async def test_connection_in_use_is_closed_after_a_full_list_removed_its_endpoint() -> None:
    may_answer = asyncio.Event()

    async def slow(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        await may_answer.wait()
        writer.write(http_response())

    endpoint = Endpoint(slow)
    async with run_sidecar(endpoint) as running:
        response = asyncio.create_task(running.send(http_request()))
        await endpoint.request_arrived.acquire()
        running.set_list()
        may_answer.set()
        assert (await response).body == b"ok", "the request in flight is finished"
        await endpoint.connection_closed.acquire()


@on_loop
async def test_watch_resumes_from_the_last_received_list() -> None:
    endpoint, registry = Endpoint(), FakeDiscovery()
    async with run_sidecar(endpoint, discovery_server=registry) as running:
        lists = received_lists(running)
        start, watch = await registry.watches.get()
        assert start == "GET /registry/instances?watch=1&from=41 HTTP/1.1"
        push_list(watch, 44, False, endpoint.entry("s-0", lifecycle="draining"))
        mode, (entry,) = await lists.get()
        assert (mode, entry.phase) == (LIST_DELTA, DRAINING)
        watch.close()
        start, watch = await registry.watches.get()
        assert "from=44 " in start
        push_list(watch, 45, True, endpoint.entry("s-9"))
        mode, (entry,) = await lists.get()
        assert (mode, entry.endpoint) == (LIST_FULL, endpoint_number("s-9"))
        assert list(running.driver.balancer.endpoints) == [endpoint_number("s-9")]


@on_loop
async def test_whole_list_is_fetched_after_a_move_to_a_discovery_without_lineages() -> None:
    # Guards against sidecars that reject each delta of the new discovery and so refuse every request.
    endpoint, old, new = Endpoint(), FakeDiscovery(), FakeDiscovery()
    async with await new.start(), run_sidecar(endpoint, discovery_server=old) as running:
        lists = received_lists(running)
        _, watch = await old.watches.get()
        push_line(watch, b'{"generation":7,"reset":true,"instances":[],"lineage":"ab","term":1}\n')
        await lists.get()
        assert running.driver.discovery is not None
        running.driver.discovery.change_address(f"{new.host}:{new.port}")
        start, call = await new.watches.get()
        while "watch=1" in start:
            push_list(call, 8, False)
            start, call = await new.watches.get()
        push_list(call, 8, True, endpoint.entry("s-9"))
        mode, (entry,) = await lists.get()
        assert (mode, entry.endpoint) == (LIST_FULL, endpoint_number("s-9"))


@on_loop
async def test_configured_list_is_passed_on_as_the_cached_list(monkeypatch: pytest.MonkeyPatch) -> None:
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
async def test_silent_watch_is_reopened() -> None:
    registry = FakeDiscovery()
    async with run_sidecar(Endpoint(), discovery_server=registry) as running:
        assert running.driver.discovery is not None
        running.driver.discovery.silence_timeout_s = 0.05
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
async def test_invalid_line_is_logged_and_the_watch_is_reopened(
    line: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    registry = FakeDiscovery()
    async with run_sidecar(Endpoint(), discovery_server=registry) as running:
        _, watch = await registry.watches.get()
        push_line(watch, line)
        start, watch = await registry.watches.get()
        assert "from=41 " in start, "nothing of the invalid line was applied"
        assert (await running.send(http_request())).body == b"ok"
    assert "bad line from discovery" in caplog.messages


@on_loop
async def test_removed_endpoints_are_forgotten_after_the_drain_grace() -> None:
    endpoint = Endpoint()
    async with run_sidecar(endpoint) as running:
        running.set_list()
        (listed,) = running.driver.endpoints_by_number.values()
        assert listed.removed_at_us is not None, "kept for the grace"
        listed.removed_at_us -= 500_000
        running.set_list(is_full=False)
        assert not running.driver.endpoints_by_number and not running.upstream.pools
