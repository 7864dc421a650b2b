"""The calls between the members of one log: fetching entries, and finding the leader.

- `GET /registry/log?after=INDEX&chain=HASH&wait=S&lineage=L&term=T&who=NAME`: for followers. Returns
  the entries after INDEX, or the whole state if HASH is not this log's hash there; as soon as there
  is an entry, or after S seconds. T is the greatest term that the follower observed, NAME its id.
- `GET /registry/term`: the leader, `{"lineage", "term", "seen", "leads", "writer"}`; with elections
  also `role`, `standing` and the other `members`.
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
    """The query parameters of a poll; `wait` is in s, `who` the id of the follower."""

    after: int
    wait: float = 0.0
    chain: str = EMPTY_CHAIN
    lineage: str = ""
    term: int = 0
    who: str = ""


class MemberStatus(msgspec.Struct):
    """The terms and the position of a member of the log, and whether it is the leader."""

    lineage: str
    term: int
    seen: int
    leads: bool
    writer: str | None
    applied: int


def routes(registry: Registry) -> list[web.RouteDef]:
    async def read_log(request: web.Request) -> web.StreamResponse:
        log_query = read_query(request, LogQuery)
        registry.metrics.reads.labels("log").inc()
        registry.observe_term(log_query.lineage, log_query.term, f"a follower at {request.remote}")
        if log_query.who and registry.journal.tail.chain_at(log_query.after) == log_query.chain:
            registry.record_follower_position(log_query.who, log_query.after)
        if log_query.after == registry.log_state.applied_index:
            wait_s = min(MAX_WAIT_S, max(0.0, log_query.wait))
            await registry.waiters.wait_until(
                LOG_TOPIC,
                lambda: registry.log_state.applied_index > log_query.after or not registry.is_leader,
                wait_s,
            )
        return json_response(
            registry.entries_or_snapshot_after(log_query.after, log_query.chain, log_query.lineage)
        )

    async def read_term(request: web.Request) -> web.StreamResponse:
        log_state = registry.log_state
        status = MemberStatus(
            log_state.lineage,
            log_state.term,
            registry.highest_term,
            registry.is_leader,
            registry.leader_address,
            log_state.applied_index,
        )
        if registry.election is None:
            return json_response(status)
        return json_response({**msgspec.structs.asdict(status), **registry.election.status(time.monotonic())})

    return [web.get(LOG_PATH, leader_only(registry, read_log)), web.get(TERM_PATH, read_term)]
