"""What a plan would do, as figures with intervals, from tallies of both arms.

A figure is what was recorded, moved by the paired difference between the replays of the two
arms: what the model gets wrong alike in both falls out. Intervals are percentiles of a
bootstrap (Efron 1979) over blocks of time (Kuensch 1989), the same blocks in both arms, and
over seeds; they are for a figure *measured later* over `window` blocks, so the chance in that
measurement, and an allowance for the model's own error, are in them.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec
import numpy as np
from numpy.typing import NDArray

from woadyard.whatif.settings import Rules
from woadyard.whatif.tally import Floats, Tally, histogram_quantile
from woadyard.whatif.workload import Workload

BOOTSTRAP_DRAWS = 400
# What endpoints are counted by.
ShareCounts = Callable[[Tally], tuple[Floats, Floats]]


class Figure(msgspec.Struct, frozen=True):
    """One figure: as forecast with its interval, in both replays and in the recording; `gain` is
    the difference (of a time: the ratio less 1) that the plan makes, with its own interval."""

    value: float
    low: float
    high: float
    recorded: float
    force: float
    proposed: float
    gain: float
    gain_low: float
    gain_high: float


class Forecast(msgspec.Struct, frozen=True):
    """`thin` is the share of the proposed arm's attempts that rest on what the trace can't tell.
    Counts by endpoint: the most in flight, and of a cold one the most in a tipping span."""

    figures: dict[str, Figure]
    thin: float
    peak: dict[str, int]
    peak_force: dict[str, int]
    cold: dict[str, float]
    cold_force: dict[str, float]
    over: dict[str, float]
    over_force: dict[str, float]
    requests: int
    digest: str


class ArmTallies:
    """The tallies of one forecast: the recording, and both arms over the seeds."""

    def __init__(self, recorded: Tally, force: Sequence[Tally], proposed: Sequence[Tally]) -> None:
        self.recorded, self.in_force, self.proposed = recorded, force, proposed


class BootstrapDraws:
    """Weights of blocks and seeds for each bootstrap draw."""

    def __init__(self, blocks: int, seeds: int, window: int, chance: np.random.Generator) -> None:
        even = np.full(blocks, 1.0 / blocks)
        # The recording and both arms are of one span: they share their blocks.
        self.paired = chance.multinomial(blocks, even, BOOTSTRAP_DRAWS).astype(float)
        self.later = chance.multinomial(max(1, min(window, blocks)), even, BOOTSTRAP_DRAWS).astype(float)
        self.seeds = chance.multinomial(seeds, np.full(seeds, 1.0 / seeds), BOOTSTRAP_DRAWS).astype(float)
        self.single_seed = chance.multinomial(1, np.full(seeds, 1.0 / seeds), BOOTSTRAP_DRAWS).astype(float)


def _weighted_sums(parts: Floats, seeds: Floats, blocks: Floats) -> Floats:
    """Sums over [seed, block, ...] by each draw's weights: [draw, ...]."""
    return np.asarray(np.einsum("ds,db,sb...->d...", seeds, blocks, parts, optimize=True))


def _safe_ratio(top: Floats, bottom: Floats) -> Floats:
    return np.asarray(np.divide(top, bottom, out=np.zeros_like(top), where=bottom > 0))


def share_figure(
    arms: ArmTallies, pick: ShareCounts, draws: BootstrapDraws, rules: Rules, floor: float
) -> Figure:
    """A share: `pick` gives what is counted and out of what, both by block."""

    def stack(tallies: Sequence[Tally]) -> tuple[Floats, Floats]:
        pairs = [pick(one) for one in tallies]
        return np.stack([top for top, _ in pairs]), np.stack([bottom for _, bottom in pairs])

    told, force, proposed = stack([arms.recorded]), stack(arms.in_force), stack(arms.proposed)
    ones = np.ones((BOOTSTRAP_DRAWS, 1))

    def point(of: tuple[Floats, Floats]) -> float:
        return float(of[0].sum() / max(1.0, of[1].sum()))

    def drawn(of: tuple[Floats, Floats], seeds: Floats, blocks: Floats) -> Floats:
        return _safe_ratio(_weighted_sums(of[0], seeds, blocks), _weighted_sums(of[1], seeds, blocks))

    base = drawn(told, ones, draws.paired)
    gain = drawn(proposed, draws.seeds, draws.paired) - drawn(force, draws.seeds, draws.paired)
    noise = drawn(proposed, draws.single_seed, draws.later) - point(proposed)
    values = (point(told), point(force), point(proposed))
    return _figure(values, values[2] - values[1], base, gain, noise, rules, floor)


def _figure(
    values: tuple[float, float, float],
    gain: float,
    base: Floats,
    gains: Floats,
    noise: Floats,
    rules: Rules,
    floor: float,
) -> Figure:
    told, force, proposed = values
    value = min(1.0, max(0.0, told + gain))
    tail = (1.0 - rules.confidence) / 2.0
    low, high = np.quantile(base + gains + noise, [tail, 1.0 - tail])
    gain_low, gain_high = np.quantile(gains, [tail, 1.0 - tail])
    more = rules.widen
    return Figure(
        value,
        max(0.0, value - more * (max(0.0, value - float(low)) + floor)),
        min(1.0, value + more * (max(0.0, float(high) - value) + floor)),
        told, force, proposed, gain, float(gain_low), float(gain_high),
    )  # fmt: skip


