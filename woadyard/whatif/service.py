"""The calls of the plans, at the writer.

GET  /registry/plans                 the book: in force, under way, history with errors
POST /registry/plans                 {"weights", "stages"?, "by"?}: a proposal; its revision
POST /registry/plans/REVISION/again  have it judged anew
POST /registry/plans/REVISION/force  {"reason"}: the gate asks for no verdict
POST /registry/plans/REVISION/go     let it out, through the gate
POST /registry/plans/REVISION/halt   {"reason"}: the old weights come back
POST /registry/plans/REVISION/withdraw
"""

from __future__ import annotations

from typing import Any

import msgspec
from aiohttp import web

from woadyard.audit.service import audit_service_for
from woadyard.errors import LogEntryError
from woadyard.registry.responses import Handler, json_response, leader_only, read_body
from woadyard.registry.service import Registry
from woadyard.whatif.controller import applied_revisions, list_digest
from woadyard.whatif.plans import PlansState, cutoff_hash
from woadyard.whatif.settings import Rules

PATH = "/registry/plans"


class Proposal(msgspec.Struct, forbid_unknown_fields=True):
    weights: dict[str, float]
    stages: list[float] = msgspec.field(default_factory=lambda: list(Rules().stages))
    by: str = ""


class Reason(msgspec.Struct, forbid_unknown_fields=True):
    reason: str = ""


def routes(registry: Registry) -> list[web.RouteDef]:
    def book() -> PlansState:
        return registry.state_machine(PlansState)

    def write(record: dict[str, Any]) -> web.Response:
        registry.append_entry({"book": PlansState.name, **record})
        active = book().active
        return json_response(
            {"revision": active.revision if active else None, "force": book().in_force.revision}
        )

    def revision(request: web.Request) -> int:
        raw = request.match_info["revision"]
        if not raw.isdecimal() or len(raw) > 15:
            raise LogEntryError(f"no revision: {raw[:40]!r}", "see GET /registry/plans")
        return int(raw)

    async def told(request: web.Request) -> web.StreamResponse:
        return json_response(book().dump())

    async def propose(request: web.Request) -> web.StreamResponse:
        asked = await read_body(request, Proposal)
        return write({"op": "propose", **msgspec.to_builtins(asked)})

    async def go(request: web.Request) -> web.StreamResponse:
        number, plan = revision(request), book().active
        share = plan.stages[0] if plan is not None else 1.0
        cut = cutoff_hash(number, list(applied_revisions(registry)), share)
        record = {"op": "begin", "revision": number, "list": list_digest(registry), "cut": cut}
        return write({**record, "stage": 0})

    def plain(op: str) -> Handler:
        async def handle(request: web.Request) -> web.StreamResponse:
            asked = await read_body(request, Reason) if request.can_read_body else Reason()
            return write({"op": op, "revision": revision(request), "reason": asked.reason})

        return handle

    audit_service_for(registry).monitor.directives["plan"] = lambda sidecar: book().directive(sidecar)
    found = [web.get(PATH, told), web.post(PATH, leader_only(registry, propose))]
    found.append(web.post(PATH + "/{revision}/go", leader_only(registry, go)))
    for op in ("again", "force", "halt", "withdraw"):
        found.append(web.post(f"{PATH}/{{revision}}/{op}", leader_only(registry, plain(op))))
    return found
