"""Tests of the experiment controller: one decision from the logged evidence, also when leaders fail."""

from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import pytest
from aiohttp import web
from aiohttp.test_utils import make_mocked_request

from woadyard.experiment.controller import ExperimentController
from woadyard.experiment.experiment import Experiment
from woadyard.experiment.service import PATH, ExperimentsApi
from woadyard.experiment.state_machine import ExperimentsState
from woadyard.experiment.states import State
from woadyard.registry.log import Journal
from woadyard.registry.service import Registry

SECOND_US = 1_000_000
DRAFT = {
    "plan": {"maximum_s": 600.0, "harm_good": 0.1},
    "match": {"a": {"machineType": "x"}, "b": {"machineType": "y"}},
    "slot_ms": 1000,
}


class LeaderProcess:
    """A leader on the log files of a folder; `sidecars_behind` act on an old revision."""

    def __init__(self, folder: Path, now_us: list[int]) -> None:
        self.now_us = now_us
        self.registry = Registry(Journal(folder), clock_us=lambda: now_us[0])
        self.registry.become_leader()
        self.sidecars_behind: list[str] = []
        self.missing_share = 0.0
        self.controller = ExperimentController(
            self.registry, lambda: self.missing_share, lambda revision: self.sidecars_behind
        )

    @property
    def experiment(self) -> Experiment:
        return self.registry.state_machine(ExperimentsState).experiments["one"]

    def append(self, operation: str, **fields: Any) -> None:
        self.registry.append_entry({"book": "experiments", "op": operation, "name": "one", **fields})

    def add_evidence(self, seconds: int, good_b: float, first: int = 1) -> None:
        rng = np.random.default_rng(1)
        for row_number in range(first, first + 2 * seconds, 2):
            self.now_us[0] += SECOND_US
            rows = [
                [row_number + offset, 1, 0, arm, "0", 100, int(rng.binomial(100, good)), 0, 0, 100]
                for offset, (arm, good) in enumerate((("a", 0.8), ("b", good_b)))
            ]
            self.append("evidence", reports=[["s@1", {"low": row_number, "rows": rows}, False]])

    def step(self) -> State:
        self.controller.step(self.experiment)
        return self.experiment.state


@pytest.mark.asyncio
async def test_leader_killed_before_or_after_the_commit_leaves_one_decision(tmp_path: Path) -> None:
    now_us = [1000 * SECOND_US]
    first = LeaderProcess(tmp_path, now_us)
    first.append("draft", draft=DRAFT)
    first.append("start")
    first.add_evidence(40, 0.95)
    # Killed right before the commit: the next leader decides from the evidence in the log.
    second = LeaderProcess(tmp_path, now_us)
    assert second.experiment.state is State.RUNNING
    assert second.step() is State.WINNER
    first_decision, directive = (
        second.experiment.decision,
        second.registry.state_machine(ExperimentsState).directive(),
    )
    # Killed right after the commit: the next leader has the decision, whatever late evidence says.
    third = LeaderProcess(tmp_path, now_us)
    third.add_evidence(40, 0.1, first=81)
    assert third.step() is State.APPLIED
    assert (
        third.experiment.decision == first_decision
        and first_decision is not None
        and first_decision.winner == "b"
    )
    assert third.registry.state_machine(ExperimentsState).directive() == directive


@pytest.mark.asyncio
async def test_waits_for_missing_evidence_and_is_applied_when_all_sidecars_act_on_it(tmp_path: Path) -> None:
    now_us = [1000 * SECOND_US]
    leader = LeaderProcess(tmp_path, now_us)
    leader.append("draft", draft=DRAFT)
    leader.append("start")
    leader.missing_share = 0.4
    leader.add_evidence(40, 0.95)
    assert leader.step() is State.RUNNING
    leader.missing_share, leader.sidecars_behind = 0.0, ["s3"]
    assert leader.step() is State.WINNER
    now_us[0] += 1_500_000
    assert leader.step() is State.WINNER
    leader.sidecars_behind = []
    assert leader.step() is State.APPLIED
    assert leader.experiment.summary()["applied_after_ms"] == 1500


@pytest.mark.asyncio
async def test_failing_arm_is_harmful_and_experiment_without_evidence_expires(tmp_path: Path) -> None:
    now_us = [1000 * SECOND_US]
    leader = LeaderProcess(tmp_path, now_us)
    leader.append("draft", draft=DRAFT)
    leader.append("start")
    leader.add_evidence(10, 0.0)
    assert leader.step() is State.HARMFUL
    directive = leader.registry.state_machine(ExperimentsState).directive()
    assert directive is not None and directive.serve == "a"
    leader.step()
    leader.append("close")
    leader.registry.append_entry({"book": "experiments", "op": "draft", "name": "two", "draft": DRAFT})
    leader.registry.append_entry({"book": "experiments", "op": "start", "name": "two"})
    now_us[0] += 700 * SECOND_US
    second_experiment = leader.registry.state_machine(ExperimentsState).experiments["two"]
    leader.controller.step(second_experiment)
    assert second_experiment.state is State.EXPIRED


class LeaderWithApi(LeaderProcess):
    """A leader whose controller belongs to the HTTP calls."""

    def __init__(self, folder: Path) -> None:
        self.now_us = [1000 * SECOND_US]
        self.registry = Registry(Journal(folder), clock_us=lambda: self.now_us[0])
        self.registry.become_leader()
        self.api = ExperimentsApi(self.registry)
        self.controller = self.api.controller


# Guards against a second experiment that is stopped, or shown, with the first one's interval.
@pytest.mark.asyncio
async def test_an_experiment_without_an_analysis_has_no_interval_of_an_earlier_one(tmp_path: Path) -> None:
    leader = LeaderWithApi(tmp_path)
    api = leader.api

    def request(method: str, name: str, step: str = "") -> web.Request:
        return make_mocked_request(method, f"{PATH}/{name}{step}", match_info={"name": name})

    leader.append("draft", draft=DRAFT)
    leader.append("start")
    leader.add_evidence(5, 0.8)
    api.controller.step(leader.experiment)
    await api.stop(request("POST", "one", "/stop"))
    first_decision = leader.experiment.decision
    assert first_decision is not None and first_decision.interval != (-1.0, 1.0)
    api.controller.step(leader.experiment)
    leader.append("close")
    leader.registry.append_entry({"book": "experiments", "op": "draft", "name": "two", "draft": DRAFT})
    leader.registry.append_entry({"book": "experiments", "op": "start", "name": "two"})

    shown = await api.get_experiment(request("GET", "two"))
    assert isinstance(shown, web.Response) and isinstance(shown.body, bytes)
    assert msgspec.json.decode(shown.body)["look"] is None
    await api.stop(request("POST", "two", "/stop"))
    second_decision = leader.registry.state_machine(ExperimentsState).experiments["two"].decision
    assert second_decision is not None and second_decision.interval == (-1.0, 1.0)
