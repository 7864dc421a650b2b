"""The formulas behind the figures of docs/CAPACITY.md: arithmetic over measured points, and no more.

Numbers, the names of `size.toml` and of earlier figures, `+ - * / **`, one comparison (which gives `holds`
or `broken`) and these functions; R, P and M are role, phase and metric in quotes:

    slope(R, P, M)           of the line, per unit of size; `no line` where the curve is none
    base(R, P, M)            the line's value at size 0
    at(R, P, M, size)        the line's value; where it is none, between the means beside it
    measured(R, P, M, size)  the mean of the points at that very size
    worst(R, P, M[, size])   the greatest point, of all or at that size
    knee(R, P, M)            the size at which the curve bends; `none` where it does not
    turns(R, P, M)           how often the size that was run least often was
    load(R, P, M)            the machine's load over a minute, the greatest as the points were taken
    voids(R, P, M)           how many of the series' points are void
    breaks(R, P, M, budget)  the smallest size whose figure is over the budget, between sizes on the
                             straight; past the last size `none` (not seen to break)
    falls(R, P, M, goal)     the same for a figure that must not be under its goal
    code(FILE, NAME)         a constant of the program, as its file says it
    min max ceil floor

Each of the first eleven takes `since="..."` and `until="..."`, the first and last run that count. A figure
that can't be had is a word: `not measured`, `void` (all its points are), `no line`, `none`.
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

MAX_FORMULA_CHARS, MAX_EXPONENT = 600, 128  # characters of a formula; an exponent
NOT_MEASURED, VOID, NO_LINE, NONE = "not measured", "void", "no line", "none"
HOLDS, BROKEN = "holds", "broken"
RESULT_WORDS = (NOT_MEASURED, VOID, NO_LINE, NONE, HOLDS, BROKEN)
PROJECT_ROOT = Path(__file__).parents[2]

_OPERATORS: dict[type, Callable[[Any, Any], Any]] = {
    ast.Add: operator.add, ast.Sub: operator.sub, ast.Mult: operator.mul, ast.Div: operator.truediv,
    ast.Lt: operator.lt, ast.LtE: operator.le, ast.Gt: operator.gt, ast.GtE: operator.ge,
}  # fmt: skip


class FormulaError(WoadyardError):
    """It is no formula, or names what there is not."""

    remedy = "see benchmarks/scale/formulas.py for what a formula may hold"


class NoValueError(Exception):
    """There is no such figure; the message is the word for why."""


@dataclass
class FormulaEvaluator:
    """Evaluates formulas over points and figures; `names` grows with the page's own named figures."""

    points: Mapping[Series, list[Point]]
    names: dict[str, float | str]
    root: Path = PROJECT_ROOT
    fits: dict[tuple[Any, ...], LineFit] = field(default_factory=dict)

    def evaluate(self, formula: str) -> float | str:
        """The figure, or the word for why there is none. FormulaError where it is no formula."""
        if len(formula) > MAX_FORMULA_CHARS:
            raise FormulaError(f"the formula is over {MAX_FORMULA_CHARS} characters")
        try:
            found = self._evaluate_node(ast.parse(formula.strip(), mode="eval").body)
        except (SyntaxError, ValueError, RecursionError) as error:
            raise FormulaError(f"no formula: {error}") from None
        except (ZeroDivisionError, OverflowError, TypeError) as error:
            raise FormulaError(f"{formula}: {error}") from None
        except NoValueError as word:
            return str(word)
        if isinstance(found, bool):
            return HOLDS if found else BROKEN
        if not isinstance(found, (int, float)) or not math.isfinite(found):
            raise FormulaError(f"{formula}: no number")
        return float(found)

    def _evaluate_node(self, node: ast.AST) -> Any:
        match node:
            case ast.Constant(value=bool()):
                pass
            case ast.Constant(value=int() | float() | str() as value):
                return value
            case ast.Name(id=name):
                return self._lookup_figure(name)
            case ast.UnaryOp(op=ast.USub(), operand=operand):
                return -self._number(operand)
            case ast.BinOp(left=left, op=ast.Pow(), right=right):
                power = self._number(right)
                if abs(power) > MAX_EXPONENT:
                    raise FormulaError(f"an exponent over {MAX_EXPONENT}")
                return float(self._number(left)) ** power
            case ast.BinOp(left=left, op=op, right=right) if type(op) in _OPERATORS:
                return _OPERATORS[type(op)](self._number(left), self._number(right))
            case ast.Compare(left=left, ops=[op], comparators=[right]) if type(op) in _OPERATORS:
                return bool(_OPERATORS[type(op)](self._number(left), self._number(right)))
            case ast.Call(func=ast.Name(id=name), args=args, keywords=keywords) if name in _FUNCTIONS:
                told = {one.arg: self._evaluate_node(one.value) for one in keywords if one.arg}
                if len(told) < len(keywords):
                    raise FormulaError("a formula has no `**`")
                return _FUNCTIONS[name](self, *(self._evaluate_node(one) for one in args), **told)
        raise FormulaError(f"a formula has no {ast.unparse(node)!r}")

    def _number(self, node: ast.AST) -> float:
        match self._evaluate_node(node):
            case bool():
                pass
            case int() | float() as found:
                return found
        raise FormulaError(f"no number: {ast.unparse(node)}")

    def _lookup_figure(self, name: str) -> float:
        if name not in self.names:
            raise FormulaError(f"nothing is named {name!r}")
        found = self.names[name]
        if isinstance(found, str):
            raise NoValueError(found)
        return found

    # --- Functions ------------------------------------------------------------------------

    def valid_points(
        self, role: str, phase: str, metric: str, since: str = "", until: str = "~"
    ) -> list[Point]:
        """The series' points of these runs that count."""
        good = [one for one in self._points_of_runs(role, phase, metric, since, until) if not one.is_void]
        if not good:
            raise NoValueError(VOID)
        return good

    def _points_of_runs(
        self, role: str, phase: str, metric: str, since: str = "", until: str = "~"
    ) -> list[Point]:
        told = [one for one in self.points.get((role, phase, metric), []) if since <= one.run <= until]
        if not told:
            raise NoValueError(NOT_MEASURED)
        return told

    def line_fit(self, *series: str, **runs: str) -> LineFit:
        key = (*series, *sorted(runs.items()))
        if key not in self.fits:
            found = fit_line(self.valid_points(*series, **runs))
            if found is None:
                raise NoValueError(NOT_MEASURED)
            self.fits[key] = found
        return self.fits[key]

    def require_line(self, *series: str, **runs: str) -> LineFit:
        found = self.line_fit(*series, **runs)
        if not found.is_line:
            raise NoValueError(NO_LINE)
        return found

    def slope(self, role: str, phase: str, metric: str, **runs: str) -> float:
        return self.require_line(role, phase, metric, **runs).slope

    def base(self, role: str, phase: str, metric: str, **runs: str) -> float:
        return self.require_line(role, phase, metric, **runs).base

    def at(self, role: str, phase: str, metric: str, size: float, **runs: str) -> float:
        return self.line_fit(role, phase, metric, **runs).value_at(size)

    def measured(self, role: str, phase: str, metric: str, size: float, **runs: str) -> float:
        return sum(found := self._values_at_size(role, phase, metric, size, runs)) / len(found)

    def worst(self, role: str, phase: str, metric: str, size: float | None = None, **runs: str) -> float:
        if size is None:
            return max(one.value for one in self.valid_points(role, phase, metric, **runs))
        return max(self._values_at_size(role, phase, metric, size, runs))

    def _values_at_size(
        self, role: str, phase: str, metric: str, size: float, runs: dict[str, str]
    ) -> list[float]:
        told = [one for one in self.points.get((role, phase, metric), []) if one.size == size]
        only = FormulaEvaluator({(role, phase, metric): told}, {})
        return [one.value for one in only.valid_points(role, phase, metric, **runs)]

    def knee(self, role: str, phase: str, metric: str, **runs: str) -> float:
        found = self.line_fit(role, phase, metric, **runs).knee
        if found is None:
            raise NoValueError(NONE)
        return found

    def turns(self, role: str, phase: str, metric: str, **runs: str) -> float:
        by_size: dict[float, int] = {}
        for one in self.valid_points(role, phase, metric, **runs):
            by_size[one.size] = by_size.get(one.size, 0) + 1
        return min(by_size.values())

    def load(self, role: str, phase: str, metric: str, **runs: str) -> float:
        return max(one.load for one in self.valid_points(role, phase, metric, **runs))

    def voids(self, role: str, phase: str, metric: str, **runs: str) -> float:
        told = self._points_of_runs(role, phase, metric, **runs)
        return sum(one.is_void for one in told)

    def breaks(self, role: str, phase: str, metric: str, budget: float, **runs: str) -> float:
        return self._crossing_size(role, phase, metric, budget, 1.0, runs)

    def falls(self, role: str, phase: str, metric: str, goal: float, **runs: str) -> float:
        return self._crossing_size(role, phase, metric, goal, -1.0, runs)

    def _crossing_size(
        self, role: str, phase: str, metric: str, budget: float, sign: float, runs: dict[str, str]
    ) -> float:
        by_size: dict[float, list[float]] = {}
        for one in self.valid_points(role, phase, metric, **runs):
            by_size.setdefault(one.size, []).append(one.value)
        before: tuple[float, float] | None = None
        for size, values in sorted(by_size.items()):
            mean = sum(values) / len(values)
            if sign * mean > sign * budget:
                if before is None:
                    return size
                return before[0] + (size - before[0]) * (budget - before[1]) / (mean - before[1])
            before = size, mean
        raise NoValueError(NONE)

    def code(self, file: str, name: str) -> float:
        """A number that the file's top level gives the name."""
        path = (self.root / file).resolve()
        if not path.is_relative_to(self.root.resolve()) or path.suffix != ".py" or not path.is_file():
            raise FormulaError(f"no file of the program: {file}")
        for node in ast.parse(path.read_text()).body:
            for target, value in _assignments(node):
                if target == name:
                    return FormulaEvaluator({}, {})._number(value)
        raise FormulaError(f"{file} has no constant {name}")


def _assignments(node: ast.stmt) -> list[tuple[str, ast.expr]]:
    """Names and values of `A = 1` and of `A, B = 1, 2`."""
    if not isinstance(node, ast.Assign) or len(node.targets) != 1:
        return []
    target, value = node.targets[0], node.value
    pairs = [(target, value)]
    if isinstance(target, ast.Tuple) and isinstance(value, ast.Tuple):
        pairs = list(zip(target.elts, value.elts, strict=True))
    return [(one.id, given) for one, given in pairs if isinstance(one, ast.Name)]


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
