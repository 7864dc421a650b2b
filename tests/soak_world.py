"""The environment of a soak run: simulated discovery, endpoints, and a record of what they received.

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

from tests.sockets import (
    LoopbackServer,
    Reader,
    Writer,
    http_response,
    push_line,
    push_list,
    read_head,
    read_message,
)
from woadyard.standins import Framing, PacedAnswer

REFUSAL_DELAY_S, HEARTBEAT_S = 2.0, 1.0
READ_BYTES = 64_000  # of a large request at once
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
NOT_RUN = http_response(503, b"", "X-Not-Run: 1\r\n")


class DiscoveryFault(StrEnum):
    """The current behaviour of discovery towards sidecars."""

    FAIR = "fair"
    DOWN = "down"  # calls end as 503 after a delay, watches are reset: no list can be sent
    CROWDED = "crowded"  # the same, but changes count as sent: discovery was reachable
    SILENT = "silent"  # watches stay open without data, new calls get no response
    LATE = "late"  # responses are delayed


def answer_body(request_id: str, size: int) -> bytes:
    """The body of an answer of this size, which shows the request that it is for."""
    return (request_id.encode() * (size // len(request_id) + 1))[:size]


class EndpointFault(StrEnum):
    """How an endpoint handles a request."""

    SERVE = "serve"
    ERROR = "error"
    HANG = "hang"
    RESET = "reset"
    TURN_AWAY = "turn away"
    LATE = "late"
    HALT = "halt"  # in the middle of an answer


@dataclass
class Arrival:
    """A request received by an endpoint."""

    at_s: float
    request_id: str
    endpoint: str
    deadline_ms: int
    ran: bool
    answer: PacedAnswer | None = None
    head_s: float = float("inf")  # when the head of the answer was written
    end_s: float = float("inf")  # when all of it was


@dataclass
class Change:
    """The start of an endpoint's drain in discovery."""

    at_s: float
    endpoint: str


@dataclass
class Silence:
    """A period in which watches stay open without data, until they are reset or resume."""

    start_s: float
    sidecars: set[str]  # those with open watches at the start
    end_s: float = float("inf")


@dataclass
class Record:
    """The events of a soak run that the checks need."""

    arrivals: list[Arrival] = field(default_factory=list)
    changes: dict[str, Change] = field(default_factory=dict)  # by endpoint, each of which drains once
    drain_sent_s: dict[tuple[str, str], float] = field(default_factory=dict)  # by sidecar and endpoint
    outages: list[tuple[float, float]] = field(default_factory=list)  # of discovery
    silences: list[Silence] = field(default_factory=list)
    # Time and sidecar of each change of the discovery address.
    moves: list[tuple[float, str]] = field(default_factory=list)


