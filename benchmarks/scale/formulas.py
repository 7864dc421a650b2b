"""The formulas behind the figures of docs/CAPACITY.md: plain arithmetic over measured points.

A formula may hold numbers, the names of `size.toml` and of figures defined earlier on the page,
`+ - * / **`, one comparison (the result is `holds` or `broken`) and the functions below. R, P and M are
a role, a phase and a metric in quotes:

    slope(R, P, M)           slope of the line, per unit of size; `no line` where no line fits
    base(R, P, M)            value of the line at size 0
    at(R, P, M, size)        value of the line; where no line fits, interpolated between the nearest means
    measured(R, P, M, size)  mean of the points at exactly that size
    worst(R, P, M[, size])   greatest value, over all points or over those at that size
    knee(R, P, M)            size at which the curve bends; `none` where it does not
    turns(R, P, M)           smallest number of points at any one size
    load(R, P, M)            greatest one-minute load average of the machine while the points were taken
    voids(R, P, M)           number of void points of the series
    breaks(R, P, M, budget)  smallest size whose value exceeds the budget, interpolated linearly between
                             the sizes; `none` if no measured size exceeds it
    falls(R, P, M, goal)     the same for a value that must not drop below the goal
    code(FILE, NAME)         a constant of the program, read from its source file
    min max ceil floor

Each of the first eleven takes `since="..."` and `until="..."`, the first and last run that count. A figure
without a value is shown as a word: `not measured`, `void` (all its points are void), `no line` or `none`.
"""

from __future__ import annotations

import ast
import math
import operator
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.scale.fit import LineFit, Series, fit_line
from benchmarks.scale.points import Point
from woadyard.errors import WoadyardError

MAX_FORMULA_CHARS, MAX_EXPONENT = 600, 128  # characters of a formula; absolute value of an exponent
NOT_MEASURED, VOID, NO_LINE, NONE = "not measured", "void", "no line", "none"
HOLDS, BROKEN = "holds", "broken"
RESULT_WORDS = (NOT_MEASURED, VOID, NO_LINE, NONE, HOLDS, BROKEN)
PROJECT_ROOT = Path(__file__).parents[2]

_OPERATORS: dict[type, Callable[[Any, Any], Any]] = {
    ast.Add: operator.add, ast.Sub: operator.sub, ast.Mult: operator.mul, ast.Div: operator.truediv,
    ast.Lt: operator.lt, ast.LtE: operator.le, ast.Gt: operator.gt, ast.GtE: operator.ge,
}  # fmt: skip


class FormulaError(WoadyardError):
    """A formula is invalid, or names something that does not exist."""

    remedy = "see the docstring of benchmarks/scale/formulas.py for the syntax of formulas"


class NoValueError(Exception):
    """A figure has no value; the message is the word that the page shows for the reason."""


