"""The routes of the list service: those of the log, and those of each state machine.

A state machine with HTTP calls has a `service.py` in its package with `routes(registry)`, which is
listed in `ROUTE_FACTORIES`. Handlers that write are wrapped in `responses.leader_only`.
"""

from __future__ import annotations

from aiohttp import web

from woadyard.audit import service as audit
from woadyard.experiment import service as experiments
from woadyard.limits import service as limits
from woadyard.lists import service as lists
from woadyard.registry import replication
from woadyard.registry.service import Registry
from woadyard.whatif import service as plans

ROUTE_FACTORIES = (
    lists.routes,
    limits.routes,
    audit.routes,
    plans.routes,
    experiments.routes,
    replication.routes,
)


def routes(registry: Registry) -> list[web.RouteDef]:
    return [route for create_routes in ROUTE_FACTORIES for route in create_routes(registry)]
