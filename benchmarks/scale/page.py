"""docs/CAPACITY.md: each figure stands in the page with the formula that gives it.

A figure is followed by a comment, which readers of the page don't see:

    1.32<!-- = slope("writer", "quiet", "cpu_s_per_s") * sidecars -->
    1.32<!-- whole = slope("writer", "quiet", "cpu_s_per_s") * sidecars -->   later formulas may use it
    13%<!-- = whole | .0% -->            in another form than 3 digits

`?` stands for a figure that is yet to be filled in. In a table each other number needs a mark behind it in
its cell: `<!-- given -->` for the letter's and the program's own; `<!-- reckoned -->` and `<!-- probe -->`
where the cell, or the head above it, shows the reader that word too. In a table behind `<!-- ranked -->` the
first column's figures rise; writing sorts its rows. Files named in code marks are there.
"""

from __future__ import annotations

import argparse
import re
import sys
from dataclasses import dataclass
from pathlib import Path

from benchmarks.scale.fit import POINTS_FOLDER, load_points
from benchmarks.scale.formulas import PROJECT_ROOT, RESULT_WORDS, FormulaEvaluator
from benchmarks.scale.size import DEFAULT_PATH as SIZE_PATH
from benchmarks.scale.size import read_size
from woadyard.errors import WoadyardError

PAGE_PATH = PROJECT_ROOT / "docs" / "CAPACITY.md"
RANKED_MARK = "<!-- ranked -->"
DEFAULT_DIGITS = 3  # of a figure without a form of its own
COMMENT_PATTERN = re.compile(r"<!--(.*?)-->", re.DOTALL)
FIGURE_PATTERN = re.compile(
    rf"(?P<shown>\?|{'|'.join(RESULT_WORDS)}|[-+]?\d[\d,]*(?:\.\d+)?(?:e[-+]?\d+)?%?)?"
    r"<!--\s*(?:(?P<name>[a-z]\w*)\s*)?=(?!=)(?P<formula>.*?)(?:\|(?P<form>[^|]*?))?-->",
    re.DOTALL,
)
FORM_PATTERN = re.compile(r",?(\.\d)?[f%]")
NUMBER_PATTERN = re.compile(r"(?<![\w.])\d[\d,]*(?:\.\d+)?")
CODE_PATTERN = re.compile(r"`[^`]*`")
FILE_PATTERN = re.compile(r"`((?:woadyard|benchmarks|docs|tests|deploy)/[\w./-]*\.\w+)`")
MARKS = {"given": "", "reckoned": "reckoned", "probe": "probe"}  # and what the reader sees with it


class PageError(WoadyardError):
    """The page can't be read or written."""

    remedy = "docs/CAPACITY.md is written by hand, with its formulas; see benchmarks/scale/page.py"


@dataclass(frozen=True)
class Fault:
    line: int
    message: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.message}"


class CapacityPage:
    """The page's text, what its figures should be, and its faults."""

    def __init__(self, text: str, formulas: FormulaEvaluator) -> None:
        self.text, self.formulas = text, formulas
        self.faults: list[Fault] = []
        self.corrected_text = _ranked(FIGURE_PATTERN.sub(self._figure, text))
        for found in COMMENT_PATTERN.finditer(text):
            if "<!--" in found[1]:
                self._fault(found.start(), "a comment within a comment")
        self._tables()
        for found in FILE_PATTERN.finditer(text):
            if not (formulas.root / found[1]).exists():
                self._fault(found.start(), f"no such file: {found[1]}")
        self.faults.sort(key=lambda one: one.line)

    def _fault(self, at: int, what: str) -> None:
        self.faults.append(Fault(self.text.count("\n", 0, at) + 1, what))

    # --- Figures --------------------------------------------------------------------------

    def _figure(self, found: re.Match[str]) -> str:
        shown, name, formula, form = found["shown"], found["name"], found["formula"], found["form"]
        try:
            value = self.formulas.evaluate(formula)
            told = _told(value, (form or "").strip())
        except (WoadyardError, ValueError) as error:
            self._fault(found.start(), f"{formula.strip()}: {error}")
            return found[0]
        if name is not None:
            if name in self.formulas.names:
                self._fault(found.start(), f"{name} is named twice")
            self.formulas.names[name] = value
        if shown != told:
            self._fault(found.start(), f"the page says {shown or 'nothing'}, it is {told}: {formula.strip()}")
        return told + found[0][len(shown or "") :]

    # --- Tables ---------------------------------------------------------------------------

    def _tables(self) -> None:
        at, ranked, rows, last = 0, False, 0, 0.0
        heads: list[str] = []
        for line in self.text.splitlines(keepends=True):
            if line.lstrip().startswith("|"):
                rows += 1
                cells = _cells(line)
                if rows == 1:
                    heads = cells
                elif rows > 2:  # past the rule below the head
                    for n, cell in enumerate(cells):
                        self._cell(at, cell, heads[n] if n < len(heads) else "")
                    if ranked and (size := _first(cells[0])) is not None:
                        if size < last:
                            self._fault(at, f"{size:g} stands behind {last:g}")
                        last = size
            else:
                if line.strip():
                    ranked, last = RANKED_MARK in line, 0.0
                rows = 0
            at += len(line)

    def _cell(self, at: int, cell: str, head: str) -> None:
        """Each number before a mark is covered by it; the others are faults."""
        plain = CODE_PATTERN.sub("", FIGURE_PATTERN.sub("", cell))
        begin = 0
        for found in COMMENT_PATTERN.finditer(plain):
            mark = found[1].strip().split(":")[0]
            if mark in MARKS:
                begin = found.end()
                if MARKS[mark] not in COMMENT_PATTERN.sub("", f"{head} {cell}").lower():
                    self._fault(at, f"the reader is not told that it is {mark}: {cell.strip()}")
        for number in NUMBER_PATTERN.findall(COMMENT_PATTERN.sub("", plain[begin:])):
            self._fault(at, f"{number} has no formula and no mark: {cell.strip()}")


