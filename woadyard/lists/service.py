"""The HTTP calls that read and write the endpoint list.

- `GET /registry/instances`: the full list, `{"generation", "reset", "instances"}`, with the
  `lineage` and `term` of the generation.
- `GET /registry/instances?index=N&wait=S`: a long poll. The same response once the version is
  greater than N, or after S seconds (at most `MAX_WAIT_S`); at once if `term=T` is another term.
- `GET /registry/instances?watch=1&from=N&term=T&lineage=L`: a watch, as in the discovery protocol.
  A chunked response whose first line is an object: the changes since N of term T, none if N is the
  current version, or the full list if that is not in this list's history, or too old. Then a line
  for each change, and an empty line every `HEARTBEAT_S` while nothing changes. An empty line
  confirms the position of the last object of this watch, so a client relies on it only after one.
- `PUT /registry/instances/ID?ttl_ms=T`: register or replace the entry (the body) with a lease of
  T ms; `POST /registry/instances/ID/renew`; `DELETE .../ID`.

A follower redirects writes to its leader (307). A follower without contact to the leader, and a
deposed leader, add `"following": false` to their responses and end their watches, so that clients
switch to another replica if they have one; a client without one keeps using this list. A write
that can't be stored on disk gets 507 and changes nothing; reads continue to work.
"""

from __future__ import annotations

from typing import Any

import msgspec
from aiohttp import web

from woadyard.lists.state import DROP, PUT, RENEW, EndpointListState
from woadyard.lists.watch import ListSource, Watch
from woadyard.registry.responses import json_response, leader_only, read_body, read_query
from woadyard.registry.service import Registry
from woadyard.registry.state_machine import LogEntry

INSTANCES_PATH = "/registry/instances"
HEARTBEAT_S, MAX_WAIT_S = 2.0, 60.0


class ListQuery(msgspec.Struct, rename={"since": "from"}):
    """The query parameters of a read, a long poll or a watch."""

    watch: int = 0
    since: int = 0
    term: int = 0
    lineage: str = ""
    index: int | None = None
    wait: float = 0.0


class PutQuery(msgspec.Struct):
    """The query parameters of a registration."""

    ttl_ms: int


class Written(msgspec.Struct):
    """The response to a write: the list's position after it."""

    generation: int
    term: int
    lineage: str


class EndpointListHandlers:
    """The handlers of the HTTP calls, for one registry."""

    def __init__(self, registry: Registry) -> None:
        self.registry, self.source = registry, ListSource(registry)
        registry.metrics.version.set_function(lambda: self.endpoint_list.version)

    @property
    def endpoint_list(self) -> EndpointListState:
        return self.source.endpoint_list

    async def read(self, request: web.Request) -> web.StreamResponse:
        list_query, metrics = read_query(request, ListQuery), self.registry.metrics
        kind = "watch" if list_query.watch else "list" if list_query.index is None else "poll"
        metrics.reads.labels(kind).inc()
        if kind == "list":
            return json_response(self.source.full_list())
        with metrics.watches.track_inprogress():
            if kind == "watch":
                return await self.watch(request, list_query)
            await self._wait_for_change(list_query.term, list_query.index or 0, list_query.wait)
        return json_response(self.source.full_list())

    async def _wait_for_change(self, term: int, version: int, wait_s: float) -> None:
        wait_s, was_outdated = min(MAX_WAIT_S, max(0.0, wait_s)), self.registry.may_be_outdated
        await self.registry.waiters.wait_until(
            EndpointListState.name,
            lambda: (
                self.endpoint_list.version > version
                or self.registry.may_be_outdated != was_outdated
                or term not in (0, self.endpoint_list.term)
            ),
            wait_s,
        )

    async def watch(self, request: web.Request, list_query: ListQuery) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        response.enable_chunked_encoding()
        await response.prepare(request)
        watch = Watch(
            self.source,
            self.source.resume_position(list_query.lineage, list_query.term, list_query.since),
        )
        while not watch.has_ended:
            # Blocks while the client does not read; the client then gets the merged changes, and
            # none of them are buffered for it.
            await response.write(watch.next_line())
            if watch.is_confirmed():
                await self.registry.waiters.wait_for_notification(EndpointListState.name, HEARTBEAT_S)
        return response

    async def put(self, request: web.Request) -> web.StreamResponse:
        ttl_ms = read_query(request, PutQuery).ttl_ms
        entry = await read_body(request, dict[str, Any])
        name = request.match_info["name"]
        return await self._append(
            {"op": PUT, "entry": {**entry, "instanceId": name}, "ttl_us": ttl_ms * 1000}
        )

    async def renew(self, request: web.Request) -> web.StreamResponse:
        return await self._append({"op": RENEW, "id": request.match_info["name"]})

    async def drop(self, request: web.Request) -> web.StreamResponse:
        return await self._append({"op": DROP, "id": request.match_info["name"]})

    async def _append(self, entry: LogEntry) -> web.StreamResponse:
        await self.registry.wait_replicated(self.registry.append_entry(entry))
        return json_response(
            Written(self.endpoint_list.version, self.endpoint_list.term, self.registry.log_state.lineage)
        )


def routes(registry: Registry) -> list[web.RouteDef]:
    handlers = EndpointListHandlers(registry)
    instance_path = INSTANCES_PATH + "/{name}"
    return [
        web.get(INSTANCES_PATH, handlers.read),
        web.put(instance_path, leader_only(registry, handlers.put, waits_for_replication=True)),
        web.post(instance_path + "/renew", leader_only(registry, handlers.renew, waits_for_replication=True)),
        web.delete(instance_path, leader_only(registry, handlers.drop, waits_for_replication=True)),
    ]
