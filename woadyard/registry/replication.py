"""The calls between the processes of one log: its records, and who leads.

- `GET /registry/log?after=INDEX&chain=HASH&wait=S&lineage=L&term=T&who=NAME`: for replicas, the
  records past INDEX, or the state whole where HASH is not this log's there; once there is
  one, or after S seconds. T is the greatest term that the replica heard of, NAME its own.
- `GET /registry/term`: who leads, `{"lineage", "term", "seen", "leads", "writer"}`; where its
  members elect, with `role`, `standing` and the other `members` besides.
"""

from __future__ import annotations

import time

import msgspec
from aiohttp import web

from woadyard.registry.answers import answer, at_writer, query
from woadyard.registry.host import NO_CHAIN
from woadyard.registry.service import Registry
from woadyard.registry.waiters import LOG_TOPIC

LOG_PATH, TERM_PATH = "/registry/log", "/registry/term"
WAIT_MOST_S = 60.0


class LogQuery(msgspec.Struct):
    after: int
    wait: float = 0.0
    chain: str = NO_CHAIN
    lineage: str = ""
    term: int = 0
    who: str = ""


class Standing(msgspec.Struct):
    """Where a process of the log stands."""

    lineage: str
    term: int
    seen: int
    leads: bool
    writer: str | None
    applied: int


def routes(registry: Registry) -> list[web.RouteDef]:
    async def log(request: web.Request) -> web.StreamResponse:
        asked = query(request, LogQuery)
        registry.counts.reads.labels("log").inc()
        registry.hear(asked.lineage, asked.term, f"a replica at {request.remote}")
        if asked.who and registry.journal.tail.chain_at(asked.after) == asked.chain:
            registry.proven(asked.who, asked.after)
        if asked.after == registry.host.applied:
            wait_s = min(WAIT_MOST_S, max(0.0, asked.wait))
            await registry.waiters.until(
                LOG_TOPIC, lambda: registry.host.applied > asked.after or not registry.leads, wait_s
            )
        return answer(registry.log_after(asked.after, asked.chain, asked.lineage))

    async def term(request: web.Request) -> web.StreamResponse:
        host = registry.host
        told = Standing(host.lineage, host.term, registry.seen, registry.leads, registry.writer, host.applied)
        if registry.election is None:
            return answer(told)
        return answer({**msgspec.structs.asdict(told), **registry.election.status(time.monotonic())})

    return [web.get(LOG_PATH, at_writer(registry, log)), web.get(TERM_PATH, term)]
