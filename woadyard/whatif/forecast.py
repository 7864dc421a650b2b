"""Forecasts the effect of a plan from tallies of both arms, as figures with intervals.

A figure is the recorded value plus the paired difference between the replays of the two arms, so
model errors common to both arms cancel out. Intervals are percentiles of a bootstrap (Efron
1979) over blocks of time (Kuensch 1989), the same blocks in both arms, and over seeds. They apply
to a figure *measured later* over `window` blocks, so they include the random variation of that
measurement and an allowance for the model's error.
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
# Extracts the numerator and the denominator of a share from a tally, both by block.
ShareCounts = Callable[[Tally], tuple[Floats, Floats]]


class Figure(msgspec.Struct, frozen=True):
    """One figure as forecast, with its interval, and as recorded and as replayed in both arms.

    `gain` is the difference that the plan makes (for a time: the ratio minus 1), with its own
    interval.
    """

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
    """All figures of a plan, and by endpoint how heavily each arm loads it.

    `thin` is the share of the proposed arm's attempts in conditions that the trace does not cover.
    `peak` is the most attempts in flight; `cold` the most attempts in one tip window of a cold
    start, as a multiple of the endpoint's bound; `over` the share of attempts sent at its limit.
    """

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
    """The tallies of one forecast: of the recording, and of both arms by seed."""

    def __init__(self, recorded: Tally, in_force: Sequence[Tally], proposed: Sequence[Tally]) -> None:
        self.recorded, self.in_force, self.proposed = recorded, in_force, proposed


class BootstrapDraws:
    """Weights of blocks and seeds for each bootstrap draw."""

    def __init__(self, blocks: int, seeds: int, window: int, rng: np.random.Generator) -> None:
        uniform = np.full(blocks, 1.0 / blocks)
        # The recording and both arms cover the same time span, so they share the drawn blocks.
        self.paired = rng.multinomial(blocks, uniform, BOOTSTRAP_DRAWS).astype(float)
        self.later = rng.multinomial(max(1, min(window, blocks)), uniform, BOOTSTRAP_DRAWS).astype(float)
        self.seeds = rng.multinomial(seeds, np.full(seeds, 1.0 / seeds), BOOTSTRAP_DRAWS).astype(float)
        self.single_seed = rng.multinomial(1, np.full(seeds, 1.0 / seeds), BOOTSTRAP_DRAWS).astype(float)


def _weighted_sums(values: Floats, seeds: Floats, blocks: Floats) -> Floats:
    """Sums [seed, block, ...] with each draw's weights of seeds and blocks into [draw, ...]."""
    return np.asarray(np.einsum("ds,db,sb...->d...", seeds, blocks, values, optimize=True))


def _safe_ratio(numerator: Floats, denominator: Floats) -> Floats:
    return np.asarray(np.divide(numerator, denominator, out=np.zeros_like(numerator), where=denominator > 0))


def share_figure(
    arms: ArmTallies, count_share: ShareCounts, draws: BootstrapDraws, rules: Rules, floor: float
) -> Figure:
    """The figure of a share, whose numerator and denominator `count_share` extracts from a tally."""

    def stack(tallies: Sequence[Tally]) -> tuple[Floats, Floats]:
        pairs = [count_share(tally) for tally in tallies]
        return (
            np.stack([numerator for numerator, _ in pairs]),
            np.stack([denominator for _, denominator in pairs]),
        )

    recorded_counts, in_force_counts, proposed_counts = (
        stack([arms.recorded]),
        stack(arms.in_force),
        stack(arms.proposed),
    )
    ones = np.ones((BOOTSTRAP_DRAWS, 1))

    def estimate(counts: tuple[Floats, Floats]) -> float:
        return float(counts[0].sum() / max(1.0, counts[1].sum()))

    def resample(counts: tuple[Floats, Floats], seeds: Floats, blocks: Floats) -> Floats:
        return _safe_ratio(_weighted_sums(counts[0], seeds, blocks), _weighted_sums(counts[1], seeds, blocks))

    recorded_draws = resample(recorded_counts, ones, draws.paired)
    gain_draws = resample(proposed_counts, draws.seeds, draws.paired) - resample(
        in_force_counts, draws.seeds, draws.paired
    )
    noise = resample(proposed_counts, draws.single_seed, draws.later) - estimate(proposed_counts)
    values = (estimate(recorded_counts), estimate(in_force_counts), estimate(proposed_counts))
    return _build_share_figure(values, values[2] - values[1], recorded_draws, gain_draws, noise, rules, floor)


