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
from woadyard.experiment.book import APPLIED, DECIDE, ExperimentsState
from woadyard.experiment.cells import SUMS, Key
from woadyard.experiment.rules import ENDS, Decision, State
from woadyard.experiment.trial import Trial
from woadyard.registry.service import Registry

if TYPE_CHECKING:
    from woadyard.experiment.stopper import Stopper

LOOK_S = 0.25
# Of the fleet: the share of its evidence that is missing, and who acts on an older revision.
Missing = Callable[[], float]
Older = Callable[[int], list[str]]
LOG = logging.getLogger(__name__)


class Look:
    """The stopper of one trial, fed from the book's cells."""

    def __init__(self, trial: Trial) -> None:
        from woadyard.experiment.stopper import Stopper  # scipy, once there is an experiment

        self.trial = trial
        self.fed: dict[Key, list[int]] = {}
        self.number = 0
        self.changes = 1  # of shares, told to the stopper
        self.stopper: Stopper = Stopper(trial.draft.plan, trial.started / 1000)
        if trial.evidence is not None:
            trial.evidence.touched.update(trial.evidence.sums)

    def at(self, now_ms: int, missing: float) -> Decision:
        for since, shares in self.trial.shares[self.changes :]:
            self.stopper.reshare(since / 1000, shares)
            self.changes += 1
        self._feed()
        return self.stopper.decide(now_ms / 1000, missing)

    def _feed(self) -> None:
        cells = self.trial.evidence
        if cells is None:
            return
        while cells.touched:
            key = cells.touched.pop()
            slot, cls, zone, arm = key
            now, had = cells.sums[key], self.fed.get(key, [0] * SUMS)
            tried, good, failed, slow, drawn = (one - was for one, was in zip(now, had, strict=True))
            at_s = slot * cells.slot_ms / 1000
            self.stopper.add(
                "log", self.number, at_s, arm, tried, good,
                failed=failed, slow=slow, drawn=drawn, cls=cls, zone=zone,
            )  # fmt: skip
            self.number += 1
            self.fed[key] = now


class Conductor:
    """One of a registry. `missing` and `older` are the audit's."""

    def __init__(self, registry: Registry, missing: Missing, older: Older) -> None:
        self.registry, self.missing, self.older = registry, missing, older
        self.look: Look | None = None
        self.latest: Decision | None = None
        self.task: asyncio.Task[None] | None = None
        self.decided = Counter(
            "registry_experiments_decided",
            "Ends of experiments",
            ["state"],
            registry=registry.metrics.collector_registry,
        )

    @property
    def book(self) -> ExperimentsState:
        return self.registry.state_machine(ExperimentsState)

    def wake(self) -> None:
        """There may be an experiment to see to; with none, nothing runs here."""
        if self._sees_to() and (self.task is None or self.task.done()):
            self.task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task

    async def _run(self) -> None:
        while (trial := self._sees_to()) is not None:
            self.step(trial)
            await asyncio.sleep(LOOK_S)
        self.look = None

    def _sees_to(self) -> Trial | None:
        trial = self.book.active
        done = trial is None or trial.state is State.APPLIED or not self.registry.is_leader
        return None if done else trial

    def step(self, trial: Trial) -> None:
        """One look, or one look at who acts on the decision."""
        try:
            if trial.state is State.RUNNING:
                self._look(trial)
            elif trial.state in ENDS and not self.older(self.book.revision):
                self._applied(trial)
        except (LogEntryError, StateError) as error:
            LOG.error("an experiment's step can't be written", extra=error.fields())

    def _look(self, trial: Trial) -> None:
        if self.look is None or self.look.trial is not trial:
            self.look = Look(trial)
        told = self.look.at(self.registry.clock_us() // 1000, self.missing())
        self.latest = told
        if told.final:
            self.decide(trial, told)

    def decide(self, trial: Trial, told: Decision) -> None:
        """On the log, then in effect: directives are read from the book."""
        record = {"book": ExperimentsState.name, "op": DECIDE, "name": trial.name}
        self.registry.append_entry({**record, "decision": msgspec.to_builtins(told)})
        self.decided.labels(told.state.value).inc()
        fields = {"experiment": trial.name, "state": told.state, "winner": told.winner, "reason": told.reason}
        LOG.warning("experiment decided", extra=fields)

    def _applied(self, trial: Trial) -> None:
        self.registry.append_entry({"book": ExperimentsState.name, "op": APPLIED, "name": trial.name})
        took = (trial.applied or 0) - trial.decided
        LOG.warning("experiment applied", extra={"experiment": trial.name, "after_ms": took})
