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

from woadyard.audit import questions
from woadyard.audit.ledger import OVER, AuditState
from woadyard.audit.messages import Report, read
from woadyard.audit.position import REPORT_PATH, Position, parse
from woadyard.audit.watchman import Watchman
from woadyard.audit.writing import Batches
from woadyard.errors import PeerError
from woadyard.net.config import parse_address
from woadyard.net.fetch import FetchError, fetch
from woadyard.registry.responses import error_response, json_response, leader_only, read_query
from woadyard.registry.service import Registry

PATH = "/registry/audit"
FORWARD_S = 1.5  # less than a sidecar waits


class Named(msgspec.Struct):
    name: str


class At(msgspec.Struct):
    name: str
    time: int | None = None


class Key(msgspec.Struct):
    key: str


class Audit:
    """The handlers of the calls, on one registry."""

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.batches = Batches(registry)
        self.watchman = Watchman(registry)

    @property
    def book(self) -> AuditState:
        return self.registry.state_machine(AuditState)

    async def report(self, request: web.Request) -> web.StreamResponse:
        raw = await request.read()
        if self.registry.leader_address is not None:
            return await self._send_on(request, raw)
        report = read(raw, Report)
        position = parse(report.position)
        for row in report.rows:
            if row.position:
                parse(row.position)
        self.registry.observe_term(position.lineage, position.term, f"a report of {report.name}")
        await self.batches.write(report)
        told = self.watchman.judge(report, position)
        told.acks = self.batches.acks(report)
        return json_response(told)

    async def _send_on(self, request: web.Request, raw: bytes) -> web.StreamResponse:
        writer = self.registry.leader_address
        assert writer is not None
        try:
            if "sent-on" in request.query:
                raise FetchError("the process that this one follows is a replica too")
            target = f"{REPORT_PATH}?sent-on=1"
            status, back = await fetch(parse_address(writer), "POST", target, raw, timeout_s=FORWARD_S)
        except FetchError as error:
            remedy = "report to another replica; see whether the writer runs"
            return error_response(HTTPStatus.BAD_GATEWAY, f"the writer is not reached: {error}", remedy)
        return web.Response(status=status, body=back, content_type="application/json")

    async def acted(self, request: web.Request) -> web.StreamResponse:
        return json_response(questions.who_acted(self.book, questions.version_of(dict(request.query))))

    async def at(self, request: web.Request) -> web.StreamResponse:
        asked = read_query(request, At)
        when = self.registry.clock_us() // 1000 if asked.time is None else asked.time
        return json_response(questions.at(self.book, asked.name, when))

    async def gaps(self, request: web.Request) -> web.StreamResponse:
        return json_response({"gaps": questions.gaps(self.book, read_query(request, Named).name)})

    async def behind(self, request: web.Request) -> web.StreamResponse:
        return json_response(self.watchman.behind())

    async def out_of_use(self, request: web.Request) -> web.StreamResponse:
        head = self.watchman.head()
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
        return json_response(questions.out_of_use(self.book, version))

    async def over(self, request: web.Request) -> web.StreamResponse:
        key = read_query(request, Key).key
        self.registry.append_entry({"book": AuditState.name, "op": OVER, "key": key})
        self.watchman.fleet.forget(key)
        return json_response({"over": key})


_AUDITS: WeakKeyDictionary[Registry, Audit] = WeakKeyDictionary()


def audit_of(registry: Registry) -> Audit:
    """The one of this registry: other books' services give it directives and take evidence."""
    if registry not in _AUDITS:
        _AUDITS[registry] = Audit(registry)
    return _AUDITS[registry]


def routes(registry: Registry) -> list[web.RouteDef]:
    calls = audit_of(registry)
    return [
        web.post(REPORT_PATH, calls.report),
        web.get(PATH + "/acted", calls.acted),
        web.get(PATH + "/at", calls.at),
        web.get(PATH + "/gaps", calls.gaps),
        web.get(PATH + "/behind", leader_only(registry, calls.behind)),
        web.get(PATH + "/out-of-use", calls.out_of_use),
        web.post(PATH + "/over", leader_only(registry, calls.over)),
    ]
