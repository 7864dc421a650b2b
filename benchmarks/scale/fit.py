"""Lines through the points of each series: what one more sidecar costs.

A series is one role, phase and metric. Void points, whose driver was the limit, are left out and counted.
The line is by least squares over the rest. It counts as none where all of this holds:

- it misses the mean of some size by more than `MISS` of the greatest mean;
- that miss is more than `NOISE` times the spread between turns at one size (0 where each was run once);
- two lines that meet at one of the sizes between leave less than `MEND` of the squares that one leaves:
  a *knee*, at that size; or no two do, and the one line misses by more than `SCATTER`: *scatter*.

A knee needs points at `KNEE_SIZES` sizes at least.
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
MISS, SCATTER, NOISE, MEND, KNEE_SIZES = 0.05, 0.25, 2.0, 0.25, 4

Series = tuple[str, str, str]  # role, phase, metric
Floats = NDArray[np.float64]


class PointsError(WoadyardError):
    """The points can't be read, or don't belong together."""

    remedy = "run the scale run that writes the file; see benchmarks/scale/points.py for a point's form"


@dataclass(frozen=True)
class LineFit:
    """The line of one series: `slope * size + base`, in the metric's unit, and how well it tells."""

    unit: str
    size_unit: str
    sizes: tuple[float, ...]  # with points that count, from the least
    means: tuple[float, ...]  # of the turns at each size
    slope: float
    base: float
    max_residual: float  # the greatest distance of a size's mean from the line
    r2: float  # 1 where all means are alike
    slope_error: float  # standard error of the slope; nan with fewer than three points
    knee: float | None  # the size where two lines meet that tell more than one
    is_scatter: bool  # neither one line nor two tell it
    point_count: int
    void_count: int
    min_turns: int  # at the size that was run least often
    max_load: float  # of the machine, the greatest of the points that count

    @property
    def is_line(self) -> bool:
        return self.knee is None and not self.is_scatter

    @property
    def verdict(self) -> str:
        if self.is_scatter:
            return "no line, scatter"
        if self.knee is not None:
            return f"no line, knee at {self.knee:g}"
        return "line" if len(self.sizes) >= KNEE_SIZES else f"line of {len(self.sizes)} sizes"

    def value_at(self, size: float) -> float:
        """The line's value; where it is none, between the means of the sizes next to it, and past them
        on the straight through the last two."""
        if self.is_line:
            return self.slope * size + self.base
        low = int(np.clip(np.searchsorted(self.sizes, size) - 1, 0, len(self.sizes) - 2))
        (x, further), (y, other) = self.sizes[low : low + 2], self.means[low : low + 2]
        return y + (other - y) * (size - x) / (further - x)


def group_by_series(points: Iterable[Point]) -> dict[Series, list[Point]]:
    """By series; PointsError where one has two units."""
    found: dict[Series, list[Point]] = {}
    for point in points:
        found.setdefault(point.series, []).append(point)
    for series, some in found.items():
        if len({(one.unit, one.size_unit) for one in some}) > 1:
            raise PointsError(f"{' '.join(series)} has points of several units")
    return found