@dataclass
class FormulaEvaluator:
    """Evaluates formulas over measured points and named figures.

    `figures` starts with those of `size.toml`; the page adds each figure that it names.
    """

    points: Mapping[Series, list[Point]]
    figures: dict[str, float | str]
    root: Path = PROJECT_ROOT
    fits: dict[tuple[Any, ...], LineFit] = field(default_factory=dict)

    def evaluate(self, formula: str) -> float | str:
        """Return the figure, or the word for why it has none; raises FormulaError for an invalid formula."""
        if len(formula) > MAX_FORMULA_CHARS:
            raise FormulaError(f"the formula is longer than {MAX_FORMULA_CHARS} characters")
        try:
            result = self._evaluate_node(ast.parse(formula.strip(), mode="eval").body)
        except (SyntaxError, ValueError, RecursionError) as error:
            raise FormulaError(f"invalid formula: {error}") from None
        except (ZeroDivisionError, OverflowError, TypeError) as error:
            raise FormulaError(f"{formula}: {error}") from None
        except NoValueError as word:
            return str(word)
        if isinstance(result, bool):
            return HOLDS if result else BROKEN
        if not isinstance(result, (int, float)) or not math.isfinite(result):
            raise FormulaError(f"{formula}: the result is not a finite number")
        return float(result)

    def _evaluate_node(self, node: ast.AST) -> Any:
        match node:
            case ast.Constant(value=bool()):
                pass
            case ast.Constant(value=int() | float() | str() as value):
                return value
            case ast.Name(id=name):
                return self._lookup_figure(name)
            case ast.UnaryOp(op=ast.USub(), operand=operand):
                return -self._evaluate_number(operand)
            case ast.BinOp(left=left, op=ast.Pow(), right=right):
                exponent = self._evaluate_number(right)
                if abs(exponent) > MAX_EXPONENT:
                    raise FormulaError(f"the absolute value of an exponent is over {MAX_EXPONENT}")
                return float(self._evaluate_number(left)) ** exponent
            case ast.BinOp(left=left, op=op, right=right) if type(op) in _OPERATORS:
                return _OPERATORS[type(op)](self._evaluate_number(left), self._evaluate_number(right))
            case ast.Compare(left=left, ops=[op], comparators=[right]) if type(op) in _OPERATORS:
                return bool(_OPERATORS[type(op)](self._evaluate_number(left), self._evaluate_number(right)))
            case ast.Call(func=ast.Name(id=name), args=args, keywords=keywords) if name in _FUNCTIONS:
                named = {
                    keyword.arg: self._evaluate_node(keyword.value) for keyword in keywords if keyword.arg
                }
                if len(named) < len(keywords):
                    raise FormulaError("arguments can't be unpacked with `**` in a formula")
                return _FUNCTIONS[name](self, *(self._evaluate_node(argument) for argument in args), **named)
        raise FormulaError(f"a formula can't contain {ast.unparse(node)!r}")

    def _evaluate_number(self, node: ast.AST) -> float:
        match self._evaluate_node(node):
            case bool():
                pass
            case int() | float() as number:
                return number
        raise FormulaError(f"not a number: {ast.unparse(node)}")

    def _lookup_figure(self, name: str) -> float:
        if name not in self.figures:
            raise FormulaError(f"unknown name {name!r}")
        figure = self.figures[name]
        if isinstance(figure, str):
            raise NoValueError(figure)
        return figure

    # --- Functions ------------------------------------------------------------------------

    def valid_points(
        self, role: str, phase: str, metric: str, since: str = "", until: str = "~"
    ) -> list[Point]:
        """Return the points of the series, of runs `since` to `until`, that are not void."""
        valid = [
            point for point in self._points_of_runs(role, phase, metric, since, until) if not point.is_void
        ]
        if not valid:
            raise NoValueError(VOID)
        return valid

    def _points_of_runs(
        self, role: str, phase: str, metric: str, since: str = "", until: str = "~"
    ) -> list[Point]:
        in_runs = [
            point for point in self.points.get((role, phase, metric), []) if since <= point.run <= until
        ]
        if not in_runs:
            raise NoValueError(NOT_MEASURED)
        return in_runs

    def line_fit(self, *series: str, **runs: str) -> LineFit:
        key = (*series, *sorted(runs.items()))
        if key not in self.fits:
            fit = fit_line(self.valid_points(*series, **runs))
            if fit is None:
                raise NoValueError(NOT_MEASURED)
            self.fits[key] = fit
        return self.fits[key]

    def require_line(self, *series: str, **runs: str) -> LineFit:
        fit = self.line_fit(*series, **runs)
        if not fit.is_line:
            raise NoValueError(NO_LINE)
        return fit

    def slope(self, role: str, phase: str, metric: str, **runs: str) -> float:
        return self.require_line(role, phase, metric, **runs).slope

    def base(self, role: str, phase: str, metric: str, **runs: str) -> float:
        return self.require_line(role, phase, metric, **runs).base

    def at(self, role: str, phase: str, metric: str, size: float, **runs: str) -> float:
        return self.line_fit(role, phase, metric, **runs).value_at(size)

    def measured(self, role: str, phase: str, metric: str, size: float, **runs: str) -> float:
        return sum(values := self._values_at_size(role, phase, metric, size, runs)) / len(values)

    def worst(self, role: str, phase: str, metric: str, size: float | None = None, **runs: str) -> float:
        if size is None:
            return max(point.value for point in self.valid_points(role, phase, metric, **runs))
        return max(self._values_at_size(role, phase, metric, size, runs))

    def _values_at_size(
        self, role: str, phase: str, metric: str, size: float, runs: dict[str, str]
    ) -> list[float]:
        at_size = [point for point in self.points.get((role, phase, metric), []) if point.size == size]
        evaluator = FormulaEvaluator({(role, phase, metric): at_size}, {})
        return [point.value for point in evaluator.valid_points(role, phase, metric, **runs)]

    def knee(self, role: str, phase: str, metric: str, **runs: str) -> float:
        size = self.line_fit(role, phase, metric, **runs).knee
        if size is None:
            raise NoValueError(NONE)
        return size

    def turns(self, role: str, phase: str, metric: str, **runs: str) -> float:
        counts: dict[float, int] = {}
        for point in self.valid_points(role, phase, metric, **runs):
            counts[point.size] = counts.get(point.size, 0) + 1
        return min(counts.values())

    def load(self, role: str, phase: str, metric: str, **runs: str) -> float:
        return max(point.load for point in self.valid_points(role, phase, metric, **runs))

    def voids(self, role: str, phase: str, metric: str, **runs: str) -> float:
        points = self._points_of_runs(role, phase, metric, **runs)
        return sum(point.is_void for point in points)

    def breaks(self, role: str, phase: str, metric: str, budget: float, **runs: str) -> float:
        return self._crossing_size(role, phase, metric, budget, 1.0, runs)

    def falls(self, role: str, phase: str, metric: str, goal: float, **runs: str) -> float:
        return self._crossing_size(role, phase, metric, goal, -1.0, runs)

    def _crossing_size(
        self, role: str, phase: str, metric: str, bound: float, sign: float, runs: dict[str, str]
    ) -> float:
        """Return the smallest size whose mean is past the bound; `sign` is -1 for a lower bound."""
        by_size: dict[float, list[float]] = {}
        for point in self.valid_points(role, phase, metric, **runs):
            by_size.setdefault(point.size, []).append(point.value)
        previous: tuple[float, float] | None = None
        for size, values in sorted(by_size.items()):
            mean = sum(values) / len(values)
            if sign * mean > sign * bound:
                if previous is None:
                    return size
                return previous[0] + (size - previous[0]) * (bound - previous[1]) / (mean - previous[1])
            previous = size, mean
        raise NoValueError(NONE)

    def code(self, file: str, name: str) -> float:
        """Return the number that is assigned to `name` at the top level of a source file."""
        path = (self.root / file).resolve()
        if not path.is_relative_to(self.root.resolve()) or path.suffix != ".py" or not path.is_file():
            raise FormulaError(f"not a Python file of the project: {file}")
        for node in ast.parse(path.read_text()).body:
            for target, value in _assignments(node):
                if target == name:
                    return FormulaEvaluator({}, {})._evaluate_number(value)
        raise FormulaError(f"{file} has no constant {name}")


