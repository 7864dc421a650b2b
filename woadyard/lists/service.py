"""The calls that read and write the list.

- `GET /registry/instances`: the whole list, `{"generation", "reset", "instances"}`, with
  the `lineage` and `term` that the generation is of.
- `GET /registry/instances?index=N&wait=S`: the same, once the version is past N
  or S seconds (at most `WAIT_MOST_S`) have gone: a long poll; at once where `term=T`
  names another term.
- `GET /registry/instances?watch=1&from=N&term=T&lineage=L`: the protocol's watch, a
  chunked answer with a line for each change (a whole list first where N of term T is no
  part of this list's history, or too old) and an empty line every `BEAT_S` while
  nothing changes.
- `PUT /registry/instances/ID?ttl_ms=T`: register or replace the entry (the body)
  with a lease of T ms; `POST /registry/instances/ID/renew`; `DELETE .../ID`.

A replica sends writers on to its writer (307). One out of touch with it, or a writer that
lost its place, says `"following": false` in what it tells and ends its watches, so that
clients that have another replica turn to that; who has none goes on with this list.
A write the disk refuses is answered 507 and changes nothing; reads go on.
"""

from __future__ import annotations

from typing import Any

import msgspec
from aiohttp import web

from woadyard.lists.state import DROP, PUT, RENEW, EndpointListState
from woadyard.registry.responses import json_response, leader_only, read_body, read_query
from woadyard.registry.service import Registry
from woadyard.registry.state_machine import LogEntry

INSTANCES_PATH = "/registry/instances"
HEARTBEAT_S, MAX_WAIT_S = 2.0, 60.0


class ListQuery(msgspec.Struct, rename={"since": "from"}):
    watch: int = 0
    since: int = 0
    term: int = 0
    lineage: str = ""
    index: int | None = None
    wait: float = 0.0


class PutQuery(msgspec.Struct):
    ttl_ms: int


class Written(msgspec.Struct):
    generation: int
    term: int
    lineage: str


class EndpointListHandlers:
    """The handlers of the calls, on one registry."""

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.last: tuple[object, bytes] = None, b""  # what was told last, and to whom: most hold the same
        registry.metrics.version.set_function(lambda: self.book.version)

    @property
    def book(self) -> EndpointListState:
        return self.registry.state_machine(EndpointListState)

    def _told(self, found: dict[str, Any]) -> dict[str, Any]:
        """With the log's lineage, and `following` where it may be old."""
        found = {**found, "lineage": self.registry.log_state.lineage}
        return {**found, "following": False} if self.registry.may_be_outdated else found

    async def read(self, request: web.Request) -> web.StreamResponse:
        asked, counts = read_query(request, ListQuery), self.registry.metrics
        kind = "watch" if asked.watch else "list" if asked.index is None else "poll"
        counts.reads.labels(kind).inc()
        if kind == "list":
            return json_response(self._told(self.book.listing()))
        with counts.watches.track_inprogress():
            if kind == "watch":
                return await self.watch(request, asked)
            await self._changed_past(asked.term, asked.index or 0, asked.wait)
        return json_response(self._told(self.book.listing()))

    async def _changed_past(self, term: int, version: int, wait_s: float) -> None:
        wait_s, behind = min(MAX_WAIT_S, max(0.0, wait_s)), self.registry.may_be_outdated
        await self.registry.waiters.wait_until(
            EndpointListState.name,
            lambda: (
                self.book.version > version
                or self.registry.may_be_outdated != behind
                or term not in (0, self.book.term)
            ),
            wait_s,
        )

    async def watch(self, request: web.Request, asked: ListQuery) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        response.enable_chunked_encoding()
        await response.prepare(request)
        at = (
            (asked.term, asked.since)
            if asked.lineage == self.registry.log_state.lineage
            else (-1, asked.since)
        )
        while True:
            book, behind = self.book, self.registry.may_be_outdated
            line = self._line(*at)
            at = book.term, book.version
            # Waits where the peer does not read: it is then told the sum of what changed,
            # and none of it is held for it.
            await response.write(line)
            if behind:
                return response
            if (self.book.term, self.book.version) == at and not self.registry.may_be_outdated:
                await self.registry.waiters.wait_for_notification(EndpointListState.name, HEARTBEAT_S)

    def _line(self, term: int, version: int) -> bytes:
        """For a watch at (term, version): what changed since, or an empty line."""
        book, behind = self.book, self.registry.may_be_outdated
        key = (term, version, book, book.term, book.version, behind)
        if self.last[0] != key:
            told, line = book.changes_since(term, version), b"\n"
            if told["instances"] or told["reset"] or behind:
                line = msgspec.json.encode(self._told(told)) + b"\n"
            self.last = key, line
        return self.last[1]

    async def put(self, request: web.Request) -> web.StreamResponse:
        ttl_ms = read_query(request, PutQuery).ttl_ms
        entry = await read_body(request, dict[str, Any])
        name = request.match_info["name"]
        return await self._write({"op": PUT, "entry": {**entry, "instanceId": name}, "ttl_us": ttl_ms * 1000})

    async def renew(self, request: web.Request) -> web.StreamResponse:
        return await self._write({"op": RENEW, "id": request.match_info["name"]})

    async def drop(self, request: web.Request) -> web.StreamResponse:
        return await self._write({"op": DROP, "id": request.match_info["name"]})

    async def _write(self, record: LogEntry) -> web.StreamResponse:
        await self.registry.wait_replicated(self.registry.append_entry(record))
        return json_response(Written(self.book.version, self.book.term, self.registry.log_state.lineage))


def routes(registry: Registry) -> list[web.RouteDef]:
    calls = EndpointListHandlers(registry)
    one = INSTANCES_PATH + "/{name}"
    return [
        web.get(INSTANCES_PATH, calls.read),
        web.put(one, leader_only(registry, calls.put, waits_for_replication=True)),
        web.post(one + "/renew", leader_only(registry, calls.renew, waits_for_replication=True)),
        web.delete(one, leader_only(registry, calls.drop, waits_for_replication=True)),
    ]
