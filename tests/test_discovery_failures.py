"""Consecutive failures of calls to discovery, on a simulated clock and with the longest delays.

A change binds 6 s after discovery has it and is reachable, whatever became of the calls made meanwhile,
and 4 s after a new address is configured."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any, cast
from unittest.mock import Mock

import pytest

from tests.sockets import SETTINGS
from tests.test_discovery import CHUNKED_HEAD, FakeLoop
from woadyard.net import discovery as discovery_module
from woadyard.net.config import Config
from woadyard.net.discovery import Discovery
from woadyard.net.driver import Driver
from woadyard.net.list_stream import Stream
from woadyard.net.list_version import OTHER_LINEAGE_AFTER_S
from woadyard.net.upstream import Upstream
from woadyard.sidecar import ConfigReloader
from woadyard.wire import read_settings

CallOutcome = Callable[["SimulatedSidecar", Stream], None]


def settings_of(period_s: float) -> dict[str, Any]:
    """Settings with lists polled within this period, or pushed where it is 0."""
    invariants = {**SETTINGS["invariants"], "ask-within-us": int((period_s or 10.0) * 1e6)}
    return {**SETTINGS, "discovery": "ask" if period_s else "push", "invariants": invariants}


class MaxRandom(Random):
    """Draws the value that makes each delay as long as possible."""

    def random(self) -> float:
        return 1.0 - 2.0**-53


class SimulatedSidecar(FakeLoop):
    """The policy, timers and discovery client of one sidecar; each watch gets the next outcome in line."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, period_s: float = 0.0) -> None:
        super().__init__()
        self.outcomes: list[CallOutcome] = []
        self.watches: list[Stream] = []
        self.received_at_s: list[float] = []
        monkeypatch.setattr("woadyard.net.event_dispatcher.now_us", lambda: round(self.now * 1e6))
        raw = settings_of(period_s)
        loop = cast(asyncio.AbstractEventLoop, self)
        settings = read_settings(json.dumps(raw).encode())
        self.driver = Driver(loop, 1, settings, raw, Upstream(loop, Driver.now, 64))
        self.driver.balancer.ctx.rng = MaxRandom()
        self.discovery = self.driver.discovery = Discovery(
            loop, "127.0.0.1:1", "/list", not period_s, self.on_list, MaxRandom()
        )
        self.driver.start(None)

    def on_list(self, version: int, is_full: bool, entries: list[dict[str, Any]]) -> None:
        self.driver.apply_list(version, is_full, entries)
        self.received_at_s.append(self.now)

    def create_task(self, coro: Coroutine[Any, Any, None]) -> Mock:
        coro.close()
        self.call_later(0.0, self._play_next_outcome)
        return Mock()

    def _play_next_outcome(self) -> None:
        stream = self.discovery.stream
        if stream is not None and stream not in self.watches and not stream.is_done:
            self.watches.append(stream)
            (self.outcomes.pop(0) if self.outcomes else list_sent)(self, stream)

    def seconds_until_list(self, *outcomes: CallOutcome) -> float:
        """Return how long until a list arrives if the next calls end like this and then one succeeds."""
        self.outcomes += outcomes
        received_before, start_s = len(self.received_at_s), self.now
        while len(self.received_at_s) == received_before:
            self.advance_to(self.now + 0.01)
            assert self.now < start_s + 200.0, "no list arrived"
        return self.received_at_s[-1] - start_s


def list_sent(sidecar: SimulatedSidecar, stream: Stream) -> None:
    stream.connection_made(Mock())
    message = {"generation": 42 + len(sidecar.received_at_s), "reset": True, "instances": []}
    line = json.dumps(message).encode() + b"\n"
    stream.data_received(CHUNKED_HEAD + b"%x\r\n%b\r\n" % (len(line), line))


def connection_refused(sidecar: SimulatedSidecar, stream: Stream) -> None:
    stream.fail()


def connect_timeout(sidecar: SimulatedSidecar, stream: Stream) -> None:
    sidecar.call_later(discovery_module.CONNECT_TIMEOUT_S, stream.fail)


def no_response(sidecar: SimulatedSidecar, stream: Stream) -> None:
    stream.connection_made(Mock())


def status_503(sidecar: SimulatedSidecar, stream: Stream) -> None:
    stream.connection_made(Mock())
    stream.data_received(b"HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy")


def connection_reset(sidecar: SimulatedSidecar, stream: Stream) -> None:
    stream.connection_made(Mock())
    stream.data_received(CHUNKED_HEAD + b'8\r\n{"genera')
    stream.connection_lost(ConnectionResetError())