class Directory:
    """The list of endpoints that discovery serves, and its current fault."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.entries: dict[str, dict[str, Any]] = {}
        self.generation = 1
        self.fault = DiscoveryFault.FAIR
        self.changed = asyncio.Condition()
        self.listeners: list[DiscoveryListener] = []
        # By sidecar: the generation and the list sent last.
        self.last_lists: dict[str, tuple[int, list[dict[str, Any]]]] = {}

    async def put(self, name: str, entry: dict[str, Any]) -> None:
        self.entries[name] = entry
        await self._notify_watches()

    async def drain(self, name: str) -> None:
        self.record.changes[name] = Change(time.monotonic(), name)
        self.entries[name] = {**self.entries[name], "lifecycle": "draining"}
        await self._notify_watches()

    async def _notify_watches(self) -> None:
        self.generation += 1
        async with self.changed:
            self.changed.notify_all()

    def set_fault(self, fault: DiscoveryFault) -> None:
        now_s = time.monotonic()
        if fault is DiscoveryFault.SILENT and self.fault is not DiscoveryFault.SILENT:
            watching = {listener.sidecar for listener in self.listeners if listener.watches}
            self.record.silences.append(Silence(now_s, watching))
        if self.fault is DiscoveryFault.SILENT and fault is not DiscoveryFault.SILENT:
            self._end_silence()
        if self.fault is DiscoveryFault.DOWN:
            self.record.outages[-1] = (self.record.outages[-1][0], now_s)
        if fault is DiscoveryFault.DOWN:
            self.record.outages.append((now_s, float("inf")))
        self.fault = fault
        if fault in (DiscoveryFault.DOWN, DiscoveryFault.CROWDED):
            self.reset_watches()

    def _end_silence(self) -> None:
        silence = self.record.silences[-1]
        silence.end_s = min(silence.end_s, time.monotonic())

    def reset_watches(self) -> None:
        if self.fault is DiscoveryFault.SILENT:
            self._end_silence()
        for listener in self.listeners:
            for writer in listener.watches:
                writer.transport.abort()


class DiscoveryListener(LoopbackServer):
    """A listener of discovery for one sidecar, whose calls are identified by the port."""

    def __init__(self, directory: Directory, sidecar: str) -> None:
        self.directory, self.sidecar = directory, sidecar
        self.watches: set[Writer] = set()
        directory.listeners.append(self)

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await read_message(reader)
            fault = self.directory.fault
            if fault is DiscoveryFault.SILENT:
                await reader.read()
            elif fault in (DiscoveryFault.DOWN, DiscoveryFault.CROWDED):
                await asyncio.sleep(REFUSAL_DELAY_S)
                writer.write(REFUSAL)
            else:
                if fault is DiscoveryFault.LATE:
                    await asyncio.sleep(1.0)
                await self._watch(reader, writer)
        self.watches.discard(writer)
        writer.close()

    async def _watch(self, reader: Reader, writer: Writer) -> None:
        directory, sent_generation = self.directory, 0
        self.watches.add(writer)
        writer.write(HEAD)
        while not (writer.transport.is_closing() or reader.at_eof()):
            if directory.fault is not DiscoveryFault.SILENT:
                if directory.generation == sent_generation:
                    push_line(writer, b"\n")
                else:
                    sent_generation = directory.generation
                    self._send_list(writer)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_S), directory.changed:
                    await directory.changed.wait()

    def _send_list(self, writer: Writer) -> None:
        entries = list(self.directory.entries.values())
        push_list(writer, self.directory.generation, True, *entries)
        self.directory.last_lists[self.sidecar] = self.directory.generation, entries
        for name in self.directory.record.changes:
            self.directory.record.drain_sent_s.setdefault((self.sidecar, name), time.monotonic())


class SoakEndpoint(LoopbackServer):
    """An endpoint that records each request; its responses repeat the request id."""

    def __init__(self, name: str, record: Record, seed: int) -> None:
        self.name, self.record, self.rng = name, record, random.Random(seed)
        # Of the requests that are served, shares with long answers: in small parts, and in lumps.
        self.steady_share, self.lumps_share = 0.08, 0.12
        self.answers_in_work = 0
        self.read_pause_s = 0.0  # after each piece of a large request
        # Share of the requests by fault, below 1 in total.
        self.fault_shares: dict[EndpointFault, float] = defaultdict(float)
        self.serves_until_s = float("inf")  # a draining endpoint keeps serving for a while
        self.hangs_until_s = 0.0  # and goes on with what it has in work

    def entry(self) -> dict[str, Any]:
        return {
            "instanceId": self.name, "hostPort": f"{self.host}:{self.port}", "zone": "here",
            "machineType": "small", "cell": 1, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0,
        }  # fmt: skip

    def _pick_fault(self) -> EndpointFault:
        if time.monotonic() > self.serves_until_s:
            return EndpointFault.TURN_AWAY
        remaining = self.rng.random()
        for fault, share in self.fault_shares.items():
            remaining -= share
            if remaining < 0:
                return fault
        return EndpointFault.SERVE

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while not writer.transport.is_closing():
                head, at_s = await read_head(reader), time.monotonic()
                await self._read_body(reader, int(head.headers.get("content-length", 0)))
                fault = self._pick_fault()
                arrival = self._record_arrival(at_s, head.headers, fault)
                await self._respond(fault, arrival, reader, writer)
        writer.close()

    async def _pause(self, seconds: float) -> None:
        """Sleep, and for as long as the endpoint hangs."""
        await asyncio.sleep(seconds)
        while (left_s := self.hangs_until_s - time.monotonic()) > 0:
            await asyncio.sleep(left_s)

    async def _read_body(self, reader: Reader, size: int) -> None:
        while size:
            size -= len(await reader.readexactly(min(size, READ_BYTES)))
            if size:
                await self._pause(self.read_pause_s)

    def _record_arrival(self, at_s: float, headers: dict[str, str], fault: EndpointFault) -> Arrival:
        deadline_ms = int(headers["x-deadline-ms"])
        ran = fault is not EndpointFault.TURN_AWAY
        arrival = Arrival(at_s, headers["x-request-id"], self.name, deadline_ms, ran)
        self.record.arrivals.append(arrival)
        return arrival

    def _draw_answer(self, fault: EndpointFault) -> PacedAnswer:
        kind = self.rng.random()
        if fault is EndpointFault.HALT or kind >= self.steady_share + self.lumps_share:
            return PacedAnswer.short(self.rng, ends=fault is not EndpointFault.HALT)
        return PacedAnswer.steady(self.rng) if kind < self.steady_share else PacedAnswer.lumps(self.rng)

    async def _respond(self, fault: EndpointFault, arrival: Arrival, reader: Reader, writer: Writer) -> None:
        match fault:
            case EndpointFault.SERVE | EndpointFault.LATE | EndpointFault.HALT:
                delay_s = (0.2, 1.2) if fault is EndpointFault.LATE else (0.001, 0.01)
                await self._pause(self.rng.uniform(*delay_s))
                arrival.answer, arrival.head_s = self._draw_answer(fault), time.monotonic()
                body = answer_body(arrival.request_id, arrival.answer.size)
                self.answers_in_work += 1
                try:
                    await arrival.answer.write(writer, body, self._pause)
                finally:
                    self.answers_in_work -= 1
                arrival.end_s = time.monotonic()
                if not arrival.answer.ends:
                    await reader.read()
                elif arrival.answer.framing is Framing.CLOSE:
                    writer.close()
            case EndpointFault.ERROR:
                writer.write(http_response(500))
            case EndpointFault.TURN_AWAY:
                writer.write(NOT_RUN)
            case EndpointFault.RESET:
                writer.transport.abort()
            case EndpointFault.HANG:
                await reader.read()
