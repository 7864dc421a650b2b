"""From traces and a proposal to a verdict: the whole way, and what comes of it."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b

import msgspec
import numpy as np

from woadyard.errors import TraceError
from woadyard.whatif.facts import recorded
from woadyard.whatif.forecast import Arms, Forecast, forecast
from woadyard.whatif.model import Model, fit
from woadyard.whatif.plans import plan_digest
from woadyard.whatif.pool import Job, play
from woadyard.whatif.scene import Scene
from woadyard.whatif.settings import Rules
from woadyard.whatif.tally import Frame, Tally, tally
from woadyard.whatif.trace import read
from woadyard.whatif.verdict import Verdict, judge
from woadyard.whatif.weights import Weights, validate_weights


class Study(msgspec.Struct, frozen=True):
    """`plan`, `trace` and `replays` are digests: of the weights, the traces and all replays."""

    verdict: Verdict
    forecast: Forecast
    plan: str
    trace: str
    replays: str
    dropped: int  # bytes of the traces that could not be read


class Work:
    """The traces read and fitted once, for any number of proposals."""

    def __init__(self, data: Sequence[bytes], rules: Rules) -> None:
        self.data, self.rules = data, rules
        traces = [read(one) for one in data]
        self.dropped = sum(one.dropped for one in traces)
        self.scene = Scene(traces)
        self.model: Model = fit(self.scene)
        self.frame = self._frame()
        self.told = tally(recorded(self.scene), self.frame)
        self.force: list[Tally] = []

    def _frame(self) -> Frame:
        scene, rules = self.scene, self.rules
        block_us = rules.block_ms * 1000
        settings = [side.settings for side in scene.sides]
        # The last requests of a trace are those that were quick: the slow ones were still out.
        start = scene.start + rules.warm_s * 1_000_000
        blocks = int((scene.end - start) // block_us) - 1
        if blocks < rules.blocks_least:
            raise TraceError(f"the traces have {max(0, blocks)} blocks in common, too few")
        return Frame(
            start, block_us, blocks,
            max(len(one.classes) for one in settings),
            max(len(one.tenants) for one in settings),
            tuple(one.most for one in self.model.endpoints),
            settings[0].tip_for_us,
        )  # fmt: skip

    def study(self, weights: Weights) -> Study:
        chosen = validate_weights(weights)
        seeds = range(self.rules.seeds)
        force: list[Job] = [] if self.force else [(seed, None) for seed in seeds]
        jobs = [*force, *((seed, chosen) for seed in seeds)]
        found = play(self.data, self.model, self.frame, jobs, self.rules.workers)
        if force:
            self.force = found[: len(force)]
        arms = Arms(self.told, self.force, found[len(force) :])
        made = forecast(self.scene, arms, self.rules, self._cold_bound())
        replays = blake2b(made.digest.encode(), digest_size=16).hexdigest()
        verdict = judge(made, self.rules)
        return Study(verdict, made, plan_digest(chosen), self.scene.digest, replays, self.dropped)

    def _cold_bound(self) -> np.ndarray[tuple[int], np.dtype[np.float64]]:
        """What a starting endpoint bears in a tipping span: the settings' multiple of its capacity by
        then, taken for what a warm one was sent, with three deviations of chance."""
        settings = self.scene.sides[0].settings
        warm = [at for at, one in enumerate(self.model.endpoints) if not one.boot]
        sends = self.told.sends[warm].sum() / max(1, len(warm)) / self.told.sends.shape[1]
        share = max(0.01, settings.cold_share)
        usual = sends * self.frame.tip_us / self.frame.block_us * share * settings.tip_multiple
        bound = usual + 3.0 * np.sqrt(usual) + 3.0
        return np.full(len(self.model.endpoints), float(bound))
