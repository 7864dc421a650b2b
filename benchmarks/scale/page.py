"""Checks and updates docs/CAPACITY.md, where each figure is followed by the formula that gives it.

The formula stands in a comment, which the rendered page hides:

    1.32<!-- = slope("writer", "quiet", "cpu_s_per_s") * sidecars -->
    1.32<!-- whole = slope("writer", "quiet", "cpu_s_per_s") * sidecars -->   named for use in later formulas
    13%<!-- = whole | .0% -->            in another format than 3 significant digits

`?` stands for a figure that is still to be filled in. Each other number in a table needs a mark behind it in
the same cell: `<!-- given -->` for requirements and for constants of the program; `<!-- reckoned -->` or
`<!-- probe -->`, which the cell or its column heading must also show as a visible word. The rows of a table
after `<!-- ranked -->` ascend by the figure in the first column; updating the page sorts them. Files named
in code marks must exist.
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
DEFAULT_DIGITS = 3  # significant digits of a figure without a format of its own
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
MARKS = {"given": "", "reckoned": "reckoned", "probe": "probe"}  # the word that the reader must see with each


class PageError(WoadyardError):
    """The capacity page can't be read or written."""

    remedy = "write docs/CAPACITY.md with its formulas by hand; benchmarks/scale/page.py describes its format"


@dataclass(frozen=True)
class Fault:
    """A fault of the page, with its line number."""

    line: int
    message: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.message}"


class CapacityPage:
    """The text of the page, the same text with correct figures, and the faults found."""

    def __init__(self, text: str, formulas: FormulaEvaluator) -> None:
        self.text, self.formulas = text, formulas
        self.faults: list[Fault] = []
        self.corrected_text = _sort_ranked_tables(FIGURE_PATTERN.sub(self._check_figure, text))
        for match in COMMENT_PATTERN.finditer(text):
            if "<!--" in match[1]:
                self._add_fault(match.start(), "a comment within a comment")
        self._check_tables()
        for match in FILE_PATTERN.finditer(text):
            if not (formulas.root / match[1]).exists():
                self._add_fault(match.start(), f"no such file: {match[1]}")
        self.faults.sort(key=lambda fault: fault.line)

    def _add_fault(self, offset: int, message: str) -> None:
        self.faults.append(Fault(self.text.count("\n", 0, offset) + 1, message))

    # --- Figures --------------------------------------------------------------------------

    def _check_figure(self, match: re.Match[str]) -> str:
        """Return the replacement of a figure and its comment, and record its faults."""
        shown, name, formula, form = match["shown"], match["name"], match["formula"], match["form"]
        try:
            value = self.formulas.evaluate(formula)
            expected = _format(value, (form or "").strip())
        except (WoadyardError, ValueError) as error:
            self._add_fault(match.start(), f"{formula.strip()}: {error}")
            return match[0]
        if name is not None:
            if name in self.formulas.figures:
                self._add_fault(match.start(), f"{name} is named twice")
            self.formulas.figures[name] = value
        if shown != expected:
            self._add_fault(
                match.start(), f"the page says {shown or 'nothing'}, it is {expected}: {formula.strip()}"
            )
        return expected + match[0][len(shown or "") :]

    # --- Tables ---------------------------------------------------------------------------

    def _check_tables(self) -> None:
        offset, is_ranked, row_number, previous = 0, False, 0, 0.0
        headings: list[str] = []
        for line in self.text.splitlines(keepends=True):
            if line.lstrip().startswith("|"):
                row_number += 1
                cells = _cells(line)
                if row_number == 1:
                    headings = cells
                elif row_number > 2:  # after the delimiter row
                    for column, cell in enumerate(cells):
                        self._check_cell(offset, cell, headings[column] if column < len(headings) else "")
                    if is_ranked and (size := _first_number(cells[0])) is not None:
                        if size < previous:
                            self._add_fault(offset, f"{size:g} is ranked after {previous:g}")
                        previous = size
            else:
                if line.strip():
                    is_ranked, previous = RANKED_MARK in line, 0.0
                row_number = 0
            offset += len(line)

    def _check_cell(self, offset: int, cell: str, heading: str) -> None:
        """Report each number of a cell that neither a formula nor a mark follows."""
        plain = CODE_PATTERN.sub("", FIGURE_PATTERN.sub("", cell))
        unmarked_from = 0
        for match in COMMENT_PATTERN.finditer(plain):
            mark = match[1].strip().split(":")[0]
            if mark in MARKS:
                unmarked_from = match.end()
                if MARKS[mark] not in COMMENT_PATTERN.sub("", f"{heading} {cell}").lower():
                    self._add_fault(offset, f"the page does not show the word {mark}: {cell.strip()}")
        for number in NUMBER_PATTERN.findall(COMMENT_PATTERN.sub("", plain[unmarked_from:])):
            self._add_fault(offset, f"{number} has no formula and no mark: {cell.strip()}")


