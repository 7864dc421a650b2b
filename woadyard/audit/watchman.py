"""Judges each report against the head, and says what its answer brings along."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from prometheus_client import Counter, Gauge

from woadyard.audit import questions
from woadyard.audit.ledger import STATE, AuditState
from woadyard.audit.messages import Answer, Report
from woadyard.audit.position import Position
from woadyard.audit.straggler import CURRENT, SHUT_OUT, Fleet, Heads, Rules, Straggler
from woadyard.errors import WoadyardError
from woadyard.lists.state import EndpointListState
from woadyard.registry.service import Registry

# A whole directive `{"revision": R, ...}` for the sidecar of this name; None: there is none.
Directive = Callable[[str], dict[str, Any] | None]
HELD_REMEDY = "see to the list service and the links of its replicas"
LOG = logging.getLogger(__name__)


class Watchman:
    """`directives` are other books' words to sidecars, `plan` and `experiment`: a sidecar is behind
    a directive as it is behind a list. All of it is the writer's; a new writer judges anew, and
    takes over only who is shut out."""

    def __init__(self, registry: Registry, rules: Rules | None = None) -> None:
        self.registry, self.rules = registry, rules or registry.straggler_rules
        self.directives: dict[str, Directive] = {}
        self.term = -1
        self.fleet, self.heads = Fleet(self.rules), Heads()
        self.due: dict[tuple[str, str], tuple[int, int]] = {}  # by run and kind: revision, since
        self.watch: asyncio.Task[None] | None = None
        self.was_held = False
        counts = registry.metrics.collector_registry
        self.held = Gauge("registry_audit_held", "1 while too many are behind to shut out", registry=counts)
        self.states = Gauge("registry_audit_sidecars", "Sidecars by state", ["state"], registry=counts)
        self.moves = Counter("registry_audit_moves", "Changes of state", ["to"], registry=counts)
        self.states.labels("shut out").set_function(lambda: len(self.book.out()))
        self.states.labels("behind").set_function(lambda: len(self.behind()["behind"]))
        self.states.labels("live").set_function(lambda: len(questions.live(self.book)))

    @property
    def book(self) -> AuditState:
        return self.registry.state_machine(AuditState)

    def now(self) -> int:
        return self.registry.clock_us() // 1000

    def head(self) -> Position:
        host, book = self.registry.log_state, self.registry.state_machine(EndpointListState)
        return Position(host.lineage, book.term, book.version)

    def judge(self, report: Report, position: Position) -> Answer:
        """After its report is written: what the sidecar is told."""
        now = self.now()
        self._begin(now)
        key = f"{report.name}@{report.run}"
        directives = {kind: of(report.name) for kind, of in self.directives.items()}
        lag = self.heads.replaced(position, now)
        for kind, directive in directives.items():
            lag = max(lag, self._lag(key, kind, directive, position, now))
        if (run := self.book.runs.get(key)) is not None:
            lag = min(lag, max(0, now - run.base))  # nobody is behind for longer than it runs
        told = Answer([], out=self.book.out())
        if report.final:
            self.fleet.forget(key)
            return told
        one = self.fleet.hear(key, lag, now)
        brings = one.tell()
        self._note(key, now)
        told.state = one.state
        told.head = self.heads.head.text() if one.state != CURRENT else ""
        if brings and position.older(self.heads.head):
            told.whole = self.listing()
        for kind, directive in directives.items():
            if directive is not None and directive["revision"] != getattr(position, kind):
                setattr(told, kind, directive)
        return told

    def listing(self) -> dict[str, Any]:
        return {
            **self.registry.state_machine(EndpointListState).listing(),
            "lineage": self.registry.log_state.lineage,
        }

    def _lag(
        self, key: str, kind: str, directive: dict[str, Any] | None, position: Position, now: int
    ) -> int:
        """For how long a sidecar has not acted on its directive, since the writer could tell it."""
        if directive is None or getattr(position, kind) == directive["revision"]:
            self.due.pop((key, kind), None)
            return 0
        revision, since = self.due.get((key, kind), (None, now))
        if revision != directive["revision"]:
            since = now
        self.due[key, kind] = directive["revision"], since
        return now - since

    def _begin(self, now: int) -> None:
        """The head as it is by now; all anew where a term has begun here."""
        if self.term != self.registry.log_state.term:
            self.term = self.registry.log_state.term
            self.fleet, self.heads = Fleet(self.rules), Heads()
            self.due.clear()
            for run in questions.live(self.book):
                if run.state == SHUT_OUT:
                    self.fleet.stragglers[run.key] = Straggler(SHUT_OUT, since=now, told=1, heard=now)
        self.heads.move(self.head(), now)
        if self.watch is None or self.watch.done():
            self.watch = asyncio.get_running_loop().create_task(self._follow())

    async def _follow(self) -> None:
        """Take down when each list became the head: reports come too seldom for that."""
        while self.registry.is_leader and self.term == self.registry.log_state.term:
            self.heads.move(self.head(), self.now())
            await self.registry.waiters.wait_for_notification(EndpointListState.name, 60.0)

    def _note(self, key: str, now: int) -> None:
        """Log what changed, and keep who is shut out: over a change of writer, too."""
        fleet, keys = self.fleet, [key]
        if fleet.held != self.was_held:
            self.was_held = fleet.held
            self.held.set(fleet.held)
            keys = list(fleet.stragglers)  # those that were shut out are let in again
            behind = sum(one.state != CURRENT for one in fleet.stragglers.values())
            fields = {"behind": behind, "of": len(fleet.stragglers), "remedy": HELD_REMEDY}
            if fleet.held:
                LOG.error("held: too many sidecars are behind to shut any out", extra=fields)
            else:
                LOG.info("no longer held", extra=fields)
        for key in keys:
            run, one = self.book.runs.get(key), fleet.stragglers[key]
            if run is None or run.ended is not None:
                fleet.forget(key)
            elif (run.state == SHUT_OUT) != (one.state == SHUT_OUT):
                self._keep(key, one.state, now - one.since)

    def _keep(self, key: str, state: str, behind_ms: int) -> None:
        try:
            self.registry.append_entry({"book": AuditState.name, "op": STATE, "key": key, "state": state})
        except WoadyardError as error:
            LOG.error("a state can't be kept", extra=error.fields())
            return
        self.moves.labels(state).inc()
        event = "sidecar shut out" if state == SHUT_OUT else "sidecar no longer shut out"
        LOG.warning(event, extra={"sidecar": key, "state": state, "behind_ms": behind_ms})

    def behind(self) -> dict[str, Any]:
        """Who is not at the head, by its last word, and whether the fleet is held."""
        self.heads.move(self.head(), self.now())
        found = questions.behind(self.book, self.heads, self.now())
        for one in found:
            straggler = self.fleet.stragglers.get(f"{one['name']}@{one['run']}")
            one["state"] = straggler.state if straggler is not None else one["state"]
        return {"head": self.heads.head.text(), "held": self.fleet.held, "behind": found}