def trickle(head: bytes, part: bytes) -> CallOutcome:
    """A response head, and then the same bytes every 0.5 s without an end."""

    def outcome(sidecar: SimulatedSidecar, stream: Stream) -> None:
        def send_part() -> None:
            if not stream.is_done:
                stream.data_received(part)
                sidecar.call_later(0.5, send_part)

        stream.connection_made(Mock())
        stream.data_received(head)
        send_part()

    return outcome


PERIODS_S = [0.0, 10.0, 30.0, 60.0]  # 0: lists are pushed
FAST_FAILURES = [connection_refused, status_503, connection_reset]


@pytest.mark.parametrize("period_s", PERIODS_S)
@pytest.mark.parametrize(
    ("outcomes", "max_s"),
    [
        ([], 3.0),
        *([[first], 3.5] for first in FAST_FAILURES),
        *([[first, second], 4.7] for first in FAST_FAILURES for second in FAST_FAILURES),
        *([[connect_timeout, *more], 4.7 + 1.2 * len(more)] for more in ([], [status_503])),
        *([[first, connect_timeout], 5.9] for first in FAST_FAILURES),
        ([no_response], 5.95),
    ],
)
def test_change_missed_by_a_silent_watch_arrives_in_time(
    monkeypatch: pytest.MonkeyPatch, period_s: float, outcomes: list[CallOutcome], max_s: float
) -> None:
    """The list changes right after the watch fell silent, and the next calls fail as well."""
    sidecar = SimulatedSidecar(monkeypatch, period_s)
    sidecar.seconds_until_list()
    assert sidecar.seconds_until_list(*outcomes) <= max_s


@pytest.mark.parametrize("period_s", PERIODS_S)
@pytest.mark.parametrize(
    "last", [connection_refused, connect_timeout, no_response, status_503, connection_reset]
)
@pytest.mark.parametrize("more", [[], [status_503], [connection_reset]])
def test_list_arrives_in_time_after_a_long_outage(
    monkeypatch: pytest.MonkeyPatch, period_s: float, last: CallOutcome, more: list[CallOutcome]
) -> None:
    """Discovery becomes reachable just after the start of a call that still fails."""
    sidecar = SimulatedSidecar(monkeypatch, period_s)
    sidecar.seconds_until_list()
    sidecar.outcomes = [
        connect_timeout, no_response, status_503, connection_reset, connection_refused,
    ] * 2 + [last]  # fmt: skip
    while sidecar.outcomes:
        sidecar.advance_to(sidecar.now + 0.01)
    assert sidecar.seconds_until_list(*more) <= 4.9


@pytest.mark.parametrize("period_s", PERIODS_S)
@pytest.mark.parametrize(
    "outcomes",
    [
        [], [connection_refused, connection_reset, status_503], [connect_timeout],
        [connect_timeout, connect_timeout], [connect_timeout, status_503], [no_response],
    ],
)  # fmt: skip
def test_list_of_a_new_address_arrives_in_time(
    monkeypatch: pytest.MonkeyPatch, period_s: float, outcomes: list[CallOutcome]
) -> None:
    sidecar = SimulatedSidecar(monkeypatch, period_s)
    sidecar.seconds_until_list()
    sidecar.discovery.change_address("127.0.0.1:2")
    assert sidecar.seconds_until_list(*outcomes) <= 3.5


@pytest.mark.parametrize("period_s", PERIODS_S)
@pytest.mark.parametrize(
    "outcomes",
    [[], [status_503], [status_503, connection_reset], [connect_timeout, status_503], [no_response]],
)
def test_new_process_receives_its_list_in_time(
    monkeypatch: pytest.MonkeyPatch, period_s: float, outcomes: list[CallOutcome]
) -> None:
    assert SimulatedSidecar(monkeypatch, period_s).seconds_until_list(*outcomes) <= 4.5


