"""The real `./check` over a small project: what KNOWN-RED.txt lists may fail, and nothing else."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent

TESTS = """
import os
import pytest

@pytest.fixture
def broken():
    raise OSError("in the fixture")

@pytest.fixture
def breaks_after():
    yield
    raise OSError("after the test")

def test_green(): pass
def test_red(): assert os.getpid() < 0, "red as ever"
def test_before(broken): pass
def test_after(breaks_after): pass
def test_left_out(): pytest.skip("not here")
@pytest.mark.parametrize("how", ["a b", "c"])
def test_each(how): assert how == "c"
def test_crash(): os._exit(3)
"""


class Project:
    """A project of a few tests whose `check` is ours; linter and types have nothing to say."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        for name in ("tests", "benchmarks", "woadyard/policy", ".venv-dev/bin"):
            (folder / name).mkdir(parents=True)
        for name in ("tests/__init__.py", "woadyard/policy/__init__.py", "requirements-dev.txt"):
            (folder / name).touch()
        (folder / ".venv-dev/installed.txt").touch()
        (folder / "pyproject.toml").write_text(
            '[tool.pytest.ini_options]\ntestpaths = ["tests"]\naddopts = "-q"\n'
        )
        for name in ("check", "tests/known_red.py"):
            shutil.copy(ROOT / name, folder / name)
        python = f"exec {sys.executable}"
        tools = {
            "ruff": "true",
            "mypy": "true",
            "python": f'{python} "$@"',
            "pytest": f'{python} -m pytest "$@"',
        }
        for name, does in tools.items():
            tool = folder / ".venv-dev/bin" / name
            tool.write_text(f"#!/bin/sh\n{does}\n")
            tool.chmod(0o755)

    def check(self, listed: str | None, only: str, workers: int = 0) -> tuple[int, str]:
        """Its verdict and what it says, with these of the tests above."""
        (self.folder / "tests/test_small.py").write_text(TESTS)
        chosen = [f"--deselect=tests/test_small.py::{name}" for name in _names() if name not in only.split()]
        if listed is not None:
            (self.folder / "KNOWN-RED.txt").write_text(listed)
        environ = {name: value for name, value in os.environ.items() if not name.startswith("PYTEST")}
        environ |= {"CHECK_WORKERS": str(workers), "PYTEST_ADDOPTS": " ".join(chosen)}
        done = subprocess.run(
            ["bash", "check"], cwd=self.folder, env=environ, capture_output=True, text=True, timeout=110
        )
        return done.returncode, done.stdout + done.stderr


def _names() -> list[str]:
    return [line.split()[1].split("(")[0] for line in TESTS.splitlines() if line.startswith("def test_")]


def line(name: str, cause: str = "a race", issue: str = "24") -> str:
    return f"tests/test_small.py::{name} | {cause} | {issue}\n"


@pytest.fixture
def project(tmp_path: Path) -> Project:
    return Project(tmp_path)


def test_what_is_listed_may_fail_and_is_printed_with_its_cause(project: Project) -> None:
    listed = ["test_before", "test_after", "test_each[a b]"]
    code, said = project.check("".join(map(line, listed)), "test_green test_before test_after test_each")
    assert code == 0, said
    for name in listed:
        assert f"tests/test_small.py::{name}: failed (cause: a race; issue: 24)" in said
    assert "3 passed, 3 deselected, 3 xfailed" in said  # test_after itself passes, and fails after


def test_beside_workers_too_and_what_passes_is_to_be_taken_off(project: Project) -> None:
    listed = line("test_red") + line("test_crash", "it ends its worker") + line("test_green")
    code, said = project.check(listed, "test_green test_red test_crash", workers=2)
    assert code == 0, said
    assert "test_red: failed (cause: a race; issue: 24)" in said
    assert "test_crash: failed (cause: it ends its worker; issue: 24)" in said
    assert "test_green: passed, to be taken off the list (cause: a race; issue: 24)" in said


@pytest.mark.parametrize("workers", [0, 2])
def test_any_other_failing_test_fails_the_check(project: Project, workers: int) -> None:
    listed = line("test_red") + line("test_left_out")
    code, said = project.check(listed, "test_red test_left_out test_before", workers)
    assert code != 0
    assert "1 error" in said
    assert "test_red: failed (cause" in said
    assert "test_left_out: skipped (cause" in said


@pytest.mark.parametrize(
    ("listed", "message"),
    [
        (
            "".join(map(line, ("test_red", "test_before", "test_after", "test_green"))),
            "lists 4 tests; 3 at most",
        ),
        ("tests/test_small.py::test_red\n", "test-node-id | cause | issue"),
        ("tests/test_small.py::test_red | a race\n", "test-node-id | cause | issue"),
        (line("test_red", cause=" "), "test-node-id | cause | issue"),
        (line("test_red", issue=""), "test-node-id | cause | issue"),
        (" | a race | 24\n", "test-node-id | cause | issue"),
        (line("test_gone"), "there is no test tests/test_small.py::test_gone"),
        (line("test_each"), "there is no test tests/test_small.py::test_each"),
    ],
    ids=[
        "four",
        "test-alone",
        "no-issue",
        "blank-cause",
        "blank-issue",
        "no-test",
        "unknown",
        "not-the-whole-id",
    ],
)
def test_a_list_that_does_not_hold_is_refused(project: Project, listed: str, message: str) -> None:
    code, said = project.check(listed, "test_green test_red test_before test_after test_each")
    assert code != 0
    assert message in said
    assert "Traceback" not in said
    assert " passed" not in said, "the tests ran"


def test_a_test_file_that_cannot_be_collected_fails_the_check(project: Project) -> None:
    (project.folder / "tests/test_broken.py").write_text("import nowhere_at_all\n")
    code, said = project.check(line("test_red"), "test_green test_red")
    assert code != 0
    assert "nowhere_at_all" in said


@pytest.mark.parametrize(("only", "green"), [("test_green", True), ("test_green test_red", False)])
def test_without_the_file_nothing_changes(project: Project, only: str, green: bool) -> None:
    code, said = project.check(None, only)
    assert (code == 0) is green, said
    assert ("1 failed" in said) is not green
    assert "KNOWN-RED" not in said
