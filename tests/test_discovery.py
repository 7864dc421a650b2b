"""Discovery that is late, silent or wrong, on a clock set by hand."""

from __future__ import annotations

import asyncio
import json
import logging
import socket
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, cast
from unittest.mock import Mock

import pytest

from tests.sockets import (
    Endpoint,
    FakeDiscovery,
    http_request,
    push_list,
    read_message,
    run_sidecar,
    run_test,
)
from woadyard.errors import PeerError
from woadyard.net.discovery import LOST_MESSAGE, Discovery
from woadyard.net.json_stream import JsonStreamDecoder
from woadyard.net.list_stream import LIST_DECODER, Stream, StreamFailure
from woadyard.net.state import endpoint_number


class FakeLoop:
    """Of a loop, its clock and its timers alone."""

    def __init__(self) -> None:
        self.now, self.timers = 0.0, list[tuple[float, Callable[..., object], tuple[Any, ...]]]()

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> None:
        self.timers.append((self.now + delay, callback, args))

    def create_task(self, coro: Coroutine[Any, Any, None]) -> Mock:
        coro.close()  # nothing is connected: the test feeds the stream
        return Mock()

    def advance_to(self, end: float) -> None:
        while (due := min(self.timers, key=lambda one: one[0], default=None)) and due[0] <= end:
            self.timers.remove(due)
            self.now = due[0]
            due[1](*due[2])
        self.now = end


