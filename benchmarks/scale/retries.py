"""Attempts that the retry budget allows when everything fails, in one tier and across tiers.

`python -m benchmarks.scale.retries` runs on a simulated clock, so its counts do not depend on the
machine. Roles: `budget` is one inner tier whose attempts all fail, at several rates (`size` is
requests a second at each sidecar), and gives the attempts per request; `retries` is a chain of tiers
with real policy modules (benchmarks/scale/chain.py) whose last tier fails from `HEALTHY_S` on (`size`
is tiers), and gives the attempts at the last tier per request at the first, in the first second of
the failure (`start`) and later (`steady`), with the worst case that the steady ratio of one tier
allows. Phases: `error`, the last tier responds 500 at once; `full`, it rejects all; `slow`, it
responds 500 after a fifth of a second; `hang`, it never responds.
"""

from __future__ import annotations

import argparse
import statistics
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from benchmarks.scale import points, usage
from benchmarks.scale.chain import SECOND_US, Chain, ChainCounts, EventLimitError, Fate
from benchmarks.scale.points import Point
from woadyard.errors import ConfigError
from woadyard.interface import ERROR, FULL, OK, SAFE, RequestClass, Settings

OUT = Path("docs/capacity/retries.jsonl")
SIZES, TURNS = (1, 2, 4, 8, 13, 26), 1
MAX_TIERS = 64
RATES = (1.0, 10.0, 100.0, 310.0)
# As in the deployments: three attempts, and a request class that is safe to retry.
DEADLINE_US, MAX_ATTEMPTS = 2 * SECOND_US, 3
SETTINGS = Settings(
    classes=(RequestClass(effect=SAFE, aim_us=DEADLINE_US, deadline_us=DEADLINE_US),),
    can_cancel=True,
    max_attempts=MAX_ATTEMPTS,
    retry_after=True,
)
# Length of the healthy part, of the failing part, and when in the latter the steady state begins.
HEALTHY_S, FAILING_S, STEADY_AFTER_S = 4, 12, 6
RATE, TIER_WIDTH = (
    5.0,
    9,
)  # requests a second at each sidecar of the first tier; sidecars and endpoints per tier
MAX_EVENTS = 6_000_000
FATES: dict[str, tuple[int, int]] = {  # outcome and service time, µs
    "error": (ERROR, 200),
    "full": (FULL, 200),
    "slow": (ERROR, 200_000),
    "hang": (ERROR, 60 * SECOND_US),
}
CHAIN_PHASES = ("error", "full", "slow", "hang")
BUDGET_PHASES = ("error", "full")


def fate_for(phase: str) -> Fate:
    outcome, delay_us = FATES[phase]
    return lambda now_us: (OK, 200) if now_us < HEALTHY_S * SECOND_US else (outcome, delay_us)


@dataclass
class AttemptRatios:
    """Attempts at the last tier per request at the first."""

    start: float
    steady: float
    peak: float  # the worst second

    @classmethod
    def from_counts(cls, first_requests: Counter[int], last_attempts: Counter[int]) -> AttemptRatios:
        seconds = range(HEALTHY_S, HEALTHY_S + FAILING_S)
        steady = [n for n in seconds if n >= HEALTHY_S + STEADY_AFTER_S]
        ratios = [last_attempts[n] / first_requests[n] for n in seconds if first_requests[n]]
        steady_requests = sum(first_requests[n] for n in steady)
        return cls(
            last_attempts[HEALTHY_S] / max(1, first_requests[HEALTHY_S]),
            sum(last_attempts[n] for n in steady) / max(1, steady_requests),
            max(ratios),
        )


def run_chain(phase: str, depth: int, rate: float, turn: int, stage: int = 0) -> ChainCounts:
    simulation = Chain(SETTINGS, depth, TIER_WIDTH, fate_for(phase), MAX_EVENTS, stage)
    return simulation.run(rate, HEALTHY_S + FAILING_S, DEADLINE_US, turn)


def write_points(
    out: Path, run: str, role: str, phase: str, size: float, unit: str, turn: int, **metrics: float
) -> None:
    new_points = [
        Point(run, role, phase, size, metric, "s" if metric.endswith("_s") else "count", value, unit, turn)
        for metric, value in metrics.items()
    ]
    points.append_points(out, new_points)
    for point in new_points:
        usage.print_point(point)


def measure_budget(out: Path, run: str, rates: Sequence[float], turn: int) -> dict[str, float]:
    """Measures a single inner tier; returns the largest steady ratio of attempts to requests by phase."""
    worst: dict[str, float] = {}
    for phase in BUDGET_PHASES:
        for rate in rates:
            counts = run_chain(phase, 1, rate, turn, stage=1)
            ratios = AttemptRatios.from_counts(counts.requests_by_tier[0], counts.last_tier_attempts)
            write_points(
                out, run, "budget", phase, rate, "requests/s", turn,
                attempts_start=ratios.start, attempts_steady=ratios.steady, attempts_peak=ratios.peak,
            )  # fmt: skip
            worst[phase] = max(worst.get(phase, 0.0), ratios.steady)
    return worst


def measure_chain(out: Path, run: str, phase: str, depth: int, single_tier_ratio: float, turn: int) -> None:
    """Measures one chain; `single_tier_ratio` is the steady ratio of a tier alone."""
    try:
        counts = run_chain(phase, depth, RATE, turn)
    except EventLimitError as error:
        usage.log_progress(f"retries {phase} at {depth} tiers: not measured: {error}")
        return
    ratios = AttemptRatios.from_counts(counts.requests_by_tier[0], counts.last_tier_attempts)
    failing_us = [
        latency_us for sent_at_us, latency_us in counts.latencies_us if sent_at_us >= HEALTHY_S * SECOND_US
    ]
    write_points(
        out, run, "retries", phase, depth, "tiers", turn,
        last_for_first_start=ratios.start, last_for_first_steady=ratios.steady,
        last_for_first_peak=ratios.peak, worst_product=single_tier_ratio**depth,
        failed_after_p50_s=statistics.median(failing_us) / SECOND_US,
        failed_after_most_s=max(failing_us) / SECOND_US,
    )  # fmt: skip


def measure(
    out: Path = OUT,
    sizes: Sequence[int] = SIZES,
    turns: int = TURNS,
    rates: Sequence[float] = RATES,
    phases: Sequence[str] = CHAIN_PHASES,
) -> None:
    """Appends the points of `budget`, then those of each phase and depth. Turns differ by the seed.

    Raises ConfigError if a depth exceeds `MAX_TIERS`, more than any chain of calls has."""
    if max(sizes) > MAX_TIERS:
        raise ConfigError(
            f"a chain of {max(sizes)} tiers is too deep", f"give depths up to {MAX_TIERS} with --sizes"
        )
    run = usage.run_name()
    for turn in range(1, turns + 1):
        worst = measure_budget(out, run, rates, turn)
        for phase in phases:
            for depth in sizes:
                measure_chain(out, run, phase, depth, worst.get(phase, worst["error"]), turn)


def main() -> None:
    parser = argparse.ArgumentParser(prog="benchmarks.scale.retries", description=__doc__)
    parser.add_argument("--out", type=Path, default=OUT)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES, help="depths in tiers")
    parser.add_argument("--turns", type=int, default=TURNS)
    parser.add_argument("--phases", nargs="+", default=CHAIN_PHASES, choices=CHAIN_PHASES)
    options = parser.parse_args()
    measure(options.out, options.sizes, options.turns, phases=options.phases)


if __name__ == "__main__":
    main()
