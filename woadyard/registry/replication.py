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

from woadyard.registry.replicated_state import EMPTY_CHAIN
from woadyard.registry.responses import json_response, leader_only, read_query
from woadyard.registry.service import Registry
from woadyard.registry.waiters import LOG_TOPIC

LOG_PATH, TERM_PATH = "/registry/log", "/registry/term"
MAX_WAIT_S = 60.0


class LogQuery(msgspec.Struct):
    after: int
    wait: float = 0.0
    chain: str = EMPTY_CHAIN
    lineage: str = ""
    term: int = 0
    who: str = ""


class MemberStatus(msgspec.Struct):
    """Where a process of the log stands."""

    lineage: str
    term: int
    seen: int
    leads: bool
    writer: str | None
    applied: int


def routes(registry: Registry) -> list[web.RouteDef]:
    async def log(request: web.Request) -> web.StreamResponse:
        asked = read_query(request, LogQuery)
        registry.metrics.reads.labels("log").inc()
        registry.observe_term(asked.lineage, asked.term, f"a replica at {request.remote}")
        if asked.who and registry.journal.tail.chain_at(asked.after) == asked.chain:
            registry.record_replica_position(asked.who, asked.after)
        if asked.after == registry.log_state.applied_index:
            wait_s = min(MAX_WAIT_S, max(0.0, asked.wait))
            await registry.waiters.wait_until(
                LOG_TOPIC,
                lambda: registry.log_state.applied_index > asked.after or not registry.is_leader,
                wait_s,
            )
        return json_response(registry.entries_or_snapshot_after(asked.after, asked.chain, asked.lineage))

    async def term(request: web.Request) -> web.StreamResponse:
        host = registry.log_state
        told = MemberStatus(
            host.lineage,
            host.term,
            registry.highest_term,
            registry.is_leader,
            registry.leader_address,
            host.applied_index,
        )
        if registry.election is None:
            return json_response(told)
        return json_response({**msgspec.structs.asdict(told), **registry.election.status(time.monotonic())})

    return [web.get(LOG_PATH, leader_only(registry, log)), web.get(TERM_PATH, term)]