HEADS_AND_PARTS = [
    (b"HTTP/1.1 200 OK\r\nX: ", b"y"),
    (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    (CHUNKED_HEAD, b"1\r\n \r\n"),
    (CHUNKED_HEAD + b"1\r\n{\r\n", b"1\r\n \r\n"),
    (CHUNKED_HEAD + b"2\r\n{\n\r\n", b'7\r\n"a":1,\n\r\n'),  # an indented list that never ends
    (b"HTTP/1.1 200 OK\r\n\r\n", b" "),  # without a length
    (b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n", b" "),
]


@pytest.mark.parametrize("period_s", PERIODS_S)
@pytest.mark.parametrize("head_and_part", HEADS_AND_PARTS)
def test_bytes_that_never_complete_a_line_do_not_keep_a_watch_alive(
    monkeypatch: pytest.MonkeyPatch, period_s: float, head_and_part: tuple[bytes, bytes]
) -> None:
    sidecar = SimulatedSidecar(monkeypatch, period_s)
    sidecar.seconds_until_list()
    assert sidecar.seconds_until_list(trickle(*head_and_part)) <= 5.95


@pytest.mark.parametrize("period_s", PERIODS_S)
@pytest.mark.parametrize("incomplete", [b"1\r\n{\r\n", b"2\r\n{\n\r\n"])
def test_watch_that_stops_within_a_list_fails_like_a_silent_one(
    monkeypatch: pytest.MonkeyPatch, period_s: float, incomplete: bytes
) -> None:
    sidecar = SimulatedSidecar(monkeypatch, period_s)
    sidecar.seconds_until_list()
    trickle(incomplete, b"1\r\n \r\n")(sidecar, sidecar.watches[-1])
    assert sidecar.seconds_until_list() <= 2.85


def test_slow_list_is_accepted(monkeypatch: pytest.MonkeyPatch) -> None:
    """An overloaded service sends its response head late, and the first line much later still."""

    def slow_response(sidecar: SimulatedSidecar, stream: Stream) -> None:
        stream.connection_made(Mock())
        sidecar.call_later(2.0, stream.data_received, CHUNKED_HEAD)
        sidecar.call_later(4.0, stream.data_received, b"1\r\n\n\r\n")
        line = b'{"generation": 42, "reset": true,\n "instances": []}\n'
        for at in range(len(line)):
            part = b"1\r\n%b\r\n" % line[at : at + 1]
            sidecar.call_later(6.0 + at * 0.04, stream.data_received, part)

    sidecar = SimulatedSidecar(monkeypatch, 10.0)
    sidecar.seconds_until_list(slow_response)
    assert len(sidecar.watches) == 1


def send_heartbeats(sidecar: SimulatedSidecar, count: int) -> None:
    """Keep the watch alive for `count` heartbeats, 2 s apart."""
    for _ in range(count):
        sidecar.advance_to(sidecar.now + 2.0)
        sidecar.watches[-1].data_received(b"1\r\n\n\r\n")


@pytest.mark.parametrize("period_s", PERIODS_S)
def test_retry_scheduled_before_an_address_change_does_not_replace_the_new_watch(
    monkeypatch: pytest.MonkeyPatch, period_s: float
) -> None:
    """The policy, or the client itself, was about to retry at the old address."""
    sidecar = SimulatedSidecar(monkeypatch, period_s)
    sidecar.seconds_until_list()
    sidecar.watches[-1].connection_lost(ConnectionResetError())
    sidecar.discovery.change_address("127.0.0.1:2")
    sidecar.discovery.change_address("127.0.0.1:3")
    sidecar.seconds_until_list()
    watches_before = len(sidecar.watches)
    send_heartbeats(sidecar, 4)
    assert len(sidecar.watches) == watches_before and not sidecar.watches[-1].is_done


@pytest.mark.parametrize("period_s", PERIODS_S)
def test_failed_fetch_beside_an_open_watch_has_no_effect(
    monkeypatch: pytest.MonkeyPatch, period_s: float
) -> None:
    sidecar = SimulatedSidecar(monkeypatch, period_s)
    sidecar.discovery.replicas = ["127.0.0.1:1", "127.0.0.1:2"]
    sidecar.seconds_until_list()
    watches_before, address = len(sidecar.watches), sidecar.discovery.address
    sidecar.discovery.fetch()  # it gets no response
    send_heartbeats(sidecar, 4)
    assert len(sidecar.watches) == watches_before and not sidecar.watches[-1].is_done
    assert not sidecar.discovery.is_lost and sidecar.discovery.address == address
    assert not sidecar.driver.balancer.membership.backoff.fast_failures


@pytest.mark.parametrize(("before_s", "after_s"), [(0.0, 10.0), (10.0, 0.0)])
@pytest.mark.parametrize("is_failing", [True, False])
def test_lists_keep_arriving_when_a_reload_changes_the_push_mode(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, before_s: float, after_s: float, is_failing: bool
) -> None:
    """SIGHUP may change it while a watch is open or just after one was lost."""
    sidecar = SimulatedSidecar(monkeypatch, before_s)
    sidecar.seconds_until_list()
    if is_failing:
        sidecar.watches[-1].connection_lost(ConnectionResetError())
    active = {"discovery": "127.0.0.1:1", "settings": sidecar.driver.raw_settings}
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**active, "settings": settings_of(after_s)}))
    config = cast(Config, Mock(path=str(path), raw=active))
    ConfigReloader(config, sidecar.driver, sidecar.discovery, Mock())()
    if not is_failing:
        sidecar.watches[-1].connection_lost(ConnectionResetError())
    assert sidecar.seconds_until_list(connection_refused, status_503) <= (2.2 if after_s else 0.6)
    outage = [connection_refused] * 20
    sidecar.watches[-1].connection_lost(ConnectionResetError())
    elapsed_s = sidecar.seconds_until_list(*outage)
    assert elapsed_s > 20.0 if after_s else elapsed_s < 5.0


