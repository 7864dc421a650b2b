"""Calls to discovery that fail in a row, on a clock set by hand and with the longest waits.

What it has to tell counts as told 6 s after it had it and could be reached, whatever
became of the calls between; 4 s after a new address was named."""

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
from woadyard.__main__ import ConfigReloader
from woadyard.net import discovery as net
from woadyard.net.config import Config
from woadyard.net.discovery import Discovery
from woadyard.net.driver import Driver
from woadyard.net.list_stream import Stream
from woadyard.net.list_version import OTHER_LINEAGE_AFTER_S
from woadyard.net.upstream import Upstream
from woadyard.wire import read_settings

CallOutcome = Callable[["SimulatedSidecar", Stream], None]


def settings_of(period_s: float) -> dict[str, Any]:
    """With lists that are asked for within this period, or pushed."""
    within = {**SETTINGS["invariants"], "ask-within-us": int((period_s or 10.0) * 1e6)}
    return {**SETTINGS, "discovery": "ask" if period_s else "push", "invariants": within}


class MaxRandom(Random):
    """Draws what makes each wait as long as it may be."""

    def random(self) -> float:
        return 1.0 - 2.0**-53


class SimulatedSidecar(FakeLoop):
    """A sidecar's module, its timers and its discovery; each call meets the next event."""

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

    def on_list(self, version: int, whole: bool, entries: list[dict[str, Any]]) -> None:
        self.driver.apply_list(version, whole, entries)
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

    def seconds_until_list(self, *events: CallOutcome) -> float:
        """How long until a list is there, if the calls meet these, and then one that tells it."""
        self.outcomes += events
        known, since = len(self.received_at_s), self.now
        while len(self.received_at_s) == known:
            self.advance_to(self.now + 0.01)
            assert self.now < since + 200.0, "never"
        return self.received_at_s[-1] - since


def list_sent(chain: SimulatedSidecar, stream: Stream) -> None:
    stream.connection_made(Mock())
    told = {"generation": 42 + len(chain.received_at_s), "reset": True, "instances": []}
    line = json.dumps(told).encode() + b"\n"
    stream.data_received(CHUNKED_HEAD + b"%x\r\n%b\r\n" % (len(line), line))


def connection_refused(chain: SimulatedSidecar, stream: Stream) -> None:
    stream.fail()


def connect_timeout(chain: SimulatedSidecar, stream: Stream) -> None:
    """The connection does not come up."""
    chain.call_later(net.CONNECT_TIMEOUT_S, stream.fail)


def no_response(chain: SimulatedSidecar, stream: Stream) -> None:
    stream.connection_made(Mock())


def status_503(chain: SimulatedSidecar, stream: Stream) -> None:
    stream.connection_made(Mock())
    stream.data_received(b"HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy")


def connection_reset(chain: SimulatedSidecar, stream: Stream) -> None:
    stream.connection_made(Mock())
    stream.data_received(CHUNKED_HEAD + b'8\r\n{"genera')
    stream.connection_lost(ConnectionResetError())


def trickle(head: bytes, part: bytes) -> CallOutcome:
    def event(chain: SimulatedSidecar, stream: Stream) -> None:
        def drop() -> None:
            if not stream.is_done:
                stream.data_received(part)
                chain.call_later(0.5, drop)

        stream.connection_made(Mock())
        stream.data_received(head)
        drop()

    return event


PERIODS_S = [0.0, 10.0, 30.0, 60.0]  # 0: lists are pushed
FAST_FAILURES = [connection_refused, status_503, connection_reset]