def _cells(line: str) -> list[str]:
    """Split a row into cells; a `|` within a formula does not separate cells."""
    comments: list[str] = []

    def store(match: re.Match[str]) -> str:
        comments.append(match[0])
        return f"\0{len(comments) - 1}\0"

    parts = COMMENT_PATTERN.sub(store, line.strip()).strip("|").split("|")
    return [re.sub(r"\0(\d+)\0", lambda placeholder: comments[int(placeholder[1])], part) for part in parts]


def _sort_ranked_tables(text: str) -> str:
    """Sort the rows of ranked tables by their first figure; rows without one go last, in their old order."""
    output: list[str] = []
    rows: list[str] = []
    is_ranked = False
    for line in [*text.splitlines(keepends=True), ""]:
        if line.lstrip().startswith("|"):
            rows.append(line)
            continue
        body = sorted(rows[2:], key=_sort_key) if is_ranked else rows[2:]
        output += [*rows[:2], *body, line]
        rows = []
        if line.strip():
            is_ranked = RANKED_MARK in line
    return "".join(output)


def _sort_key(row: str) -> tuple[bool, float]:
    size = _first_number(_cells(row)[0])
    return size is None, size or 0.0


def _first_number(cell: str) -> float | None:
    match = NUMBER_PATTERN.search(COMMENT_PATTERN.sub("", cell))
    return float(match[0].replace(",", "")) if match else None


def _format(value: float | str, form: str) -> str:
    """Format a figure as the page shows it; raises ValueError for an invalid format."""
    if form and not FORM_PATTERN.fullmatch(form):
        raise ValueError(f"invalid format of a figure: {form}")
    if isinstance(value, str):
        return value
    if form:
        return f"{value:{form}}"
    if value == 0.0:
        return "0"
    rounded = float(f"{value:.{DEFAULT_DIGITS}g}")
    if abs(rounded) >= 10 ** (DEFAULT_DIGITS - 1):
        return f"{rounded:,.0f}"
    return f"{rounded:.{DEFAULT_DIGITS}g}" if abs(rounded) >= 1e-4 else f"{rounded:.{DEFAULT_DIGITS - 1}e}"


# --- The command ------------------------------------------------------------------------------


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--check", action="store_true", help="change nothing; exit with 1 if the page has faults"
    )
    parser.add_argument("--page", type=Path, default=PAGE_PATH)
    parser.add_argument("--points", type=Path, default=POINTS_FOLDER, help="folder of the measured points")
    parser.add_argument("--size", type=Path, default=SIZE_PATH, help="file with the target size")


def read_page(page: Path = PAGE_PATH, points: Path = POINTS_FOLDER, size: Path = SIZE_PATH) -> CapacityPage:
    """Check the page against its points; raises PageError, SizeError or PointsError."""
    named_figures: dict[str, float | str] = {**read_size(size).figures()}
    formulas = FormulaEvaluator(load_points(points), named_figures)
    try:
        return CapacityPage(page.read_text(), formulas)
    except (OSError, UnicodeDecodeError) as error:
        raise PageError(f"{page}: {error}") from None


def main(arguments: argparse.Namespace) -> int:
    """Check or update the page; returns 1 if faults remain and 2 if a file can't be read or written."""
    try:
        checked = read_page(arguments.page, arguments.points, arguments.size)
        if not arguments.check and checked.corrected_text != checked.text:
            arguments.page.write_text(checked.corrected_text)
            checked = read_page(arguments.page, arguments.points, arguments.size)
    except (WoadyardError, OSError) as error:
        print(f"{error}; {getattr(error, 'remedy', PageError.remedy)}", file=sys.stderr)
        return 2
    for fault in checked.faults:
        print(f"{arguments.page.name}: {fault}", file=sys.stderr)
    return 1 if checked.faults else 0
