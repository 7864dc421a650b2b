"""HTTP routes of plans; those that write run on the leader.

- `GET /registry/plans`: the weights in force, the plan under way, and closed plans with their
  forecast errors.
- `POST /registry/plans` `{"weights", "stages"?, "by"?}`: proposes a plan, returns its revision.
- `POST /registry/plans/REVISION/again`: discards the verdict and evaluates the plan again.
- `POST /registry/plans/REVISION/force` `{"reason"}`: lets the plan begin without a passing verdict.
- `POST /registry/plans/REVISION/go`: begins the rollout, if the gate allows it.
- `POST /registry/plans/REVISION/halt` `{"reason"}`: stops the rollout and restores the previous weights.
- `POST /registry/plans/REVISION/withdraw` `{"reason"?}`: closes a plan that has not begun.
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
    """Body of a proposal; `by` names the operator or the tool that proposes."""

    weights: dict[str, float]
    stages: list[float] = msgspec.field(default_factory=lambda: list(Rules().stages))
    by: str = ""


class Reason(msgspec.Struct, forbid_unknown_fields=True):
    """Body of the requests that close or force a plan."""

    reason: str = ""


def routes(registry: Registry) -> list[web.RouteDef]:
    """Return the routes, and let the audit's responses carry the plan directive of each sidecar."""

    def plans() -> PlansState:
        return registry.state_machine(PlansState)

    def write_entry(entry: dict[str, Any]) -> web.Response:
        registry.append_entry({"book": PlansState.name, **entry})
        active = plans().active
        return json_response(
            {"revision": active.revision if active else None, "force": plans().in_force.revision}
        )

    def read_revision(request: web.Request) -> int:
        raw = request.match_info["revision"]
        if not raw.isdecimal() or len(raw) > 15:
            raise LogEntryError(f"invalid revision in the path: {raw[:40]!r}", "see GET /registry/plans")
        return int(raw)

    async def get_plans(request: web.Request) -> web.StreamResponse:
        return json_response(plans().dump())

    async def propose(request: web.Request) -> web.StreamResponse:
        proposal = await read_body(request, Proposal)
        return write_entry({"op": "propose", **msgspec.to_builtins(proposal)})

    async def begin_rollout(request: web.Request) -> web.StreamResponse:
        plan_revision, plan = read_revision(request), plans().active
        share = plan.stages[0] if plan is not None else 1.0
        cutoff = cutoff_hash(plan_revision, list(applied_revisions(registry)), share)
        entry = {"op": "begin", "revision": plan_revision, "list": list_digest(registry), "cut": cutoff}
        return write_entry({**entry, "stage": 0})

    def operation_handler(op: str) -> Handler:
        async def handle(request: web.Request) -> web.StreamResponse:
            body = await read_body(request, Reason) if request.can_read_body else Reason()
            return write_entry({"op": op, "revision": read_revision(request), "reason": body.reason})

        return handle

    audit_service_for(registry).monitor.directives["plan"] = lambda sidecar: plans().directive(sidecar)
    definitions = [web.get(PATH, get_plans), web.post(PATH, leader_only(registry, propose))]
    definitions.append(web.post(PATH + "/{revision}/go", leader_only(registry, begin_rollout)))
    for op in ("again", "force", "halt", "withdraw"):
        definitions.append(
            web.post(f"{PATH}/{{revision}}/{op}", leader_only(registry, operation_handler(op)))
        )
    return definitions
