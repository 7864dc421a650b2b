"""A fleet and a discovery that handles one call after another, on one simulated clock.

It answers 503 to who waited longer than its limit, yet works through that call in its turn all
the same: a fleet that asks again too soon keeps it busy with calls that nobody waits for any
more, and most are never told again (congestion collapse)."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import json
from collections import deque
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, cast
from unittest.mock import Mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.test_discovery import CHUNKED_HEAD
from tests.test_discovery_failures import (
    FAST_FAILURES,
    PERIODS_S,
    CallOutcome,
    SimulatedSidecar,
    connect_timeout,
    settings_of,
)
from woadyard.net.discovery import Discovery
from woadyard.net.driver import Driver
from woadyard.net.list_stream import Stream
from woadyard.net.upstream import Upstream
from woadyard.wire import read_settings

LIMIT_S = 2.0


class World:
    """The clock and the timers of all, in order."""

    def __init__(self) -> None:
        self.now = 0.0
        self.due: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        self.counter = itertools.count()

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> None:
        heapq.heappush(self.due, (self.now + delay, next(self.counter), callback, args))

    def run(self, end: float) -> None:
        while self.due and self.due[0][0] <= end:
            self.now, _, callback, args = heapq.heappop(self.due)
            callback(*args)
        self.now = end


class Crowded:
    """The service: so many calls a second, each in its turn, and none while it is down."""

    def __init__(self, world: World, per_s: float) -> None:
        self.world, self.per_s = world, per_s
        self.line: deque[Stream] = deque()
        self.busy, self.down = False, False
        self.calls: list[float] = []  # when each began

    def call(self, stream: Stream) -> None:
        self.calls.append(self.world.now)
        self.world.call_later(LIMIT_S, self._refuse, stream)
        if not self.down:
            self.line.append(stream)
            self._serve()

    def _refuse(self, stream: Stream) -> None:
        if not stream.is_done and not stream.status:
            stream.data_received(b"HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy")

    def _serve(self) -> None:
        if self.line and not self.busy:
            self.busy = True
            self.world.call_later(1.0 / self.per_s, self._served, self.line.popleft())

    def _served(self, stream: Stream) -> None:
        self.busy = False
        if not stream.is_done:
            line = b'{"generation": 1, "reset": false, "instances": []}\n'
            stream.data_received(CHUNKED_HEAD + b"%x\r\n%b\r\n" % (len(line), line))
            self._beat(stream)
        self._serve()

    def _beat(self, stream: Stream) -> None:
        if not stream.is_done:
            stream.data_received(b"1\r\n\n\r\n")
            self.world.call_later(2.0, self._beat, stream)


class Sidecar:
    """One sidecar's module and discovery."""

    def __init__(self, world: World, service: Crowded, seed: int, copies: int) -> None:
        self.world, self.service = world, service
        self.told: list[float] = []
        loop = cast(asyncio.AbstractEventLoop, self)
        raw = {**settings_of(10.0), "instances": copies}
        read = read_settings(json.dumps(raw).encode())
        self.driver = Driver(loop, seed, read, raw, Upstream(loop, Driver.now, 64))
        self.discovery = self.driver.discovery = Discovery(
            loop, "127.0.0.1:1", "/list", False, self._listen, Random(seed)
        )

    def time(self) -> float:
        return self.world.now

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> None:
        self.world.call_later(delay, callback, *args)

    def create_task(self, coro: Coroutine[Any, Any, None]) -> Mock:
        coro.close()
        self.call_later(0.0, self._connect)
        return Mock()

    def _connect(self) -> None:
        stream = self.discovery.stream
        if stream is not None and stream.transport is None and not stream.is_done:
            stream.connection_made(Mock())
            self.service.call(stream)

    def _listen(self, version: int, whole: bool, entries: list[dict[str, Any]]) -> None:
        self.driver.apply_list(version, whole, entries)
        self.told.append(self.world.now)

    def lose(self) -> None:
        if (stream := self.discovery.stream) is not None and not stream.is_done:
            stream.connection_lost(ConnectionResetError())


