"""HTTP routes of the audit; loaded by the list service only.

- `POST /registry/audit/report`: receives a sidecar's `Report`, returns its `Answer`. A follower
  forwards it to the leader, so a sidecar needs to reach only one replica.
- `GET /registry/audit/acted?generation=V&...`: which sidecars acted on a version, when, and with how
  many attempts. Takes any of `lineage term generation settings plan experiment build`.
- `GET /registry/audit/at?name=X&time=MS`: what sidecar X acted on at that time; now, without `time`.
- `GET /registry/audit/gaps?name=X`: periods in which sidecar X may have acted without a report.
- `GET /registry/audit/behind`: sidecars not at the head, by how much, and whether the fleet is held.
- `GET /registry/audit/out-of-use?generation=V`: whether list V and all older ones are out of use.
- `POST /registry/audit/over?key=NAME@RUN`: an operator declares that this run has ended.

Reports received within a few ms are one log entry. A report is acknowledged once the crash of one
process cannot lose it: it is in the leader's log and, if a follower is required, in the follower's.
"""

from __future__ import annotations

from http import HTTPStatus
from weakref import WeakKeyDictionary

import msgspec
from aiohttp import web

from woadyard.audit import queries
from woadyard.audit.ledger import OVER_OP, AuditState
from woadyard.audit.messages import Report, decode_message
from woadyard.audit.monitor import FleetMonitor
from woadyard.audit.position import REPORT_PATH, Position, parse_position
from woadyard.audit.report_batcher import ReportBatcher
from woadyard.errors import PeerError
from woadyard.net.config import parse_address
from woadyard.net.fetch import FetchError, fetch
from woadyard.registry.responses import error_response, json_response, leader_only, read_query
from woadyard.registry.service import Registry

PATH = "/registry/audit"
FORWARD_TIMEOUT_S = 1.5  # below the timeout of a sidecar's report


class NameQuery(msgspec.Struct):
    """Query of the routes about one sidecar."""

    name: str


class AtQuery(msgspec.Struct):
    """Query of `at`; `time` is ms of the service's clock, now if absent."""

    name: str
    time: int | None = None


class KeyQuery(msgspec.Struct):
    """Query of `over`; `key` is NAME@RUN."""

    key: str


class AuditService:
    """The handlers of the routes, for one registry."""

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.report_batcher = ReportBatcher(registry)
        self.monitor = FleetMonitor(registry)

    @property
    def audit_state(self) -> AuditState:
        return self.registry.state_machine(AuditState)

    async def report(self, request: web.Request) -> web.StreamResponse:
        raw = await request.read()
        if self.registry.leader_address is not None:
            return await self._forward_to_leader(request, raw)
        report = decode_message(raw, Report)
        position = parse_position(report.position)
        for row in report.rows:
            if row.position:
                parse_position(row.position)
        self.registry.observe_term(position.lineage, position.term, f"a report of {report.name}")
        await self.report_batcher.write(report)
        report_answer = self.monitor.evaluate(report, position)
        report_answer.acks = self.report_batcher.safe_numbers(report)
        return json_response(report_answer)

    async def _forward_to_leader(self, request: web.Request, raw: bytes) -> web.StreamResponse:
        leader_address = self.registry.leader_address
        assert leader_address is not None
        try:
            if "sent-on" in request.query:
                raise FetchError("the process that this one follows is a follower too")
            target = f"{REPORT_PATH}?sent-on=1"
            status, response_body = await fetch(
                parse_address(leader_address), "POST", target, raw, timeout_s=FORWARD_TIMEOUT_S
            )
        except FetchError as error:
            remedy = "report to another replica; check whether the leader is running"
            return error_response(HTTPStatus.BAD_GATEWAY, f"the leader cannot be reached: {error}", remedy)
        return web.Response(status=status, body=response_body, content_type="application/json")

    async def acted(self, request: web.Request) -> web.StreamResponse:
        return json_response(
            queries.spans_acted_on(self.audit_state, queries.parse_version_filter(dict(request.query)))
        )

    async def at(self, request: web.Request) -> web.StreamResponse:
        at_query = read_query(request, AtQuery)
        time_ms = self.registry.clock_us() // 1000 if at_query.time is None else at_query.time
        return json_response(queries.state_at(self.audit_state, at_query.name, time_ms))

    async def gaps(self, request: web.Request) -> web.StreamResponse:
        return json_response(
            {"gaps": queries.reporting_gaps(self.audit_state, read_query(request, NameQuery).name)}
        )

    async def behind(self, request: web.Request) -> web.StreamResponse:
        return json_response(self.monitor.describe_behind())

    async def out_of_use(self, request: web.Request) -> web.StreamResponse:
        head = self.monitor.head_position()
        defaults = {"lineage": head.lineage, "term": str(head.term)}
        parameters = {**defaults, **request.query}
        if unknown := sorted(parameters.keys() - {"lineage", "term", "generation"}):
            raise PeerError(
                f"unknown field of a list: {unknown[0]!r}", "name a generation, and the term of an older list"
            )
        if "generation" not in parameters:
            raise PeerError("the query names no generation", "add ?generation=V")
        try:
            version = Position(parameters["lineage"], int(parameters["term"]), int(parameters["generation"]))
        except ValueError:
            raise PeerError("term and generation must be numbers", "use ?generation=V") from None
        return json_response(queries.check_out_of_use(self.audit_state, version))

    async def over(self, request: web.Request) -> web.StreamResponse:
        key = read_query(request, KeyQuery).key
        self.registry.append_entry({"book": AuditState.name, "op": OVER_OP, "key": key})
        self.monitor.fleet.forget(key)
        return json_response({"over": key})


_SERVICES: WeakKeyDictionary[Registry, AuditService] = WeakKeyDictionary()


def audit_service_for(registry: Registry) -> AuditService:
    """The service of this registry; other state machines add their directives and evidence sinks."""
    if registry not in _SERVICES:
        _SERVICES[registry] = AuditService(registry)
    return _SERVICES[registry]


def routes(registry: Registry) -> list[web.RouteDef]:
    """The routes of the audit on this registry."""
    service = audit_service_for(registry)
    return [
        web.post(REPORT_PATH, service.report),
        web.get(PATH + "/acted", service.acted),
        web.get(PATH + "/at", service.at),
        web.get(PATH + "/gaps", service.gaps),
        web.get(PATH + "/behind", leader_only(registry, service.behind)),
        web.get(PATH + "/out-of-use", service.out_of_use),
        web.post(PATH + "/over", leader_only(registry, service.over)),
    ]