def _build_share_figure(
    values: tuple[float, float, float],
    gain: float,
    recorded_draws: Floats,
    gain_draws: Floats,
    noise: Floats,
    rules: Rules,
    floor: float,
) -> Figure:
    recorded, in_force, proposed = values
    value = min(1.0, max(0.0, recorded + gain))
    tail = (1.0 - rules.confidence) / 2.0
    low, high = np.quantile(recorded_draws + gain_draws + noise, [tail, 1.0 - tail])
    gain_low, gain_high = np.quantile(gain_draws, [tail, 1.0 - tail])
    widening = rules.widen
    return Figure(
        value,
        max(0.0, value - widening * (max(0.0, value - float(low)) + floor)),
        min(1.0, value + widening * (max(0.0, float(high) - value) + floor)),
        recorded, in_force, proposed, gain, float(gain_low), float(gain_high),
    )  # fmt: skip


def latency_figure(arms: ArmTallies, group: int, q: float, draws: BootstrapDraws, rules: Rules) -> Figure:
    """The figure of a latency quantile in µs; its gain is a ratio minus 1.

    `group` 0 is all requests, the following groups are the request classes.
    """

    def stack(tallies: Sequence[Tally]) -> Floats:
        return np.stack([tally.latency[group] for tally in tallies]).astype(float)

    def resample(histograms: Floats, seeds: Floats, blocks: Floats) -> Floats:
        return histogram_quantile(_weighted_sums(histograms, seeds, blocks), q)

    def estimate(histograms: Floats) -> float:
        return float(histogram_quantile(histograms.sum(axis=(0, 1)), q))

    recorded_bins, in_force_bins, proposed_bins = (
        stack([arms.recorded]),
        stack(arms.in_force),
        stack(arms.proposed),
    )
    values = estimate(recorded_bins), estimate(in_force_bins), estimate(proposed_bins)
    in_force_us = max(values[1], 1.0)
    recorded_draws = resample(recorded_bins, np.ones((BOOTSTRAP_DRAWS, 1)), draws.paired)
    ratio = resample(proposed_bins, draws.seeds, draws.paired) / np.maximum(
        1.0, resample(in_force_bins, draws.seeds, draws.paired)
    )
    noise = resample(proposed_bins, draws.single_seed, draws.later) / max(values[2], 1.0)
    tail = (1.0 - rules.confidence) / 2.0
    low, high = np.quantile(recorded_draws * ratio * noise, [tail, 1.0 - tail])
    gain_low, gain_high = np.quantile(ratio - 1.0, [tail, 1.0 - tail])
    value, floor, widening = (
        values[0] * values[2] / in_force_us,
        rules.floor_time + thin_allowance(arms, rules),
        rules.widen,
    )
    return Figure(
        value,
        max(0.0, value - widening * (max(0.0, value - float(low)) + floor * value)),
        value + widening * (max(0.0, float(high) - value) + floor * value),
        *values, values[2] / in_force_us - 1.0, float(gain_low), float(gain_high),
    )  # fmt: skip


def thin_share(arms: ArmTallies) -> float:
    """The share of the proposed arm's attempts in conditions that the trace does not cover."""
    sends = sum(int(tally.sends.sum()) for tally in arms.proposed)
    return sum(int(tally.thin.sum()) for tally in arms.proposed) / max(1, sends)


def thin_allowance(arms: ArmTallies, rules: Rules) -> float:
    return rules.floor_thin * thin_share(arms)


def share_of_requests(tally_field: str, group: int) -> ShareCounts:
    return lambda tally: (getattr(tally, tally_field)[group].astype(float), tally.count[group].astype(float))


