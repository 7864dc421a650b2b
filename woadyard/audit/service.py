"""The calls of the audit at the list service; loaded by nothing else.

- `POST /registry/audit/report`: a sidecar's `Report`; its `Answer`. Any replica takes it and sends
  it on to the writer, so a sidecar need reach only one.
- `GET /registry/audit/acted?generation=V&...`: who acted on a version, from when to when, with how
  many attempts. Any of `lineage term generation settings plan experiment build`.
- `GET /registry/audit/at?name=X&time=MS`: what X acted on then; without `time`, now.
- `GET /registry/audit/gaps?name=X`: when X may have acted and nobody heard.
- `GET /registry/audit/behind`: who is not at the head, by how much; and whether the fleet is held.
- `GET /registry/audit/out-of-use?generation=V`: whether list V and all before it are out of use.
- `POST /registry/audit/over?key=NAME@RUN`: an operator knows that this run is gone.

Reports that come within some ms are one record. A number is acked once no crash of one process
can lose it: it is in the writer's log, and where a replica follows, in the replica's too.
"""

from __future__ import annotations

from http import HTTPStatus
from weakref import WeakKeyDictionary

import msgspec
from aiohttp import web

from woadyard.audit import queries
from woadyard.audit.ledger import OVER_OP, AuditBook
from woadyard.audit.messages import Report, decode_message
from woadyard.audit.monitor import FleetMonitor
from woadyard.audit.position import REPORT_PATH, Position, parse_position
from woadyard.audit.report_batcher import ReportBatcher
from woadyard.errors import PeerError
from woadyard.net.config import parse_address
from woadyard.net.fetch import FetchError, fetch
from woadyard.registry.answers import answer, at_writer, query, refusal
from woadyard.registry.service import Registry

PATH = "/registry/audit"
FORWARD_TIMEOUT_S = 1.5  # less than a sidecar waits


class NameQuery(msgspec.Struct):
    name: str


class AtQuery(msgspec.Struct):
    name: str
    time: int | None = None


class KeyQuery(msgspec.Struct):
    key: str


class AuditService:
    """The handlers of the calls, on one registry."""

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.report_batcher = ReportBatcher(registry)
        self.monitor = FleetMonitor(registry)

    @property
    def book(self) -> AuditBook:
        return self.registry.book(AuditBook)

    async def report(self, request: web.Request) -> web.StreamResponse:
        raw = await request.read()
        if self.registry.writer is not None:
            return await self._forward_to_leader(request, raw)
        report = decode_message(raw, Report)
        position = parse_position(report.position)
        for row in report.rows:
            if row.position:
                parse_position(row.position)
        self.registry.hear(position.lineage, position.term, f"a report of {report.name}")
        await self.report_batcher.write(report)
        told = self.monitor.evaluate(report, position)
        told.acks = self.report_batcher.safe_numbers(report)
        return answer(told)

    async def _forward_to_leader(self, request: web.Request, raw: bytes) -> web.StreamResponse:
        writer = self.registry.writer
        assert writer is not None
        try:
            if "sent-on" in request.query:
                raise FetchError("the process that this one follows is a replica too")
            target = f"{REPORT_PATH}?sent-on=1"
            status, back = await fetch(
                parse_address(writer), "POST", target, raw, timeout_s=FORWARD_TIMEOUT_S
            )
        except FetchError as error:
            remedy = "report to another replica; see whether the writer runs"
            return refusal(HTTPStatus.BAD_GATEWAY, f"the writer is not reached: {error}", remedy)
        return web.Response(status=status, body=back, content_type="application/json")

    async def acted(self, request: web.Request) -> web.StreamResponse:
        return answer(queries.spans_acted_on(self.book, queries.parse_version_filter(dict(request.query))))

    async def at(self, request: web.Request) -> web.StreamResponse:
        asked = query(request, AtQuery)
        when = self.registry.clock() // 1000 if asked.time is None else asked.time
        return answer(queries.state_at(self.book, asked.name, when))

    async def gaps(self, request: web.Request) -> web.StreamResponse:
        return answer({"gaps": queries.reporting_gaps(self.book, query(request, NameQuery).name)})

    async def behind(self, request: web.Request) -> web.StreamResponse:
        return answer(self.monitor.describe_behind())

    async def out_of_use(self, request: web.Request) -> web.StreamResponse:
        head = self.monitor.head_position()
        defaults = {"lineage": head.lineage, "term": str(head.term)}
        told = {**defaults, **request.query}
        if strange := sorted(told.keys() - {"lineage", "term", "generation"}):
            raise PeerError(f"a list has no {strange[0]!r}", "ask by generation, and term where it is old")
        if "generation" not in told:
            raise PeerError("no generation is named", "ask for ?generation=V")
        try:
            version = Position(told["lineage"], int(told["term"]), int(told["generation"]))
        except ValueError:
            raise PeerError("a term and a generation are numbers", "ask for ?generation=V") from None
        return answer(queries.check_out_of_use(self.book, version))

    async def over(self, request: web.Request) -> web.StreamResponse:
        key = query(request, KeyQuery).key
        self.registry.commit({"book": AuditBook.name, "op": OVER_OP, "key": key})
        self.monitor.fleet.forget(key)
        return answer({"over": key})


_SERVICES: WeakKeyDictionary[Registry, AuditService] = WeakKeyDictionary()


def audit_service_for(registry: Registry) -> AuditService:
    """The one of this registry: other books' services give it directives and take evidence."""
    if registry not in _SERVICES:
        _SERVICES[registry] = AuditService(registry)
    return _SERVICES[registry]


def routes(registry: Registry) -> list[web.RouteDef]:
    calls = audit_service_for(registry)
    return [
        web.post(REPORT_PATH, calls.report),
        web.get(PATH + "/acted", calls.acted),
        web.get(PATH + "/at", calls.at),
        web.get(PATH + "/gaps", calls.gaps),
        web.get(PATH + "/behind", at_writer(registry, calls.behind)),
        web.get(PATH + "/out-of-use", calls.out_of_use),
        web.post(PATH + "/over", at_writer(registry, calls.over)),
    ]