@pytest.mark.parametrize("period_s", PERIODS_S)
@pytest.mark.parametrize(
    ("events", "most_s"),
    [
        ([], 3.0),
        *([[one], 3.5] for one in FAST_FAILURES),
        *([[one, other], 4.7] for one in FAST_FAILURES for other in FAST_FAILURES),
        *([[connect_timeout, *more], 4.7 + 1.2 * len(more)] for more in ([], [status_503])),
        *([[one, connect_timeout], 5.9] for one in FAST_FAILURES),
        ([no_response], 5.95),
    ],
)
def test_what_a_silent_watch_missed_is_there_in_time(
    monkeypatch: pytest.MonkeyPatch, period_s: float, events: list[CallOutcome], most_s: float
) -> None:
    """It fell silent, and a change came at once; the next calls fail as well."""
    chain = SimulatedSidecar(monkeypatch, period_s)
    chain.seconds_until_list()
    assert chain.seconds_until_list(*events) <= most_s


@pytest.mark.parametrize("period_s", PERIODS_S)
@pytest.mark.parametrize(
    "last", [connection_refused, connect_timeout, no_response, status_503, connection_reset]
)
@pytest.mark.parametrize("more", [[], [status_503], [connection_reset]])
def test_after_a_long_outage_the_list_is_there_in_time(
    monkeypatch: pytest.MonkeyPatch, period_s: float, last: CallOutcome, more: list[CallOutcome]
) -> None:
    """Discovery can be reached again just after a call was begun that comes to nothing."""
    chain = SimulatedSidecar(monkeypatch, period_s)
    chain.seconds_until_list()
    chain.outcomes = [connect_timeout, no_response, status_503, connection_reset, connection_refused] * 2 + [
        last
    ]
    while chain.outcomes:
        chain.advance_to(chain.now + 0.01)
    assert chain.seconds_until_list(*more) <= 4.9


@pytest.mark.parametrize("period_s", PERIODS_S)
@pytest.mark.parametrize(
    "events",
    [
        [],
        [connection_refused, connection_reset, status_503],
        [connect_timeout],
        [connect_timeout, connect_timeout],
        [connect_timeout, status_503],
        [no_response],
    ],
)
def test_a_new_address_binds_in_time(
    monkeypatch: pytest.MonkeyPatch, period_s: float, events: list[CallOutcome]
) -> None:
    chain = SimulatedSidecar(monkeypatch, period_s)
    chain.seconds_until_list()
    chain.discovery.change_address("127.0.0.1:2")
    assert chain.seconds_until_list(*events) <= 3.5


@pytest.mark.parametrize("period_s", PERIODS_S)
@pytest.mark.parametrize(
    "events", [[], [status_503], [status_503, connection_reset], [connect_timeout, status_503], [no_response]]
)
def test_a_new_process_has_its_list_in_time(
    monkeypatch: pytest.MonkeyPatch, period_s: float, events: list[CallOutcome]
) -> None:
    assert SimulatedSidecar(monkeypatch, period_s).seconds_until_list(*events) <= 4.5


