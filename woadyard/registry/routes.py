"""The calls of the list service: those of the log, and each book's own.

A book that has calls has a `service.py` in its folder with `routes(registry)`; a new one is
named in `PARTS`. Calls that write are wrapped in `answers.at_writer`.
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
    return [route for part in ROUTE_FACTORIES for route in part(registry)]
