"""Looks at the running experiment at the writer, writes its decision, and sees it carried out.

Only the process that holds the term decides. The decision is a record of the log before anything
follows from it, so a writer that dies just before leaves none, and one that dies just after leaves
it to the next: either way there is one.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
from prometheus_client import Counter

from woadyard.errors import LogEntryError, StateError
from woadyard.experiment.book import ExperimentsState
from woadyard.experiment.evidence_totals import SUMS_PER_CELL, CellKey
from woadyard.experiment.experiment import Experiment
from woadyard.experiment.state_machine import APPLIED, DECIDE, ExperimentsBook
from woadyard.experiment.states import END_STATES, Decision, State
from woadyard.registry.service import Registry

if TYPE_CHECKING:
    from woadyard.experiment.stopper import Stopper
LOOK_INTERVAL_S = 0.25
# Of the fleet: the share of its evidence that is missing, and who acts on an older revision.
MissingShare = Callable[[], float]
SidecarsBehind = Callable[[int], list[str]]
LOG = logging.getLogger(__name__)


class InterimAnalysis:
    """The stopper of one trial, fed from the book's cells."""

    def __init__(self, trial: Experiment) -> None:
        from woadyard.experiment.stopper import (
            Stopper,  # scipy, once there is an experiment
        )

        self.experiment = trial
        self.consumed_sums: dict[CellKey, list[int]] = {}
        self.next_row_number = 0
        self.applied_share_changes = 1  # of shares, told to the stopper
        self.stopper: Stopper = Stopper(trial.draft.plan, trial.started_ms / 1000)
        if trial.evidence is not None:
            trial.evidence.changed.update(trial.evidence.sums)

    def analyze(self, now_ms: int, missing: float) -> Decision:
        for since, shares in self.experiment.share_history[self.applied_share_changes :]:
            self.stopper.reshare(since / 1000, shares)
            self.applied_share_changes += 1
        self._add_new_evidence()
        return self.stopper.decide(now_ms / 1000, missing)

    def _add_new_evidence(self) -> None:
        cells = self.experiment.evidence
        if cells is None:
            return
        while cells.changed:
            key = cells.changed.pop()
            slot, cls, zone, arm = key
            now, had = cells.sums[key], self.consumed_sums.get(key, [0] * SUMS_PER_CELL)
            tried, good, failed, slow, drawn = (one - was for one, was in zip(now, had, strict=True))
            at_s = slot * cells.slot_ms / 1000
            self.stopper.add(
                "log", self.next_row_number, at_s, arm, tried, good,
                failed=failed, slow=slow, assigned=drawn, cls=cls, zone=zone,
            )  # fmt: skip
            self.next_row_number += 1
            self.consumed_sums[key] = now


class ExperimentController:
    """One of a registry. `missing` and `older` are the audit's."""

    def __init__(
        self, registry: Registry, missing_share: MissingShare, sidecars_behind: SidecarsBehind
    ) -> None:
        self.registry, self.missing_share, self.sidecars_behind = registry, missing_share, sidecars_behind
        self.analysis: InterimAnalysis | None = None
        self.latest_decision: Decision | None = None
        self.task: asyncio.Task[None] | None = None
        self.decisions_counter = Counter(
            "registry_experiments_decided",
            "Ends of experiments",
            ["state"],
            registry=registry.metrics.collector_registry,
        )

    @property
    def experiments_state(self) -> ExperimentsState:
        return self.registry.state_machine(ExperimentsState)

    def ensure_running(self) -> None:
        """There may be an experiment to see to; with none, nothing runs here."""
        if self._experiment_in_progress() and (self.task is None or self.task.done()):
            self.task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task

    async def _run(self) -> None:
        while (trial := self._experiment_in_progress()) is not None:
            self.step(trial)
            await asyncio.sleep(LOOK_INTERVAL_S)
        self.analysis = None

    def _experiment_in_progress(self) -> Experiment | None:
        trial = self.experiments_state.active
        done = trial is None or trial.state is State.APPLIED or not self.registry.is_leader
        return None if done else trial

    def step(self, trial: Experiment) -> None:
        """One look, or one look at who acts on the decision."""
        try:
            if trial.state is State.RUNNING:
                self._analyze(trial)
            elif trial.state in END_STATES and not self.sidecars_behind(self.experiments_state.revision):
                self._commit_applied(trial)
        except (LogEntryError, StateError) as error:
            LOG.error("an experiment's step can't be written", extra=error.fields())

    def _analyze(self, trial: Experiment) -> None:
        if self.analysis is None or self.analysis.experiment is not trial:
            self.analysis = InterimAnalysis(trial)
        told = self.analysis.analyze(self.registry.clock_us() // 1000, self.missing_share())
        self.latest_decision = told
        if told.is_final:
            self.commit_decision(trial, told)

    def commit_decision(self, trial: Experiment, told: Decision) -> None:
        """On the log, then in effect: directives are read from the book."""
        record = {"book": ExperimentsState.name, "op": DECIDE, "name": trial.name}
        self.registry.append_entry({**record, "decision": msgspec.to_builtins(told)})
        self.decisions_counter.labels(told.state.value).inc()
        fields = {"experiment": trial.name, "state": told.state, "winner": told.winner, "reason": told.reason}
        LOG.warning("experiment decided", extra=fields)

    def _commit_applied(self, trial: Experiment) -> None:
        self.registry.append_entry({"book": ExperimentsState.name, "op": APPLIED, "name": trial.name})
        took = (trial.applied_ms or 0) - trial.decided_ms
        LOG.warning("experiment applied", extra={"experiment": trial.name, "after_ms": took})
