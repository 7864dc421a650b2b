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
from woadyard.experiment.book import ExperimentsState
from woadyard.experiment.controller import ExperimentController
from woadyard.experiment.experiment import Draft, Experiment
from woadyard.experiment.messages import read_evidence
from woadyard.experiment.state_machine import CLOSE, DRAFT, EVIDENCE, RESHARE, START, ExperimentsBook
from woadyard.experiment.states import Decision, State
from woadyard.registry.responses import json_response, leader_only, read_body, read_query
from woadyard.registry.service import Registry
from woadyard.registry.state_machine import LogEntry

PATH = "/registry/experiments"
REPORT_TIMEOUT_MS = 5_000  # a sidecar not heard for so long: its evidence is missing
LOG = logging.getLogger(__name__)


class StopRequest(msgspec.Struct):
    why: str = "no reason given"


class ExperimentsApi:
    """The handlers of the calls, and what goes through the audit."""

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.controller = ExperimentController(registry, self.missing_share, self.sidecars_behind)
        audit = audit_of(registry)
        audit.batches.sinks.append(self.evidence_records)
        audit.watchman.directives["experiment"] = self.encoded_directive

    @property
    def experiments_state(self) -> ExperimentsState:
        return self.registry.state_machine(ExperimentsState)

    # --- Through the audit ------------------------------------------------------------

    def evidence_records(self, batch: Sequence[Report]) -> list[LogEntry]:
        """The evidence in a batch of reports as one record; none where nothing is to be counted."""
        self.controller.ensure_running()
        active = self.experiments_state.active
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

    def encoded_directive(self, name: str) -> dict[str, Any] | None:
        told = self.experiments_state.directive()
        return None if told is None else msgspec.to_builtins(told)

    def missing_share(self) -> float:
        """The share of the sidecars that run whose evidence is not there."""
        book, now = self.registry.state_machine(AuditState), self.registry.clock_us() // 1000
        live = questions.live(book)
        gone = [one for one in live if now - one.heard_at > REPORT_TIMEOUT_MS or book.shut_out(one.name)]
        return len(gone) / len(live) if live else 1.0

    def sidecars_behind(self, revision: int) -> list[str]:
        """Sidecars that serve and don't act on this revision yet."""
        book = self.registry.state_machine(AuditState)
        live = [one for one in questions.live(book) if not book.shut_out(one.name)]
        return [one.name for one in live if parse(one.position).experiment < revision]

    # --- Calls ------------------------------------------------------------------------

    async def list_experiments(self, request: web.Request) -> web.StreamResponse:
        told = [one.summary() for one in self.experiments_state.experiments.values()]
        return json_response(
            {
                "revision": self.experiments_state.revision,
                "experiments": told,
                "forgotten": self.experiments_state.discarded,
            }
        )

    async def get_experiment(self, request: web.Request) -> web.StreamResponse:
        trial = self._find_experiment(request)
        active = trial is self.experiments_state.active
        look = self.controller.latest_decision if active else None
        older = self.sidecars_behind(self.experiments_state.revision) if active else []
        return json_response(
            {**trial.summary(), "look": look, "revision": self.experiments_state.revision, "not_yet": older}
        )

    async def create_draft(self, request: web.Request) -> web.StreamResponse:
        told = await read_body(request, Draft)
        return self._commit(request, {"op": DRAFT, "draft": msgspec.to_builtins(told)})

    async def start(self, request: web.Request) -> web.StreamResponse:
        return self._commit(request, {"op": START})

    async def close(self, request: web.Request) -> web.StreamResponse:
        return self._commit(request, {"op": CLOSE})

    async def change_shares(self, request: web.Request) -> web.StreamResponse:
        return self._commit(request, {"op": RESHARE, "shares": await read_body(request, list[float])})

    async def stop(self, request: web.Request) -> web.StreamResponse:
        why, trial = read_query(request, StopRequest).why, self._find_experiment(request)
        now_s = self.registry.clock_us() / 1e6
        latest = self.controller.latest_decision
        interval = latest.interval if latest is not None else (-1.0, 1.0)
        self.controller.commit_decision(trial, Decision(State.STOPPED, None, interval, why, now_s))
        return json_response(trial.summary())

    def _find_experiment(self, request: web.Request) -> Experiment:
        name = request.match_info["name"]
        if (trial := self.experiments_state.experiments.get(name)) is None:
            raise PlanError(f"no such experiment: {name!r}", f"see GET {PATH}")
        return trial

    def _commit(self, request: web.Request, record: dict[str, Any]) -> web.StreamResponse:
        name = request.match_info["name"]
        self.registry.append_entry({"book": ExperimentsState.name, "name": name, **record})
        self.controller.ensure_running()
        return json_response(self.experiments_state.experiments[name].summary())


_APIS: WeakKeyDictionary[Registry, ExperimentsApi] = WeakKeyDictionary()


def routes(registry: Registry) -> list[web.RouteDef]:
    if registry not in _APIS:
        _APIS[registry] = ExperimentsApi(registry)
    calls, one = _APIS[registry], PATH + "/{name}"
    writes = {
        "": calls.create_draft,
        "/start": calls.start,
        "/stop": calls.stop,
        "/shares": calls.change_shares,
    }
    writes["/close"] = calls.close
    return [
        web.get(PATH, calls.list_experiments),
        web.get(one, calls.get_experiment),
        *(web.post(one + path, leader_only(registry, handler)) for path, handler in writes.items()),
    ]
