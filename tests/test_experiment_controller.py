"""Who decides, and what is left of it when a writer dies: one decision, from the log's evidence."""

from pathlib import Path
from typing import Any

import numpy as np
import pytest

from woadyard.experiment.controller import ExperimentController
from woadyard.experiment.experiment import Experiment
from woadyard.experiment.state_machine import ExperimentsState
from woadyard.experiment.states import State
from woadyard.registry.log import Journal
from woadyard.registry.service import Registry

S = 1_000_000
DRAFT = {
    "plan": {"maximum_s": 600.0, "harm_good": 0.1},
    "match": {"a": {"machineType": "x"}, "b": {"machineType": "y"}},
    "slot_ms": 1000,
}


class Writer:
    """A process that leads, on the files of a folder; `behind` are sidecars on an old revision."""

    def __init__(self, folder: Path, now: list[int]) -> None:
        self.now = now
        self.registry = Registry(Journal(folder), clock_us=lambda: now[0])
        self.registry.become_leader()
        self.behind: list[str] = []
        self.missing = 0.0
        self.conductor = ExperimentController(
            self.registry, lambda: self.missing, lambda revision: self.behind
        )

    @property
    def trial(self) -> Experiment:
        return self.registry.state_machine(ExperimentsState).experiments["one"]

    def put(self, op: str, **fields: Any) -> None:
        self.registry.append_entry({"book": "experiments", "op": op, "name": "one", **fields})

    def count(self, seconds: int, good_b: float, first: int = 1) -> None:
        rng = np.random.default_rng(1)
        for k in range(first, first + 2 * seconds, 2):
            self.now[0] += S
            rows = [
                [k + i, 1, 0, arm, "0", 100, int(rng.binomial(100, good)), 0, 0, 100]
                for i, (arm, good) in enumerate((("a", 0.8), ("b", good_b)))
            ]
            self.put("evidence", reports=[["s@1", {"low": k, "rows": rows}, False]])

    def step(self) -> State:
        self.conductor.step(self.trial)
        return self.trial.state


@pytest.mark.asyncio
async def test_a_writer_killed_before_or_after_the_record_leaves_one_decision(tmp_path: Path) -> None:
    now = [1000 * S]
    first = Writer(tmp_path, now)
    first.put("draft", draft=DRAFT)
    first.put("start")
    first.count(40, 0.95)
    # Killed right before its record: the next one decides, from the evidence on the log.
    second = Writer(tmp_path, now)
    assert second.trial.state is State.RUNNING
    assert second.step() is State.WINNER
    made, directive = second.trial.decision, second.registry.state_machine(ExperimentsState).directive()
    # Killed right after: the next one has the decision, whatever evidence comes late.
    third = Writer(tmp_path, now)
    third.count(40, 0.1, first=81)
    assert third.step() is State.APPLIED
    assert third.trial.decision == made and made is not None and made.winner == "b"
    assert third.registry.state_machine(ExperimentsState).directive() == directive


@pytest.mark.asyncio
async def test_waits_while_evidence_is_missing_and_is_applied_when_all_act_on_it(tmp_path: Path) -> None:
    now = [1000 * S]
    one = Writer(tmp_path, now)
    one.put("draft", draft=DRAFT)
    one.put("start")
    one.missing = 0.4
    one.count(40, 0.95)
    assert one.step() is State.RUNNING
    one.missing, one.behind = 0.0, ["s3"]
    assert one.step() is State.WINNER
    now[0] += 1_500_000
    assert one.step() is State.WINNER
    one.behind = []
    assert one.step() is State.APPLIED
    assert one.trial.summary()["applied_after_ms"] == 1500


@pytest.mark.asyncio
async def test_an_arm_that_all_fails_is_harmful_and_a_silent_experiment_expires(tmp_path: Path) -> None:
    now = [1000 * S]
    one = Writer(tmp_path, now)
    one.put("draft", draft=DRAFT)
    one.put("start")
    one.count(10, 0.0)
    assert one.step() is State.HARMFUL
    directive = one.registry.state_machine(ExperimentsState).directive()
    assert directive is not None and directive.serve == "a"
    one.step()
    one.put("close")
    one.registry.append_entry({"book": "experiments", "op": "draft", "name": "two", "draft": DRAFT})
    one.registry.append_entry({"book": "experiments", "op": "start", "name": "two"})
    now[0] += 700 * S
    two = one.registry.state_machine(ExperimentsState).experiments["two"]
    one.conductor.step(two)
    assert two.state is State.EXPIRED
