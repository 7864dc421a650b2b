"""Replays say the same however they are run, and forecast a world whose truth is known."""

from __future__ import annotations

from functools import cache
from multiprocessing import active_children

import numpy as np
import pytest

from benchmarks.whatif_world import record_traces
from woadyard.errors import ConfigError, PlanError, TraceError
from woadyard.whatif.model import fit_queue
from woadyard.whatif.observations import observe_recordings
from woadyard.whatif.pool import ReplayJob, run_replays
from woadyard.whatif.settings import Rules, parse_rules
from woadyard.whatif.study import PlanEvaluator
from woadyard.whatif.tally import build_tally, histogram_quantile
from woadyard.whatif.trace import read_trace
from woadyard.whatif.workload import Workload

KINDS = ["small", "small", "large", "large", "old", "old"]
RULES = Rules(workers=1, seeds=2)
GOOD = {"machineType=old": 0.2}
BAD = {"machineType=small": 0.02, "machineType=large": 0.02}  # most of it on the slowest


@cache
def work() -> PlanEvaluator:
    return PlanEvaluator(record_traces(KINDS, seconds=20, rate=80)[0], RULES)


def kill_one() -> None:
    """`kill -9` for one worker, once; the first result is there and others are under way."""
    if not killed:
        killed.append(True)
        active_children()[0].kill()


killed: list[bool] = []


def test_the_digest_is_the_same_for_any_number_of_workers_and_when_one_is_killed(
    caplog: pytest.LogCaptureFixture,
) -> None:
    made = work()
    jobs: list[ReplayJob] = [(0, None), (1, None), (0, GOOD), (1, GOOD)]
    alone = [one.digest for one in run_replays(made.data, made.model, made.layout, jobs, 1)]
    assert len(set(alone)) == len(jobs)
    shared = run_replays(made.data, made.model, made.layout, jobs * 3, 3, kill_one)
    assert "a worker died" in caplog.text and [one.digest for one in shared] == alone * 3


def test_the_replay_in_force_reproduces_a_recording() -> None:
    made = work()
    told, (again,) = made.recorded_tally, run_replays(made.data, made.model, made.layout, [(3, None)], 1)
    aim = [one.good[0].sum() / one.count[0].sum() for one in (told, again)]
    p99 = [float(histogram_quantile(one.latency[0].sum(0).astype(float), 0.99)) for one in (told, again)]
    shares = [one.sends.sum(1) / one.sends.sum() for one in (told, again)]
    assert abs(aim[0] - aim[1]) < 0.01 and abs(p99[0] / p99[1] - 1) < 0.15
    assert np.abs(shares[0] - shares[1]).max() < 0.03


def test_a_good_plan_is_let_out_and_a_bad_one_is_not_and_both_came_true() -> None:
    for plan, states in ((GOOD, ("better", "harmless")), (BAD, ("worse", "breaks a rule"))):
        study = work().evaluate(plan)
        assert study.verdict.state in states, study.verdict
        truth = build_tally(record_traces(KINDS, seconds=20, rate=80, seed=9, weights=plan)[1], work().layout)
        aim = study.forecast.figures["aim"]
        assert aim.low <= truth.good[0].sum() / truth.count[0].sum() <= aim.high


def test_what_the_trace_cannot_tell_is_marked() -> None:
    least = {f"e{at}": 0.001 for at in range(5)}  # all to one, far past what it ever bore
    study = work().evaluate(least)
    assert study.forecast.thin > 0.1 and study.verdict.state in ("cannot tell", "worse")


def test_a_replay_that_does_not_reproduce_its_recording_cannot_tell() -> None:
    study = PlanEvaluator(work().data, Rules(workers=1, seeds=1, check_p99=1e-6)).evaluate(GOOD)
    assert study.verdict.state == "cannot tell" and "p99" in study.verdict.reason


def test_a_sample_stands_for_all() -> None:
    data, facts = record_traces(KINDS, seconds=20, rate=80, sample=0.5)
    made = PlanEvaluator(data, RULES)
    assert made.recorded_tally.count[0].sum() < 0.6 * len(facts.requests.at)
    (again,) = run_replays(made.data, made.model, made.layout, [(0, None)], 1)
    everything = build_tally(facts, made.layout)
    assert abs(again.sends.sum() / everything.sends.sum() - 1) < 0.1


def test_slots_are_found_where_queues_stood() -> None:
    rng = np.random.default_rng(3)
    found = rng.integers(0, 20, 20_000)
    ratio = rng.gamma(4.0, 0.25, 20_000) * (1.0 + np.maximum(0, found + 1 - 6) / 6)
    assert fit_queue(found, ratio)[0] == 6
    assert fit_queue(found, rng.gamma(4.0, 0.25, 20_000))[0] == 0


def test_bad_plans_rules_and_traces_are_refused_with_a_remedy() -> None:
    with pytest.raises(PlanError):
        work().evaluate({"e0": 0.0})
    for raw in ({"seeds": 0}, {"stages": [0.5, 0.1]}, {"surprise": 1}):
        with pytest.raises(ConfigError) as failed:
            parse_rules(raw)
        assert failed.value.remedy
    with pytest.raises(TraceError):
        PlanEvaluator(record_traces(KINDS, seconds=3, rate=20)[0], RULES)
    scene = Workload([read_trace(one) for one in work().data])
    assert observe_recordings(scene).digest() == observe_recordings(scene).digest()
