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
from tests.test_discovery import HEAD, Clock
from woadyard.__main__ import Reload
from woadyard.net import discovery as net
from woadyard.net.config import Config
from woadyard.net.discovery import Discovery
from woadyard.net.driver import Driver
from woadyard.net.held import OTHER_S
from woadyard.net.stream import Stream
from woadyard.net.upstream import Upstream
from woadyard.wire import read_settings

Event = Callable[["Chain", Stream], None]


def settings_of(period_s: float) -> dict[str, Any]:
    """With lists that are asked for within this period, or pushed."""
    within = {**SETTINGS["invariants"], "ask-within-us": int((period_s or 10.0) * 1e6)}
    return {**SETTINGS, "discovery": "ask" if period_s else "push", "invariants": within}


class Longest(Random):
    """Draws what makes each wait as long as it may be."""

    def random(self) -> float:
        return 1.0 - 2.0**-53


class Chain(Clock):
    """A sidecar's module, its timers and its discovery; each call meets the next event."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, period_s: float = 0.0) -> None:
        super().__init__()
        self.events: list[Event] = []
        self.begun: list[Stream] = []
        self.told_at: list[float] = []
        monkeypatch.setattr("woadyard.net.event_dispatcher.now_us", lambda: round(self.now * 1e6))
        raw = settings_of(period_s)
        loop = cast(asyncio.AbstractEventLoop, self)
        settings = read_settings(json.dumps(raw).encode())
        self.driver = Driver(loop, 1, settings, raw, Upstream(loop, Driver.now, 64))
        self.driver.balancer.ctx.rng = Longest()
        self.discovery = self.driver.discovery = Discovery(
            loop, "127.0.0.1:1", "/list", not period_s, self.listen, Longest()
        )
        self.driver.start(None)

    def listen(self, version: int, whole: bool, entries: list[dict[str, Any]]) -> None:
        self.driver.apply_list(version, whole, entries)
        self.told_at.append(self.now)

    def create_task(self, coro: Coroutine[Any, Any, None]) -> Mock:
        coro.close()
        self.call_later(0.0, self._meet)
        return Mock()

    def _meet(self) -> None:
        stream = self.discovery.stream
        if stream is not None and stream not in self.begun and not stream.done:
            self.begun.append(stream)
            (self.events.pop(0) if self.events else good)(self, stream)

    def after(self, *events: Event) -> float:
        """How long until a list is there, if the calls meet these, and then one that tells it."""
        self.events += events
        known, since = len(self.told_at), self.now
        while len(self.told_at) == known:
            self.go_to(self.now + 0.01)
            assert self.now < since + 200.0, "never"
        return self.told_at[-1] - since


def good(chain: Chain, stream: Stream) -> None:
    stream.connection_made(Mock())
    told = {"generation": 42 + len(chain.told_at), "reset": True, "instances": []}
    line = json.dumps(told).encode() + b"\n"
    stream.data_received(HEAD + b"%x\r\n%b\r\n" % (len(line), line))


def refused(chain: Chain, stream: Stream) -> None:
    stream.fail()


def hanging(chain: Chain, stream: Stream) -> None:
    """The connection does not come up."""
    chain.call_later(net.CONNECT_S, stream.fail)


def unanswered(chain: Chain, stream: Stream) -> None:
    stream.connection_made(Mock())


def busy(chain: Chain, stream: Stream) -> None:
    stream.connection_made(Mock())
    stream.data_received(b"HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy")


def reset(chain: Chain, stream: Stream) -> None:
    stream.connection_made(Mock())
    stream.data_received(HEAD + b'8\r\n{"genera')
    stream.connection_lost(ConnectionResetError())


def trickle(head: bytes, part: bytes) -> Event:
    def event(chain: Chain, stream: Stream) -> None:
        def drop() -> None:
            if not stream.done:
                stream.data_received(part)
                chain.call_later(0.5, drop)

        stream.connection_made(Mock())
        stream.data_received(head)
        drop()

    return event


PERIODS = [0.0, 10.0, 30.0, 60.0]  # 0: lists are pushed
FAILED = [refused, busy, reset]


@pytest.mark.parametrize("period_s", PERIODS)
@pytest.mark.parametrize(
    ("events", "most_s"),
    [
        ([], 3.0),
        *([[one], 3.5] for one in FAILED),
        *([[one, other], 4.7] for one in FAILED for other in FAILED),
        *([[hanging, *more], 4.7 + 1.2 * len(more)] for more in ([], [busy])),
        *([[one, hanging], 5.9] for one in FAILED),
        ([unanswered], 5.95),
    ],
)
def test_what_a_silent_watch_missed_is_there_in_time(
    monkeypatch: pytest.MonkeyPatch, period_s: float, events: list[Event], most_s: float
) -> None:
    """It fell silent, and a change came at once; the next calls fail as well."""
    chain = Chain(monkeypatch, period_s)
    chain.after()
    assert chain.after(*events) <= most_s


@pytest.mark.parametrize("period_s", PERIODS)
@pytest.mark.parametrize("last", [refused, hanging, unanswered, busy, reset])
@pytest.mark.parametrize("more", [[], [busy], [reset]])
def test_after_a_long_outage_the_list_is_there_in_time(
    monkeypatch: pytest.MonkeyPatch, period_s: float, last: Event, more: list[Event]
) -> None:
    """Discovery can be reached again just after a call was begun that comes to nothing."""
    chain = Chain(monkeypatch, period_s)
    chain.after()
    chain.events = [hanging, unanswered, busy, reset, refused] * 2 + [last]
    while chain.events:
        chain.go_to(chain.now + 0.01)
    assert chain.after(*more) <= 4.9


@pytest.mark.parametrize("period_s", PERIODS)
@pytest.mark.parametrize(
    "events", [[], [refused, reset, busy], [hanging], [hanging, hanging], [hanging, busy], [unanswered]]
)
def test_a_new_address_binds_in_time(
    monkeypatch: pytest.MonkeyPatch, period_s: float, events: list[Event]
) -> None:
    chain = Chain(monkeypatch, period_s)
    chain.after()
    chain.discovery.move("127.0.0.1:2")
    assert chain.after(*events) <= 3.5


@pytest.mark.parametrize("period_s", PERIODS)
@pytest.mark.parametrize("events", [[], [busy], [busy, reset], [hanging, busy], [unanswered]])
def test_a_new_process_has_its_list_in_time(
    monkeypatch: pytest.MonkeyPatch, period_s: float, events: list[Event]
) -> None:
    assert Chain(monkeypatch, period_s).after(*events) <= 4.5


PIECES = [
    (b"HTTP/1.1 200 OK\r\nX: ", b"y"),
    (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    (HEAD, b"1\r\n \r\n"),
    (HEAD + b"1\r\n{\r\n", b"1\r\n \r\n"),
    (HEAD + b"2\r\n{\n\r\n", b'7\r\n"a":1,\n\r\n'),  # an indented list without an end
    (b"HTTP/1.1 200 OK\r\n\r\n", b" "),  # without length
    (b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n", b" "),
]


@pytest.mark.parametrize("period_s", PERIODS)
@pytest.mark.parametrize("pieces", PIECES)
def test_bytes_that_never_make_a_line_are_no_sign_of_life(
    monkeypatch: pytest.MonkeyPatch, period_s: float, pieces: tuple[bytes, bytes]
) -> None:
    chain = Chain(monkeypatch, period_s)
    chain.after()
    assert chain.after(trickle(*pieces)) <= 5.95


@pytest.mark.parametrize("period_s", PERIODS)
@pytest.mark.parametrize("begun", [b"1\r\n{\r\n", b"2\r\n{\n\r\n"])
def test_a_watch_whose_lists_stop_half_way_is_given_up_as_a_silent_one(
    monkeypatch: pytest.MonkeyPatch, period_s: float, begun: bytes
) -> None:
    chain = Chain(monkeypatch, period_s)
    chain.after()
    trickle(begun, b"1\r\n \r\n")(chain, chain.begun[-1])
    assert chain.after() <= 2.85


def test_a_list_that_takes_its_time_is_taken(monkeypatch: pytest.MonkeyPatch) -> None:
    """A crowded service answers late, and its first line comes after that again."""

    def late(chain: Chain, stream: Stream) -> None:
        stream.connection_made(Mock())
        chain.call_later(2.0, stream.data_received, HEAD)
        chain.call_later(4.0, stream.data_received, b"1\r\n\n\r\n")
        line = b'{"generation": 42, "reset": true,\n "instances": []}\n'
        for at in range(len(line)):
            part = b"1\r\n%b\r\n" % line[at : at + 1]
            chain.call_later(6.0 + at * 0.04, stream.data_received, part)

    chain = Chain(monkeypatch, 10.0)
    chain.after(late)
    assert len(chain.begun) == 1


def beats(chain: Chain, count: int) -> None:
    """The watch lives on for so long."""
    for _ in range(count):
        chain.go_to(chain.now + 2.0)
        chain.begun[-1].data_received(b"1\r\n\n\r\n")


@pytest.mark.parametrize("period_s", PERIODS)
def test_a_wait_from_before_the_address_moved_ends_no_good_watch(
    monkeypatch: pytest.MonkeyPatch, period_s: float
) -> None:
    """The module, or discovery itself, was about to ask again at the old address."""
    chain = Chain(monkeypatch, period_s)
    chain.after()
    chain.begun[-1].connection_lost(ConnectionResetError())
    chain.discovery.move("127.0.0.1:2")
    chain.discovery.move("127.0.0.1:3")
    chain.after()
    begun = len(chain.begun)
    beats(chain, 4)
    assert len(chain.begun) == begun and not chain.begun[-1].done


@pytest.mark.parametrize("period_s", PERIODS)
def test_a_call_for_the_list_that_fails_beside_a_good_watch_changes_nothing(
    monkeypatch: pytest.MonkeyPatch, period_s: float
) -> None:
    chain = Chain(monkeypatch, period_s)
    chain.discovery.replicas = ["127.0.0.1:1", "127.0.0.1:2"]
    chain.after()
    begun, address = len(chain.begun), chain.discovery.address
    chain.discovery.fetch()  # and it is never answered
    beats(chain, 4)
    assert len(chain.begun) == begun and not chain.begun[-1].done
    assert not chain.discovery.out and chain.discovery.address == address
    assert not chain.driver.balancer.membership.backoff.fast_failures


@pytest.mark.parametrize(("before_s", "after_s"), [(0.0, 10.0), (10.0, 0.0)])
@pytest.mark.parametrize("failing", [True, False])
def test_lists_that_are_pushed_from_now_on_or_no_longer_go_on_to_come(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, before_s: float, after_s: float, failing: bool
) -> None:
    """SIGHUP may say so, be it while a watch is open or just after one was lost."""
    chain = Chain(monkeypatch, before_s)
    chain.after()
    if failing:
        chain.begun[-1].connection_lost(ConnectionResetError())
    force = {"discovery": "127.0.0.1:1", "settings": chain.driver.raw_settings}
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**force, "settings": settings_of(after_s)}))
    config = cast(Config, Mock(path=str(path), raw=force))
    Reload(config, chain.driver, chain.discovery, Mock())()
    if not failing:
        chain.begun[-1].connection_lost(ConnectionResetError())
    assert chain.after(refused, busy) <= (2.2 if after_s else 0.6)
    outage = [refused] * 20
    chain.begun[-1].connection_lost(ConnectionResetError())
    taken = chain.after(*outage)
    assert taken > 20.0 if after_s else taken < 5.0


def test_a_service_that_began_anew_is_heard_after_a_while_however_often_it_is_asked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Another log's list is taken once nothing was heard of the one held for `OTHER_S`."""

    def of(lineage: str) -> Event:
        def event(chain: Chain, stream: Stream) -> None:
            stream.connection_made(Mock())
            told = {"generation": 1, "reset": True, "instances": [], "lineage": lineage, "term": 1}
            line = json.dumps(told).encode() + b"\n"
            stream.data_received(HEAD + b"%x\r\n%b\r\n" % (len(line), line))

        return event

    chain = Chain(monkeypatch, 10.0)
    chain.after(of("ab"))
    beats(chain, 2)
    chain.begun[-1].connection_lost(ConnectionResetError())
    assert OTHER_S < chain.after(*[of("cd")] * 40) < OTHER_S + 2.0


