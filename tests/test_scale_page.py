"""docs/CAPACITY.md shows the values of its formulas; the formulas and line fits behind it."""

from __future__ import annotations

import argparse
from collections.abc import Iterable
from pathlib import Path
from shutil import copytree

import pytest

from benchmarks.scale import fit as fitting
from benchmarks.scale import page as paging
from benchmarks.scale.fit import PointsError, fit_line, group_by_series, load_points
from benchmarks.scale.formulas import FormulaError, FormulaEvaluator
from benchmarks.scale.points import MAX_DRIVER_LAG_P99_MS, Point, append_points
from benchmarks.scale.size import DEFAULT_PATH, SizeError, read_size

SIZES = (100, 200, 400, 700, 1100)


def points(values: Iterable[float], sizes: Iterable[float] = SIZES, **fields: object) -> list[Point]:
    defaults = {
        "run": "20261202T050000",
        "role": "writer",
        "phase": "quiet",
        "metric": "cpu_s_per_s",
        "unit": "s/s",
    }
    return [
        Point(**{**defaults, **fields}, size=x, value=y)  # type: ignore[arg-type]
        for x, y in zip(sizes, values, strict=True)
    ]


def build_evaluator(*measured: Point, **figures: float | str) -> FormulaEvaluator:
    return FormulaEvaluator(group_by_series(measured), {"sidecars": 1100.0, **figures})


def page(text: str, *measured: Point) -> paging.CapacityPage:
    return paging.CapacityPage(text, build_evaluator(*measured))


def arguments(command: object, *argv: str) -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    command.add_arguments(parser)  # type: ignore[attr-defined]
    return parser.parse_args(argv)


# --- The committed page ---------------------------------------------------------------------------


def test_committed_page_matches_the_committed_points() -> None:
    assert [str(fault) for fault in paging.read_page().faults] == []