def fleet(
    monkeypatch: pytest.MonkeyPatch, copies: int, per_s: float, seed: int, known_copies: int = 1
) -> list[Sidecar]:
    """Sidecars that start together, with all that they do up to 40 s; `known_copies` by their settings."""
    world = World()
    monkeypatch.setattr("woadyard.net.discovery.LOG", Mock())
    monkeypatch.setattr("woadyard.net.event_dispatcher.now_us", lambda: round(world.now * 1e6))
    service = Crowded(world, per_s)
    sidecars = [Sidecar(world, service, seed * 1_000 + number, known_copies) for number in range(copies)]
    for one in sidecars:
        one.driver.start(None)
    world.run(40.0)
    return sidecars


@pytest.mark.parametrize("seed", range(3))
def test_a_fleet_whose_calls_crowd_discovery_is_told_all_the_same(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """100 sidecars start together, and discovery serves 20 calls a second: 5 s of work."""
    sidecars = fleet(monkeypatch, 100, 20.0, seed)
    assert all(one.told for one in sidecars), "none stays out"
    assert max(one.told[0] for one in sidecars) < 20.0
    assert len(sidecars[0].service.calls) <= 300


@pytest.mark.parametrize("seed", range(5))
def test_many_copies_wait_longer_until_even_a_slow_discovery_has_told_them_all(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """It serves 14 calls a second, as where each has to tell some 50 changes: 7 s of work for 100 copies."""
    sidecars = fleet(monkeypatch, 100, 14.0, seed, known_copies=100)
    sidecars[0].world.run(60.0)
    assert all(one.told for one in sidecars), "none stays out"
    assert len(sidecars[0].service.calls) <= 500


@pytest.mark.parametrize("seed", range(3))
def test_a_fleet_that_lost_discovery_comes_back_spread(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    """Where discovery has time for all, none is late, and the calls do not come together."""
    sidecars = fleet(monkeypatch, 200, 1_000.0, seed)
    world, service = sidecars[0].world, sidecars[0].service
    service.down = True
    for one in sidecars:
        one.lose()
    world.run(48.0)
    service.down = False
    world.run(60.0)
    calls = [at for at in service.calls if at >= 48.0]
    assert max(min(at for at in one.told if at >= 48.0) for one in sidecars) < 53.0 and len(calls) == 200
    assert max(sum(at <= other < at + 0.01 for other in calls) for at in calls) <= 8


def queued(chain: SimulatedSidecar, stream: Stream) -> None:
    """Turned away after its wait in a crowd."""
    stream.connection_made(Mock())
    chain.call_later(LIMIT_S, stream.data_received, b"HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy")


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    period_s=st.sampled_from(PERIODS_S),
    slow=st.sampled_from([None, connect_timeout]),
    refusal=st.sampled_from([None, *FAST_FAILURES]),
    first=st.booleans(),
    seed=st.one_of(st.none(), st.integers(0, 1_000)),
)
def test_any_chain_of_silence_connect_refusal_and_waits_ends_in_time(
    period_s: float, slow: CallOutcome | None, refusal: CallOutcome | None, first: bool, seed: int | None
) -> None:
    """What a silent watch missed binds after 6 s; the waits as drawn, or the longest there are."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        chain = SimulatedSidecar(monkeypatch, period_s)
        if seed is not None:
            chain.driver.balancer.ctx.rng = Random(seed)
            chain.discovery.rng = chain.discovery.backoff.rng = Random(seed)
        chain.seconds_until_list()
        events = [one for one in ((slow, refusal) if first else (refusal, slow)) if one is not None]
        assert chain.seconds_until_list(*events) <= 5.3


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    period_s=st.sampled_from(PERIODS_S),
    before=st.lists(st.sampled_from([*FAST_FAILURES, connect_timeout, queued]), min_size=1, max_size=12),
    refusal=st.sampled_from([None, *FAST_FAILURES]),
)
def test_after_any_outage_a_call_begun_too_soon_and_a_refusal_the_list_is_there_in_time(
    period_s: float, before: list[CallOutcome], refusal: CallOutcome | None
) -> None:
    """Discovery can be reached again just after the last of these was begun."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        chain = SimulatedSidecar(monkeypatch, period_s)
        chain.seconds_until_list()
        chain.outcomes = list(before)
        while chain.outcomes:
            chain.advance_to(chain.now + 0.01)
        assert chain.seconds_until_list(*[refusal] if refusal else []) <= 4.9
