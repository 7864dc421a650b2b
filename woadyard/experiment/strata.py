"""Counts by stratum (time x class x zone) and the comparisons of arms inside them.

Arms are compared within a stratum only, so that a trouble which strikes all arms, or a share that
changes half way, misleads nobody (Simpson). A stratum weighs as Mantel and Haenszel weigh it.
Several layers count the same by ever longer time: the longest with enough units speaks.
"""

from __future__ import annotations

from collections.abc import Hashable

from woadyard.experiment.confidence_sequence import ContrastSums
from woadyard.experiment.sample_ratio import SampleRatioTest

StratumCounts = list[list[int]]  # by arm: tried, good, failed, slow
GOOD, FAILED, SLOW = 1, 2, 3


class Contrast:
    """One arm minus another in one measure, kept up to date cell by cell."""

    def __init__(self, arm: int, other: int, measure: int) -> None:
        self.arm, self.other, self.measure = arm, other, measure
        self._unit_terms: dict[int, list[float]] = {}  # unit: x, w
        self._weight = self._total = self._independent_variance = self._sum_xx = self._sum_xw = (
            self._sum_ww
        ) = 0.0

    def terms(self, cell: StratumCounts) -> tuple[float, float, float]:
        """x, w and the variance of x were requests independent, of one stratum."""
        n1, n0 = cell[self.arm][0], cell[self.other][0]
        if not n1 or not n0:
            return 0.0, 0.0, 0.0
        g1, g0, n = cell[self.arm][self.measure], cell[self.other][self.measure], n1 + n0
        good = g1 + g0
        weight = n1 * n0 / n
        return (g1 * n0 - g0 * n1) / n, weight, weight * good * (n - good) / (n * (n - 1))

    def update(
        self, unit: int, before: tuple[float, float, float], after: tuple[float, float, float]
    ) -> None:
        """A stratum of this unit went from `before` to `after`."""
        if not after[1]:
            return
        held = self._unit_terms.get(unit)
        if held is None:
            held = self._unit_terms[unit] = [0.0, 0.0]
        x, w = held
        held[0] = x1 = x + after[0] - before[0]
        held[1] = w1 = w + after[1] - before[1]
        self._total += x1 - x
        self._weight += w1 - w
        self._independent_variance += after[2] - before[2]
        self._sum_xx += x1 * x1 - x * x
        self._sum_xw += x1 * w1 - x * w
        self._sum_ww += w1 * w1 - w * w

    def sums(self) -> ContrastSums:
        one = (
            self._weight,
            self._total,
            max(self._independent_variance, 0.0),
            self._sum_xx,
            self._sum_xw,
            self._sum_ww,
        )
        return ContrastSums(len(self._unit_terms), *one)


class StratifiedCounts:
    """All counts by time of one length."""

    def __init__(self, length_s: float, arms: int, pairs: list[tuple[int, int, int]]) -> None:
        self.unit_length_s = length_s
        self.contrasts = {pair: Contrast(*pair) for pair in pairs}
        self.sample_ratio = SampleRatioTest(arms)
        self._arms = arms
        self._counts_by_stratum: dict[Hashable, StratumCounts] = {}
        self._contrasts_by_arm = [
            [c for c in self.contrasts.values() if arm in (c.arm, c.other)] for arm in range(arms)
        ]

    def unit_at(self, at_s: float) -> int:
        return int(at_s // self.unit_length_s)

    def add(self, at_s: float, of: Hashable, arm: int, counts: tuple[int, int, int, int]) -> int:
        """Counts of one arm in the stratum `of` at that time; returns the unit."""
        unit = self.unit_at(at_s)
        cell = self._counts_by_stratum.get((unit, of))
        if cell is None:
            cell = self._counts_by_stratum[(unit, of)] = [[0, 0, 0, 0] for _ in range(self._arms)]
        before = [one.terms(cell) for one in self._contrasts_by_arm[arm]]
        held = cell[arm]
        for index, count in enumerate(counts):
            held[index] += count
        for one, was in zip(self._contrasts_by_arm[arm], before, strict=True):
            one.update(unit, was, one.terms(cell))
        return unit