def _assignments(node: ast.stmt) -> list[tuple[str, ast.expr]]:
    """Return the names and values of `A = 1` or of `A, B = 1, 2`."""
    if not isinstance(node, ast.Assign) or len(node.targets) != 1:
        return []
    target, value = node.targets[0], node.value
    pairs = [(target, value)]
    if isinstance(target, ast.Tuple) and isinstance(value, ast.Tuple):
        pairs = list(zip(target.elts, value.elts, strict=True))
    return [(name.id, assigned) for name, assigned in pairs if isinstance(name, ast.Name)]


def _min(_: FormulaEvaluator, *values: float) -> float:
    return min(values)


def _max(_: FormulaEvaluator, *values: float) -> float:
    return max(values)


_FUNCTIONS: dict[str, Callable[..., Any]] = {
    "slope": FormulaEvaluator.slope, "base": FormulaEvaluator.base, "at": FormulaEvaluator.at,
    "measured": FormulaEvaluator.measured, "worst": FormulaEvaluator.worst, "knee": FormulaEvaluator.knee,
    "turns": FormulaEvaluator.turns, "breaks": FormulaEvaluator.breaks, "falls": FormulaEvaluator.falls,
    "load": FormulaEvaluator.load, "voids": FormulaEvaluator.voids, "code": FormulaEvaluator.code,
    "min": _min, "max": _max,
    "ceil": lambda _, value: math.ceil(value), "floor": lambda _, value: math.floor(value),
}  # fmt: skip
