"""The discovery client when discovery is late, silent or sends invalid data, mostly on a simulated clock."""

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
    """The clock and the timers of an event loop; time advances only by `advance_to`."""

    def __init__(self) -> None:
        self.now, self.timers = 0.0, list[tuple[float, Callable[..., object], tuple[Any, ...]]]()

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> None:
        self.timers.append((self.now + delay, callback, args))

    def create_task(self, coro: Coroutine[Any, Any, None]) -> Mock:
        coro.close()  # no connection is made: the test feeds the stream
        return Mock()

    def advance_to(self, end: float) -> None:
        while (timer := min(self.timers, key=lambda entry: entry[0], default=None)) and timer[0] <= end:
            self.timers.remove(timer)
            self.now = timer[0]
            timer[1](*timer[2])
        self.now = end


def open_watch(fake_loop: FakeLoop, discovery: Discovery) -> Stream:
    """Open the watch and feed it a response head."""
    discovery.set_watch(True)
    assert discovery.stream is not None
    discovery.stream.connection_made(Mock())
    discovery.stream.data_received(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    return discovery.stream


def test_watch_that_missed_a_heartbeat_fails_before_the_next_is_due() -> None:
    fake_loop, failed_at_s = FakeLoop(), list[float]()
    loop = cast(asyncio.AbstractEventLoop, fake_loop)
    discovery = Discovery(loop, "127.0.0.1:1", "/list", False, lambda *_: None, Random(1))
    discovery.on_failed = lambda: failed_at_s.append(fake_loop.now)
    stream = open_watch(fake_loop, discovery)
    for heartbeat_s in (2.0, 4.0, 6.0):
        fake_loop.advance_to(heartbeat_s)
        stream.data_received(b"1\r\n\n\r\n")
    assert not failed_at_s
    fake_loop.advance_to(20.0)
    assert len(failed_at_s) == 1 and 8.0 < failed_at_s[0] <= 9.0


def test_fetch_without_a_response_fails_in_time() -> None:
    fake_loop, failed_at_s = FakeLoop(), list[float]()
    loop = cast(asyncio.AbstractEventLoop, fake_loop)
    discovery = Discovery(loop, "127.0.0.1:1", "/list", False, lambda *_: None, Random(1))
    discovery.on_failed = lambda: failed_at_s.append(fake_loop.now)
    discovery.fetch()
    fake_loop.advance_to(20.0)
    assert len(failed_at_s) == 1 and failed_at_s[0] <= 3.0


INDENTED = json.dumps(
    {"generation": 44, "reset": True, "instances": [{"instanceId": 's-"}]\\', "hostPort": "a:1"}]}, indent=2
).encode()
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize("is_watch", [True, False])
def test_indented_list_is_decoded_on_a_watch_and_on_a_fetch(is_watch: bool) -> None:
    fake_loop, lists = FakeLoop(), list[tuple[Any, ...]]()
    loop = cast(asyncio.AbstractEventLoop, fake_loop)
    discovery = Discovery(
        loop, "127.0.0.1:1", "/list", True, lambda *received: lists.append(received), Random(1)
    )
    stream = Stream(discovery, "/list", is_watch)
    stream.connection_made(Mock())
    body = INDENTED + b"\n\n" + INDENTED.replace(b"44", b"45") + b"\n" if is_watch else INDENTED
    for offset in range(0, len(body), 7):
        part = body[offset : offset + 7]
        stream.data_received((CHUNKED_HEAD if not offset else b"") + b"%x\r\n%b\r\n" % (len(part), part))
    stream.data_received(b"0\r\n\r\n")
    assert [received[:2] for received in lists] == ([(44, True), (45, True)] if is_watch else [(44, True)])
    assert lists[0][2] == json.loads(INDENTED)["instances"] and stream.is_done


@pytest.mark.parametrize(
    "raw", [b"{not json\n", b'{\n"generation": 4,\n\n', b'{"generation": 4,\n}\n', b"]\n", b'{"a\n"}\n']
)
def test_invalid_list_is_rejected_at_once(raw: bytes) -> None:
    with pytest.raises(PeerError):
        decoder = JsonStreamDecoder(LIST_DECODER)
        decoder.feed(raw)
        list(decoder.read_objects())


def test_sidecars_that_lost_their_watches_together_retry_at_different_times() -> None:
    fake_loop = FakeLoop()
    loop = cast(asyncio.AbstractEventLoop, fake_loop)
    retry_times_s = []
    for seed in range(40):
        discovery = Discovery(loop, "127.0.0.1:1", "/list", True, lambda *_: None, Random(seed))
        stream = open_watch(fake_loop, discovery)
        fake_loop.timers.clear()
        for _ in range(3):
            stream.connection_lost(None)
            retry_at_s, callback, args = fake_loop.timers.pop()
            callback(*args)
            assert discovery.stream is not None
            stream = discovery.stream
        retry_times_s.append(retry_at_s)
    assert len(set(retry_times_s)) == 40 and max(retry_times_s) > 2 * min(retry_times_s)


def test_list_older_than_a_drain_does_not_bring_the_endpoint_back() -> None:
    async def main() -> None:
        first, second = Endpoint(), Endpoint()
        async with run_sidecar(first, second) as running:
            names = {endpoint_number(name): name for name in ("s-0", "s-1")}

            def ready_after(version: int, is_full: bool, *entries: dict[str, Any]) -> set[str]:
                running.driver.apply_list(version, is_full, list(entries))
                ready = {names[endpoint.id] for _, endpoint in running.driver.balancer.ring.ready_order}
                assert ready == {names[number] for number in running.upstream.pools}
                return ready

            both = first.entry("s-0"), second.entry("s-1")
            ready_after(45, False, first.entry("s-0", lifecycle="draining"))
            assert ready_after(42, True, *both) == {"s-1"}, "an older full list"
            assert ready_after(46, True, both[1]) == {"s-1"}
            assert ready_after(44, True, *both) == {"s-1"}, "a newer full list left it out"
            restarted = first.entry("s-0", startedAtMs=99)
            assert ready_after(3, True, restarted, both[1]) == {"s-0", "s-1"}, "it is another process"
            ready_after(47, False, first.entry("s-0", lifecycle="gone"))
            assert ready_after(48, True, *both) == {"s-0", "s-1"}, "a newer list may bring it back"

    run_test(main())


def test_empty_list_is_applied_and_the_next_list_serves_again() -> None:
    async def main() -> None:
        endpoint, registry = Endpoint(), FakeDiscovery()
        async with run_sidecar(endpoint, discovery_server=registry) as running:
            _, watch = await registry.watches.get()
            push_list(watch, 42, True)
            while running.driver.balancer.ring.ready_order:
                await asyncio.sleep(0)
            refused = await running.send(http_request(deadline_ms=60))
            assert refused.start_line.split()[1] == "503" and not endpoint.received
            push_list(watch, 43, True, endpoint.entry("s-0"))
            while not running.driver.balancer.ring.ready_order:
                await asyncio.sleep(0)
            assert (await running.send(http_request(rid="r2"))).body == b"ok"

    run_test(main())


@pytest.mark.parametrize(
    "response",
    [
        b"",  # the connection ends before any response
        b"HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n17\r\n" + b'{"generation":44,"reset',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n{"genera\r\n0\r\n\r\n',
    ],
)
def test_truncated_response_changes_nothing_and_the_call_is_retried(
    response: bytes, capsys: pytest.CaptureFixture[str]
) -> None:
    async def main() -> None:
        async def fail_once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            request_lines.append((await read_message(reader)).start_line)
            if len(request_lines) > 1:
                retried.set()
                await reader.read()
            else:
                writer.write(response)
            writer.close()

        request_lines, retried = list[str](), asyncio.Event()
        listener = await asyncio.start_server(fail_once, "127.0.0.1", 0)
        registry = FakeDiscovery()
        async with listener, run_sidecar(Endpoint(), discovery_server=registry) as running:
            assert running.driver.discovery is not None
            running.driver.discovery.change_address(f"127.0.0.1:{listener.sockets[0].getsockname()[1]}")
            await retried.wait()
            assert "from=41 " in request_lines[1], "nothing of the response was applied"
            assert (await running.send(http_request())).body == b"ok"
            running.driver.discovery.close()

    run_test(main())
    assert "Traceback" not in capsys.readouterr().err


def test_wait_for_the_first_pushed_list_has_a_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """With pushed lists a change binds from the start of a process, with or without a watch."""

    async def main() -> None:
        registry = FakeDiscovery()
        async with run_sidecar(Endpoint(), discovery_server=registry) as running:
            discovery = running.driver.discovery
            assert discovery is not None
            monkeypatch.setattr("woadyard.net.discovery.PUSH_FIRST_LIST_TIMEOUT_S", 0.01)
            await discovery.wait_for_first_list()
            assert not discovery.list_received.is_set(), "it timed out, as discovery may be down"
            monkeypatch.setattr("woadyard.net.discovery.PUSH_FIRST_LIST_TIMEOUT_S", 60.0)
            waiting = asyncio.create_task(discovery.wait_for_first_list())
            _, watch = await registry.watches.get()
            assert not waiting.done()
            push_list(watch, 42, True)
            await waiting
            assert not running.driver.listed_endpoints.ready_numbers()

    run_test(main())


def test_unreachable_discovery_is_retried_until_it_is_back() -> None:
    async def main() -> None:
        registry = FakeDiscovery()
        async with run_sidecar(Endpoint(), discovery_server=registry) as running:
            _, watch = await registry.watches.get()
            with socket.socket() as bound:  # it refuses connections until it listens
                bound.bind(("127.0.0.1", 0))
                assert running.driver.discovery is not None
                running.driver.discovery.change_address(f"127.0.0.1:{bound.getsockname()[1]}")
                while (backoff := running.driver.discovery.backoff).ceiling_s < backoff.max_s:
                    await asyncio.sleep(0.01)
                assert (await running.send(http_request())).body == b"ok", "by the current list"
                bound.listen()
                bound.setblocking(False)
                peer, _ = await asyncio.get_running_loop().sock_accept(bound)
                peer.close()
                running.driver.discovery.close()
            watch.close()

    run_test(main())


def test_address_replaced_at_once_gets_no_connection() -> None:
    """Two SIGHUPs in a row: the call of the first is abandoned before it connects."""

    async def main() -> None:
        async def count(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            connections.append(writer)
            if await reader.read(1):
                requested.set()

        connections, requested = list[asyncio.StreamWriter](), asyncio.Event()
        listener = await asyncio.start_server(count, "127.0.0.1", 0)
        registry, other = FakeDiscovery(), FakeDiscovery()
        closing = await other.start()
        async with listener, closing, run_sidecar(Endpoint(), discovery_server=registry) as running:
            discovery = running.driver.discovery
            assert discovery is not None
            await registry.watches.get()
            discovery.change_address(f"127.0.0.1:{other.port}")
            discovery.change_address(f"127.0.0.1:{listener.sockets[0].getsockname()[1]}")
            await requested.wait()
            assert len(connections) == 1 and other.watches.empty()
            discovery.close()
            connections[0].close()

    run_test(main())


@pytest.mark.parametrize(
    ("data", "failure"),
    [
        (b"HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy", StreamFailure.STATUS),
        (CHUNKED_HEAD + b'5\r\n{"a"\n\r\n0\r\n\r\n', StreamFailure.MALFORMED),
        (CHUNKED_HEAD + b"0\r\n\r\n", StreamFailure.CLOSED),
        (b"garbage\r\n\r\n", StreamFailure.MALFORMED),
        (b"", StreamFailure.SILENT),
    ],
)
def test_failure_of_a_call_is_logged_with_its_reason(
    data: bytes, failure: StreamFailure, caplog: pytest.LogCaptureFixture
) -> None:
    fake_loop = FakeLoop()
    loop = cast(asyncio.AbstractEventLoop, fake_loop)
    discovery = Discovery(loop, "127.0.0.1:1", "/list", False, lambda *_: None, Random(1))
    with caplog.at_level(logging.DEBUG, logger="woadyard.net.discovery"):
        discovery.set_watch(True)
        assert discovery.stream is not None
        discovery.stream.connection_made(Mock())
        if data:
            discovery.stream.data_received(data)
        fake_loop.advance_to(3.0)
    ended = [record for record in caplog.records if record.getMessage() == "discovery call ended"]
    assert [record.__dict__["reason"] for record in ended] == [failure]
    lost = [record for record in caplog.records if record.getMessage() == LOST_MESSAGE]
    assert [record.__dict__["reason"] for record in lost] == [failure]
