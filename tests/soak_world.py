"""What the soak test plays around real sidecars: discovery, endpoints, and the record of all they saw.

Times are of the test process's monotonic clock, in seconds, unless a name says otherwise.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from tests.sockets import LoopbackServer, Reader, Writer, http_response, push_line, push_list, read_message

QUEUE_S, HEARTBEAT_S = 2.0, 1.0
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
NOT_RUN = http_response(503, b"", "X-Not-Run: 1\r\n")


class Weather(StrEnum):
    """What discovery does with its callers."""

    FAIR = "fair"
    DOWN = "down"  # calls end as 503 after a while, watches are reset: nothing can be told
    CROWDED = "crowded"  # the same, but changes count: it could be reached
    SILENT = "silent"  # watches stay open and tell nothing, new calls get no answer
    LATE = "late"  # answers come after a while


class Fate(StrEnum):
    """What an endpoint does with a request."""

    SERVE = "serve"
    ERROR = "error"
    HANG = "hang"
    RESET = "reset"
    TURN_AWAY = "turn away"
    LATE = "late"


@dataclass
class Arrival:
    """A request at an endpoint."""

    at: float
    request_id: str
    endpoint: str
    deadline_ms: int
    ran: bool


@dataclass
class Change:
    """An endpoint that drains, for discovery from then on."""

    at: float
    endpoint: str


@dataclass
class Silence:
    """Watches that stay open and tell nothing, until they are reset or tell again."""

    began: float
    watching: set[str]  # the sidecars whose watches these are
    ended: float = float("inf")


@dataclass
class Record:
    """All that the judge needs to know."""

    arrivals: list[Arrival] = field(default_factory=list)
    changes: dict[str, Change] = field(default_factory=dict)  # by endpoint: a name drains once
    written: dict[tuple[str, str], float] = field(default_factory=dict)  # to a sidecar, of an endpoint
    outages: list[tuple[float, float]] = field(default_factory=list)  # of discovery
    silences: list[Silence] = field(default_factory=list)
    moves: list[tuple[float, str]] = field(default_factory=list)  # of a sidecar to another address


class Directory:
    """The list of endpoints, as discovery holds it."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.entries: dict[str, dict[str, Any]] = {}
        self.generation = 1
        self.weather = Weather.FAIR
        self.changed = asyncio.Condition()
        self.doors: list[Door] = []
        self.held: dict[str, tuple[int, list[dict[str, Any]]]] = {}  # the list written last, by sidecar

    async def put(self, name: str, entry: dict[str, Any]) -> None:
        self.entries[name] = entry
        await self._tell()

    async def drain(self, name: str) -> None:
        self.record.changes[name] = Change(time.monotonic(), name)
        self.entries[name] = {**self.entries[name], "lifecycle": "draining"}
        await self._tell()

    async def _tell(self) -> None:
        self.generation += 1
        async with self.changed:
            self.changed.notify_all()

    def turn(self, weather: Weather) -> None:
        now = time.monotonic()
        if weather is Weather.SILENT and self.weather is not Weather.SILENT:
            watching = {door.sidecar for door in self.doors if door.watches}
            self.record.silences.append(Silence(now, watching))
        if self.weather is Weather.SILENT and weather is not Weather.SILENT:
            self._end_silence()
        if self.weather is Weather.DOWN:
            self.record.outages[-1] = (self.record.outages[-1][0], now)
        if weather is Weather.DOWN:
            self.record.outages.append((now, float("inf")))
        self.weather = weather
        if weather in (Weather.DOWN, Weather.CROWDED):
            self.reset_watches()

    def _end_silence(self) -> None:
        silence = self.record.silences[-1]
        silence.ended = min(silence.ended, time.monotonic())

    def reset_watches(self) -> None:
        if self.weather is Weather.SILENT:
            self._end_silence()
        for door in self.doors:
            for writer in door.watches:
                writer.transport.abort()


class Door(LoopbackServer):
    """Discovery as one sidecar reaches it: its calls are told apart by the port."""

    def __init__(self, directory: Directory, sidecar: str) -> None:
        self.directory, self.sidecar = directory, sidecar
        self.watches: set[Writer] = set()
        directory.doors.append(self)

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await read_message(reader)
            weather = self.directory.weather
            if weather is Weather.SILENT:
                await reader.read()
            elif weather in (Weather.DOWN, Weather.CROWDED):
                await asyncio.sleep(QUEUE_S)
                writer.write(REFUSAL)
            else:
                if weather is Weather.LATE:
                    await asyncio.sleep(1.0)
                await self._watch(reader, writer)
        self.watches.discard(writer)
        writer.close()

    async def _watch(self, reader: Reader, writer: Writer) -> None:
        directory, told = self.directory, 0
        self.watches.add(writer)
        writer.write(HEAD)
        while not (writer.transport.is_closing() or reader.at_eof()):
            if directory.weather is not Weather.SILENT:
                if directory.generation == told:
                    push_line(writer, b"\n")
                else:
                    told = directory.generation
                    self._list(writer)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_S), directory.changed:
                    await directory.changed.wait()

    def _list(self, writer: Writer) -> None:
        entries = list(self.directory.entries.values())
        push_list(writer, self.directory.generation, True, *entries)
        self.directory.held[self.sidecar] = self.directory.generation, entries
        for name in self.directory.record.changes:
            self.directory.record.written.setdefault((self.sidecar, name), time.monotonic())


class SoakEndpoint(LoopbackServer):
    """An endpoint that keeps what it was sent; each answer repeats the request's id."""

    def __init__(self, name: str, record: Record, seed: int) -> None:
        self.name, self.record, self.rng = name, record, random.Random(seed)
        self.fates: dict[Fate, float] = defaultdict(float)  # shares of the requests, less than 1 in all
        self.answers_until = float("inf")  # a draining endpoint goes on for a while

    def entry(self) -> dict[str, Any]:
        return {
            "instanceId": self.name, "hostPort": f"127.0.0.1:{self.port}", "zone": "here",
            "machineType": "small", "cell": 1, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0,
        }  # fmt: skip

    def _fate(self) -> Fate:
        if time.monotonic() > self.answers_until:
            return Fate.TURN_AWAY
        left = self.rng.random()
        for fate, share in self.fates.items():
            left -= share
            if left < 0:
                return fate
        return Fate.SERVE

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while not writer.transport.is_closing():
                message = await read_message(reader)
                fate = self._fate()
                self._note(message.headers, fate)
                await self._act(fate, message.headers["x-request-id"], reader, writer)
        writer.close()

    def _note(self, headers: dict[str, str], fate: Fate) -> None:
        deadline = int(headers["x-deadline-ms"])
        ran = fate is not Fate.TURN_AWAY
        arrival = Arrival(time.monotonic(), headers["x-request-id"], self.name, deadline, ran)
        self.record.arrivals.append(arrival)

    async def _act(self, fate: Fate, request_id: str, reader: Reader, writer: Writer) -> None:
        match fate:
            case Fate.SERVE:
                await asyncio.sleep(self.rng.uniform(0.001, 0.01))
                writer.write(http_response(200, request_id.encode()))
            case Fate.LATE:
                await asyncio.sleep(self.rng.uniform(0.2, 1.2))
                writer.write(http_response(200, request_id.encode()))
            case Fate.ERROR:
                writer.write(http_response(500))
            case Fate.TURN_AWAY:
                writer.write(NOT_RUN)
            case Fate.RESET:
                writer.transport.abort()
            case Fate.HANG:
                await reader.read()