def test_changed_figure_of_the_committed_page_is_detected_and_corrected() -> None:
    text = paging.PAGE_PATH.read_text()
    figures = [match for match in paging.FIGURE_PATTERN.finditer(text) if match["shown"]]
    assert len(figures) > 100
    for figure in (figures[0], figures[len(figures) // 2], figures[-1]):
        changed = f"{text[: figure.start()]}987654{text[figure.start() + len(figure['shown']) :]}"
        checked = paging.CapacityPage(changed, FormulaEvaluator(load_points(), {**read_size().figures()}))
        assert len(checked.faults) == 1 and "987654" in str(checked.faults[0])
        assert checked.corrected_text == text


# --- The page's form ------------------------------------------------------------------------------


def test_command_fills_in_figures_that_then_pass_the_check(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    points_folder, page_file = tmp_path / "points", tmp_path / "PAGE.md"
    append_points(points_folder / "a.jsonl", points(0.001 * n for n in SIZES))
    page_file.write_text(
        'In all ?<!-- whole = slope("writer", "quiet", "cpu_s_per_s") * sidecars --> of a core,\n'
        "?<!-- = whole / 2 | .0% --> of two; ?<!-- = whole <= 1 -->, ?<!-- = slope('a', 'b', 'c') -->.\n"
    )
    update = arguments(paging, "--page", str(page_file), "--points", str(points_folder))
    check = arguments(paging, "--check", "--page", str(page_file), "--points", str(points_folder))
    before = page_file.read_text()
    assert paging.main(check) == 1 and len(capsys.readouterr().err.splitlines()) == 4
    assert page_file.read_text() == before
    assert paging.main(update) == 0 and paging.main(check) == 0
    shown = paging.COMMENT_PATTERN.sub("", page_file.read_text())
    assert shown == "In all 1.1 of a core,\n55% of two; broken, not measured.\n"
    assert paging.COMMENT_PATTERN.findall(page_file.read_text()) == paging.COMMENT_PATTERN.findall(before)


@pytest.mark.parametrize(
    ("cell", "fault"),
    [
        ("7", "7 has no formula"),
        ("7<!-- given -->", ""),
        ("7<!-- given --> and 8", "8 has no formula"),
        ("about 7, reckoned<!-- reckoned: none fails -->", ""),
        ("7<!-- reckoned -->", "the page does not show the word"),
        ("7<!-- probe -->", "the page does not show the word"),
        ("`HISTORY = 256`, p99, HTTP", ""),
        ("1,100<!-- = sidecars -->", ""),
        ("1,100<!-- = sidecars | ,.0f --> of 3", "3 has no formula"),
        ("1,200<!-- = sidecars -->", "the page says 1,200, it is 1,100"),
        ("<!-- = sidecars -->", "the page says nothing"),
        ("1<!-- = sidecar -->", "unknown name 'sidecar'"),
        ("1,100<!-- = sidecars | .3x -->", "invalid format"),
        ("1,100<!-- sidecars = sidecars -->", "named twice"),
        ("`woadyard/lists/state.py`", ""),
        ("`woadyard/lists/bock.py`", "no such file"),
    ],
)
def test_numbers_in_tables_need_a_formula_or_a_mark(cell: str, fault: str) -> None:
    messages = [
        str(reported) for reported in page(f"| 2 | head |\n| --- | --- |\n| name | {cell} |\n").faults
    ]
    assert (
        messages == []
        if not fault
        else len(messages) == 1 and fault in messages[0] and "line 3" in messages[0]
    )


def test_rows_of_a_ranked_table_ascend() -> None:
    heading = "\n| size | what |\n| --- | --- |\n"
    rows = "| 20<!-- given --> | a |\n| 1<!-- given --> | b |\n| not measured | c |\n"
    ranked = page("<!-- ranked -->\n" + heading + rows)
    assert page(heading + rows).faults == [] and page(heading + rows).corrected_text == heading + rows
    assert ["1 is ranked after 20" in str(fault) for fault in ranked.faults] == [True]
    a, b, c = rows.splitlines(keepends=True)
    assert ranked.corrected_text == "<!-- ranked -->\n" + heading + b + a + c
    assert page(ranked.corrected_text).faults == []


# --- Files ----------------------------------------------------------------------------------------


def test_missing_or_invalid_files_are_reported_in_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    page_file = tmp_path / "PAGE.md"
    page_file.write_text("nothing\n")
    (tmp_path / "bad").mkdir()
    (tmp_path / "bad" / "x.jsonl").write_text('{"run": "a"}\n')
    for argv, expected in (
        (("--page", str(tmp_path / "none.md")), "none.md"),
        (
            ("--page", str(page_file), "--points", str(tmp_path / "none")),
            "the folder of points does not exist",
        ),
        (("--page", str(page_file), "--points", str(tmp_path / "bad")), "x.jsonl:1"),
        (("--page", str(page_file), "--size", str(tmp_path / "none.toml")), "none.toml"),
    ):
        assert paging.main(arguments(paging, "--check", *argv)) == 2
        stderr = capsys.readouterr().err
        assert expected in stderr and ";" in stderr and len(stderr.splitlines()) == 1


def test_figures_without_points_are_not_measured(tmp_path: Path) -> None:
    copytree(fitting.POINTS_FOLDER, tmp_path / "points")
    assert paging.read_page(points=tmp_path / "points").faults == []
    for file in (tmp_path / "points").glob("*.jsonl"):
        file.unlink()
        assert any(
            "it is not measured" in str(fault)
            for fault in paging.read_page(points=tmp_path / "points").faults
        )


def test_size_file_holds_the_requirements() -> None:
    size = read_size()
    assert (size.fleet.sidecars, size.fleet.services, size.fleet.calls_per_s, size.fleet.depth) == (
        1100, 130, 340_000, 26,
    )  # fmt: skip
    assert (size.fleet.regions, size.fleet.zones, size.fleet.control_machines) == (3, 10, 12)
    budget = size.budget
    assert (budget.added_p99_s, budget.in_force_s, budget.control_core) == (0.0017, 9, 0.034)
    assert (budget.control_rss_bytes, budget.control_bytes_per_s) == (256e6, 11e3)
    assert (size.day.changes_a_day, size.day.machine_failures_a_day, size.day.restarts_a_day) == (
        1200,
        3,
        180,
    )
    assert len(size.figures()) == sum(
        len(section.__struct_fields__) for section in (size.fleet, budget, size.day, size.goal, size.assumed)
    )


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("sidecars = 1_100", "sidecars = 0", "sidecars"),
        ("sidecars = 1_100", "sidecars = true", "sidecars"),
        ("sidecars = 1_100", "", "sidecars"),
        ("sidecars = 1_100", "sidecars = 1_100\nside = 1", "side"),
        ("control_core = 0.034", "control_core = 3.4", "control_core"),
        ("[fleet]", "[fleet", "size.toml"),
    ],
)
def test_invalid_size_files_are_rejected(tmp_path: Path, old: str, new: str, message: str) -> None:
    file = tmp_path / "size.toml"
    file.write_text(DEFAULT_PATH.read_text().replace(old, new, 1))
    with pytest.raises(SizeError, match=message) as caught:
        read_size(file)
    assert caught.value.remedy


# --- Formulas -------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("formula", "value"),
    [
        ("1 + 2 * 3 - -4 / 2", 9.0),
        ("1.1 ** 2", 1.1**2),
        ("sidecars / 2", 550.0),
        ("min(3, max(1, 2)) + ceil(1.5) + floor(1.5)", 5.0),
        ('slope("writer", "quiet", "cpu_s_per_s")', 0.001),
        ('base("writer", "quiet", "cpu_s_per_s")', 0.5),
        ('at("writer", "quiet", "cpu_s_per_s", 2000)', 2.5),
        ('measured("writer", "quiet", "cpu_s_per_s", 400)', 0.9),
        ('measured("writer", "quiet", "cpu_s_per_s", 401)', "not measured"),
        ('worst("writer", "quiet", "cpu_s_per_s")', 1.6),
        ('turns("writer", "quiet", "cpu_s_per_s")', 1.0),
        ('load("writer", "quiet", "cpu_s_per_s")', 0.0),
        ('voids("writer", "quiet", "cpu_s_per_s")', 0.0),
        ('voids("writer", "quiet", "cpu_s")', "not measured"),
        ('breaks("writer", "quiet", "cpu_s_per_s", 0.75)', 250.0),
        ('breaks("writer", "quiet", "cpu_s_per_s", 0.1)', 100.0),
        ('breaks("writer", "quiet", "cpu_s_per_s", 2)', "none"),
        ('falls("writer", "quiet", "cpu_s_per_s", 1)', 100.0),
        ('falls("writer", "quiet", "cpu_s_per_s", 0.5)', "none"),
        ('knee("writer", "quiet", "cpu_s_per_s")', "none"),
        ('slope("writer", "quiet", "cpu_s_per_s", since="20261203")', "not measured"),
        ('slope("writer", "quiet", "cpu_s_per_s", until="20261202T05")', "not measured"),
        ("lost + 1", "no line"),
        ("sidecars <= 1100", "holds"),
        ("sidecars < 1100", "broken"),
        ('code("woadyard/lists/state.py", "MAX_RECENT_CHANGES")', 256.0),
        ('code("woadyard/registry/log_tail.py", "MAX_BYTES")', 4.0 * 1024 * 1024),
    ],
)  # fmt: skip
def test_formula_values(formula: str, value: float | str) -> None:
    result = build_evaluator(*points(0.5 + 0.001 * n for n in SIZES), lost="no line").evaluate(formula)
    assert result == value if isinstance(value, str) else result == pytest.approx(value, rel=1e-9)


