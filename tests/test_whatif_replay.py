"""Tests that replays are deterministic and that forecasts match a simulated world whose truth is known."""

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
BAD = {"machineType=small": 0.02, "machineType=large": 0.02}  # sends most requests to the slowest endpoints


@cache
def make_evaluator() -> PlanEvaluator:
    return PlanEvaluator(record_traces(KINDS, seconds=20, rate=80)[0], RULES)


def kill_one_worker() -> None:
    """Kills one worker (SIGKILL), once, after the first result and while other replays are running."""
    if not has_killed:
        has_killed.append(True)
        active_children()[0].kill()


has_killed: list[bool] = []


def test_the_digest_is_the_same_for_any_number_of_workers_and_when_one_is_killed(
    caplog: pytest.LogCaptureFixture,
) -> None:
    evaluator = make_evaluator()
    jobs: list[ReplayJob] = [(0, None), (1, None), (0, GOOD), (1, GOOD)]
    serial_digests = [
        tally.digest for tally in run_replays(evaluator.data, evaluator.model, evaluator.layout, jobs, 1)
    ]
    assert len(set(serial_digests)) == len(jobs)
    parallel = run_replays(evaluator.data, evaluator.model, evaluator.layout, jobs * 3, 3, kill_one_worker)
    assert "a worker died" in caplog.text and [tally.digest for tally in parallel] == serial_digests * 3


def test_the_replay_under_the_weights_in_force_reproduces_the_recording() -> None:
    evaluator = make_evaluator()
    recorded, (replayed,) = (
        evaluator.recorded_tally,
        run_replays(evaluator.data, evaluator.model, evaluator.layout, [(3, None)], 1),
    )
    aim = [tally.good[0].sum() / tally.count[0].sum() for tally in (recorded, replayed)]
    p99 = [
        float(histogram_quantile(tally.latency[0].sum(0).astype(float), 0.99))
        for tally in (recorded, replayed)
    ]
    shares = [tally.sends.sum(1) / tally.sends.sum() for tally in (recorded, replayed)]
    assert abs(aim[0] - aim[1]) < 0.01 and abs(p99[0] / p99[1] - 1) < 0.15
    assert np.abs(shares[0] - shares[1]).max() < 0.03


def test_a_good_plan_passes_a_bad_one_does_not_and_both_forecasts_hold() -> None:
    for plan, states in ((GOOD, ("better", "harmless")), (BAD, ("worse", "breaks a rule"))):
        study = make_evaluator().evaluate(plan)
        assert study.verdict.state in states, study.verdict
        truth = build_tally(
            record_traces(KINDS, seconds=20, rate=80, seed=9, weights=plan)[1], make_evaluator().layout
        )
        aim = study.forecast.figures["aim"]
        assert aim.low <= truth.good[0].sum() / truth.count[0].sum() <= aim.high


def test_attempts_in_conditions_that_the_trace_does_not_cover_are_counted() -> None:
    # Sends everything to one endpoint, far beyond its recorded load.
    minimal_weights = {f"e{index}": 0.001 for index in range(5)}
    study = make_evaluator().evaluate(minimal_weights)
    assert study.forecast.thin > 0.1 and study.verdict.state in ("cannot tell", "worse")


def test_a_replay_that_does_not_reproduce_its_recording_gives_no_verdict() -> None:
    study = PlanEvaluator(make_evaluator().data, Rules(workers=1, seeds=1, check_p99=1e-6)).evaluate(GOOD)
    assert study.verdict.state == "cannot tell" and "p99" in study.verdict.reason


def test_a_sampled_trace_is_scaled_to_all_requests() -> None:
    data, observations = record_traces(KINDS, seconds=20, rate=80, sample=0.5)
    evaluator = PlanEvaluator(data, RULES)
    assert evaluator.recorded_tally.count[0].sum() < 0.6 * len(observations.requests.at)
    (replayed,) = run_replays(evaluator.data, evaluator.model, evaluator.layout, [(0, None)], 1)
    full_tally = build_tally(observations, evaluator.layout)
    assert abs(replayed.sends.sum() / full_tally.sends.sum() - 1) < 0.1


def test_slots_are_fitted_from_the_length_at_which_queues_form() -> None:
    rng = np.random.default_rng(3)
    in_flight = rng.integers(0, 20, 20_000)
    ratio = rng.gamma(4.0, 0.25, 20_000) * (1.0 + np.maximum(0, in_flight + 1 - 6) / 6)
    assert fit_queue(in_flight, ratio)[0] == 6
    assert fit_queue(in_flight, rng.gamma(4.0, 0.25, 20_000))[0] == 0


def test_invalid_plans_rules_and_traces_are_rejected_with_a_remedy() -> None:
    with pytest.raises(PlanError):
        make_evaluator().evaluate({"e0": 0.0})
    for raw in ({"seeds": 0}, {"stages": [0.5, 0.1]}, {"surprise": 1}):
        with pytest.raises(ConfigError) as raised:
            parse_rules(raw)
        assert raised.value.remedy
    with pytest.raises(TraceError):
        PlanEvaluator(record_traces(KINDS, seconds=3, rate=20)[0], RULES)
    workload = Workload([read_trace(encoded) for encoded in make_evaluator().data])
    assert observe_recordings(workload).digest() == observe_recordings(workload).digest()
