"""Fits a straight line to each series of points: the cost of one more sidecar.

A series is one role, phase and metric. Void points, whose driver was the bottleneck, are excluded and
counted. The line is a least-squares fit of the others. It is rejected if all of the following holds:

- its greatest residual, by the mean of the points at one size, exceeds `MAX_RELATIVE_RESIDUAL` times the
  greatest mean;
- that residual exceeds `NOISE_FACTOR` times the standard deviation between turns at one size (0 if each
  size was run once);
- two lines that meet at one of the inner sizes leave less than `KNEE_GAIN` of the single line's sum of
  squared residuals: a *knee* at that size; or, failing that, the residual exceeds
  `SCATTER_RELATIVE_RESIDUAL` times the greatest mean: *scatter*.

A knee needs points at `MIN_KNEE_SIZES` sizes or more.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec
import numpy as np
from numpy.typing import NDArray

from benchmarks.scale.points import Point, read_points
from woadyard.errors import WoadyardError

POINTS_FOLDER = Path(__file__).parents[2] / "docs" / "capacity"
MAX_RELATIVE_RESIDUAL, SCATTER_RELATIVE_RESIDUAL, NOISE_FACTOR, KNEE_GAIN, MIN_KNEE_SIZES = (
    0.05, 0.25, 2.0, 0.25, 4,
)  # fmt: skip

Series = tuple[str, str, str]  # role, phase, metric
Floats = NDArray[np.float64]


class PointsError(WoadyardError):
    """Points can't be read, or points of one series differ in their units."""

    remedy = "repeat the scale run that writes the file; benchmarks/scale/points.py describes its format"


