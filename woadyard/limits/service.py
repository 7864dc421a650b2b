"""The HTTP call that leases shares of limits, for the leader only.

`POST /registry/shares/NAME?ttl_ms=T` with `{"seq", "limit", "of", "keeps"}`
(woadyard.shared.limit_lease); `grants` in the response has the units of each resource.
"""

from __future__ import annotations

import msgspec
from aiohttp import web

from woadyard.audit.ledger import AuditState
from woadyard.limits.state import HOLD, LimitsState
from woadyard.registry.responses import error_response, json_response, leader_only, read_body, read_query
from woadyard.registry.service import Registry

SHARES_PATH = "/registry/shares/"


class HoldQuery(msgspec.Struct):
    """The query parameters of a hold."""

    ttl_ms: int


class HoldRequest(msgspec.Struct):
    """A holder's request: its sequence number, the limit, the resources, and the units it keeps."""

    seq: int
    limit: int
    of: list[str]
    keeps: dict[str, int]


class HoldResponse(msgspec.Struct):
    """The units granted, by resource."""

    grants: dict[str, int]
    lineage: str
    term: int


def routes(registry: Registry) -> list[web.RouteDef]:
    async def hold(request: web.Request) -> web.StreamResponse:
        if registry.state_machine(AuditState).is_holder_shut_out(request.match_info["name"]):
            # Its current shares expire with its lease, never earlier.
            remedy = "it gets shares again once it uses the current list"
            return error_response(409, "shut out by the audit", remedy)
        name, ttl_us = request.match_info["name"], read_query(request, HoldQuery).ttl_ms * 1000
        hold_request = await read_body(request, HoldRequest)
        fields = {
            "seq_of": hold_request.seq,
            "limit": hold_request.limit,
            "of": hold_request.of,
            "keeps": hold_request.keeps,
        }
        index = registry.append_entry({"op": HOLD, "id": name, "ttl_us": ttl_us, **fields})
        grants = registry.state_machine(LimitsState).grants(name)
        # If followers are required to have it, the next leader knows of every grant.
        await registry.wait_replicated(index)
        return json_response(HoldResponse(grants, registry.log_state.lineage, registry.log_state.term))

    registry.metrics.holders.set_function(
        lambda: registry.state_machine(LimitsState).count_holders(registry.clock_us())
    )
    return [web.post(SHARES_PATH + "{name}", leader_only(registry, hold, waits_for_replication=True))]
