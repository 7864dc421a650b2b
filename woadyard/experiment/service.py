"""The calls of experiments at the list service; loaded by nothing else.

- `GET /registry/experiments`: all of them; `GET /registry/experiments/NAME`: one, with the last look.
- `POST /registry/experiments/NAME` (a `Draft` as JSON): draw it, or draw it anew before its start.
- `POST .../NAME/start`, `.../NAME/stop?why=TEXT`, `.../NAME/shares` (a JSON list, by arm),
  `.../NAME/close`.

Evidence and directives travel with the audit's reports and answers.
"""

from __future__ import annotations

import logging
from collections.abc import Sequence
from typing import Any
from weakref import WeakKeyDictionary

import msgspec
from aiohttp import web

from woadyard.audit import questions
from woadyard.audit.ledger import AuditState
from woadyard.audit.messages import Report
from woadyard.audit.position import parse
from woadyard.audit.service import audit_of
from woadyard.errors import PeerError, PlanError
from woadyard.experiment.book import CLOSE, DRAFT, EVIDENCE, RESHARE, START, ExperimentsState
from woadyard.experiment.conductor import Conductor
from woadyard.experiment.messages import read_evidence
from woadyard.experiment.rules import Decision, State
from woadyard.experiment.trial import Draft, Trial
from woadyard.registry.responses import json_response, leader_only, read_body, read_query
from woadyard.registry.service import Registry
from woadyard.registry.state_machine import LogEntry

PATH = "/registry/experiments"
SILENT_MS = 5_000  # a sidecar not heard for so long: its evidence is missing
LOG = logging.getLogger(__name__)


class Why(msgspec.Struct):
    why: str = "no reason given"


class Experiments:
    """The handlers of the calls, and what goes through the audit."""

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.conductor = Conductor(registry, self.missing, self.older)
        audit = audit_of(registry)
        audit.batches.sinks.append(self.sink)
        audit.watchman.directives["experiment"] = self.directive

    @property
    def book(self) -> ExperimentsState:
        return self.registry.state_machine(ExperimentsState)

    # --- Through the audit ------------------------------------------------------------

    def sink(self, batch: Sequence[Report]) -> list[LogEntry]:
        """The evidence in a batch of reports as one record; none where nothing is to be counted."""
        self.conductor.wake()
        active = self.book.active
        if active is None or active.state is not State.RUNNING:
            return []
        told, book = [], self.registry.state_machine(AuditState)
        for report in batch:
            if report.evidence is None:
                continue
            try:
                read_evidence(report.evidence)
            except PeerError as error:
                LOG.warning("evidence not taken", extra={"sidecar": report.name, **error.fields()})
                continue
            source = f"{report.name}@{report.run}"
            told.append([source, report.evidence, book.shut_out(report.name)])
        return [{"book": ExperimentsState.name, "op": EVIDENCE, "reports": told}] if told else []

    def directive(self, name: str) -> dict[str, Any] | None:
        told = self.book.directive()
        return None if told is None else msgspec.to_builtins(told)

    def missing(self) -> float:
        """The share of the sidecars that run whose evidence is not there."""
        book, now = self.registry.state_machine(AuditState), self.registry.clock_us() // 1000
        live = questions.live(book)
        gone = [one for one in live if now - one.heard_at > SILENT_MS or book.shut_out(one.name)]
        return len(gone) / len(live) if live else 1.0

    def older(self, revision: int) -> list[str]:
        """Sidecars that serve and don't act on this revision yet."""
        book = self.registry.state_machine(AuditState)
        live = [one for one in questions.live(book) if not book.shut_out(one.name)]
        return [one.name for one in live if parse(one.position).experiment < revision]

    # --- Calls ------------------------------------------------------------------------

    async def all(self, request: web.Request) -> web.StreamResponse:
        told = [one.told() for one in self.book.trials.values()]
        return json_response(
            {"revision": self.book.revision, "experiments": told, "forgotten": self.book.forgotten}
        )

    async def one(self, request: web.Request) -> web.StreamResponse:
        trial = self._trial(request)
        active = trial is self.book.active
        look = self.conductor.latest if active else None
        older = self.older(self.book.revision) if active else []
        return json_response({**trial.told(), "look": look, "revision": self.book.revision, "not_yet": older})

    async def draft(self, request: web.Request) -> web.StreamResponse:
        told = await read_body(request, Draft)
        return self._write(request, {"op": DRAFT, "draft": msgspec.to_builtins(told)})

    async def start(self, request: web.Request) -> web.StreamResponse:
        return self._write(request, {"op": START})

    async def close(self, request: web.Request) -> web.StreamResponse:
        return self._write(request, {"op": CLOSE})

    async def shares(self, request: web.Request) -> web.StreamResponse:
        return self._write(request, {"op": RESHARE, "shares": await read_body(request, list[float])})

    async def stop(self, request: web.Request) -> web.StreamResponse:
        why, trial = read_query(request, Why).why, self._trial(request)
        now_s = self.registry.clock_us() / 1e6
        latest = self.conductor.latest
        interval = latest.interval if latest is not None else (-1.0, 1.0)
        self.conductor.decide(trial, Decision(State.STOPPED, None, interval, why, now_s))
        return json_response(trial.told())

    def _trial(self, request: web.Request) -> Trial:
        name = request.match_info["name"]
        if (trial := self.book.trials.get(name)) is None:
            raise PlanError(f"no such experiment: {name!r}", f"see GET {PATH}")
        return trial

    def _write(self, request: web.Request, record: dict[str, Any]) -> web.StreamResponse:
        name = request.match_info["name"]
        self.registry.append_entry({"book": ExperimentsState.name, "name": name, **record})
        self.conductor.wake()
        return json_response(self.book.trials[name].told())


_ALL: WeakKeyDictionary[Registry, Experiments] = WeakKeyDictionary()


def routes(registry: Registry) -> list[web.RouteDef]:
    if registry not in _ALL:
        _ALL[registry] = Experiments(registry)
    calls, one = _ALL[registry], PATH + "/{name}"
    writes = {"": calls.draft, "/start": calls.start, "/stop": calls.stop, "/shares": calls.shares}
    writes["/close"] = calls.close
    return [
        web.get(PATH, calls.all),
        web.get(one, calls.one),
        *(web.post(one + path, leader_only(registry, handler)) for path, handler in writes.items()),
    ]
