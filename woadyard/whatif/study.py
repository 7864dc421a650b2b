"""Evaluates proposed plans against traces, from reading the traces to the verdict."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b

import msgspec
import numpy as np

from woadyard.errors import TraceError
from woadyard.whatif.forecast import ArmTallies, Forecast, build_forecast
from woadyard.whatif.model import FleetModel, fit_model
from woadyard.whatif.observations import observe_recordings
from woadyard.whatif.plans import plan_digest
from woadyard.whatif.pool import ReplayJob, run_replays
from woadyard.whatif.settings import Rules
from woadyard.whatif.tally import Tally, TallyLayout, build_tally
from woadyard.whatif.trace import read_trace
from woadyard.whatif.verdict import Verdict, judge
from woadyard.whatif.weights import Weights, validate_weights
from woadyard.whatif.workload import Workload


class Study(msgspec.Struct, frozen=True):
    """Result of evaluating a plan.

    `plan`, `trace` and `replays` are digests of the weights, the traces and all replays.
    """

    verdict: Verdict
    forecast: Forecast
    plan: str
    trace: str
    replays: str
    dropped: int  # bytes of the traces that could not be read


class PlanEvaluator:
    """Reads the traces and fits the model once, then evaluates any number of proposed plans."""

    def __init__(self, data: Sequence[bytes], rules: Rules) -> None:
        self.data, self.rules = data, rules
        traces = [read_trace(encoded) for encoded in data]
        self.dropped_bytes = sum(trace.dropped_bytes for trace in traces)
        self.workload = Workload(traces)
        self.model: FleetModel = fit_model(self.workload)
        self.layout = self._tally_layout()
        self.recorded_tally = build_tally(observe_recordings(self.workload), self.layout)
        self.in_force_tallies: list[Tally] = []

    def _tally_layout(self) -> TallyLayout:
        workload, rules = self.workload, self.rules
        block_us = rules.block_ms * 1000
        settings = [recording.settings for recording in workload.recordings]
        # Only fast requests are recorded at a trace's end, since slow ones were still in flight, so the
        # last block is left out.
        start = workload.start + rules.warm_s * 1_000_000
        blocks = int((workload.end - start) // block_us) - 1
        if blocks < rules.blocks_least:
            raise TraceError(f"the traces overlap for {max(0, blocks)} blocks of time, which is too few")
        return TallyLayout(
            start, block_us, blocks,
            max(len(sidecar_settings.classes) for sidecar_settings in settings),
            max(len(sidecar_settings.tenants) for sidecar_settings in settings),
            tuple(endpoint.most for endpoint in self.model.endpoints),
            settings[0].tip_for_us,
        )  # fmt: skip

    def evaluate(self, weights: Weights) -> Study:
        proposed = validate_weights(weights)
        seeds = range(self.rules.seeds)
        in_force_jobs: list[ReplayJob] = [] if self.in_force_tallies else [(seed, None) for seed in seeds]
        jobs = [*in_force_jobs, *((seed, proposed) for seed in seeds)]
        tallies = run_replays(self.data, self.model, self.layout, jobs, self.rules.workers)
        if in_force_jobs:
            self.in_force_tallies = tallies[: len(in_force_jobs)]
        arms = ArmTallies(self.recorded_tally, self.in_force_tallies, tallies[len(in_force_jobs) :])
        forecast = build_forecast(self.workload, arms, self.rules, self._cold_start_bound())
        replays = blake2b(forecast.digest.encode(), digest_size=16).hexdigest()
        verdict = judge(forecast, self.rules)
        return Study(
            verdict, forecast, plan_digest(proposed), self.workload.digest, replays, self.dropped_bytes
        )

    def _cold_start_bound(self) -> np.ndarray[tuple[int], np.dtype[np.float64]]:
        """The most attempts that each endpoint can take in one tip window while it is starting.

        This is the settings' multiple of its capacity at that time, estimated from the attempts sent
        to a warm endpoint, plus three standard deviations of random variation.
        """
        settings = self.workload.recordings[0].settings
        warm = [index for index, endpoint in enumerate(self.model.endpoints) if not endpoint.boot]
        sends = self.recorded_tally.sends[warm].sum() / max(1, len(warm)) / self.recorded_tally.sends.shape[1]
        share = max(0.01, settings.cold_share)
        expected = sends * self.layout.tip_window_us / self.layout.block_us * share * settings.tip_multiple
        bound = expected + 3.0 * np.sqrt(expected) + 3.0
        return np.full(len(self.model.endpoints), float(bound))
