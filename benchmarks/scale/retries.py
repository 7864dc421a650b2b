"""What the retry budget gives when all fails, and what becomes of it down the tiers.

`python -m benchmarks.scale.retries`, on a simulated clock: its counts do not depend on the machine.
Two roles: `budget`, one inner tier whose attempts all fail, at several rates (`size` in requests a
second at each sidecar): attempts for each request; and `retries`, tiers of real modules
(benchmarks/scale/chain.py) whose last fails all from `CALM_S` on (`size` in tiers): attempts at the
last tier for each request at the first, in the first second of it (`start`) and later (`steady`),
beside the worst that the steady share of one tier allows. Phases: `error`, the last tier answers
500 at once; `full`, it turns all away; `slow`, it answers 500 after a fifth of a second; `hang`, it
never answers.
"""

from __future__ import annotations

import argparse
import statistics
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from benchmarks.scale import points, usage
from benchmarks.scale.chain import SECOND, Chain, Counts, Fate, TooManyError
from benchmarks.scale.points import Point
from woadyard.errors import ConfigError
from woadyard.interface import ERROR, FULL, OK, SAFE, RequestClass, Settings

OUT = Path("docs/capacity/retries.jsonl")
SIZES, TURNS = (1, 2, 4, 8, 13, 26), 1
TIERS_MOST = 64
RATES = (1.0, 10.0, 100.0, 310.0)
# As the deployments here have it: three attempts, a class that may be repeated.
DEADLINE_US, ATTEMPTS = 2 * SECOND, 3
SETTINGS = Settings(
    classes=(RequestClass(effect=SAFE, aim_us=DEADLINE_US, deadline_us=DEADLINE_US),),
    can_cancel=True,
    max_attempts=ATTEMPTS,
    retry_after=True,
)
CALM_S, FAIL_S, STEADY_S = 4, 12, 6  # all is well for so long, then all fails; later than that is steady
RATE, WIDE = 5.0, 9  # requests a second at each first sidecar; sidecars and endpoints of a tier
EVENTS_MOST = 6_000_000
FATES: dict[str, tuple[int, int]] = {  # outcome, and after how long, µs
    "error": (ERROR, 200),
    "full": (FULL, 200),
    "slow": (ERROR, 200_000),
    "hang": (ERROR, 60 * SECOND),
}
CHAIN_PHASES = ("error", "full", "slow", "hang")
BUDGET_PHASES = ("error", "full")


def failing(phase: str) -> Fate:
    outcome, after = FATES[phase]
    return lambda now: (OK, 200) if now < CALM_S * SECOND else (outcome, after)


@dataclass
class Shares:
    """Attempts at the last tier for each request at the first."""

    start: float
    steady: float
    peak: float  # the worst second

    @classmethod
    def of(cls, first: Counter[int], last: Counter[int]) -> Shares:
        seconds = range(CALM_S, CALM_S + FAIL_S)
        steady = [n for n in seconds if n >= CALM_S + STEADY_S]
        each = [last[n] / first[n] for n in seconds if first[n]]
        total = sum(first[n] for n in steady)
        return cls(
            last[CALM_S] / max(1, first[CALM_S]), sum(last[n] for n in steady) / max(1, total), max(each)
        )


def chain(phase: str, depth: int, rate: float, turn: int, stage: int = 0) -> Counts:
    made = Chain(SETTINGS, depth, WIDE, failing(phase), EVENTS_MOST, stage)
    return made.run(rate, CALM_S + FAIL_S, DEADLINE_US, turn)


def write(
    out: Path, run: str, role: str, phase: str, size: float, unit: str, turn: int, **found: float
) -> None:
    made = [
        Point(run, role, phase, size, metric, "s" if metric.endswith("_s") else "count", value, unit, turn)
        for metric, value in found.items()
    ]
    points.append_points(out, made)
    for point in made:
        usage.print_point(point)


def budget(out: Path, run: str, rates: Sequence[float], turn: int) -> dict[str, float]:
    """The steady attempts a request of one inner tier alone, the largest by phase."""
    worst: dict[str, float] = {}
    for phase in BUDGET_PHASES:
        for rate in rates:
            found = chain(phase, 1, rate, turn, stage=1)
            shares = Shares.of(found.taken[0], found.last)
            write(
                out, run, "budget", phase, rate, "requests/s", turn,
                attempts_start=shares.start, attempts_steady=shares.steady, attempts_peak=shares.peak,
            )  # fmt: skip
            worst[phase] = max(worst.get(phase, 0.0), shares.steady)
    return worst


def down(out: Path, run: str, phase: str, depth: int, one: float, turn: int) -> None:
    """One chain; `one` is the steady share of a tier alone."""
    try:
        found = chain(phase, depth, RATE, turn)
    except TooManyError as error:
        usage.log_progress(f"retries {phase} at {depth} tiers: not measured: {error}")
        return
    shares = Shares.of(found.taken[0], found.last)
    failing_us = [took for due, took in found.took_us if due >= CALM_S * SECOND]
    write(
        out, run, "retries", phase, depth, "tiers", turn,
        last_for_first_start=shares.start, last_for_first_steady=shares.steady,
        last_for_first_peak=shares.peak, worst_product=one**depth,
        failed_after_p50_s=statistics.median(failing_us) / SECOND,
        failed_after_most_s=max(failing_us) / SECOND,
    )  # fmt: skip


def measure(
    out: Path = OUT,
    sizes: Sequence[int] = SIZES,
    turns: int = TURNS,
    rates: Sequence[float] = RATES,
    phases: Sequence[str] = CHAIN_PHASES,
) -> None:
    """Appends the points of `budget`, then those of each phase and depth. Turns differ by the seed.
    ConfigError where a depth is more than any chain of calls has."""
    if max(sizes) > TIERS_MOST:
        raise ConfigError(f"no chain has {max(sizes)} tiers", f"name depths up to {TIERS_MOST} by --sizes")
    run = usage.run_name()
    for turn in range(1, turns + 1):
        worst = budget(out, run, rates, turn)
        for phase in phases:
            for depth in sizes:
                down(out, run, phase, depth, worst.get(phase, worst["error"]), turn)


def main() -> None:
    parser = argparse.ArgumentParser(prog="benchmarks.scale.retries", description=__doc__)
    parser.add_argument("--out", type=Path, default=OUT)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES, help="tiers")
    parser.add_argument("--turns", type=int, default=TURNS)
    parser.add_argument("--phases", nargs="+", default=CHAIN_PHASES, choices=CHAIN_PHASES)
    options = parser.parse_args()
    measure(options.out, options.sizes, options.turns, phases=options.phases)


if __name__ == "__main__":
    main()