def load_points(folder: Path = POINTS_FOLDER) -> dict[Series, list[Point]]:
    """All points of the folder's files; PointsError where there is none, or a line is no point."""
    if not folder.is_dir():
        raise PointsError(f"no folder of points: {folder}")
    try:
        return group_by_series(read_points(sorted(folder.glob("*.jsonl"))))
    except (OSError, msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PointsError(str(error)) from None


def fit_line(points: Iterable[Point]) -> LineFit | None:
    """The line of one series' points; None where those that count are of fewer than two sizes."""
    some = list(points)
    good = [one for one in some if not one.is_void]
    by_size: dict[float, list[float]] = {}
    for one in sorted(good, key=lambda one: one.size):
        by_size.setdefault(one.size, []).append(one.value)
    if len(by_size) < 2:
        return None
    x = np.array([one.size for one in good], dtype=np.float64)
    y = np.array([one.value for one in good], dtype=np.float64)
    (base, slope), left = _least(np.column_stack((np.ones_like(x), x)), y)
    sizes, means = tuple(by_size), tuple(float(np.mean(values)) for values in by_size.values())
    miss = max(abs(mean - base - slope * size) for size, mean in zip(sizes, means, strict=True))
    off = float(np.sum((y - y.mean()) ** 2))
    spread = float(np.sum((x - x.mean()) ** 2))
    knee, scatter = _judge(x, y, by_size, miss, left)
    return LineFit(
        unit=good[0].unit,
        size_unit=good[0].size_unit,
        sizes=sizes,
        means=means,
        slope=slope,
        base=base,
        max_residual=miss,
        r2=1.0 - left / off if off > 0.0 else 1.0,
        slope_error=float(np.sqrt(left / (len(good) - 2) / spread)) if len(good) > 2 else float("nan"),
        knee=knee,
        is_scatter=scatter,
        point_count=len(good),
        void_count=len(some) - len(good),
        min_turns=min(len(values) for values in by_size.values()),
        max_load=max(one.load for one in good),
    )


def _least(columns: Floats, y: Floats) -> tuple[tuple[float, ...], float]:
    """Weights of the columns, and the squares that they leave."""
    scale = np.abs(columns).max(axis=0)
    weights = np.linalg.lstsq(columns / scale, y, rcond=None)[0] / scale
    return tuple(float(one) for one in weights), float(np.sum((y - columns @ weights) ** 2))


def _judge(
    x: Floats, y: Floats, by_size: dict[float, list[float]], miss: float, left: float
) -> tuple[float | None, bool]:
    """The knee, and whether it is scatter; see the module's words."""
    level = max(abs(float(np.mean(values))) for values in by_size.values())
    varied = [float(np.var(values, ddof=1)) for values in by_size.values() if len(values) > 1]
    noise = float(np.sqrt(np.mean(varied))) if varied else 0.0
    if len(by_size) < KNEE_SIZES or miss <= max(MISS * level, NOISE * noise):
        return None, False
    sizes = list(by_size)[1:-1]
    bent = [_least(np.column_stack((np.ones_like(x), x, np.maximum(0.0, x - k))), y)[1] for k in sizes]
    if min(bent) < MEND * left:
        return sizes[int(np.argmin(bent))], False
    return None, miss > SCATTER * level


# --- The command ------------------------------------------------------------------------------


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--points", type=Path, default=POINTS_FOLDER, help="folder of the points")
    parser.add_argument("--role", help="this role alone")


def main(arguments: argparse.Namespace) -> int:
    """Print the table; 2 where the points can't be read."""
    try:
        found = load_points(arguments.points)
    except PointsError as error:
        print(f"{error}; {error.remedy}", file=sys.stderr)
        return 2
    wanted = {series: some for series, some in found.items() if arguments.role in (None, series[0])}
    if not wanted:
        print(f"no points in {arguments.points}; {PointsError.remedy}", file=sys.stderr)
        return 2
    print("\n".join(table(wanted)))
    return 0


def table(found: dict[Series, list[Point]]) -> list[str]:
    """A line of text for each series."""
    heads = ("role", "phase", "metric", "unit", "slope", "+-", "base", "miss", "R2", "verdict", "n", "void")
    rows: list[tuple[str, ...]] = [(*heads, "turns", "load")]
    for series, some in sorted(found.items()):
        one = fit_line(some)
        if one is None:
            void = sum(point.is_void for point in some)
            good = {point.size for point in some if not point.is_void}
            verdict = "all void" if not good else f"{len(good)} size"
            rows.append(
                (*series, some[0].unit, "", "", "", "", "", verdict, str(len(some) - void), str(void), "", "")
            )
            continue
        unit = f"{one.unit} / {one.size_unit.removesuffix('s')}"
        figures = (one.slope, one.slope_error, one.base, one.max_residual, one.r2)
        counts = (one.point_count, one.void_count, one.min_turns, one.max_load)
        shown = (*(f"{figure:.3g}" for figure in figures), one.verdict, *(f"{count:.3g}" for count in counts))
        rows.append((*series, unit, *shown))
    widths = [max(len(row[at]) for row in rows) for at in range(len(rows[0]))]
    return [
        "  ".join(cell.ljust(wide) for cell, wide in zip(row, widths, strict=True)).rstrip() for row in rows
    ]
