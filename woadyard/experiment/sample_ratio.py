"""Did the arms get their shares? A sequential test of sample ratio mismatch.

The Bayes factor of a Dirichlet-multinomial against the plan's shares is an e-process: it passes
1 / alpha at any look with chance alpha at most (Lindon and Malek, "Anytime-valid inference for
multinomial count data", 2022; Ville). Requests of one key go to one arm together, so the counts
are first divided by their design effect, as the batches show it (Rao and Scott, 1981).
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from scipy.special import gammaln

PRIOR_WEIGHT = 100.0  # the Dirichlet's weight: it looks for shares off by about 0.05
# Till batches show the design effect it is taken for this, with the weight of so many batches.
DESIGN_EFFECT_PRIOR, DESIGN_EFFECT_PRIOR_UNITS = 4.0, 8.0
SMALL_SAMPLE_INFLATION = 10.0  # a spread learned from few units is widened by 1 + SMALL / units


class SampleRatioTest:
    """Counts of requests by unit of time and arm against shares that may change between units."""

    def __init__(self, arms: int) -> None:
        self.units: dict[int, list[int]] = {}
        self._arms = arms
        self._totals_by_shares: dict[tuple[float, ...], list[int]] = {}
        self._pearson = 0.0
        self._shares_by_unit: dict[int, tuple[float, ...]] = {}

    def add(self, unit: int, arm: int, tried: int, shares: tuple[float, ...] | None) -> None:
        """`shares` None: they changed within this unit, which tells nothing then."""
        if shares is None or not tried:
            return
        counts = self.units.get(unit)
        if counts is None:
            counts = self.units[unit] = [0] * self._arms
            self._shares_by_unit[unit] = shares
        self._pearson -= _pearson_statistic(counts, shares)
        counts[arm] += tried
        self._pearson += _pearson_statistic(counts, shares)
        totals = self._totals_by_shares.get(shares)
        if totals is None:
            totals = self._totals_by_shares[shares] = [0] * self._arms
        totals[arm] += tried

    def log_bayes_factor(
        self, newest: int, open_units: int, slack: float, design_effect_prior: float = DESIGN_EFFECT_PRIOR
    ) -> float:
        """log of the Bayes factor against the plan's shares, without the last `open_units` up to
        `newest` (they may be half told); 0 while nothing is known. `guess` is the design effect
        that is taken for likely before batches show it."""
        held = [unit for unit in range(newest - open_units + 1, newest + 1) if unit in self.units]
        units = len(self.units) - len(held)
        if units < 2:
            return 0.0
        pearson = self._pearson - sum(
            _pearson_statistic(self.units[unit], self._shares_by_unit[unit]) for unit in held
        )
        about = 0.0
        parts = []
        for shares, totals in self._totals_by_shares.items():
            counts = totals.copy()
            for unit in held:
                if self._shares_by_unit[unit] == shares:
                    counts = [total - one for total, one in zip(counts, self.units[unit], strict=True)]
            parts.append((_nearest_shares(shares, counts, slack), counts))
            about += _pearson_statistic(counts, shares)
        # Spread between units about what was seen, not about the plan: a steady mismatch is none.
        spread = max(pearson - about, 0.0) / (self._arms - 1) * (1 + SMALL_SAMPLE_INFLATION / units)
        effect = max(
            (spread + design_effect_prior * DESIGN_EFFECT_PRIOR_UNITS)
            / (units - 1 + DESIGN_EFFECT_PRIOR_UNITS),
            1.0,
        )
        return sum(
            _log_bayes_factor([count / effect for count in counts], shares) for shares, counts in parts
        )


def _pearson_statistic(counts: Sequence[int], shares: Sequence[float]) -> float:
    total = sum(counts)
    if not total:
        return 0.0
    return sum(n * n / (total * share) for n, share in zip(counts, shares, strict=True)) - total


def _nearest_shares(shares: tuple[float, ...], counts: Sequence[int], slack: float) -> Sequence[float]:
    """The shares nearest to what was counted within `slack` of the plan's."""
    total = sum(counts)
    if not slack or not total:
        return shares
    near = [min(max(n / total, s - slack, 1e-9), s + slack) for n, s in zip(counts, shares, strict=True)]
    return [one / math.fsum(near) for one in near]


def _log_bayes_factor(counts: Sequence[float], shares: Sequence[float]) -> float:
    total = math.fsum(counts)
    value = gammaln(PRIOR_WEIGHT) - gammaln(total + PRIOR_WEIGHT)
    for n, share in zip(counts, shares, strict=True):
        value += gammaln(n + PRIOR_WEIGHT * share) - gammaln(PRIOR_WEIGHT * share) - n * math.log(share)
    return float(value)
