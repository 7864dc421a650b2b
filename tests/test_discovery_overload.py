"""A fleet and a discovery service that handles one call at a time, on one simulated clock.

The service rejects a call with 503 once it was queued for longer than a limit, yet still processes
that call in its turn. A fleet that retries too soon keeps it busy with calls that nobody waits for,
and most sidecars never receive a list again (congestion collapse)."""

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

QUEUE_TIMEOUT_S = 2.0


class Simulation:
    """The clock of the fleet and the service, and their timers in order."""

    def __init__(self) -> None:
        self.now = 0.0
        self.timers: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        self.counter = itertools.count()

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> None:
        heapq.heappush(self.timers, (self.now + delay, next(self.counter), callback, args))

    def run(self, end: float) -> None:
        while self.timers and self.timers[0][0] <= end:
            self.now, _, callback, args = heapq.heappop(self.timers)
            callback(*args)
        self.now = end


class OverloadedService:
    """Discovery: processes `calls_per_s` one after another, and none while it is down."""

    def __init__(self, simulation: Simulation, calls_per_s: float) -> None:
        self.simulation, self.calls_per_s = simulation, calls_per_s
        self.queue: deque[Stream] = deque()
        self.is_busy, self.is_down = False, False
        self.call_times_s: list[float] = []

    def call(self, stream: Stream) -> None:
        self.call_times_s.append(self.simulation.now)
        self.simulation.call_later(QUEUE_TIMEOUT_S, self._reject, stream)
        if not self.is_down:
            self.queue.append(stream)
            self._process_next()

    def _reject(self, stream: Stream) -> None:
        if not stream.is_done and not stream.status:
            stream.data_received(b"HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy")

    def _process_next(self) -> None:
        if self.queue and not self.is_busy:
            self.is_busy = True
            self.simulation.call_later(1.0 / self.calls_per_s, self._finish_call, self.queue.popleft())

    def _finish_call(self, stream: Stream) -> None:
        self.is_busy = False
        if not stream.is_done:
            line = b'{"generation": 1, "reset": false, "instances": []}\n'
            stream.data_received(CHUNKED_HEAD + b"%x\r\n%b\r\n" % (len(line), line))
            self._send_heartbeat(stream)
        self._process_next()

    def _send_heartbeat(self, stream: Stream) -> None:
        if not stream.is_done:
            stream.data_received(b"1\r\n\n\r\n")
            self.simulation.call_later(2.0, self._send_heartbeat, stream)


class Sidecar:
    """The policy and the discovery client of one sidecar; it is also their event loop."""

    def __init__(
        self, simulation: Simulation, service: OverloadedService, seed: int, fleet_size: int
    ) -> None:
        self.simulation, self.service = simulation, service
        self.received_at_s: list[float] = []
        loop = cast(asyncio.AbstractEventLoop, self)
        raw = {**settings_of(10.0), "instances": fleet_size}
        parsed = read_settings(json.dumps(raw).encode())
        self.driver = Driver(loop, seed, parsed, raw, Upstream(loop, Driver.now, 64))
        self.discovery = self.driver.discovery = Discovery(
            loop, "127.0.0.1:1", "/list", False, self._on_list, Random(seed)
        )

    def time(self) -> float:
        return self.simulation.now

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> None:
        self.simulation.call_later(delay, callback, *args)

    def create_task(self, coro: Coroutine[Any, Any, None]) -> Mock:
        coro.close()
        self.call_later(0.0, self._connect)
        return Mock()

    def _connect(self) -> None:
        stream = self.discovery.stream
        if stream is not None and stream.transport is None and not stream.is_done:
            stream.connection_made(Mock())
            self.service.call(stream)

    def _on_list(self, version: int, is_full: bool, entries: list[dict[str, Any]]) -> None:
        self.driver.apply_list(version, is_full, entries)
        self.received_at_s.append(self.simulation.now)

    def lose_watch(self) -> None:
        if (stream := self.discovery.stream) is not None and not stream.is_done:
            stream.connection_lost(ConnectionResetError())


def run_fleet(
    monkeypatch: pytest.MonkeyPatch, size: int, calls_per_s: float, seed: int, configured_size: int = 1
) -> list[Sidecar]:
    """Run `size` sidecars that start together for 40 s; their settings give `configured_size`."""
    simulation = Simulation()
    monkeypatch.setattr("woadyard.net.discovery.LOG", Mock())
    monkeypatch.setattr("woadyard.net.event_dispatcher.now_us", lambda: round(simulation.now * 1e6))
    service = OverloadedService(simulation, calls_per_s)
    sidecars = [
        Sidecar(simulation, service, seed * 1_000 + number, configured_size) for number in range(size)
    ]
    for sidecar in sidecars:
        sidecar.driver.start(None)
    simulation.run(40.0)
    return sidecars


