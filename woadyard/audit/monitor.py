"""Compares each report with the head of the list and decides what its answer must include."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from prometheus_client import Counter, Gauge

from woadyard.audit import queries
from woadyard.audit.ledger import STATE_OP, AuditState
from woadyard.audit.messages import Answer, Report
from woadyard.audit.position import Position
from woadyard.audit.straggler import CURRENT, SHUT_OUT, Fleet, HeadHistory, StragglerRules, TrackedRun
from woadyard.errors import WoadyardError
from woadyard.lists.state import EndpointListState
from woadyard.registry.service import Registry

# Returns the full directive `{"revision": R, ...}` for the sidecar of this name; None if there is none.
Directive = Callable[[str], dict[str, Any] | None]
HOLD_REMEDY = "check the list service and the network links of its replicas"
LOG = logging.getLogger(__name__)


class FleetMonitor:
    """Tracks which sidecars are behind the list or a directive, on the leader.

    `directives` are the instructions of other state machines to sidecars, by kind (`plan` and
    `experiment`); a sidecar may be behind a directive just as it may be behind a list. Only the
    set of runs that are shut out is replicated: a new leader adopts it and rebuilds the rest.
    """

    def __init__(self, registry: Registry, rules: StragglerRules | None = None) -> None:
        self.registry, self.rules = registry, rules or registry.straggler_rules
        self.directives: dict[str, Directive] = {}
        self.term = -1
        self.fleet, self.heads = Fleet(self.rules), HeadHistory()
        self.directives_due: dict[tuple[str, str], tuple[int, int]] = {}  # (run, kind): revision, since ms
        self.head_watch: asyncio.Task[None] | None = None
        self.was_held = False
        counts = registry.metrics.collector_registry
        self.hold_gauge = Gauge(
            "registry_audit_held", "1 while too many sidecars are behind to shut any out", registry=counts
        )
        self.state_gauge = Gauge("registry_audit_sidecars", "Sidecars by state", ["state"], registry=counts)
        self.state_changes = Counter(
            "registry_audit_moves", "State changes of sidecars", ["to"], registry=counts
        )
        self.state_gauge.labels("shut out").set_function(lambda: len(self.audit_state.shut_out_names()))
        self.state_gauge.labels("behind").set_function(lambda: len(self.describe_behind()["behind"]))
        self.state_gauge.labels("live").set_function(lambda: len(queries.live_runs(self.audit_state)))

    @property
    def audit_state(self) -> AuditState:
        return self.registry.state_machine(AuditState)

    def now_ms(self) -> int:
        """The current time of the registry's clock."""
        return self.registry.clock_us() // 1000

    def head_position(self) -> Position:
        """The position of the current list."""
        log_state, endpoint_list = self.registry.log_state, self.registry.state_machine(EndpointListState)
        return Position(log_state.lineage, endpoint_list.term, endpoint_list.version)

    def evaluate(self, report: Report, position: Position) -> Answer:
        """The answer to a report that was written to the log, without its acks."""
        now_ms = self.now_ms()
        self._refresh_head(now_ms)
        key = f"{report.name}@{report.run}"
        directives = {kind: directive_for(report.name) for kind, directive_for in self.directives.items()}
        lag_ms = self.heads.replaced_for_ms(position, now_ms)
        for kind, directive in directives.items():
            lag_ms = max(lag_ms, self._directive_lag_ms(key, kind, directive, position, now_ms))
        if (run := self.audit_state.runs.get(key)) is not None:
            lag_ms = min(lag_ms, max(0, now_ms - run.base))  # at most the age of the run
        answer = Answer([], out=self.audit_state.shut_out_names())
        if report.final:
            self.fleet.forget(key)
            return answer
        tracked = self.fleet.record_report(key, lag_ms, now_ms)
        includes_list = tracked.begin_bring_up()
        self._record_state_changes(key, now_ms)
        answer.state = tracked.state
        answer.head = self.heads.head.to_text() if tracked.state != CURRENT else ""
        if includes_list and position.is_older_than(self.heads.head):
            answer.whole = self.full_list()
        for kind, directive in directives.items():
            if directive is not None and directive["revision"] != getattr(position, kind):
                setattr(answer, kind, directive)
        return answer

    def full_list(self) -> dict[str, Any]:
        """The current list, with its lineage."""
        return {
            **self.registry.state_machine(EndpointListState).listing(),
            "lineage": self.registry.log_state.lineage,
        }

    def _directive_lag_ms(
        self, key: str, kind: str, directive: dict[str, Any] | None, position: Position, now_ms: int
    ) -> int:
        """For how many ms this leader has seen the sidecar act on another revision than its directive's."""
        if directive is None or getattr(position, kind) == directive["revision"]:
            self.directives_due.pop((key, kind), None)
            return 0
        revision, since_ms = self.directives_due.get((key, kind), (None, now_ms))
        if revision != directive["revision"]:
            since_ms = now_ms
        self.directives_due[key, kind] = directive["revision"], since_ms
        return now_ms - since_ms

    def _refresh_head(self, now_ms: int) -> None:
        """Record the current head; discard all tracked state if this process began a new term."""
        if self.term != self.registry.log_state.term:
            self.term = self.registry.log_state.term
            self.fleet, self.heads = Fleet(self.rules), HeadHistory()
            self.directives_due.clear()
            for run in queries.live_runs(self.audit_state):
                if run.state == SHUT_OUT:
                    self.fleet.tracked_runs[run.key] = TrackedRun(
                        SHUT_OUT, behind_since_ms=now_ms, bring_up_count=1, last_report_ms=now_ms
                    )
        self.heads.record_head(self.head_position(), now_ms)
        if self.head_watch is None or self.head_watch.done():
            self.head_watch = asyncio.get_running_loop().create_task(self._watch_head())

    async def _watch_head(self) -> None:
        """Record when each list becomes the head, as reports are too infrequent to show it."""
        while self.registry.is_leader and self.term == self.registry.log_state.term:
            self.heads.record_head(self.head_position(), self.now_ms())
            await self.registry.waiters.wait_for_notification(EndpointListState.name, 60.0)

    def _record_state_changes(self, key: str, now_ms: int) -> None:
        """Log state changes, and replicate which runs are shut out, so that a new leader knows them."""
        fleet, keys = self.fleet, [key]
        if fleet.is_held != self.was_held:
            self.was_held = fleet.is_held
            self.hold_gauge.set(fleet.is_held)
            keys = list(fleet.tracked_runs)  # a hold readmits the runs that were shut out
            behind = sum(tracked.state != CURRENT for tracked in fleet.tracked_runs.values())
            fields = {"behind": behind, "of": len(fleet.tracked_runs), "remedy": HOLD_REMEDY}
            if fleet.is_held:
                LOG.error("held: too many sidecars are behind to shut any out", extra=fields)
            else:
                LOG.info("hold released: sidecars may be shut out again", extra=fields)
        for key in keys:
            run, tracked = self.audit_state.runs.get(key), fleet.tracked_runs[key]
            if run is None or run.ended_ms is not None:
                fleet.forget(key)
            elif (run.state == SHUT_OUT) != (tracked.state == SHUT_OUT):
                self._store_state(key, tracked.state, now_ms - tracked.behind_since_ms)

    def _store_state(self, key: str, state: str, behind_ms: int) -> None:
        try:
            self.registry.append_entry({"book": AuditState.name, "op": STATE_OP, "key": key, "state": state})
        except WoadyardError as error:
            LOG.error("cannot store the state of a run", extra=error.fields())
            return
        self.state_changes.labels(state).inc()
        event = "sidecar shut out" if state == SHUT_OUT else "sidecar no longer shut out"
        LOG.warning(event, extra={"sidecar": key, "state": state, "behind_ms": behind_ms})

    def describe_behind(self) -> dict[str, Any]:
        """Runs that were not at the head by their last report, and whether the fleet is held."""
        self.heads.record_head(self.head_position(), self.now_ms())
        behind = queries.runs_behind(self.audit_state, self.heads, self.now_ms())
        for entry in behind:
            tracked = self.fleet.tracked_runs.get(f"{entry['name']}@{entry['run']}")
            entry["state"] = tracked.state if tracked is not None else entry["state"]
        return {"head": self.heads.head.to_text(), "held": self.fleet.is_held, "behind": behind}