@pytest.mark.parametrize(
    "formula",
    [
        "", "1 +", "import os", "__import__('os')", "().__class__", "sidecars.real", "open('x')", "eval('1')",
        "[1][0]", "{1: 2}", "(lambda: 1)()", "[n for n in (1, 2)]", "f'{1}'", "1 if 1 else 2", "1 and 2",
        "not 1", "1 < 2 < 3", "True", "1j", "'a'", "'a' * 9", "1 // 2", "1 % 2", "1 << 9", "9 ** 999",
        "10 ** 128 * 10.0 ** 300",
        "1 / 0", "max()", "ceil(1, 2)", "slope('a')", "slope(*'abc')", "slope('a', 'b', 'c', **sidecars)",
        "evaluate('1')", "_evaluate_node(1)", "slope('a', 'b', 'c', d='e')",
        "code('woadyard/lists/state.py', 'NONE')",
        "code('woadyard/lists/state.py', 'PUT')", "code('../x.py', 'A')", "code('README.md', 'A')", "x := 1",
        "+" * 700, "(" * 300, "1 + " * 140 + "1 +" * 20,
    ],
)  # fmt: skip
def test_other_python_expressions_are_rejected(formula: str) -> None:
    with pytest.raises(FormulaError):
        build_evaluator(*points(SIZES)).evaluate(formula)


# --- Fits -----------------------------------------------------------------------------------------


