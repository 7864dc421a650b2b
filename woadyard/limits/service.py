"""The call that leases shares of limits, at the writer.

`POST /registry/shares/NAME?ttl_ms=T` with `{"seq", "limit", "of", "keeps"}`
(woadyard.shared.limit_lease); `{"grants"}` says how much of each.
"""

from __future__ import annotations

import msgspec
from aiohttp import web

from woadyard.audit.ledger import AuditBook
from woadyard.limits.book import HOLD, LimitsBook
from woadyard.registry.answers import answer, at_writer, body, query, refusal
from woadyard.registry.service import Registry

SHARES_PATH = "/registry/shares/"


class HoldQuery(msgspec.Struct):
    ttl_ms: int


class Hold(msgspec.Struct):
    """A holder's call: its number, the limit, the resources, and what it keeps of them."""

    seq: int
    limit: int
    of: list[str]
    keeps: dict[str, int]


class Granted(msgspec.Struct):
    grants: dict[str, int]
    lineage: str
    term: int


def routes(registry: Registry) -> list[web.RouteDef]:
    async def hold(request: web.Request) -> web.StreamResponse:
        if registry.book(AuditBook).is_holder_shut_out(request.match_info["name"]):
            # What it holds lapses with its lease, never earlier.
            remedy = "it gets shares again once it acts on the list of by now"
            return refusal(409, "shut out by the audit", remedy)
        name, ttl_us = request.match_info["name"], query(request, HoldQuery).ttl_ms * 1000
        asked = await body(request, Hold)
        call = {"seq_of": asked.seq, "limit": asked.limit, "of": asked.of, "keeps": asked.keeps}
        index = registry.commit({"op": HOLD, "id": name, "ttl_us": ttl_us, **call})
        grants = registry.book(LimitsBook).grants(name)
        # With copies asked for, what is granted is known to whoever takes the writer's place.
        await registry.settle(index)
        return answer(Granted(grants, registry.host.lineage, registry.host.term))

    registry.counts.holders.set_function(lambda: registry.book(LimitsBook).holders(registry.clock()))
    return [web.post(SHARES_PATH + "{name}", at_writer(registry, hold, settles=True))]
