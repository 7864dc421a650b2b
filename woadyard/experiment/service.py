"""HTTP API of experiments at the list service; no other process imports it.

- `GET /registry/experiments`: all experiments.
- `GET /registry/experiments/NAME`: one experiment, with the last look at its evidence.
- `POST /registry/experiments/NAME` (a `Draft` as JSON): create it, or replace it before its start.
- `POST .../NAME/start`, `.../NAME/stop?why=TEXT`, `.../NAME/shares` (a JSON list, by arm),
  `.../NAME/close`.

Evidence is received with the reports to the audit, and directives are sent with its responses.
"""

from __future__ import annotations

import logging
from collections.abc import Sequence
from typing import Any
from weakref import WeakKeyDictionary

import msgspec
from aiohttp import web

from woadyard.audit import queries
from woadyard.audit.ledger import AuditState
from woadyard.audit.messages import Report
from woadyard.audit.position import parse_position
from woadyard.audit.service import audit_service_for
from woadyard.errors import PeerError, PlanError
from woadyard.experiment.controller import ExperimentController
from woadyard.experiment.experiment import Draft, Experiment
from woadyard.experiment.messages import read_evidence
from woadyard.experiment.state_machine import CLOSE, DRAFT, EVIDENCE, RESHARE, START, ExperimentsState
from woadyard.experiment.states import Decision, State
from woadyard.registry.responses import json_response, leader_only, read_body, read_query
from woadyard.registry.service import Registry
from woadyard.registry.state_machine import LogEntry

PATH = "/registry/experiments"
REPORT_TIMEOUT_MS = 5_000  # evidence of a sidecar without a report for longer is missing
LOG = logging.getLogger(__name__)


class StopRequest(msgspec.Struct):
    """Query parameters of a stop."""

    why: str = "no reason given"


class ExperimentsApi:
    """Handles the HTTP requests, and the evidence and directives that pass through the audit."""

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.controller = ExperimentController(registry, self.missing_share, self.sidecars_behind)
        audit = audit_service_for(registry)
        audit.report_batcher.sinks.append(self.evidence_entries)
        audit.monitor.directives["experiment"] = self.encoded_directive

    @property
    def experiments_state(self) -> ExperimentsState:
        return self.registry.state_machine(ExperimentsState)

    # --- Evidence and directives ------------------------------------------------------

    def evidence_entries(self, batch: Sequence[Report]) -> list[LogEntry]:
        """Return the evidence of a batch of reports as one log entry; none if there is nothing to count."""
        self.controller.ensure_running()
        active = self.experiments_state.active
        if active is None or active.state is not State.RUNNING:
            return []
        reports, audit_state = [], self.registry.state_machine(AuditState)
        for report in batch:
            if report.evidence is None:
                continue
            try:
                read_evidence(report.evidence)
            except PeerError as error:
                LOG.warning("evidence rejected", extra={"sidecar": report.name, **error.fields()})
                continue
            source = f"{report.name}@{report.run}"
            reports.append([source, report.evidence, audit_state.is_shut_out(report.name)])
        return [{"book": ExperimentsState.name, "op": EVIDENCE, "reports": reports}] if reports else []

    def encoded_directive(self, name: str) -> dict[str, Any] | None:
        current_directive = self.experiments_state.directive()
        return None if current_directive is None else msgspec.to_builtins(current_directive)

    def missing_share(self) -> float:
        """Return the share of the live sidecars whose evidence is missing; 1 if there are none."""
        audit_state, now_ms = self.registry.state_machine(AuditState), self.registry.clock_us() // 1000
        live_sidecars = queries.live_runs(audit_state)
        missing = [
            sidecar
            for sidecar in live_sidecars
            if now_ms - sidecar.heard_at > REPORT_TIMEOUT_MS or audit_state.is_shut_out(sidecar.name)
        ]
        return len(missing) / len(live_sidecars) if live_sidecars else 1.0

    def sidecars_behind(self, revision: int) -> list[str]:
        """Return the names of serving sidecars that don't act on this revision yet."""
        audit_state = self.registry.state_machine(AuditState)
        serving = [
            sidecar for sidecar in queries.live_runs(audit_state) if not audit_state.is_shut_out(sidecar.name)
        ]
        return [sidecar.name for sidecar in serving if parse_position(sidecar.position).experiment < revision]

    # --- Requests ---------------------------------------------------------------------

    async def list_experiments(self, request: web.Request) -> web.StreamResponse:
        summaries = [experiment.summary() for experiment in self.experiments_state.experiments.values()]
        return json_response(
            {
                "revision": self.experiments_state.revision,
                "experiments": summaries,
                "forgotten": self.experiments_state.discarded,
            }
        )

    async def get_experiment(self, request: web.Request) -> web.StreamResponse:
        experiment = self._find_experiment(request)
        is_active = experiment is self.experiments_state.active
        last_look = self.controller.latest_decision(experiment) if is_active else None
        not_applied = self.sidecars_behind(self.experiments_state.revision) if is_active else []
        return json_response(
            {
                **experiment.summary(),
                "look": last_look,
                "revision": self.experiments_state.revision,
                "not_yet": not_applied,
            }
        )

    async def create_draft(self, request: web.Request) -> web.StreamResponse:
        submitted = await read_body(request, Draft)
        return self._commit(request, {"op": DRAFT, "draft": msgspec.to_builtins(submitted)})

    async def start(self, request: web.Request) -> web.StreamResponse:
        return self._commit(request, {"op": START})

    async def close(self, request: web.Request) -> web.StreamResponse:
        return self._commit(request, {"op": CLOSE})

    async def change_shares(self, request: web.Request) -> web.StreamResponse:
        return self._commit(request, {"op": RESHARE, "shares": await read_body(request, list[float])})

    async def stop(self, request: web.Request) -> web.StreamResponse:
        reason, experiment = read_query(request, StopRequest).why, self._find_experiment(request)
        now_s = self.registry.clock_us() / 1e6
        last_look = self.controller.latest_decision(experiment)
        interval = last_look.interval if last_look is not None else (-1.0, 1.0)
        self.controller.commit_decision(experiment, Decision(State.STOPPED, None, interval, reason, now_s))
        return json_response(experiment.summary())

    def _find_experiment(self, request: web.Request) -> Experiment:
        name = request.match_info["name"]
        if (experiment := self.experiments_state.experiments.get(name)) is None:
            raise PlanError(f"no such experiment: {name!r}", f"see GET {PATH}")
        return experiment

    def _commit(self, request: web.Request, entry: dict[str, Any]) -> web.StreamResponse:
        name = request.match_info["name"]
        self.registry.append_entry({"book": ExperimentsState.name, "name": name, **entry})
        self.controller.ensure_running()
        return json_response(self.experiments_state.experiments[name].summary())


# One for each registry: its controller holds the state of the interim analysis.
_APIS: WeakKeyDictionary[Registry, ExperimentsApi] = WeakKeyDictionary()


def routes(registry: Registry) -> list[web.RouteDef]:
    if registry not in _APIS:
        _APIS[registry] = ExperimentsApi(registry)
    api, experiment_path = _APIS[registry], PATH + "/{name}"
    write_handlers = {
        "": api.create_draft,
        "/start": api.start,
        "/stop": api.stop,
        "/shares": api.change_shares,
    }
    write_handlers["/close"] = api.close
    return [
        web.get(PATH, api.list_experiments),
        web.get(experiment_path, api.get_experiment),
        *(
            web.post(experiment_path + path, leader_only(registry, handler))
            for path, handler in write_handlers.items()
        ),
    ]