def open_watch(clock: FakeLoop, discovery: Discovery) -> Stream:
    discovery.set_watch(True)
    assert discovery.stream is not None
    discovery.stream.connection_made(Mock())
    discovery.stream.data_received(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    return discovery.stream


def test_a_watch_that_missed_a_line_is_given_up_before_the_next() -> None:
    clock, failed = FakeLoop(), list[float]()
    loop = cast(asyncio.AbstractEventLoop, clock)
    discovery = Discovery(loop, "127.0.0.1:1", "/list", False, lambda *_: None, Random(1))
    discovery.on_failed = lambda: failed.append(clock.now)
    stream = open_watch(clock, discovery)
    for beat in (2.0, 4.0, 6.0):
        clock.advance_to(beat)
        stream.data_received(b"1\r\n\n\r\n")
    assert not failed
    clock.advance_to(20.0)
    assert len(failed) == 1 and 8.0 < failed[0] <= 9.0


def test_a_call_that_is_never_answered_is_given_up_in_time() -> None:
    clock, failed = FakeLoop(), list[float]()
    loop = cast(asyncio.AbstractEventLoop, clock)
    discovery = Discovery(loop, "127.0.0.1:1", "/list", False, lambda *_: None, Random(1))
    discovery.on_failed = lambda: failed.append(clock.now)
    discovery.fetch()
    clock.advance_to(20.0)
    assert len(failed) == 1 and failed[0] <= 3.0


INDENTED = json.dumps(
    {"generation": 44, "reset": True, "instances": [{"instanceId": 's-"}]\\', "hostPort": "a:1"}]}, indent=2
).encode()
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize("watch", [True, False])
def test_an_indented_list_is_read_on_a_watch_and_in_an_answer(watch: bool) -> None:
    clock, lists = FakeLoop(), list[tuple[Any, ...]]()
    loop = cast(asyncio.AbstractEventLoop, clock)
    discovery = Discovery(loop, "127.0.0.1:1", "/list", True, lambda *told: lists.append(told), Random(1))
    stream = Stream(discovery, "/list", watch)
    stream.connection_made(Mock())
    lines = INDENTED + b"\n\n" + INDENTED.replace(b"44", b"45") + b"\n" if watch else INDENTED
    for at in range(0, len(lines), 7):
        part = lines[at : at + 7]
        stream.data_received((CHUNKED_HEAD if not at else b"") + b"%x\r\n%b\r\n" % (len(part), part))
    stream.data_received(b"0\r\n\r\n")
    assert [told[:2] for told in lists] == ([(44, True), (45, True)] if watch else [(44, True)])
    assert lists[0][2] == json.loads(INDENTED)["instances"] and stream.is_done


@pytest.mark.parametrize(
    "lines", [b"{not json\n", b'{\n"generation": 4,\n\n', b'{"generation": 4,\n}\n', b"]\n", b'{"a\n"}\n']
)
def test_what_is_no_list_is_told_at_once(lines: bytes) -> None:
    with pytest.raises(PeerError):
        objects = JsonStreamDecoder(LIST_DECODER)
        objects.feed(lines)
        list(objects.read_objects())


def test_copies_that_lost_their_watches_together_ask_again_apart() -> None:
    clock = FakeLoop()
    loop = cast(asyncio.AbstractEventLoop, clock)
    times = []
    for seed in range(40):
        discovery = Discovery(loop, "127.0.0.1:1", "/list", True, lambda *_: None, Random(seed))
        stream = open_watch(clock, discovery)
        clock.timers.clear()
        for _ in range(3):
            stream.connection_lost(None)
            again, callback, args = clock.timers.pop()
            callback(*args)
            assert discovery.stream is not None
            stream = discovery.stream
        times.append(again)
    assert len(set(times)) == 40 and max(times) > 2 * min(times)


def test_a_list_older_than_a_drain_does_not_bring_the_endpoint_back() -> None:
    async def main() -> None:
        first, second = Endpoint(), Endpoint()
        async with run_sidecar(first, second) as one:
            numbers = {endpoint_number(name): name for name in ("s-0", "s-1")}

            def told(version: int, whole: bool, *entries: dict[str, Any]) -> set[str]:
                one.driver.apply_list(version, whole, list(entries))
                ready = {numbers[endpoint.id] for _, endpoint in one.driver.balancer.ring.ready_order}
                assert ready == {numbers[number] for number in one.upstream.pools}
                return ready

            both = first.entry("s-0"), second.entry("s-1")
            told(45, False, first.entry("s-0", lifecycle="draining"))
            assert told(42, True, *both) == {"s-1"}, "an old list, told whole"
            assert told(46, True, both[1]) == {"s-1"}
            assert told(44, True, *both) == {"s-1"}, "it was missing from a newer one"
            since = first.entry("s-0", startedAtMs=99)
            assert told(3, True, since, both[1]) == {"s-0", "s-1"}, "another process"
            told(47, False, first.entry("s-0", lifecycle="gone"))
            assert told(48, True, *both) == {"s-0", "s-1"}, "a newer list may take it back"

    run_test(main())


def test_an_empty_list_is_believed_and_the_next_one_serves_again() -> None:
    async def main() -> None:
        endpoint, registry = Endpoint(), FakeDiscovery()
        async with run_sidecar(endpoint, discovery_server=registry) as one:
            _, watch = await registry.watches.get()
            push_list(watch, 42, True)
            while one.driver.balancer.ring.ready_order:
                await asyncio.sleep(0)
            refused = await one.send(http_request(deadline_ms=60))
            assert refused.start_line.split()[1] == "503" and not endpoint.received
            push_list(watch, 43, True, endpoint.entry("s-0"))
            while not one.driver.balancer.ring.ready_order:
                await asyncio.sleep(0)
            assert (await one.send(http_request(rid="r2"))).body == b"ok"

    run_test(main())


@pytest.mark.parametrize(
    "answer",
    [
        b"",  # a reset or an end before any answer
        b"HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n17\r\n" + b'{"generation":44,"reset',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n{"genera\r\n0\r\n\r\n',
    ],
)
def test_an_answer_that_breaks_off_changes_nothing_and_is_asked_for_again(
    answer: bytes, capsys: pytest.CaptureFixture[str]
) -> None:
    async def main() -> None:
        async def once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append((await read_message(reader)).start_line)
            if len(asked) > 1:
                again.set()
                await reader.read()
            else:
                writer.write(answer)
            writer.close()

        asked, again = list[str](), asyncio.Event()
        listener = await asyncio.start_server(once, "127.0.0.1", 0)
        registry = FakeDiscovery()
        async with listener, run_sidecar(Endpoint(), discovery_server=registry) as one:
            assert one.driver.discovery is not None
            one.driver.discovery.change_address(f"127.0.0.1:{listener.sockets[0].getsockname()[1]}")
            await again.wait()
            assert "from=41 " in asked[1], "nothing of it was taken"
            assert (await one.send(http_request())).body == b"ok"
            one.driver.discovery.close()

    run_test(main())
    assert "Traceback" not in capsys.readouterr().err


def test_the_first_pushed_list_is_waited_for_and_not_for_ever(monkeypatch: pytest.MonkeyPatch) -> None:
    """What discovery has counts as told from a process's first moment, watch or no watch."""

    async def main() -> None:
        registry = FakeDiscovery()
        async with run_sidecar(Endpoint(), discovery_server=registry) as one:
            discovery = one.driver.discovery
            assert discovery is not None
            monkeypatch.setattr("woadyard.net.discovery.PUSH_FIRST_LIST_TIMEOUT_S", 0.01)
            await discovery.wait_for_first_list()
            assert not discovery.list_received.is_set(), "discovery may be down"
            monkeypatch.setattr("woadyard.net.discovery.PUSH_FIRST_LIST_TIMEOUT_S", 60.0)
            waiting = asyncio.create_task(discovery.wait_for_first_list())
            _, watch = await registry.watches.get()
            assert not waiting.done()
            push_list(watch, 42, True)
            await waiting
            assert not one.driver.listed_endpoints.ready_numbers()

    run_test(main())


def test_discovery_that_is_down_is_asked_again_and_serves_once_it_is_back() -> None:
    async def main() -> None:
        registry = FakeDiscovery()
        async with run_sidecar(Endpoint(), discovery_server=registry) as one:
            _, watch = await registry.watches.get()
            with socket.socket() as held:  # bound, and refusing: it does not listen
                held.bind(("127.0.0.1", 0))
                assert one.driver.discovery is not None
                one.driver.discovery.change_address(f"127.0.0.1:{held.getsockname()[1]}")
                while (backoff := one.driver.discovery.backoff).ceiling_s < backoff.max_s:
                    await asyncio.sleep(0.01)
                assert (await one.send(http_request())).body == b"ok", "by the list held"
                held.listen()
                held.setblocking(False)
                peer, _ = await asyncio.get_running_loop().sock_accept(held)
                peer.close()
                one.driver.discovery.close()
            watch.close()

    run_test(main())


def test_an_address_that_was_named_for_a_moment_costs_no_connection() -> None:
    """Two SIGHUPs in a row: the call of the first is given up before it is begun."""

    async def main() -> None:
        async def count(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            opened.append(writer)
            if await reader.read(1):
                asked.set()

        opened, asked = list[asyncio.StreamWriter](), asyncio.Event()
        listener = await asyncio.start_server(count, "127.0.0.1", 0)
        registry, other = FakeDiscovery(), FakeDiscovery()
        closing = await other.start()
        async with listener, closing, run_sidecar(Endpoint(), discovery_server=registry) as one:
            discovery = one.driver.discovery
            assert discovery is not None
            await registry.watches.get()
            discovery.change_address(f"127.0.0.1:{other.port}")
            discovery.change_address(f"127.0.0.1:{listener.sockets[0].getsockname()[1]}")
            await asked.wait()
            assert len(opened) == 1 and other.watches.empty()
            discovery.close()
            opened[0].close()

    run_test(main())


@pytest.mark.parametrize(
    ("data", "end"),
    [
        (b"HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy", StreamFailure.STATUS),
        (CHUNKED_HEAD + b'5\r\n{"a"\n\r\n0\r\n\r\n', StreamFailure.MALFORMED),
        (CHUNKED_HEAD + b"0\r\n\r\n", StreamFailure.CLOSED),
        (b"garbage\r\n\r\n", StreamFailure.MALFORMED),
        (b"", StreamFailure.SILENT),
    ],
)
def test_the_end_of_a_call_is_logged_with_its_reason(
    data: bytes, end: StreamFailure, caplog: pytest.LogCaptureFixture
) -> None:
    clock = FakeLoop()
    loop = cast(asyncio.AbstractEventLoop, clock)
    discovery = Discovery(loop, "127.0.0.1:1", "/list", False, lambda *_: None, Random(1))
    with caplog.at_level(logging.DEBUG, logger="woadyard.net.discovery"):
        discovery.set_watch(True)
        assert discovery.stream is not None
        discovery.stream.connection_made(Mock())
        if data:
            discovery.stream.data_received(data)
        clock.advance_to(3.0)
    ended = [record for record in caplog.records if record.getMessage() == "discovery call ended"]
    assert [record.__dict__["reason"] for record in ended] == [end]
    lost = [record for record in caplog.records if record.getMessage() == LOST_MESSAGE]
    assert [record.__dict__["reason"] for record in lost] == [end]
