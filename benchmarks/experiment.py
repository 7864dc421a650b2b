"""Error rates, power and length of the stopping rule in simulated experiments.

    python -m benchmarks.experiment [--runs N] [--processes P] [--seed S] [SETTING ...]

There is a look after every batch. The settings are A/A tests for the rate of false winners
(independent requests, keys of three correlated requests, a fault of both arms half way), and tests
for power and length at no difference, at the smallest difference and at twice that. A batch is a
second with a mean of 100 requests in each arm. Lengths are compared with a fixed-size test of the
same power (two-sided, known variance).
"""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial

import numpy as np
from scipy.stats import norm

from woadyard.experiment import Plan, State, Stopper


@dataclass(frozen=True)
class Scenario:
    """A simulated experiment."""

    good_share: float = 0.9
    difference: float = 0.0  # of the shares of good requests, b minus a
    requests_per_key: int = 1  # with the same outcome: the design effect
    fault: float = 0.0  # reduces the share of good requests in both arms in the second half
    batches: int = 300
    batch_size: int = 100  # mean requests of an arm in a batch
    smallest_effect: float = 0.02
    batch_interval_s: float = 1.0
    second_half_share: float = 0.5  # b's share in the second half


SCENARIOS = {
    "aa": Scenario(),
    "aa-keys": Scenario(requests_per_key=3),
    "aa-trouble": Scenario(fault=0.3),
    "aa-keys-trouble": Scenario(requests_per_key=3, fault=0.3),
    "aa-reshared": Scenario(fault=0.3, second_half_share=0.2),
    "aa-rare": Scenario(good_share=0.995, smallest_effect=0.005),
    "aa-small": Scenario(batch_size=8, batches=600),
    "aa-keys-minutes": Scenario(requests_per_key=3, batch_interval_s=60.0),
    "none": Scenario(batches=1000),
    "smallest": Scenario(difference=0.02),
    "smallest-keys": Scenario(difference=0.02, requests_per_key=3, batches=600),
    "twice": Scenario(difference=0.04),
    "twice-keys": Scenario(difference=0.04, requests_per_key=3, batches=600),
}


def generate_counts(scenario: Scenario, rng: np.random.Generator) -> Iterator[tuple[np.ndarray, np.ndarray]]:
    """Generate for each arm the numbers of requests and of good requests by batch."""
    half_index = scenario.batches // 2
    is_second_half = np.arange(scenario.batches) >= half_index
    b_shares = np.where(is_second_half, scenario.second_half_share, 0.5)
    keys = rng.poisson(2 * scenario.batch_size / scenario.requests_per_key, scenario.batches)
    b_keys = rng.binomial(keys, b_shares)
    fault_effect = np.where(is_second_half, scenario.fault, 0.0)
    for arm_keys, improvement in ((keys - b_keys, 0.0), (b_keys, scenario.difference)):
        good = rng.binomial(arm_keys, scenario.good_share + improvement - fault_effect)
        yield arm_keys * scenario.requests_per_key, good * scenario.requests_per_key


def run_experiment(scenario: Scenario, seed: tuple[int, int]) -> tuple[State, str | None, int]:
    """Run one experiment to its end; return its state, winner and number of requests."""
    (tried_a, good_a), (tried_b, good_b) = generate_counts(scenario, np.random.default_rng(seed))
    stopper = Stopper(Plan(smallest_difference=scenario.smallest_effect))
    if scenario.second_half_share != 0.5:
        stopper.reshare(
            scenario.batches // 2 * scenario.batch_interval_s,
            (1 - scenario.second_half_share, scenario.second_half_share),
        )
    for index in range(scenario.batches):
        at_s = index * scenario.batch_interval_s
        stopper.add("one", 2 * index, at_s, "a", tried_a[index], good_a[index])
        stopper.add("one", 2 * index + 1, at_s, "b", tried_b[index], good_b[index])
        decision = stopper.decide(at_s)
        if decision.is_final:
            break
    return decision.state, decision.winner, sum(decision.tried.values())


def wilson_interval(hits: int, runs: int) -> tuple[float, float]:
    """Return the 95 % Wilson interval of a share."""
    z = float(norm.ppf(0.975))
    share, scale = hits / runs, 1 + z * z / runs
    middle = (share + z * z / (2 * runs)) / scale
    half_width = z * float(np.sqrt(share * (1 - share) / runs + z * z / (4 * runs * runs))) / scale
    return middle - half_width, middle + half_width


def fixed_size(scenario: Scenario, difference: float, power: float, alpha: float = 0.05) -> float:
    """Return the requests (both arms) of a fixed-size test that detects `difference` with `power`."""
    control_share, treatment_share = scenario.good_share, scenario.good_share + difference
    z = float(norm.ppf(1 - alpha / 2) + norm.ppf(min(power, 0.9999)))
    return (
        2
        * scenario.requests_per_key
        * z
        * z
        * (control_share * (1 - control_share) + treatment_share * (1 - treatment_share))
        / difference**2
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("settings", nargs="*", default=list(SCENARIOS))
    parser.add_argument("--runs", type=int, default=10_000)
    parser.add_argument("--processes", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    with ProcessPoolExecutor(arguments.processes) as pool:
        for name in arguments.settings:
            scenario, started_s = SCENARIOS[name], time.perf_counter()
            seeds = [(arguments.seed, run) for run in range(arguments.runs)]
            outcomes = list(pool.map(partial(run_experiment, scenario), seeds, chunksize=50))
            print_report(name, scenario, outcomes, time.perf_counter() - started_s)


def print_report(
    name: str, scenario: Scenario, outcomes: list[tuple[State, str | None, int]], duration_s: float
) -> None:
    runs = len(outcomes)
    states = dict(Counter(str(state) for state, _, _ in outcomes))
    mean = sum(tried for _, _, tried in outcomes) / runs
    line = f"{name}: {runs} runs, {duration_s:.0f} s, {states}, mean requests {mean:.0f}"
    if not scenario.difference:
        false_winners = sum(winner is not None for _, winner, _ in outcomes)
        low, high = wilson_interval(false_winners, runs)
        line += f", false winners {false_winners / runs:.4f} (Wilson {low:.4f} to {high:.4f})"
    else:
        power = sum(winner == "b" for _, winner, _ in outcomes) / runs
        wrong = sum(winner == "a" for _, winner, _ in outcomes)
        line += f", power {power:.4f}, wrong winners {wrong}"
        # A fixed-size test is planned for the smallest difference, as the true one is unknown.
        for label, size, planned_power in (
            ("of power 0.8 at the smallest difference", scenario.smallest_effect, 0.8),
            ("of this power at the smallest difference", scenario.smallest_effect, power),
            ("of power 0.8 at the true difference", scenario.difference, 0.8),
        ):
            line += f", ratio to a fixed size {label} {mean / fixed_size(scenario, size, planned_power):.3f}"
    print(line, file=sys.stdout, flush=True)


if __name__ == "__main__":
    main()