def _cells(line: str) -> list[str]:
    """Of a row whose formulas may hold `|` themselves."""
    held: list[str] = []

    def hold(found: re.Match[str]) -> str:
        held.append(found[0])
        return f"\0{len(held) - 1}\0"

    parts = COMMENT_PATTERN.sub(hold, line.strip()).strip("|").split("|")
    return [re.sub(r"\0(\d+)\0", lambda one: held[int(one[1])], part) for part in parts]


def _ranked(text: str) -> str:
    """With the rows of ranked tables by their first figure; those without one last, as they were."""
    done: list[str] = []
    rows: list[str] = []
    ranked = False
    for line in [*text.splitlines(keepends=True), ""]:
        if line.lstrip().startswith("|"):
            rows.append(line)
            continue
        body = sorted(rows[2:], key=_rank) if ranked else rows[2:]
        done += [*rows[:2], *body, line]
        rows = []
        if line.strip():
            ranked = RANKED_MARK in line
    return "".join(done)


def _rank(row: str) -> tuple[bool, float]:
    size = _first(_cells(row)[0])
    return size is None, size or 0.0


def _first(cell: str) -> float | None:
    found = NUMBER_PATTERN.search(COMMENT_PATTERN.sub("", cell))
    return float(found[0].replace(",", "")) if found else None


def _told(value: float | str, form: str) -> str:
    """As the page shows it; ValueError on a form that is none."""
    if form and not FORM_PATTERN.fullmatch(form):
        raise ValueError(f"no form of a figure: {form}")
    if isinstance(value, str):
        return value
    if form:
        return f"{value:{form}}"
    if value == 0.0:
        return "0"
    whole = float(f"{value:.{DEFAULT_DIGITS}g}")
    if abs(whole) >= 10 ** (DEFAULT_DIGITS - 1):
        return f"{whole:,.0f}"
    return f"{whole:.{DEFAULT_DIGITS}g}" if abs(whole) >= 1e-4 else f"{whole:.{DEFAULT_DIGITS - 1}e}"


# --- The command ------------------------------------------------------------------------------


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--check", action="store_true", help="change nothing; 1 where the page has faults")
    parser.add_argument("--page", type=Path, default=PAGE_PATH)
    parser.add_argument("--points", type=Path, default=POINTS_FOLDER, help="folder of the points")
    parser.add_argument("--size", type=Path, default=SIZE_PATH, help="file of the sizes")


def read_page(page: Path = PAGE_PATH, points: Path = POINTS_FOLDER, size: Path = SIZE_PATH) -> CapacityPage:
    """The page held against its files; PageError, SizeError or PointsError where one can't be read."""
    names: dict[str, float | str] = {**read_size(size).figures()}
    formulas = FormulaEvaluator(load_points(points), names)
    try:
        return CapacityPage(page.read_text(), formulas)
    except (OSError, UnicodeDecodeError) as error:
        raise PageError(f"{page}: {error}") from None


def main(arguments: argparse.Namespace) -> int:
    """Check the page, or write the figures anew; 1 where faults are left, 2 where a file can't be read."""
    try:
        found = read_page(arguments.page, arguments.points, arguments.size)
        if not arguments.check and found.corrected_text != found.text:
            arguments.page.write_text(found.corrected_text)
            found = read_page(arguments.page, arguments.points, arguments.size)
    except (WoadyardError, OSError) as error:
        print(f"{error}; {getattr(error, 'remedy', PageError.remedy)}", file=sys.stderr)
        return 2
    for fault in found.faults:
        print(f"{arguments.page.name}: {fault}", file=sys.stderr)
    return 1 if found.faults else 0