def test_new_lineage_is_accepted_after_the_old_one_is_silent(monkeypatch: pytest.MonkeyPatch) -> None:
    """That is, once nothing of the current lineage was received for `OTHER_LINEAGE_AFTER_S`."""

    def list_of(lineage: str) -> CallOutcome:
        def outcome(sidecar: SimulatedSidecar, stream: Stream) -> None:
            stream.connection_made(Mock())
            message = {"generation": 1, "reset": True, "instances": [], "lineage": lineage, "term": 1}
            line = json.dumps(message).encode() + b"\n"
            stream.data_received(CHUNKED_HEAD + b"%x\r\n%b\r\n" % (len(line), line))

        return outcome

    sidecar = SimulatedSidecar(monkeypatch, 10.0)
    sidecar.seconds_until_list(list_of("ab"))
    send_heartbeats(sidecar, 2)
    sidecar.watches[-1].connection_lost(ConnectionResetError())
    assert (
        OTHER_LINEAGE_AFTER_S
        < sidecar.seconds_until_list(*[list_of("cd")] * 40)
        < OTHER_LINEAGE_AFTER_S + 2.0
    )


LIST = b'{"generation": 77, "reset": true,\n "instances": []}'
PLAIN = b"HTTP/1.0 200 OK\r\n\r\n"
LIST_CHUNK = b"%x\r\n%b\r\n" % (len(LIST), LIST)
LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"


def response_of(raw: bytes, error: Exception | None = None) -> CallOutcome:
    """These bytes, one at a time, and then the end of the connection."""

    def outcome(sidecar: SimulatedSidecar, stream: Stream) -> None:
        stream.connection_made(Mock())
        for offset in range(len(raw)):
            stream.data_received(raw[offset : offset + 1])
        stream.connection_lost(error)

    return outcome


@pytest.mark.parametrize(
    "raw",
    [CHUNKED_HEAD + LIST_CHUNK + b"0\r\n\r\n", LENGTH % len(LIST) + LIST, PLAIN + LIST, PLAIN + LIST + b"\n"],
)
def test_list_completed_by_the_clean_end_of_the_response_is_accepted(
    monkeypatch: pytest.MonkeyPatch, raw: bytes
) -> None:
    sidecar = SimulatedSidecar(monkeypatch, 10.0)
    sidecar.seconds_until_list(response_of(raw))
    assert sidecar.discovery.generation == 77 and len(sidecar.watches) == 1


@pytest.mark.parametrize("period_s", PERIODS_S)
@pytest.mark.parametrize("error", [None, ConnectionResetError()])
@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"HTTP/1.1 20",
        b"HTTP/1.1 302 X\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 204 X\r\n\r\n",
        b"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        b"HTTP/1.1 404 X\r\nTransfer-Encoding: chunked\r\n\r\n" + LIST_CHUNK,  # a list with status 404
        CHUNKED_HEAD + LIST_CHUNK[:-9],  # cut within a chunk
        CHUNKED_HEAD + b"0\r\n\r\n",
        LENGTH % 99 + LIST[:-1],
        PLAIN + LIST[:-1],
        PLAIN + b"<html>\n",
        PLAIN + b'{"generation": 77, "reset": true, "instances": [{"instanceId": 5}]}\n',  # an invalid entry
        PLAIN + b'{"generation": -77, "reset": "x", "instances": {}}\n',
    ],
)
def test_call_is_retried_after_a_response_without_a_list(
    monkeypatch: pytest.MonkeyPatch, period_s: float, raw: bytes, error: Exception | None
) -> None:
    sidecar = SimulatedSidecar(monkeypatch, period_s)
    sidecar.seconds_until_list()
    sidecar.watches[-1].connection_lost(None)
    assert sidecar.seconds_until_list(*[response_of(raw, error)] * 3) <= 3.4
    assert sidecar.discovery.generation == 43 and not sidecar.watches[-1].is_done