PIECES = [
    (b"HTTP/1.1 200 OK\r\nX: ", b"y"),
    (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    (CHUNKED_HEAD, b"1\r\n \r\n"),
    (CHUNKED_HEAD + b"1\r\n{\r\n", b"1\r\n \r\n"),
    (CHUNKED_HEAD + b"2\r\n{\n\r\n", b'7\r\n"a":1,\n\r\n'),  # an indented list without an end
    (b"HTTP/1.1 200 OK\r\n\r\n", b" "),  # without length
    (b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n", b" "),
]


@pytest.mark.parametrize("period_s", PERIODS_S)
@pytest.mark.parametrize("pieces", PIECES)
def test_bytes_that_never_make_a_line_are_no_sign_of_life(
    monkeypatch: pytest.MonkeyPatch, period_s: float, pieces: tuple[bytes, bytes]
) -> None:
    chain = SimulatedSidecar(monkeypatch, period_s)
    chain.seconds_until_list()
    assert chain.seconds_until_list(trickle(*pieces)) <= 5.95


@pytest.mark.parametrize("period_s", PERIODS_S)
@pytest.mark.parametrize("begun", [b"1\r\n{\r\n", b"2\r\n{\n\r\n"])
def test_a_watch_whose_lists_stop_half_way_is_given_up_as_a_silent_one(
    monkeypatch: pytest.MonkeyPatch, period_s: float, begun: bytes
) -> None:
    chain = SimulatedSidecar(monkeypatch, period_s)
    chain.seconds_until_list()
    trickle(begun, b"1\r\n \r\n")(chain, chain.watches[-1])
    assert chain.seconds_until_list() <= 2.85


def test_a_list_that_takes_its_time_is_taken(monkeypatch: pytest.MonkeyPatch) -> None:
    """A crowded service answers late, and its first line comes after that again."""

    def late(chain: SimulatedSidecar, stream: Stream) -> None:
        stream.connection_made(Mock())
        chain.call_later(2.0, stream.data_received, CHUNKED_HEAD)
        chain.call_later(4.0, stream.data_received, b"1\r\n\n\r\n")
        line = b'{"generation": 42, "reset": true,\n "instances": []}\n'
        for at in range(len(line)):
            part = b"1\r\n%b\r\n" % line[at : at + 1]
            chain.call_later(6.0 + at * 0.04, stream.data_received, part)

    chain = SimulatedSidecar(monkeypatch, 10.0)
    chain.seconds_until_list(late)
    assert len(chain.watches) == 1


def beats(chain: SimulatedSidecar, count: int) -> None:
    """The watch lives on for so long."""
    for _ in range(count):
        chain.advance_to(chain.now + 2.0)
        chain.watches[-1].data_received(b"1\r\n\n\r\n")


@pytest.mark.parametrize("period_s", PERIODS_S)
def test_a_wait_from_before_the_address_moved_ends_no_good_watch(
    monkeypatch: pytest.MonkeyPatch, period_s: float
) -> None:
    """The module, or discovery itself, was about to ask again at the old address."""
    chain = SimulatedSidecar(monkeypatch, period_s)
    chain.seconds_until_list()
    chain.watches[-1].connection_lost(ConnectionResetError())
    chain.discovery.change_address("127.0.0.1:2")
    chain.discovery.change_address("127.0.0.1:3")
    chain.seconds_until_list()
    begun = len(chain.watches)
    beats(chain, 4)
    assert len(chain.watches) == begun and not chain.watches[-1].is_done


@pytest.mark.parametrize("period_s", PERIODS_S)
def test_a_call_for_the_list_that_fails_beside_a_good_watch_changes_nothing(
    monkeypatch: pytest.MonkeyPatch, period_s: float
) -> None:
    chain = SimulatedSidecar(monkeypatch, period_s)
    chain.discovery.replicas = ["127.0.0.1:1", "127.0.0.1:2"]
    chain.seconds_until_list()
    begun, address = len(chain.watches), chain.discovery.address
    chain.discovery.fetch()  # and it is never answered
    beats(chain, 4)
    assert len(chain.watches) == begun and not chain.watches[-1].is_done
    assert not chain.discovery.is_lost and chain.discovery.address == address
    assert not chain.driver.balancer.membership.backoff.fast_failures


@pytest.mark.parametrize(("before_s", "after_s"), [(0.0, 10.0), (10.0, 0.0)])
@pytest.mark.parametrize("failing", [True, False])
def test_lists_that_are_pushed_from_now_on_or_no_longer_go_on_to_come(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, before_s: float, after_s: float, failing: bool
) -> None:
    """SIGHUP may say so, be it while a watch is open or just after one was lost."""
    chain = SimulatedSidecar(monkeypatch, before_s)
    chain.seconds_until_list()
    if failing:
        chain.watches[-1].connection_lost(ConnectionResetError())
    force = {"discovery": "127.0.0.1:1", "settings": chain.driver.raw_settings}
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**force, "settings": settings_of(after_s)}))
    config = cast(Config, Mock(path=str(path), raw=force))
    ConfigReloader(config, chain.driver, chain.discovery, Mock())()
    if not failing:
        chain.watches[-1].connection_lost(ConnectionResetError())
    assert chain.seconds_until_list(connection_refused, status_503) <= (2.2 if after_s else 0.6)
    outage = [connection_refused] * 20
    chain.watches[-1].connection_lost(ConnectionResetError())
    taken = chain.seconds_until_list(*outage)
    assert taken > 20.0 if after_s else taken < 5.0


