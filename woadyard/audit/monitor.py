"""Judges each report against the head, and says what its answer brings along."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from prometheus_client import Counter, Gauge

from woadyard.audit import queries
from woadyard.audit.ledger import STATE_OP, AuditBook
from woadyard.audit.messages import Answer, Report
from woadyard.audit.position import Position
from woadyard.audit.straggler import CURRENT, SHUT_OUT, Fleet, HeadHistory, StragglerRules, TrackedRun
from woadyard.errors import WoadyardError
from woadyard.lists.book import ListBook
from woadyard.registry.service import Registry

# A whole directive `{"revision": R, ...}` for the sidecar of this name; None: there is none.
Directive = Callable[[str], dict[str, Any] | None]
HOLD_REMEDY = "see to the list service and the links of its replicas"
LOG = logging.getLogger(__name__)


class FleetMonitor:
    """`directives` are other books' words to sidecars, `plan` and `experiment`: a sidecar is behind
    a directive as it is behind a list. All of it is the writer's; a new writer judges anew, and
    takes over only who is shut out."""

    def __init__(self, registry: Registry, rules: StragglerRules | None = None) -> None:
        self.registry, self.rules = registry, rules or registry.rules
        self.directives: dict[str, Directive] = {}
        self.term = -1
        self.fleet, self.heads = Fleet(self.rules), HeadHistory()
        self.directives_due: dict[tuple[str, str], tuple[int, int]] = {}  # by run and kind: revision, since
        self.head_watch: asyncio.Task[None] | None = None
        self.was_held = False
        counts = registry.counts.registry
        self.hold_gauge = Gauge(
            "registry_audit_held", "1 while too many are behind to shut out", registry=counts
        )
        self.state_gauge = Gauge("registry_audit_sidecars", "Sidecars by state", ["state"], registry=counts)
        self.state_changes = Counter("registry_audit_moves", "Changes of state", ["to"], registry=counts)
        self.state_gauge.labels("shut out").set_function(lambda: len(self.book.shut_out_names()))
        self.state_gauge.labels("behind").set_function(lambda: len(self.describe_behind()["behind"]))
        self.state_gauge.labels("live").set_function(lambda: len(queries.live_runs(self.book)))

    @property
    def book(self) -> AuditBook:
        return self.registry.book(AuditBook)

    def now_ms(self) -> int:
        return self.registry.clock() // 1000

    def head_position(self) -> Position:
        host, book = self.registry.host, self.registry.book(ListBook)
        return Position(host.lineage, book.term, book.version)

    def evaluate(self, report: Report, position: Position) -> Answer:
        """After its report is written: what the sidecar is told."""
        now = self.now_ms()
        self._refresh_head(now)
        key = f"{report.name}@{report.run}"
        directives = {kind: of(report.name) for kind, of in self.directives.items()}
        lag = self.heads.replaced_for_ms(position, now)
        for kind, directive in directives.items():
            lag = max(lag, self._directive_lag_ms(key, kind, directive, position, now))
        if (run := self.book.runs.get(key)) is not None:
            lag = min(lag, max(0, now - run.base))  # nobody is behind for longer than it runs
        told = Answer([], out=self.book.shut_out_names())
        if report.final:
            self.fleet.forget(key)
            return told
        one = self.fleet.record_report(key, lag, now)
        brings = one.begin_bring_up()
        self._record_state_changes(key, now)
        told.state = one.state
        told.head = self.heads.head.to_text() if one.state != CURRENT else ""
        if brings and position.is_older_than(self.heads.head):
            told.whole = self.full_list()
        for kind, directive in directives.items():
            if directive is not None and directive["revision"] != getattr(position, kind):
                setattr(told, kind, directive)
        return told

    def full_list(self) -> dict[str, Any]:
        return {**self.registry.book(ListBook).listing(), "lineage": self.registry.host.lineage}

    def _directive_lag_ms(
        self, key: str, kind: str, directive: dict[str, Any] | None, position: Position, now: int
    ) -> int:
        """For how long a sidecar has not acted on its directive, since the writer could tell it."""
        if directive is None or getattr(position, kind) == directive["revision"]:
            self.directives_due.pop((key, kind), None)
            return 0
        revision, since = self.directives_due.get((key, kind), (None, now))
        if revision != directive["revision"]:
            since = now
        self.directives_due[key, kind] = directive["revision"], since
        return now - since

    def _refresh_head(self, now: int) -> None:
        """The head as it is by now; all anew where a term has begun here."""
        if self.term != self.registry.host.term:
            self.term = self.registry.host.term
            self.fleet, self.heads = Fleet(self.rules), HeadHistory()
            self.directives_due.clear()
            for run in queries.live_runs(self.book):
                if run.state == SHUT_OUT:
                    self.fleet.tracked_runs[run.key] = TrackedRun(
                        SHUT_OUT, behind_since_ms=now, bring_up_count=1, last_report_ms=now
                    )
        self.heads.record_head(self.head_position(), now)
        if self.head_watch is None or self.head_watch.done():
            self.head_watch = asyncio.get_running_loop().create_task(self._watch_head())

    async def _watch_head(self) -> None:
        """Take down when each list became the head: reports come too seldom for that."""
        while self.registry.leads and self.term == self.registry.host.term:
            self.heads.record_head(self.head_position(), self.now_ms())
            await self.registry.waiters.woken(ListBook.name, 60.0)

    def _record_state_changes(self, key: str, now: int) -> None:
        """Log what changed, and keep who is shut out: over a change of writer, too."""
        fleet, keys = self.fleet, [key]
        if fleet.is_held != self.was_held:
            self.was_held = fleet.is_held
            self.hold_gauge.set(fleet.is_held)
            keys = list(fleet.tracked_runs)  # those that were shut out are let in again
            behind = sum(one.state != CURRENT for one in fleet.tracked_runs.values())
            fields = {"behind": behind, "of": len(fleet.tracked_runs), "remedy": HOLD_REMEDY}
            if fleet.is_held:
                LOG.error("held: too many sidecars are behind to shut any out", extra=fields)
            else:
                LOG.info("no longer held", extra=fields)
        for key in keys:
            run, one = self.book.runs.get(key), fleet.tracked_runs[key]
            if run is None or run.ended_ms is not None:
                fleet.forget(key)
            elif (run.state == SHUT_OUT) != (one.state == SHUT_OUT):
                self._store_state(key, one.state, now - one.behind_since_ms)

    def _store_state(self, key: str, state: str, behind_ms: int) -> None:
        try:
            self.registry.commit({"book": AuditBook.name, "op": STATE_OP, "key": key, "state": state})
        except WoadyardError as error:
            LOG.error("a state can't be kept", extra=error.fields())
            return
        self.state_changes.labels(state).inc()
        event = "sidecar shut out" if state == SHUT_OUT else "sidecar no longer shut out"
        LOG.warning(event, extra={"sidecar": key, "state": state, "behind_ms": behind_ms})

    def describe_behind(self) -> dict[str, Any]:
        """Who is not at the head, by its last word, and whether the fleet is held."""
        self.heads.record_head(self.head_position(), self.now_ms())
        found = queries.runs_behind(self.book, self.heads, self.now_ms())
        for one in found:
            straggler = self.fleet.tracked_runs.get(f"{one['name']}@{one['run']}")
            one["state"] = straggler.state if straggler is not None else one["state"]
        return {"head": self.heads.head.to_text(), "held": self.fleet.is_held, "behind": found}