def latency_figure(arms: ArmTallies, group: int, q: float, draws: BootstrapDraws, rules: Rules) -> Figure:
    """A quantile of the latencies of a group (0: all, then by class), µs; gains are ratios less 1."""

    def stack(tallies: Sequence[Tally]) -> Floats:
        return np.stack([one.latency[group] for one in tallies]).astype(float)

    def drawn(of: Floats, seeds: Floats, blocks: Floats) -> Floats:
        return histogram_quantile(_weighted_sums(of, seeds, blocks), q)

    def point(of: Floats) -> float:
        return float(histogram_quantile(of.sum(axis=(0, 1)), q))

    told, force, proposed = stack([arms.recorded]), stack(arms.in_force), stack(arms.proposed)
    values = point(told), point(force), point(proposed)
    usual = max(values[1], 1.0)
    base = drawn(told, np.ones((BOOTSTRAP_DRAWS, 1)), draws.paired)
    ratio = drawn(proposed, draws.seeds, draws.paired) / np.maximum(
        1.0, drawn(force, draws.seeds, draws.paired)
    )
    noise = drawn(proposed, draws.single_seed, draws.later) / max(values[2], 1.0)
    tail = (1.0 - rules.confidence) / 2.0
    low, high = np.quantile(base * ratio * noise, [tail, 1.0 - tail])
    gain_low, gain_high = np.quantile(ratio - 1.0, [tail, 1.0 - tail])
    value, floor, more = (
        values[0] * values[2] / usual,
        rules.floor_time + thin_allowance(arms, rules),
        rules.widen,
    )
    return Figure(
        value,
        max(0.0, value - more * (max(0.0, value - float(low)) + floor * value)),
        value + more * (max(0.0, float(high) - value) + floor * value),
        *values, values[2] / usual - 1.0, float(gain_low), float(gain_high),
    )  # fmt: skip


def thin_share(arms: ArmTallies) -> float:
    """The share of the proposed arm's attempts that rest on what the trace can't tell."""
    sends = sum(int(one.sends.sum()) for one in arms.proposed)
    return sum(int(one.thin.sum()) for one in arms.proposed) / max(1, sends)


def thin_allowance(arms: ArmTallies, rules: Rules) -> float:
    return rules.floor_thin * thin_share(arms)


def share_of_requests(what: str, group: int) -> ShareCounts:
    return lambda one: (getattr(one, what)[group].astype(float), one.count[group].astype(float))


def share_of_sends(what: str, place: int | None = None) -> ShareCounts:
    def pick(one: Tally) -> tuple[Floats, Floats]:
        found = getattr(one, what) if place is None else getattr(one, what)[place]
        return found.astype(float), one.sends.sum(axis=0).astype(float)

    return pick


def build_forecast(
    scene: Workload, arms: ArmTallies, rules: Rules, cold_bound: NDArray[np.float64]
) -> Forecast:
    """All figures. `cold_bound`: what each endpoint bears in a tipping span while it is starting."""
    told = arms.recorded
    blocks, seeds = told.count.shape[1], len(arms.in_force)
    draws = BootstrapDraws(blocks, seeds, rules.window_s * 1000 // rules.block_ms, np.random.default_rng(7))
    figures: dict[str, Figure] = {}

    def share(name: str, pick: ShareCounts, floor: float) -> None:
        figures[name] = share_figure(arms, pick, draws, rules, floor + thin_allowance(arms, rules))

    names = group_names(scene)
    for at, name in enumerate(names):
        if told.count[at].sum():
            share(f"aim:{name}" if name else "aim", share_of_requests("good", at), rules.floor_share)
    share("refused", share_of_requests("refused", 0), rules.floor_share)
    share("failed", share_of_requests("failed", 0), rules.floor_share)
    share("crossed", share_of_sends("crossed"), rules.floor_endpoint)
    share("fresh", share_of_sends("fresh"), rules.floor_endpoint)
    for place, name in enumerate(scene.endpoints):
        share(f"share:{name}", share_of_sends("sends", place), rules.floor_endpoint)
    for group in range(told.latency.shape[0]):
        if told.latency[group].sum():
            suffix = f":{names[group]}" if group else ""
            for q in (0.5, 0.99):
                figures[f"p{round(q * 100)}{suffix}"] = latency_figure(arms, group, q, draws, rules)
    return _forecast(scene, arms, figures, cold_bound)


def _forecast(scene: Workload, arms: ArmTallies, figures: dict[str, Figure], cold_bound: Floats) -> Forecast:
    def named(values: Floats) -> dict[str, float]:
        return {name: float(values[at]) for at, name in enumerate(scene.endpoints) if values[at] > 0}

    def most(tallies: Sequence[Tally]) -> dict[str, int]:
        peaks = np.max([one.peak for one in tallies], axis=0)
        return {name: int(peaks[at]) for at, name in enumerate(scene.endpoints)}

    def cold(tallies: Sequence[Tally]) -> dict[str, float]:
        return named(np.max([one.cold_peak for one in tallies], axis=0) / cold_bound)

    def over(tallies: Sequence[Tally]) -> dict[str, float]:
        found = np.sum([one.over_limit.sum(1) for one in tallies], axis=0)
        return named(found / np.maximum(1, np.sum([one.sends.sum(1) for one in tallies], axis=0)))

    digest = "".join(one.digest for one in (*arms.in_force, *arms.proposed))
    return Forecast(
        figures, thin_share(arms), most(arms.proposed), most(arms.in_force), cold(arms.proposed),
        cold(arms.in_force), over(arms.proposed), over(arms.in_force), int(arms.recorded.count[0].sum()),
        digest,
    )  # fmt: skip


def group_names(scene: Workload) -> list[str]:
    """Of the tallies' groups: all (empty), then the classes by number, then the tenants."""
    tuned = scene.recordings[0].settings_changes[-1]
    classes = len(max((side.settings.classes for side in scene.recordings), key=len))
    known = [*tuned.classes, *(str(at) for at in range(len(tuned.classes), classes))]
    return ["", *known[:classes], *tuned.tenants]
