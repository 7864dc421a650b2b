"""docs/CAPACITY.md says what its formulas give; the lines and formulas behind it."""

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


def points(values: Iterable[float], sizes: Iterable[float] = SIZES, **more: object) -> list[Point]:
    told = {
        "run": "20261202T050000",
        "role": "writer",
        "phase": "quiet",
        "metric": "cpu_s_per_s",
        "unit": "s/s",
    }
    return [Point(**{**told, **more}, size=n, value=v) for n, v in zip(sizes, values, strict=True)]  # type: ignore[arg-type]


def formulas(*some: Point, **names: float | str) -> FormulaEvaluator:
    return FormulaEvaluator(group_by_series(some), {"sidecars": 1100.0, **names})


def page(text: str, *some: Point) -> paging.CapacityPage:
    return paging.CapacityPage(text, formulas(*some))


def arguments(of: object, *words: str) -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    of.add_arguments(parser)  # type: ignore[attr-defined]
    return parser.parse_args(words)


# --- The committed page ---------------------------------------------------------------------------


def test_page_says_what_the_committed_points_give() -> None:
    assert [str(fault) for fault in paging.read_page().faults] == []


def test_committed_page_has_figures_and_a_changed_one_is_caught() -> None:
    text = paging.PAGE_PATH.read_text()
    figures = [one for one in paging.FIGURE_PATTERN.finditer(text) if one["shown"]]
    assert len(figures) > 100
    for one in (figures[0], figures[len(figures) // 2], figures[-1]):
        changed = f"{text[: one.start()]}987654{text[one.start() + len(one['shown']) :]}"
        found = paging.CapacityPage(changed, FormulaEvaluator(load_points(), {**read_size().figures()}))
        assert len(found.faults) == 1 and "987654" in str(found.faults[0])
        assert found.corrected_text == text


# --- The page's form ------------------------------------------------------------------------------


def test_command_fills_in_what_it_then_finds_true(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    folder, file = tmp_path / "points", tmp_path / "PAGE.md"
    append_points(folder / "a.jsonl", points(0.001 * n for n in SIZES))
    file.write_text(
        'In all ?<!-- whole = slope("writer", "quiet", "cpu_s_per_s") * sidecars --> of a core,\n'
        "?<!-- = whole / 2 | .0% --> of two; ?<!-- = whole <= 1 -->, ?<!-- = slope('a', 'b', 'c') -->.\n"
    )
    told = arguments(paging, "--page", str(file), "--points", str(folder))
    check = arguments(paging, "--check", "--page", str(file), "--points", str(folder))
    before = file.read_text()
    assert paging.main(check) == 1 and len(capsys.readouterr().err.splitlines()) == 4
    assert file.read_text() == before
    assert paging.main(told) == 0 and paging.main(check) == 0
    shown = paging.COMMENT_PATTERN.sub("", file.read_text())
    assert shown == "In all 1.1 of a core,\n55% of two; broken, not measured.\n"
    assert paging.COMMENT_PATTERN.findall(file.read_text()) == paging.COMMENT_PATTERN.findall(before)


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
def test_table_cells_have_a_formula_or_a_mark(cell: str, fault: str) -> None:
    found = [str(one) for one in page(f"| 2 | head |\n| --- | --- |\n| name | {cell} |\n").faults]
    assert found == [] if not fault else len(found) == 1 and fault in found[0] and "line 3" in found[0]


def test_ranked_table_rises() -> None:
    head = "\n| size | what |\n| --- | --- |\n"
    rows = "| 20<!-- given --> | a |\n| 1<!-- given --> | b |\n| not measured | c |\n"
    told = page("<!-- ranked -->\n" + head + rows)
    assert page(head + rows).faults == [] and page(head + rows).corrected_text == head + rows
    assert ["1 is ranked after 20" in str(one) for one in told.faults] == [True]
    a, b, c = rows.splitlines(keepends=True)
    assert told.corrected_text == "<!-- ranked -->\n" + head + b + a + c
    assert page(told.corrected_text).faults == []


# --- Files ----------------------------------------------------------------------------------------


def test_missing_or_bad_files_are_clear_errors(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    good = tmp_path / "PAGE.md"
    good.write_text("nothing\n")
    (tmp_path / "bad").mkdir()
    (tmp_path / "bad" / "x.jsonl").write_text('{"run": "a"}\n')
    for words, told in (
        (("--page", str(tmp_path / "none.md")), "none.md"),
        (("--page", str(good), "--points", str(tmp_path / "none")), "the folder of points does not exist"),
        (("--page", str(good), "--points", str(tmp_path / "bad")), "x.jsonl:1"),
        (("--page", str(good), "--size", str(tmp_path / "none.toml")), "none.toml"),
    ):
        assert paging.main(arguments(paging, "--check", *words)) == 2
        said = capsys.readouterr().err
        assert told in said and ";" in said and len(said.splitlines()) == 1


def test_page_without_its_points_says_not_measured(tmp_path: Path) -> None:
    copytree(fitting.POINTS_FOLDER, tmp_path / "points")
    assert paging.read_page(points=tmp_path / "points").faults == []
    for file in (tmp_path / "points").glob("*.jsonl"):
        file.unlink()
        assert any(
            "it is not measured" in str(one) for one in paging.read_page(points=tmp_path / "points").faults
        )


def test_size_file_is_the_letter_s() -> None:
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
        len(part.__struct_fields__) for part in (size.fleet, budget, size.day, size.goal, size.assumed)
    )


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ("sidecars = 1_100", "sidecars = 0", "sidecars"),
        ("sidecars = 1_100", "sidecars = true", "sidecars"),
        ("sidecars = 1_100", "", "sidecars"),
        ("sidecars = 1_100", "sidecars = 1_100\nside = 1", "side"),
        ("control_core = 0.034", "control_core = 3.4", "control_core"),
        ("[fleet]", "[fleet", "size.toml"),
    ],
)
def test_bad_sizes_are_refused(tmp_path: Path, old: str, new: str, told: str) -> None:
    file = tmp_path / "size.toml"
    file.write_text(DEFAULT_PATH.read_text().replace(old, new, 1))
    with pytest.raises(SizeError, match=told) as caught:
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
def test_formulas_say(formula: str, value: float | str) -> None:
    told = formulas(*points(0.5 + 0.001 * n for n in SIZES), lost="no line").evaluate(formula)
    assert told == value if isinstance(value, str) else told == pytest.approx(value, rel=1e-9)


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
def test_formulas_do_nothing_else(formula: str) -> None:
    with pytest.raises(FormulaError):
        formulas(*points(SIZES)).evaluate(formula)


# --- Fits -----------------------------------------------------------------------------------------


def test_line_is_found_and_its_parts_are_told() -> None:
    wobble = (0.01, -0.01, 0.0, 0.01, -0.01)
    both = points((0.5 + 0.001 * n + w for n, w in zip(SIZES, wobble, strict=True)), load=2.0)
    found = fit_line(
        [*both, *points((0.5 + 0.001 * n - w for n, w in zip(SIZES, wobble, strict=True)), turn=2)]
    )
    assert found is not None and found.is_line and found.verdict == "line"
    assert found.slope == pytest.approx(0.001) and found.base == pytest.approx(0.5)
    assert (found.point_count, found.void_count, found.min_turns, found.max_load) == (10, 0, 2, 2.0)
    assert found.r2 > 0.99 and found.max_residual < 1e-9 and 0.0 < found.slope_error < 1e-4


def test_noise_about_a_line_is_no_knee() -> None:
    turns = [points((1.0, 1.3, 0.9, 1.2, 1.0)), points((1.3, 1.0, 1.2, 0.9, 1.3), turn=2)]
    found = fit_line([one for turn in turns for one in turn])
    assert found is not None and found.is_line


def test_knee_is_found_where_two_lines_meet() -> None:
    found = fit_line(points(0.001 * n if n <= 400 else 0.4 + 0.01 * (n - 400) for n in SIZES))
    assert found is not None and not found.is_line
    assert found.knee == 400 and found.verdict == "no line, knee at 400"
    assert found.value_at(250) == pytest.approx(0.25) and found.value_at(900) == pytest.approx(5.4)
    assert found.value_at(1200) == pytest.approx(8.4)
    told = formulas(*points(0.001 * n if n <= 400 else 0.4 + 0.01 * (n - 400) for n in SIZES))
    series = '"writer", "quiet", "cpu_s_per_s"'
    assert told.evaluate(f"slope({series})") == told.evaluate(f"base({series}) + 1") == "no line"
    assert told.evaluate(f"knee({series})") == 400.0


def test_scatter_is_neither() -> None:
    found = fit_line(points((1.0, 9.0, 1.0, 9.0, 1.0)))
    assert found is not None and found.is_scatter and found.verdict == "no line, scatter"


def test_few_sizes_have_no_knee_and_say_so() -> None:
    found = fit_line(points((1.0, 5.0, 6.0), (1, 2, 3)))
    assert found is not None and found.is_line and found.verdict == "line of 3 sizes"
    assert fit_line(points((1.0, 2.0), (5, 5))) is None
    assert fit_line([]) is None


def test_void_points_are_left_out_and_counted() -> None:
    void = points((50.0, 60.0), (400, 1100), driver_lag_p99_ms=MAX_DRIVER_LAG_P99_MS + 1.0)
    found = fit_line([*points(0.001 * n for n in SIZES), *void])
    assert (
        found is not None
        and found.slope == pytest.approx(0.001)
        and (found.point_count, found.void_count) == (5, 2)
    )
    told = formulas(*void)
    assert told.evaluate('worst("writer", "quiet", "cpu_s_per_s")') == "void"
    assert told.evaluate('slope("writer", "quiet", "cpu_s_per_s")') == "void"
    assert told.evaluate('voids("writer", "quiet", "cpu_s_per_s")') == 2.0


def test_units_that_differ_are_refused() -> None:
    with pytest.raises(PointsError, match="writer quiet cpu_s_per_s"):
        group_by_series([*points(SIZES), *points(SIZES, unit="share")])


def test_table_says_each_series(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    void = points((1.0,), (100,), metric="p99_s", unit="s", driver_lag_p99_ms=90.0)
    append_points(tmp_path / "a.jsonl", [*points(0.001 * n for n in SIZES), *void])
    append_points(tmp_path / "b.jsonl", points((1.0, 9.0, 1.0, 9.0, 1.0), role="lists"))
    assert fitting.main(arguments(fitting, "--points", str(tmp_path))) == 0
    head, *rows = capsys.readouterr().out.splitlines()
    assert "verdict" in head and len(rows) == 3
    assert "no line, scatter" in rows[0] and "s/s / sidecar" in rows[1] and "all void" in rows[2]
    assert fitting.main(arguments(fitting, "--points", str(tmp_path), "--role", "none")) == 2
    assert "no points" in capsys.readouterr().err
