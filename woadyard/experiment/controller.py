"""Runs on the leader: analyzes the running experiment, commits its decision, tracks its application.

Only the leader of the current term decides. The decision is committed to the log before it takes
effect. A leader that fails before the commit leaves no decision, and its successor makes one; a
leader that fails after it leaves the decision to its successor. Either way there is exactly one.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from prometheus_client import Counter

from woadyard.errors import LogEntryError, StateError
from woadyard.experiment.evidence_totals import SUMS_PER_CELL, CellKey
from woadyard.experiment.experiment import Experiment
from woadyard.experiment.state_machine import APPLIED, DECIDE, ExperimentsState
from woadyard.experiment.states import END_STATES, Decision, State
from woadyard.registry.service import Registry

if TYPE_CHECKING:
    from woadyard.experiment.stopper import Stopper

LOOK_INTERVAL_S = 0.25
# Returns the share of the fleet's evidence that is missing.
MissingShare = Callable[[], float]
# Returns the names of sidecars that act on an older revision than the given one.
SidecarsBehind = Callable[[int], list[str]]
LOG = logging.getLogger(__name__)


class InterimAnalysis:
    """The stopping rule of one experiment, applied to the evidence in the state machine."""

    def __init__(self, experiment: Experiment) -> None:
        from woadyard.experiment.stopper import Stopper  # loads scipy, needed only with an experiment

        self.experiment = experiment
        self.consumed_sums: dict[CellKey, list[int]] = {}
        self.next_row_number = 0
        self.applied_share_changes = 1  # the first entry is the planned shares
        self.stopper: Stopper = Stopper(experiment.draft.plan, experiment.started_ms / 1000)
        if experiment.evidence is not None:
            experiment.evidence.changed.update(experiment.evidence.sums)

    def analyze(self, now_ms: int, missing: float) -> Decision:
        for since_ms, shares in self.experiment.share_history[self.applied_share_changes :]:
            self.stopper.reshare(since_ms / 1000, shares)
            self.applied_share_changes += 1
        self._add_new_evidence()
        return self.stopper.decide(now_ms / 1000, missing)

    def _add_new_evidence(self) -> None:
        totals = self.experiment.evidence
        if totals is None:
            return
        while totals.changed:
            key = totals.changed.pop()
            slot, cls, zone, arm = key
            new_sums, old_sums = totals.sums[key], self.consumed_sums.get(key, [0] * SUMS_PER_CELL)
            tried, good, failed, slow, assigned = (
                new - old for new, old in zip(new_sums, old_sums, strict=True)
            )
            at_s = slot * totals.slot_ms / 1000
            self.stopper.add(
                "log", self.next_row_number, at_s, arm, tried, good,
                failed=failed, slow=slow, assigned=assigned, cls=cls, zone=zone,
            )  # fmt: skip
            self.next_row_number += 1
            self.consumed_sums[key] = new_sums


@dataclass(frozen=True)
class Analyzed:
    """An experiment and the decision of the latest look at its evidence."""

    experiment: Experiment
    decision: Decision


class ExperimentController:
    """Takes the active experiment of one registry through its states.

    `missing_share` and `sidecars_behind` query the fleet audit.
    """

    def __init__(
        self, registry: Registry, missing_share: MissingShare, sidecars_behind: SidecarsBehind
    ) -> None:
        self.registry, self.missing_share, self.sidecars_behind = registry, missing_share, sidecars_behind
        self.analysis: InterimAnalysis | None = None
        self.latest: Analyzed | None = None
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

    def latest_decision(self, experiment: Experiment) -> Decision | None:
        """Return the decision of the latest look at this experiment's evidence; None before the first."""
        if self.latest is None or self.latest.experiment is not experiment:
            return None
        return self.latest.decision

    def ensure_running(self) -> None:
        """Start the task if there is an experiment in progress and the task isn't running."""
        if self._experiment_in_progress() and (self.task is None or self.task.done()):
            self.task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task

    async def _run(self) -> None:
        while (experiment := self._experiment_in_progress()) is not None:
            self.step(experiment)
            await asyncio.sleep(LOOK_INTERVAL_S)
        self.analysis = None

    def _experiment_in_progress(self) -> Experiment | None:
        experiment = self.experiments_state.active
        is_done = experiment is None or experiment.state is State.APPLIED or not self.registry.is_leader
        return None if is_done else experiment

    def step(self, experiment: Experiment) -> None:
        """Make one look at the evidence, or check once whether the decision is applied."""
        try:
            if experiment.state is State.RUNNING:
                self._analyze(experiment)
            elif experiment.state in END_STATES and not self.sidecars_behind(self.experiments_state.revision):
                self._commit_applied(experiment)
        except (LogEntryError, StateError) as error:
            LOG.error("cannot commit a step of the experiment", extra=error.fields())

    def _analyze(self, experiment: Experiment) -> None:
        if self.analysis is None or self.analysis.experiment is not experiment:
            self.analysis = InterimAnalysis(experiment)
        decision = self.analysis.analyze(self.registry.clock_us() // 1000, self.missing_share())
        self.latest = Analyzed(experiment, decision)
        if decision.is_final:
            self.commit_decision(experiment, decision)

    def commit_decision(self, experiment: Experiment, decision: Decision) -> None:
        """Commit the decision to the log.

        It takes effect only then, because directives are read from the state machine.
        """
        entry = {"book": ExperimentsState.name, "op": DECIDE, "name": experiment.name}
        self.registry.append_entry({**entry, "decision": msgspec.to_builtins(decision)})
        self.decisions_counter.labels(decision.state.value).inc()
        fields = {
            "experiment": experiment.name,
            "state": decision.state,
            "winner": decision.winner,
            "reason": decision.reason,
        }
        LOG.warning("experiment decided", extra=fields)

    def _commit_applied(self, experiment: Experiment) -> None:
        self.registry.append_entry({"book": ExperimentsState.name, "op": APPLIED, "name": experiment.name})
        applied_after_ms = (experiment.applied_ms or 0) - experiment.decided_ms
        LOG.warning("experiment applied", extra={"experiment": experiment.name, "after_ms": applied_after_ms})
