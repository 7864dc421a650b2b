"""A sequential test of sample ratio mismatch: whether the arms get their planned shares.

The Bayes factor of a Dirichlet-multinomial against the planned shares is an e-process: the
probability that it exceeds 1 / alpha at any look is at most alpha (Lindon and Malek,
"Anytime-valid inference for multinomial count data", 2022; Ville's inequality). All requests of a
key go to the same arm, so the counts are first divided by their design effect, which is estimated
from the variation between units of time (Rao and Scott, 1981).
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from scipy.special import gammaln

PRIOR_WEIGHT = 100.0  # of the Dirichlet prior: most sensitive to shares off by about 0.05
# The prior of the design effect, and its weight as a number of units of time.
DESIGN_EFFECT_PRIOR, DESIGN_EFFECT_PRIOR_UNITS = 4.0, 8.0
SMALL_SAMPLE_INFLATION = 10.0  # dispersion estimated from few units is multiplied by 1 + this / units


class SampleRatioTest:
    """Tests counts by unit of time and arm against shares that may change between units."""

    def __init__(self, arm_count: int) -> None:
        self.units: dict[int, list[int]] = {}
        self._arm_count = arm_count
        self._totals_by_shares: dict[tuple[float, ...], list[int]] = {}
        self._pearson = 0.0
        self._shares_by_unit: dict[int, tuple[float, ...]] = {}

    def add(self, unit: int, arm: int, requests: int, shares: tuple[float, ...] | None) -> None:
        """Count requests of an arm in a unit of time.

        `shares` is None if they changed within the unit, which is then left out of the test.
        """
        if shares is None or not requests:
            return
        counts = self.units.get(unit)
        if counts is None:
            counts = self.units[unit] = [0] * self._arm_count
            self._shares_by_unit[unit] = shares
        self._pearson -= _pearson_statistic(counts, shares)
        counts[arm] += requests
        self._pearson += _pearson_statistic(counts, shares)
        totals = self._totals_by_shares.get(shares)
        if totals is None:
            totals = self._totals_by_shares[shares] = [0] * self._arm_count
        totals[arm] += requests

    def log_bayes_factor(
        self, newest: int, open_units: int, slack: float, design_effect_prior: float = DESIGN_EFFECT_PRIOR
    ) -> float:
        """Return the log of the Bayes factor against the planned shares; 0 with too few units.

        The last `open_units` units up to `newest` are left out, because they may be incomplete.
        `design_effect_prior` is the design effect that is assumed until the units show it.
        """
        excluded_units = [unit for unit in range(newest - open_units + 1, newest + 1) if unit in self.units]
        unit_count = len(self.units) - len(excluded_units)
        if unit_count < 2:
            return 0.0
        pearson = self._pearson - sum(
            _pearson_statistic(self.units[unit], self._shares_by_unit[unit]) for unit in excluded_units
        )
        pearson_about_observed = 0.0
        counts_and_shares = []
        for shares, totals in self._totals_by_shares.items():
            counts = totals.copy()
            for unit in excluded_units:
                if self._shares_by_unit[unit] == shares:
                    counts = [
                        total - excluded for total, excluded in zip(counts, self.units[unit], strict=True)
                    ]
            counts_and_shares.append((_nearest_shares(shares, counts, slack), counts))
            pearson_about_observed += _pearson_statistic(counts, shares)
        # The dispersion is taken around the observed shares, not the planned ones: a steady mismatch
        # must not count as a design effect.
        spread = (
            max(pearson - pearson_about_observed, 0.0)
            / (self._arm_count - 1)
            * (1 + SMALL_SAMPLE_INFLATION / unit_count)
        )
        design_effect = max(
            (spread + design_effect_prior * DESIGN_EFFECT_PRIOR_UNITS)
            / (unit_count - 1 + DESIGN_EFFECT_PRIOR_UNITS),
            1.0,
        )
        return sum(
            _log_bayes_factor([count / design_effect for count in counts], shares)
            for shares, counts in counts_and_shares
        )


def _pearson_statistic(counts: Sequence[int], shares: Sequence[float]) -> float:
    total = sum(counts)
    if not total:
        return 0.0
    return sum(count * count / (total * share) for count, share in zip(counts, shares, strict=True)) - total


def _nearest_shares(shares: tuple[float, ...], counts: Sequence[int], slack: float) -> Sequence[float]:
    """Return the shares within `slack` of the planned ones that are nearest to the observed ones."""
    total = sum(counts)
    if not slack or not total:
        return shares
    nearest = [
        min(max(count / total, planned - slack, 1e-9), planned + slack)
        for count, planned in zip(counts, shares, strict=True)
    ]
    return [share / math.fsum(nearest) for share in nearest]


def _log_bayes_factor(counts: Sequence[float], shares: Sequence[float]) -> float:
    total = math.fsum(counts)
    log_factor = gammaln(PRIOR_WEIGHT) - gammaln(total + PRIOR_WEIGHT)
    for count, share in zip(counts, shares, strict=True):
        log_factor += (
            gammaln(count + PRIOR_WEIGHT * share) - gammaln(PRIOR_WEIGHT * share) - count * math.log(share)
        )
    return float(log_factor)
