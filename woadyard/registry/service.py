"""The list service over HTTP/1.1: reads, watches and long polls, and writes with leases.

Calls (bodies and answers are JSON; every answer closes its connection but a watch):

- `GET /registry/instances`: the whole list, `{"generation", "reset", "instances"}`.
- `GET /registry/instances?index=N&wait=S`: the same, once the version is past N
  or S seconds (at most `WAIT_MOST_S`) have gone: a long poll.
- `GET /registry/instances?watch=1&from=N`: the protocol's watch, a chunked answer
  with a line for each change (a whole list first where N is too old) and an
  empty line every `BEAT_S` while nothing changes.
- `PUT /registry/instances/ID?ttl_ms=T`: register or replace the entry (the body)
  with a lease of T ms; `POST /registry/instances/ID/renew`; `DELETE .../ID`.
- `GET /_metrics`: watches, versions, clients and writes, in Prometheus text.

A write the disk refuses is answered 507 and changes nothing; reads go on.
"""

from __future__ import annotations

import asyncio
import json
import logging
import time
from collections import deque
from collections.abc import Callable
from typing import Any, cast
from urllib.parse import parse_qs, unquote, urlsplit

import httptools
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

from woadyard.registry.log import Journal
from woadyard.registry.store import DROP, EXPIRE, PUT, RENEW, RecordError

PATH = "/registry/instances"
BEAT_S, WAIT_MOST_S = 2.0, 60.0
HEAD_MAX, BODY_MAX = 8 * 1024, 64 * 1024
CLIENTS_MOST = 4096
HISTORY = 256  # the changes kept for watches that resume
SNAPSHOT_EVERY = 1_000  # records between snapshots
LOG = logging.getLogger(__name__)


def wall_us() -> int:
    return time.time_ns() // 1000


class Counts:
    def __init__(self) -> None:
        self.registry = registry = CollectorRegistry()
        self.watches = Gauge("registry_watches", "Watches and long polls open", registry=registry)
        self.clients = Gauge("registry_clients", "Connections open", registry=registry)
        self.version = Gauge("registry_version", "Version of the list", registry=registry)
        self.reads = Counter("registry_reads", "Reads answered, by kind", ["kind"], registry=registry)
        self.writes = Counter("registry_writes", "Writes, by result", ["result"], registry=registry)


class Registry:
    """The list, its files and its waiters; one writer, on one loop."""

    def __init__(self, journal: Journal, clock: Callable[[], int] = wall_us) -> None:
        self.journal, self.clock = journal, clock
        self.store = journal.recover()
        self.counts = Counts()
        self.counts.version.set(self.store.version)
        self.history: deque[tuple[int, list[dict[str, Any]]]] = deque(maxlen=HISTORY)
        self.waiters: set[asyncio.Future[None]] = set()
        self.expiry: asyncio.TimerHandle | None = None
        self.since_snapshot = 0

    def write(self, record: dict[str, Any]) -> tuple[int, str]:
        """Log and apply one record: an HTTP status and a line."""
        before = dict(self.store.entries)
        try:
            changed = self.journal.append(self.store, {**record, "at": self.clock()})
        except RecordError as error:
            self.counts.writes.labels("refused").inc()
            return 400, str(error)
        except OSError as error:
            self.counts.writes.labels("failed").inc()
            LOG.error("write failed", extra={"error": str(error)})
            return 507, f"can't write: {error}"
        self.counts.writes.labels("done").inc()
        if changed:
            self._changed(before)
        self._snapshot_now_and_then()
        self.arm()
        return 200, json.dumps({"generation": self.store.version})

    def _changed(self, before: dict[str, dict[str, Any]]) -> None:
        after = self.store.entries
        delta = [after[name] for name in sorted(after) if before.get(name) != after[name]]
        delta += [{**before[name], "lifecycle": "gone"} for name in sorted(before.keys() - after.keys())]
        self.history.append((self.store.version, delta))
        self.counts.version.set(self.store.version)
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.waiters.clear()

    def _snapshot_now_and_then(self) -> None:
        self.since_snapshot += 1
        if self.since_snapshot >= SNAPSHOT_EVERY:
            try:
                self.journal.snapshot(self.store)
                self.since_snapshot = 0
            except OSError as error:
                LOG.error("snapshot failed", extra={"error": str(error)})

    def arm(self) -> None:
        """A timer for the first lease to run out: its end is a record too."""
        if self.expiry is not None:
            self.expiry.cancel()
        due = self.store.next_expiry()
        if due is not None:
            delay = max(0.0, (due - self.clock()) / 1e6)
            self.expiry = asyncio.get_running_loop().call_later(delay, self.write, {"op": EXPIRE})

    async def changed_past(self, version: int, wait_s: float) -> None:
        """Returns once the version is past `version`, or after `wait_s`."""
        if self.store.version > version:
            return
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        try:
            await asyncio.wait_for(asyncio.shield(waiter), wait_s)
        except TimeoutError:
            pass
        finally:
            self.waiters.discard(waiter)

    def changes_since(self, version: int) -> dict[str, Any]:
        """What changed after `version`, or the whole list where that is not kept."""
        if version == self.store.version:
            return {"generation": version, "reset": False, "instances": []}
        if not self.history or not self.history[0][0] - 1 <= version < self.store.version or version <= 0:
            return self.store.listing()
        kept = [delta for at, delta in self.history if at > version]
        merged: dict[str, dict[str, Any]] = {}
        for delta in kept:
            merged.update((one["instanceId"], one) for one in delta)
        return {"generation": self.store.version, "reset": False, "instances": list(merged.values())}