LIST = b'{"generation": 77, "reset": true,\n "instances": []}'
PLAIN = b"HTTP/1.0 200 OK\r\n\r\n"
CHUNK = b"%x\r\n%b\r\n" % (len(LIST), LIST)
LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"


def answered(raw: bytes, end: Exception | None = None) -> Event:
    """These bytes, one by one, and the connection's end."""

    def event(chain: Chain, stream: Stream) -> None:
        stream.connection_made(Mock())
        for at in range(len(raw)):
            stream.data_received(raw[at : at + 1])
        stream.connection_lost(end)

    return event


@pytest.mark.parametrize(
    "raw", [HEAD + CHUNK + b"0\r\n\r\n", LENGTH % len(LIST) + LIST, PLAIN + LIST, PLAIN + LIST + b"\n"]
)
def test_a_list_that_an_answers_clean_end_makes_whole_is_taken(
    monkeypatch: pytest.MonkeyPatch, raw: bytes
) -> None:
    chain = Chain(monkeypatch, 10.0)
    chain.after(answered(raw))
    assert chain.discovery.generation == 77 and len(chain.begun) == 1


@pytest.mark.parametrize("period_s", PERIODS)
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
        HEAD + CHUNK[:-9],  # cut in the middle of a chunk
        HEAD + b"0\r\n\r\n",
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
    chain = Chain(monkeypatch, period_s)
    chain.after()
    chain.begun[-1].connection_lost(None)
    assert chain.after(*[answered(raw, end)] * 3) <= 3.4
    assert chain.discovery.generation == 43 and not chain.begun[-1].done