def test_a_service_that_began_anew_is_heard_after_a_while_however_often_it_is_asked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Another log's list is taken once nothing was heard of the one held for `OTHER_S`."""

    def of(lineage: str) -> CallOutcome:
        def event(chain: SimulatedSidecar, stream: Stream) -> None:
            stream.connection_made(Mock())
            told = {"generation": 1, "reset": True, "instances": [], "lineage": lineage, "term": 1}
            line = json.dumps(told).encode() + b"\n"
            stream.data_received(CHUNKED_HEAD + b"%x\r\n%b\r\n" % (len(line), line))

        return event

    chain = SimulatedSidecar(monkeypatch, 10.0)
    chain.seconds_until_list(of("ab"))
    beats(chain, 2)
    chain.watches[-1].connection_lost(ConnectionResetError())
    assert OTHER_LINEAGE_AFTER_S < chain.seconds_until_list(*[of("cd")] * 40) < OTHER_LINEAGE_AFTER_S + 2.0


LIST = b'{"generation": 77, "reset": true,\n "instances": []}'
PLAIN = b"HTTP/1.0 200 OK\r\n\r\n"
CHUNK = b"%x\r\n%b\r\n" % (len(LIST), LIST)
LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"


def answered(raw: bytes, end: Exception | None = None) -> CallOutcome:
    """These bytes, one by one, and the connection's end."""

    def event(chain: SimulatedSidecar, stream: Stream) -> None:
        stream.connection_made(Mock())
        for at in range(len(raw)):
            stream.data_received(raw[at : at + 1])
        stream.connection_lost(end)

    return event


@pytest.mark.parametrize(
    "raw",
    [CHUNKED_HEAD + CHUNK + b"0\r\n\r\n", LENGTH % len(LIST) + LIST, PLAIN + LIST, PLAIN + LIST + b"\n"],
)
def test_a_list_that_an_answers_clean_end_makes_whole_is_taken(
    monkeypatch: pytest.MonkeyPatch, raw: bytes
) -> None:
    chain = SimulatedSidecar(monkeypatch, 10.0)
    chain.seconds_until_list(answered(raw))
    assert chain.discovery.generation == 77 and len(chain.watches) == 1


@pytest.mark.parametrize("period_s", PERIODS_S)
@pytest.mark.parametrize("end", [None, ConnectionResetError()])
@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"HTTP/1.1 20",
        b"HTTP/1.1 302 X\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 204 X\r\n\r\n",
        b"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        b"HTTP/1.1 404 X\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNK,  # a list, in no 200
        CHUNKED_HEAD + CHUNK[:-9],  # cut in the middle of a chunk
        CHUNKED_HEAD + b"0\r\n\r\n",
        LENGTH % 99 + LIST[:-1],
        PLAIN + LIST[:-1],
        PLAIN + b"<html>\n",
        PLAIN + b'{"generation": 77, "reset": true, "instances": [{"instanceId": 5}]}\n',  # no entry
        PLAIN + b'{"generation": -77, "reset": "x", "instances": {}}\n',
    ],
)
def test_an_answer_that_makes_no_list_is_asked_for_again(
    monkeypatch: pytest.MonkeyPatch, period_s: float, raw: bytes, end: Exception | None
) -> None:
    chain = SimulatedSidecar(monkeypatch, period_s)
    chain.seconds_until_list()
    chain.watches[-1].connection_lost(None)
    assert chain.seconds_until_list(*[answered(raw, end)] * 3) <= 3.4
    assert chain.discovery.generation == 43 and not chain.watches[-1].is_done
