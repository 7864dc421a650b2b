"""Discovery that is late, silent or wrong, on a clock set by hand."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, cast
from unittest.mock import Mock

from woadyard.net.discovery import Discovery, Stream


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