@dataclass(frozen=True)
class LineFit:
    """The line of one series, `slope * size + base` in the metric's unit, and its goodness of fit."""

    unit: str
    size_unit: str
    sizes: tuple[float, ...]  # those with valid points, ascending
    means: tuple[float, ...]  # over the turns at each size
    slope: float
    base: float
    max_residual: float  # greatest distance of the mean at a size from the line
    r2: float  # 1 if all values are equal
    slope_error: float  # standard error of the slope; nan for fewer than three points
    knee: float | None  # the size where two lines meet that fit better than one
    is_scatter: bool  # neither one line nor two fit
    point_count: int  # valid points
    void_count: int
    min_turns: int  # at the size with the fewest points
    max_load: float  # greatest one-minute load average of the valid points

    @property
    def is_line(self) -> bool:
        return self.knee is None and not self.is_scatter

    @property
    def verdict(self) -> str:
        if self.is_scatter:
            return "no line, scatter"
        if self.knee is not None:
            return f"no line, knee at {self.knee:g}"
        return "line" if len(self.sizes) >= MIN_KNEE_SIZES else f"line of {len(self.sizes)} sizes"

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size.

        Where no line fits, interpolates between the means of the adjacent sizes, and extrapolates
        through the outermost two.
        """
        if self.is_line:
            return self.slope * size + self.base
        low = int(np.clip(np.searchsorted(self.sizes, size) - 1, 0, len(self.sizes) - 2))
        (x0, x1), (y0, y1) = self.sizes[low : low + 2], self.means[low : low + 2]
        return y0 + (y1 - y0) * (size - x0) / (x1 - x0)


def group_by_series(points: Iterable[Point]) -> dict[Series, list[Point]]:
    """Group points by series; raises PointsError if the units within a series differ."""
    grouped: dict[Series, list[Point]] = {}
    for point in points:
        grouped.setdefault(point.series, []).append(point)
    for series, members in grouped.items():
        if len({(member.unit, member.size_unit) for member in members}) > 1:
            raise PointsError(f"{' '.join(series)} has points with different units")
    return grouped


def load_points(folder: Path = POINTS_FOLDER) -> dict[Series, list[Point]]:
    """Load all points in the folder; raises PointsError if it is missing or a line is invalid."""
    if not folder.is_dir():
        raise PointsError(f"the folder of points does not exist: {folder}")
    try:
        return group_by_series(read_points(sorted(folder.glob("*.jsonl"))))
    except (OSError, msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PointsError(str(error)) from None


def fit_line(points: Iterable[Point]) -> LineFit | None:
    """Fit a line to the points of one series; None if fewer than two sizes have valid points."""
    series_points = list(points)
    valid = [point for point in series_points if not point.is_void]
    by_size: dict[float, list[float]] = {}
    for point in sorted(valid, key=lambda point: point.size):
        by_size.setdefault(point.size, []).append(point.value)
    if len(by_size) < 2:
        return None
    x = np.array([point.size for point in valid], dtype=np.float64)
    y = np.array([point.value for point in valid], dtype=np.float64)
    (base, slope), squared_error = _least_squares(np.column_stack((np.ones_like(x), x)), y)
    sizes, means = tuple(by_size), tuple(float(np.mean(values)) for values in by_size.values())
    max_residual = max(abs(mean - base - slope * size) for size, mean in zip(sizes, means, strict=True))
    y_variation = float(np.sum((y - y.mean()) ** 2))
    x_variation = float(np.sum((x - x.mean()) ** 2))
    knee, is_scatter = _detect_knee(x, y, by_size, max_residual, squared_error)
    return LineFit(
        unit=valid[0].unit,
        size_unit=valid[0].size_unit,
        sizes=sizes,
        means=means,
        slope=slope,
        base=base,
        max_residual=max_residual,
        r2=1.0 - squared_error / y_variation if y_variation > 0.0 else 1.0,
        slope_error=float(np.sqrt(squared_error / (len(valid) - 2) / x_variation))
        if len(valid) > 2
        else float("nan"),
        knee=knee,
        is_scatter=is_scatter,
        point_count=len(valid),
        void_count=len(series_points) - len(valid),
        min_turns=min(len(values) for values in by_size.values()),
        max_load=max(point.load for point in valid),
    )


def _least_squares(columns: Floats, y: Floats) -> tuple[tuple[float, ...], float]:
    """Return the weights of the columns and the sum of squared residuals."""
    scale = np.abs(columns).max(axis=0)
    weights = np.linalg.lstsq(columns / scale, y, rcond=None)[0] / scale
    return tuple(float(weight) for weight in weights), float(np.sum((y - columns @ weights) ** 2))


def _detect_knee(
    x: Floats, y: Floats, by_size: dict[float, list[float]], max_residual: float, squared_error: float
) -> tuple[float | None, bool]:
    """Return the size of the knee, if any, and whether the series is scatter (see the module docstring)."""
    greatest_mean = max(abs(float(np.mean(values))) for values in by_size.values())
    variances = [float(np.var(values, ddof=1)) for values in by_size.values() if len(values) > 1]
    noise = float(np.sqrt(np.mean(variances))) if variances else 0.0
    if len(by_size) < MIN_KNEE_SIZES or max_residual <= max(
        MAX_RELATIVE_RESIDUAL * greatest_mean, NOISE_FACTOR * noise
    ):
        return None, False
    inner_sizes = list(by_size)[1:-1]
    bent_errors = [
        _least_squares(np.column_stack((np.ones_like(x), x, np.maximum(0.0, x - knee))), y)[1]
        for knee in inner_sizes
    ]
    if min(bent_errors) < KNEE_GAIN * squared_error:
        return inner_sizes[int(np.argmin(bent_errors))], False
    return None, max_residual > SCATTER_RELATIVE_RESIDUAL * greatest_mean


# --- The command ------------------------------------------------------------------------------


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--points", type=Path, default=POINTS_FOLDER, help="folder of the points")
    parser.add_argument("--role", help="only the series of this role")


def main(arguments: argparse.Namespace) -> int:
    """Print the table of fits; returns 2 if no points can be read."""
    try:
        all_series = load_points(arguments.points)
    except PointsError as error:
        print(f"{error}; {error.remedy}", file=sys.stderr)
        return 2
    selected = {
        series: series_points
        for series, series_points in all_series.items()
        if arguments.role in (None, series[0])
    }
    if not selected:
        print(f"no points in {arguments.points}; {PointsError.remedy}", file=sys.stderr)
        return 2
    print("\n".join(table(selected)))
    return 0


def table(all_series: dict[Series, list[Point]]) -> list[str]:
    """Return the lines of the table: a heading, then one line for each series."""
    headings = (
        "role", "phase", "metric", "unit", "slope", "+-", "base", "miss", "R2", "verdict", "n", "void",
    )  # fmt: skip
    rows: list[tuple[str, ...]] = [(*headings, "turns", "load")]
    for series, points in sorted(all_series.items()):
        fit = fit_line(points)
        if fit is None:
            void_count = sum(point.is_void for point in points)
            valid_sizes = {point.size for point in points if not point.is_void}
            verdict = "all void" if not valid_sizes else f"{len(valid_sizes)} size"
            rows.append(
                (*series, points[0].unit, "", "", "", "", "", verdict,
                 str(len(points) - void_count), str(void_count), "", "")
            )  # fmt: skip
            continue
        unit = f"{fit.unit} / {fit.size_unit.removesuffix('s')}"
        figures = (fit.slope, fit.slope_error, fit.base, fit.max_residual, fit.r2)
        counts = (fit.point_count, fit.void_count, fit.min_turns, fit.max_load)
        cells = (*(f"{figure:.3g}" for figure in figures), fit.verdict, *(f"{count:.3g}" for count in counts))
        rows.append((*series, unit, *cells))
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in rows
    ]
