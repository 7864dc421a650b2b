"""A confidence sequence: confidence intervals that are valid at all looks simultaneously.

It uses Robbins' normal mixture (1970) in the asymptotic form, with the variance estimated from the
data (Waudby-Smith, Arbour, Sinha, Kennedy, Ramdas, "Time-uniform central limit theory and
asymptotic confidence sequences", Ann. Statist. 2024). Units are batches, not requests, so that
correlated outcomes of requests with the same key widen the interval by their design effect.
"""

from __future__ import annotations

import math
from functools import lru_cache
from typing import NamedTuple

from scipy.special import lambertw

# Where the boundary is tightest: the squared ratio of the smallest difference to its standard error
# in a fixed-size test. It is below the ~9 at which the smallest difference is detected, because a
# larger one is detected sooner, and the boundary is flat around its minimum
# (benchmarks/experiment.py).
TIGHTEST_SQUARED_ERRORS = 6.0
# A variance estimated from few units is multiplied by 1 + SMALL_SAMPLE_INFLATION / units, as
# Student's t is wider than the normal distribution.
SMALL_SAMPLE_INFLATION = 6.0
# The variance of two additional requests, one good and one bad: an arm whose requests were all good
# so far may still have a bad one.
PRIOR_VARIANCE = 0.5


class ContrastSums(NamedTuple):
    """The sums of one contrast over its units.

    x is the weighted difference of the arms in a unit, w the weight of the unit.
    """

    units: int
    weight: float  # sum of w
    total: float  # sum of x; total / weight estimates the difference
    variance_floor: float  # the variance of `total` if all requests were independent
    xx: float  # sum of x * x
    xw: float  # sum of x * w
    ww: float  # sum of w * w

    @property
    def difference(self) -> float:
        return self.total / self.weight if self.weight > 0 else 0.0

    @property
    def variance(self) -> float:
        """The variance of `total`, estimated between units.

        It is never below the variance of independent requests.
        """
        if self.units < 2:
            return math.inf
        mean = self.difference
        between = max(self.xx - 2 * mean * self.xw + mean * mean * self.ww, 0.0)
        between *= self.units / (self.units - 1) * (1 + SMALL_SAMPLE_INFLATION / self.units)
        return max(between, self.variance_floor) + PRIOR_VARIANCE


@lru_cache(maxsize=64)
def _tightness_ratio(alpha: float) -> float:
    """Ratio of the variance at which the boundary is tightest to the mixture's (Howard et al. 2021)."""
    return float(-lambertw(-alpha * alpha / math.e, -1).real) - 1.0


def confidence_interval(sums: ContrastSums, alpha: float, smallest_difference: float) -> tuple[float, float]:
    """Return the bounds of the difference, valid at all looks with probability 1 - `alpha`.

    `smallest_difference` is the effect size for which the interval is to be tightest.
    """
    if sums.weight <= 0 or sums.units < 2:
        return -1.0, 1.0
    variance = sums.variance
    variance_per_request = variance / sums.weight  # includes the design effect
    tightest_variance = (
        TIGHTEST_SQUARED_ERRORS
        * variance_per_request
        * variance_per_request
        / (smallest_difference * smallest_difference)
    )
    mixture_variance = tightest_variance / _tightness_ratio(alpha)
    radius = math.sqrt(
        (variance + mixture_variance)
        * math.log((variance + mixture_variance) / (mixture_variance * alpha * alpha))
    )
    radius /= sums.weight
    low, high = sums.difference - radius, sums.difference + radius
    return max(low, -1.0), min(high, 1.0)
