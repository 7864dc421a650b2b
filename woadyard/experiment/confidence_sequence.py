"""A confidence sequence: an interval that holds at every look together, whoever looks when.

Robbins' normal mixture (1970), in the asymptotic form with the variance learned from the data
(Waudby-Smith, Arbour, Sinha, Kennedy, Ramdas, "Time-uniform central limit theory and asymptotic
confidence sequences", Ann. Statist. 2024). Units are batches, not requests, so that requests of
one key that fare alike widen it by as much as they are alike (their design effect).
"""

from __future__ import annotations

import math
from functools import lru_cache
from typing import NamedTuple

from scipy.special import lambertw

# Where the boundary is tightest, in fixed-size standard errors squared at the smallest
# difference. Below the ~9 at which a difference just as small is found: a larger one is found
# sooner, and the boundary is flat (benchmarks/experiment.py).
TIGHTEST_SQUARED_ERRORS = 6.0
# A variance learned from few units is widened by 1 + SMALL / units (as Student's t is wider).
SMALL_SAMPLE_INFLATION = 6.0
# Variance of two more requests, one good and one bad: all good so far is not sure to be so.
PRIOR_VARIANCE = 0.5


class ContrastSums(NamedTuple):
    """Of one comparison: x is the weighted difference of each unit, w its weight."""

    units: int
    weight: float  # sum of w
    total: float  # sum of x; total / weight is the difference
    independent_variance: float  # the variance of `total` were all requests independent
    xx: float
    xw: float
    ww: float

    @property
    def difference(self) -> float:
        return self.total / self.weight if self.weight > 0 else 0.0

    @property
    def variance(self) -> float:
        """Of `total`: between units, and never below that of independent requests."""
        if self.units < 2:
            return math.inf
        mean = self.difference
        between = max(self.xx - 2 * mean * self.xw + mean * mean * self.ww, 0.0)
        between *= self.units / (self.units - 1) * (1 + SMALL_SAMPLE_INFLATION / self.units)
        return max(between, self.independent_variance) + PRIOR_VARIANCE


@lru_cache(maxsize=64)
def _tightness_ratio(alpha: float) -> float:
    """The variance at which a mixture is tightest, over the mixture's own (Howard et al. 2021)."""
    return float(-lambertw(-alpha * alpha / math.e, -1).real) - 1.0


def confidence_interval(sums: ContrastSums, alpha: float, smallest_difference: float) -> tuple[float, float]:
    """(low, high) of the difference, which holds over all looks with chance 1 - alpha.

    `smallest` is the difference for which the interval is to be tightest."""
    if sums.weight <= 0 or sums.units < 2:
        return -1.0, 1.0
    variance = sums.variance
    each = variance / sums.weight  # of one request, with its likeness to others
    design = TIGHTEST_SQUARED_ERRORS * each * each / (smallest_difference * smallest_difference)
    eta = design / _tightness_ratio(alpha)
    radius = math.sqrt((variance + eta) * math.log((variance + eta) / (eta * alpha * alpha)))
    radius /= sums.weight
    low, high = sums.difference - radius, sums.difference + radius
    return max(low, -1.0), min(high, 1.0)