def share_of_sends(tally_field: str, endpoint: int | None = None) -> ShareCounts:
    def count_share(tally: Tally) -> tuple[Floats, Floats]:
        counted = getattr(tally, tally_field) if endpoint is None else getattr(tally, tally_field)[endpoint]
        return counted.astype(float), tally.sends.sum(axis=0).astype(float)

    return count_share


def build_forecast(
    workload: Workload, arms: ArmTallies, rules: Rules, cold_bound: NDArray[np.float64]
) -> Forecast:
    """Builds all figures. `cold_bound` is the most attempts by endpoint in one tip window while it starts."""
    recorded_tally = arms.recorded
    blocks, seeds = recorded_tally.count.shape[1], len(arms.in_force)
    draws = BootstrapDraws(blocks, seeds, rules.window_s * 1000 // rules.block_ms, np.random.default_rng(7))
    figures: dict[str, Figure] = {}

    def add_share(name: str, count_share: ShareCounts, floor: float) -> None:
        figures[name] = share_figure(arms, count_share, draws, rules, floor + thin_allowance(arms, rules))

    names = group_names(workload)
    for index, name in enumerate(names):
        if recorded_tally.count[index].sum():
            add_share(f"aim:{name}" if name else "aim", share_of_requests("good", index), rules.floor_share)
    add_share("refused", share_of_requests("refused", 0), rules.floor_share)
    add_share("failed", share_of_requests("failed", 0), rules.floor_share)
    add_share("crossed", share_of_sends("crossed"), rules.floor_endpoint)
    add_share("fresh", share_of_sends("fresh"), rules.floor_endpoint)
    for endpoint, name in enumerate(workload.endpoints):
        add_share(f"share:{name}", share_of_sends("sends", endpoint), rules.floor_endpoint)
    for group in range(recorded_tally.latency.shape[0]):
        if recorded_tally.latency[group].sum():
            suffix = f":{names[group]}" if group else ""
            for q in (0.5, 0.99):
                figures[f"p{round(q * 100)}{suffix}"] = latency_figure(arms, group, q, draws, rules)
    return _assemble_forecast(workload, arms, figures, cold_bound)


def _assemble_forecast(
    workload: Workload, arms: ArmTallies, figures: dict[str, Figure], cold_bound: Floats
) -> Forecast:
    def positive_by_name(values: Floats) -> dict[str, float]:
        return {
            name: float(values[index]) for index, name in enumerate(workload.endpoints) if values[index] > 0
        }

    def peak_by_name(tallies: Sequence[Tally]) -> dict[str, int]:
        peaks = np.max([tally.peak for tally in tallies], axis=0)
        return {name: int(peaks[index]) for index, name in enumerate(workload.endpoints)}

    def cold_budget_used(tallies: Sequence[Tally]) -> dict[str, float]:
        return positive_by_name(np.max([tally.cold_peak for tally in tallies], axis=0) / cold_bound)

    def over_limit_share(tallies: Sequence[Tally]) -> dict[str, float]:
        over_limit_sends = np.sum([tally.over_limit.sum(1) for tally in tallies], axis=0)
        return positive_by_name(
            over_limit_sends / np.maximum(1, np.sum([tally.sends.sum(1) for tally in tallies], axis=0))
        )

    digest = "".join(tally.digest for tally in (*arms.in_force, *arms.proposed))
    return Forecast(
        figures, thin_share(arms), peak_by_name(arms.proposed), peak_by_name(arms.in_force),
        cold_budget_used(arms.proposed), cold_budget_used(arms.in_force),
        over_limit_share(arms.proposed), over_limit_share(arms.in_force),
        int(arms.recorded.count[0].sum()), digest,
    )  # fmt: skip


def group_names(workload: Workload) -> list[str]:
    """Names of the tallies' groups: all (empty), then the classes by number, then the tenants."""
    latest_settings = workload.recordings[0].settings_changes[-1]
    class_count = len(max((recording.settings.classes for recording in workload.recordings), key=len))
    class_names = [
        *latest_settings.classes,
        *(str(number) for number in range(len(latest_settings.classes), class_count)),
    ]
    return ["", *class_names[:class_count], *latest_settings.tenants]