def test_line_fit_over_two_turns() -> None:
    noise = (0.01, -0.01, 0.0, 0.01, -0.01)
    first_turn = points(
        (0.5 + 0.001 * n + deviation for n, deviation in zip(SIZES, noise, strict=True)), load=2.0
    )
    line = fit_line(
        [
            *first_turn,
            *points((0.5 + 0.001 * n - deviation for n, deviation in zip(SIZES, noise, strict=True)), turn=2),
        ]
    )
    assert line is not None and line.is_line and line.verdict == "line"
    assert line.slope == pytest.approx(0.001) and line.base == pytest.approx(0.5)
    assert (line.point_count, line.void_count, line.min_turns, line.max_load) == (10, 0, 2, 2.0)
    assert line.r2 > 0.99 and line.max_residual < 1e-9 and 0.0 < line.slope_error < 1e-4


def test_noise_between_turns_is_not_a_knee() -> None:
    turns = [points((1.0, 1.3, 0.9, 1.2, 1.0)), points((1.3, 1.0, 1.2, 0.9, 1.3), turn=2)]
    line = fit_line([point for turn in turns for point in turn])
    assert line is not None and line.is_line


def test_knee_is_detected_where_two_lines_meet() -> None:
    line = fit_line(points(0.001 * n if n <= 400 else 0.4 + 0.01 * (n - 400) for n in SIZES))
    assert line is not None and not line.is_line
    assert line.knee == 400 and line.verdict == "no line, knee at 400"
    assert line.value_at(250) == pytest.approx(0.25) and line.value_at(900) == pytest.approx(5.4)
    assert line.value_at(1200) == pytest.approx(8.4)
    evaluator = build_evaluator(*points(0.001 * n if n <= 400 else 0.4 + 0.01 * (n - 400) for n in SIZES))
    series = '"writer", "quiet", "cpu_s_per_s"'
    assert evaluator.evaluate(f"slope({series})") == evaluator.evaluate(f"base({series}) + 1") == "no line"
    assert evaluator.evaluate(f"knee({series})") == 400.0


def test_scatter_is_neither_line_nor_knee() -> None:
    line = fit_line(points((1.0, 9.0, 1.0, 9.0, 1.0)))
    assert line is not None and line.is_scatter and line.verdict == "no line, scatter"


def test_too_few_sizes_for_a_knee_are_stated_in_the_verdict() -> None:
    line = fit_line(points((1.0, 5.0, 6.0), (1, 2, 3)))
    assert line is not None and line.is_line and line.verdict == "line of 3 sizes"
    assert fit_line(points((1.0, 2.0), (5, 5))) is None
    assert fit_line([]) is None


def test_void_points_are_excluded_and_counted() -> None:
    void_points = points((50.0, 60.0), (400, 1100), driver_lag_p99_ms=MAX_DRIVER_LAG_P99_MS + 1.0)
    line = fit_line([*points(0.001 * n for n in SIZES), *void_points])
    assert (
        line is not None
        and line.slope == pytest.approx(0.001)
        and (line.point_count, line.void_count) == (5, 2)
    )
    evaluator = build_evaluator(*void_points)
    assert evaluator.evaluate('worst("writer", "quiet", "cpu_s_per_s")') == "void"
    assert evaluator.evaluate('slope("writer", "quiet", "cpu_s_per_s")') == "void"
    assert evaluator.evaluate('voids("writer", "quiet", "cpu_s_per_s")') == 2.0


def test_points_of_a_series_must_share_a_unit() -> None:
    with pytest.raises(PointsError, match="writer quiet cpu_s_per_s"):
        group_by_series([*points(SIZES), *points(SIZES, unit="share")])


def test_fit_command_prints_a_line_per_series(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    void_points = points((1.0,), (100,), metric="p99_s", unit="s", driver_lag_p99_ms=90.0)
    append_points(tmp_path / "a.jsonl", [*points(0.001 * n for n in SIZES), *void_points])
    append_points(tmp_path / "b.jsonl", points((1.0, 9.0, 1.0, 9.0, 1.0), role="lists"))
    assert fitting.main(arguments(fitting, "--points", str(tmp_path))) == 0
    heading, *rows = capsys.readouterr().out.splitlines()
    assert "verdict" in heading and len(rows) == 3
    assert "no line, scatter" in rows[0] and "s/s / sidecar" in rows[1] and "all void" in rows[2]
    assert fitting.main(arguments(fitting, "--points", str(tmp_path), "--role", "none")) == 2
    assert "no points" in capsys.readouterr().err
