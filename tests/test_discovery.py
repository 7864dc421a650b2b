"""Discovery that is late, silent or wrong, on a clock set by hand."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, cast
from unittest.mock import Mock

import pytest

from tests.sockets import Endpoint, Registry, push, read_message, request, run, sidecar
from woadyard.net.discovery import Discovery, Stream
from woadyard.net.state import endpoint_number


class Clock:
    """Of a loop, its clock and its timers alone."""

    def __init__(self) -> None:
        self.now, self.due = 0.0, list[tuple[float, Callable[..., object], tuple[Any, ...]]]()

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> None:
        self.due.append((self.now + delay, callback, args))

    def create_task(self, coro: Coroutine[Any, Any, None]) -> Mock:
        coro.close()  # nothing is connected: the test feeds the stream
        return Mock()

    def go_to(self, end: float) -> None:
        while (due := min(self.due, key=lambda one: one[0], default=None)) and due[0] <= end:
            self.due.remove(due)
            self.now = due[0]
            due[1](*due[2])
        self.now = end


def asked(clock: Clock, discovery: Discovery) -> Stream:
    discovery.watch(True)
    assert discovery.stream is not None
    discovery.stream.connection_made(Mock())
    discovery.stream.data_received(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    return discovery.stream


def test_a_watch_that_missed_a_line_is_given_up_before_the_next() -> None:
    clock, failed = Clock(), list[float]()
    loop = cast(asyncio.AbstractEventLoop, clock)
    discovery = Discovery(loop, "127.0.0.1:1", "/list", False, lambda *_: None, Random(1))
    discovery.on_failed = lambda: failed.append(clock.now)
    stream = asked(clock, discovery)
    for beat in (2.0, 4.0, 6.0):
        clock.go_to(beat)
        stream.data_received(b"1\r\n\n\r\n")
    assert not failed
    clock.go_to(20.0)
    assert len(failed) == 1 and 8.0 < failed[0] <= 9.0


def test_copies_that_lost_their_watches_together_ask_again_apart() -> None:
    clock = Clock()
    loop = cast(asyncio.AbstractEventLoop, clock)
    times = []
    for seed in range(40):
        discovery = Discovery(loop, "127.0.0.1:1", "/list", True, lambda *_: None, Random(seed))
        stream = asked(clock, discovery)
        clock.due.clear()
        for _ in range(3):
            stream.connection_lost(None)
            again, callback, args = clock.due.pop()
            callback(*args)
            assert discovery.stream is not None
            stream = discovery.stream
        times.append(again)
    assert len(set(times)) == 40 and max(times) > 2 * min(times)


def test_a_list_older_than_a_drain_does_not_bring_the_endpoint_back() -> None:
    async def main() -> None:
        first, second = Endpoint(), Endpoint()
        async with sidecar(first, second) as one:
            numbers = {endpoint_number(name): name for name in ("s-0", "s-1")}

            def told(version: int, whole: bool, *entries: dict[str, Any]) -> set[str]:
                one.driver.listed(version, whole, list(entries))
                ready = {numbers[endpoint.id] for _, endpoint in one.driver.balancer.ring.order}
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

    run(main())


def test_an_empty_list_is_believed_and_the_next_one_serves_again() -> None:
    async def main() -> None:
        endpoint, registry = Endpoint(), Registry()
        async with sidecar(endpoint, registry=registry) as one:
            _, watch = await registry.asked.get()
            push(watch, 42, True)
            while one.driver.balancer.ring.order:
                await asyncio.sleep(0)
            refused = await one.ask(request(deadline_ms=60))
            assert refused.start.split()[1] == "503" and not endpoint.got
            push(watch, 43, True, endpoint.entry("s-0"))
            while not one.driver.balancer.ring.order:
                await asyncio.sleep(0)
            assert (await one.ask(request(rid="r2"))).body == b"ok"

    run(main())


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
            asked.append((await read_message(reader)).start)
            if len(asked) > 1:
                again.set()
                await reader.read()
            else:
                writer.write(answer)
            writer.close()

        asked, again = list[str](), asyncio.Event()
        listener = await asyncio.start_server(once, "127.0.0.1", 0)
        registry = Registry()
        async with listener, sidecar(Endpoint(), registry=registry) as one:
            assert one.driver.discovery is not None
            one.driver.discovery.move(f"127.0.0.1:{listener.sockets[0].getsockname()[1]}")
            await again.wait()
            assert "from=41 " in asked[1], "nothing of it was taken"
            assert (await one.ask(request())).body == b"ok"
            one.driver.discovery.close()

    run(main())
    assert "Traceback" not in capsys.readouterr().err


def test_discovery_that_is_down_is_asked_again_and_serves_once_it_is_back() -> None:
    async def main() -> None:
        registry = Registry()
        async with sidecar(Endpoint(), registry=registry) as one:
            _, watch = await registry.asked.get()
            with socket.socket() as held:  # bound, and refusing: it does not listen
                held.bind(("127.0.0.1", 0))
                assert one.driver.discovery is not None
                one.driver.discovery.move(f"127.0.0.1:{held.getsockname()[1]}")
                while one.driver.discovery.backoff.limit_s < 1.6:
                    await asyncio.sleep(0.01)
                assert (await one.ask(request())).body == b"ok", "by the list held"
                held.listen()
                held.setblocking(False)
                peer, _ = await asyncio.get_running_loop().sock_accept(held)
                peer.close()
                one.driver.discovery.close()
            watch.close()

    run(main())
