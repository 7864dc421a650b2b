"""Counts by stratum (unit of time x class x zone) and the contrasts of arms within strata.

Arms are compared within a stratum only, so that a fault that affects all arms, or a share that
changes half way, doesn't bias the comparison (Simpson's paradox). Strata are combined with
Mantel-Haenszel weights. The same requests are counted at several resolutions of time; the
coarsest one with enough units is used.
"""

from __future__ import annotations

from collections.abc import Hashable

from woadyard.experiment.confidence_sequence import ContrastSums
from woadyard.experiment.sample_ratio import SampleRatioTest

StratumCounts = list[list[int]]  # by arm: tried, good, failed, slow
# Measures of a contrast, as indexes into the counts of an arm.
GOOD, FAILED, SLOW = 1, 2, 3


class Contrast:
    """The weighted difference of two arms in one measure, updated stratum by stratum."""

    def __init__(self, arm: int, other: int, measure: int) -> None:
        self.arm, self.other, self.measure = arm, other, measure
        self._unit_terms: dict[int, list[float]] = {}  # by unit: [x, w]
        self._weight = self._total = self._variance_floor = self._sum_xx = self._sum_xw = self._sum_ww = 0.0

    def terms(self, counts: StratumCounts) -> tuple[float, float, float]:
        """Return x, w and the variance of x for one stratum.

        x is the weighted difference of the arms, w the Mantel-Haenszel weight; the variance is
        that of independent requests. All are 0 if an arm has no requests.
        """
        tried, other_tried = counts[self.arm][0], counts[self.other][0]
        if not tried or not other_tried:
            return 0.0, 0.0, 0.0
        hits, other_hits, all_tried = (
            counts[self.arm][self.measure],
            counts[self.other][self.measure],
            tried + other_tried,
        )
        all_hits = hits + other_hits
        weight = tried * other_tried / all_tried
        return (
            (hits * other_tried - other_hits * tried) / all_tried,
            weight,
            weight * all_hits * (all_tried - all_hits) / (all_tried * (all_tried - 1)),
        )

    def update(
        self, unit: int, before: tuple[float, float, float], after: tuple[float, float, float]
    ) -> None:
        """Replace the terms of a stratum of `unit`: `before` by `after`."""
        if not after[1]:
            return
        unit_terms = self._unit_terms.get(unit)
        if unit_terms is None:
            unit_terms = self._unit_terms[unit] = [0.0, 0.0]
        x, w = unit_terms
        unit_terms[0] = new_x = x + after[0] - before[0]
        unit_terms[1] = new_w = w + after[1] - before[1]
        self._total += new_x - x
        self._weight += new_w - w
        self._variance_floor += after[2] - before[2]
        self._sum_xx += new_x * new_x - x * x
        self._sum_xw += new_x * new_w - x * w
        self._sum_ww += new_w * new_w - w * w

    def sums(self) -> ContrastSums:
        sums_over_units = (
            self._weight,
            self._total,
            max(self._variance_floor, 0.0),
            self._sum_xx,
            self._sum_xw,
            self._sum_ww,
        )
        return ContrastSums(len(self._unit_terms), *sums_over_units)


class StratifiedCounts:
    """All counts at one resolution: by unit of time of one length, class and zone."""

    def __init__(self, unit_length_s: float, arms: int, pairs: list[tuple[int, int, int]]) -> None:
        self.unit_length_s = unit_length_s
        self.contrasts = {pair: Contrast(*pair) for pair in pairs}
        self.sample_ratio = SampleRatioTest(arms)
        self._arms = arms
        self._counts_by_stratum: dict[Hashable, StratumCounts] = {}
        self._contrasts_by_arm = [
            [contrast for contrast in self.contrasts.values() if arm in (contrast.arm, contrast.other)]
            for arm in range(arms)
        ]

    def unit_at(self, at_s: float) -> int:
        return int(at_s // self.unit_length_s)

    def add(self, at_s: float, stratum: Hashable, arm: int, counts: tuple[int, int, int, int]) -> int:
        """Add the counts of one arm in a stratum at `at_s`; return the number of the unit of time."""
        unit = self.unit_at(at_s)
        stratum_counts = self._counts_by_stratum.get((unit, stratum))
        if stratum_counts is None:
            stratum_counts = self._counts_by_stratum[(unit, stratum)] = [
                [0, 0, 0, 0] for _ in range(self._arms)
            ]
        before = [contrast.terms(stratum_counts) for contrast in self._contrasts_by_arm[arm]]
        arm_counts = stratum_counts[arm]
        for index, count in enumerate(counts):
            arm_counts[index] += count
        for contrast, old_terms in zip(self._contrasts_by_arm[arm], before, strict=True):
            contrast.update(unit, old_terms, contrast.terms(stratum_counts))
        return unit