class CallError(Exception):
    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Client(asyncio.Protocol):
    """One connection: one call, then the end (a watch ends with the connection)."""

    def __init__(self, registry: Registry, clients: set[Client]) -> None:
        self.registry, self.clients = registry, clients
        self.parser = httptools.HttpRequestParser(self)
        self.url = self.body = b""
        self.fed = 0
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if len(self.clients) >= CLIENTS_MOST:
            self.transport.abort()
            return
        self.clients.add(self)
        self.registry.counts.clients.set(len(self.clients))

    def connection_lost(self, exc: Exception | None) -> None:
        self.clients.discard(self)
        self.registry.counts.clients.set(len(self.clients))
        if self.task is not None:
            self.task.cancel()

    def data_received(self, data: bytes) -> None:
        self.fed += len(data)
        try:
            if self.fed > HEAD_MAX + BODY_MAX:
                raise CallError(413, "too large")
            self.parser.feed_data(data)
        except CallError as error:
            self.answer(error.status, str(error))
        except httptools.HttpParserError:
            self.answer(400, "malformed")

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        if self.task is None:
            self.task = asyncio.get_running_loop().create_task(self.serve())

    async def serve(self) -> None:
        try:
            await self.route(self.parser.get_method().decode(), urlsplit(self.url.decode()))
        except CallError as error:
            self.answer(error.status, str(error))
        except (ValueError, UnicodeDecodeError) as error:
            self.answer(400, f"bad call: {error}")

    async def route(self, method: str, url: Any) -> None:
        query = {key: values[-1] for key, values in parse_qs(url.query).items()}
        if url.path == "/_metrics" and method == "GET":
            self.answer(200, generate_latest(self.registry.counts.registry).decode(), "text/plain")
        elif url.path == PATH and method == "GET":
            await self.read(query)
        elif url.path.startswith(PATH + "/"):
            self.answer(*self.registry.write(self.record(method, unquote(url.path[len(PATH) + 1 :]), query)))
        else:
            raise CallError(404, "unknown path")

    def record(self, method: str, rest: str, query: dict[str, str]) -> dict[str, Any]:
        name, _, tail = rest.partition("/")
        if method == "PUT" and not tail:
            entry = json.loads(self.body)
            if not isinstance(entry, dict):
                raise CallError(400, "the body is no object")
            return {"op": PUT, "entry": {**entry, "instanceId": name}, "ttl_us": int(query["ttl_ms"]) * 1000}
        if method == "POST" and tail == "renew":
            return {"op": RENEW, "id": name}
        if method == "DELETE" and not tail:
            return {"op": DROP, "id": name}
        raise CallError(405, "no such call")

    async def read(self, query: dict[str, str]) -> None:
        registry, counts = self.registry, self.registry.counts
        if query.get("watch"):
            counts.reads.labels("watch").inc()
            counts.watches.inc()
            try:
                await self.watch(int(query.get("from", "0")))
            finally:
                counts.watches.dec()
            return
        if "index" in query:
            counts.reads.labels("poll").inc()
            counts.watches.inc()
            try:
                wait_s = min(WAIT_MOST_S, max(0.0, float(query.get("wait", "0"))))
                await registry.changed_past(int(query["index"]), wait_s)
            finally:
                counts.watches.dec()
        else:
            counts.reads.labels("list").inc()
        self.answer(200, json.dumps(registry.store.listing()), "application/json")

    async def watch(self, version: int) -> None:
        transport = self.transport
        assert transport is not None
        transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        while not transport.is_closing():
            told = self.registry.changes_since(version)
            if told["instances"] or told["reset"]:
                line = json.dumps(told, separators=(",", ":")).encode() + b"\n"
                version = int(told["generation"])
            else:
                line = b"\n"
            transport.write(b"%x\r\n%b\r\n" % (len(line), line))
            await self.registry.changed_past(version, BEAT_S)

    def answer(self, status: int, text: str, kind: str = "text/plain; charset=utf-8") -> None:
        if self.transport is None or self.transport.is_closing():
            return
        body = text.encode() + b"\n"
        self.transport.write(
            b"HTTP/1.1 %d X\r\nContent-Type: %b\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b"
            % (status, kind.encode(), len(body), body)
        )
        self.transport.close()


async def serve(registry: Registry, host: str, port: int, ready: Callable[[int], None]) -> None:
    """Listen until cancelled; `ready` hears the port once it listens."""
    clients: set[Client] = set()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Client(registry, clients), host, port, backlog=1024)
    registry.arm()
    ready(int(server.sockets[0].getsockname()[1]))
    async with server:
        await server.serve_forever()
