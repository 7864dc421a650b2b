"""From traces and a proposal to a verdict: the whole way, and what comes of it."""

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
    """`plan`, `trace` and `replays` are digests: of the weights, the traces and all replays."""

    verdict: Verdict
    forecast: Forecast
    plan: str
    trace: str
    replays: str
    dropped: int  # bytes of the traces that could not be read


class PlanEvaluator:
    """The traces read and fitted once, for any number of proposals."""

    def __init__(self, data: Sequence[bytes], rules: Rules) -> None:
        self.data, self.rules = data, rules
        traces = [read_trace(one) for one in data]
        self.dropped_bytes = sum(one.dropped_bytes for one in traces)
        self.workload = Workload(traces)
        self.model: FleetModel = fit_model(self.workload)
        self.layout = self._tally_layout()
        self.recorded_tally = build_tally(observe_recordings(self.workload), self.layout)
        self.in_force_tallies: list[Tally] = []

    def _tally_layout(self) -> TallyLayout:
        scene, rules = self.workload, self.rules
        block_us = rules.block_ms * 1000
        settings = [side.settings for side in scene.recordings]
        # The last requests of a trace are those that were quick: the slow ones were still out.
        start = scene.start + rules.warm_s * 1_000_000
        blocks = int((scene.end - start) // block_us) - 1
        if blocks < rules.blocks_least:
            raise TraceError(f"the traces have {max(0, blocks)} blocks in common, too few")
        return TallyLayout(
            start, block_us, blocks,
            max(len(one.classes) for one in settings),
            max(len(one.tenants) for one in settings),
            tuple(one.most for one in self.model.endpoints),
            settings[0].tip_for_us,
        )  # fmt: skip

    def evaluate(self, weights: Weights) -> Study:
        chosen = validate_weights(weights)
        seeds = range(self.rules.seeds)
        force: list[ReplayJob] = [] if self.in_force_tallies else [(seed, None) for seed in seeds]
        jobs = [*force, *((seed, chosen) for seed in seeds)]
        found = run_replays(self.data, self.model, self.layout, jobs, self.rules.workers)
        if force:
            self.in_force_tallies = found[: len(force)]
        arms = ArmTallies(self.recorded_tally, self.in_force_tallies, found[len(force) :])
        made = build_forecast(self.workload, arms, self.rules, self._cold_start_bound())
        replays = blake2b(made.digest.encode(), digest_size=16).hexdigest()
        verdict = judge(made, self.rules)
        return Study(verdict, made, plan_digest(chosen), self.workload.digest, replays, self.dropped_bytes)

    def _cold_start_bound(self) -> np.ndarray[tuple[int], np.dtype[np.float64]]:
        """What a starting endpoint bears in a tipping span: the settings' multiple of its capacity by
        then, taken for what a warm one was sent, with three deviations of chance."""
        settings = self.workload.recordings[0].settings
        warm = [at for at, one in enumerate(self.model.endpoints) if not one.boot]
        sends = self.recorded_tally.sends[warm].sum() / max(1, len(warm)) / self.recorded_tally.sends.shape[1]
        share = max(0.01, settings.cold_share)
        usual = sends * self.layout.tip_window_us / self.layout.block_us * share * settings.tip_multiple
        bound = usual + 3.0 * np.sqrt(usual) + 3.0
        return np.full(len(self.model.endpoints), float(bound))