@pytest.mark.parametrize("seed", range(3))
def test_fleet_that_overloads_discovery_still_receives_its_lists(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """100 sidecars start together, and discovery processes 20 calls per second: 5 s of work."""
    sidecars = run_fleet(monkeypatch, 100, 20.0, seed)
    assert all(sidecar.received_at_s for sidecar in sidecars), "every sidecar receives a list"
    assert max(sidecar.received_at_s[0] for sidecar in sidecars) < 20.0
    assert len(sidecars[0].service.call_times_s) <= 300


@pytest.mark.parametrize("seed", range(5))
def test_large_fleet_backs_off_until_a_slow_discovery_has_served_it(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """14 calls per second, as with some 50 changes in each response: 7 s of work for 100 sidecars."""
    sidecars = run_fleet(monkeypatch, 100, 14.0, seed, configured_size=100)
    sidecars[0].simulation.run(60.0)
    assert all(sidecar.received_at_s for sidecar in sidecars), "every sidecar receives a list"
    assert len(sidecars[0].service.call_times_s) <= 500


@pytest.mark.parametrize("seed", range(3))
def test_reconnects_after_an_outage_are_spread(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    """With enough capacity, no sidecar is late, and the calls do not arrive all at once."""
    sidecars = run_fleet(monkeypatch, 200, 1_000.0, seed)
    simulation, service = sidecars[0].simulation, sidecars[0].service
    service.is_down = True
    for sidecar in sidecars:
        sidecar.lose_watch()
    simulation.run(48.0)
    service.is_down = False
    simulation.run(60.0)
    call_times_s = [time_s for time_s in service.call_times_s if time_s >= 48.0]
    assert (
        max(min(time_s for time_s in sidecar.received_at_s if time_s >= 48.0) for sidecar in sidecars) < 53.0
        and len(call_times_s) == 200
    )
    assert (
        max(sum(start_s <= other_s < start_s + 0.01 for other_s in call_times_s) for start_s in call_times_s)
        <= 8
    )


def status_503_after_queueing(sidecar: SimulatedSidecar, stream: Stream) -> None:
    """The overloaded service rejects the call after its queue timeout."""
    stream.connection_made(Mock())
    sidecar.call_later(
        QUEUE_TIMEOUT_S, stream.data_received, b"HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy"
    )


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    period_s=st.sampled_from(PERIODS_S),
    slow_failure=st.sampled_from([None, connect_timeout]),
    fast_failure=st.sampled_from([None, *FAST_FAILURES]),
    is_slow_first=st.booleans(),
    seed=st.one_of(st.none(), st.integers(0, 1_000)),
)
def test_list_arrives_in_time_after_silence_and_any_two_failures(
    period_s: float,
    slow_failure: CallOutcome | None,
    fast_failure: CallOutcome | None,
    is_slow_first: bool,
    seed: int | None,
) -> None:
    """A change that a silent watch missed binds after 6 s; delays are random or the longest possible."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        sidecar = SimulatedSidecar(monkeypatch, period_s)
        if seed is not None:
            sidecar.driver.balancer.ctx.rng = Random(seed)
            sidecar.discovery.rng = sidecar.discovery.backoff.rng = Random(seed)
        sidecar.seconds_until_list()
        failures = [
            failure
            for failure in ((slow_failure, fast_failure) if is_slow_first else (fast_failure, slow_failure))
            if failure is not None
        ]
        assert sidecar.seconds_until_list(*failures) <= 5.3


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    period_s=st.sampled_from(PERIODS_S),
    outage=st.lists(
        st.sampled_from([*FAST_FAILURES, connect_timeout, status_503_after_queueing]), min_size=1, max_size=12
    ),
    fast_failure=st.sampled_from([None, *FAST_FAILURES]),
)
def test_list_arrives_in_time_after_any_outage_and_one_more_failure(
    period_s: float, outage: list[CallOutcome], fast_failure: CallOutcome | None
) -> None:
    """Discovery becomes reachable just after the start of the last call of the outage."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        sidecar = SimulatedSidecar(monkeypatch, period_s)
        sidecar.seconds_until_list()
        sidecar.outcomes = list(outage)
        while sidecar.outcomes:
            sidecar.advance_to(sidecar.now + 0.01)
        assert sidecar.seconds_until_list(*[fast_failure] if fast_failure else []) <= 4.9
