"""The tests that may fail for now: KNOWN-RED.txt at the root names each with its cause and its issue.

`./check` runs this file, which refuses a list that does not hold, and then the tests with it as a
plugin: what is listed runs, is printed with its outcome and does not decide the verdict.
"""

from __future__ import annotations

import contextlib
import io
import sys
from collections.abc import Generator
from dataclasses import dataclass, field
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MAX_LISTED = 3


class InvalidListError(Exception):
    """The list does not hold; the message says why."""


@dataclass
class KnownFailure:
    test: str
    cause: str
    issue: str
    outcome: str = "not run"
    failures: list[str] = field(default_factory=list)

    def summary(self) -> str:
        outcome = "passed, to be taken off the list" if self.outcome == "passed" else self.outcome
        return f"{self.test}: {outcome} (cause: {self.cause}; issue: {self.issue})"


def read_list(root: Path) -> list[KnownFailure]:
    """What is listed there; nothing where there is no list."""
    path = root / FILE
    if not path.exists():
        return []
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_LISTED:
        raise InvalidListError(
            f"{FILE} lists {len(lines)} tests; {MAX_LISTED} at most: mend the others first"
        )
    return [_known(line) for line in lines]


def _known(line: str) -> KnownFailure:
    parts = [part.strip() for part in line.split("|")]
    if len(parts) != 3 or not all(parts):
        raise InvalidListError(f"{FILE}: {line!r} is not of the form: test-node-id | cause | issue")
    test, cause, issue = parts
    return KnownFailure(test, cause, issue)


class CollectedTests:
    """The ids of what pytest collects."""

    def __init__(self) -> None:
        self.ids: set[str] = set()

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        self.ids.update(item.nodeid for item in session.items)


def verify(root: Path) -> None:
    """Refuses a list that is not as it has to be, or that names a test that does not exist."""
    listed = read_list(root)
    if not listed:
        return
    names, said = CollectedTests(), io.StringIO()
    with contextlib.redirect_stdout(said), contextlib.redirect_stderr(said):
        code = pytest.main(["--collect-only", f"--rootdir={root}"], plugins=[names])
    if code != pytest.ExitCode.OK:
        raise InvalidListError(f"{said.getvalue()}\n{FILE}: the tests it is compared with are not collected")
    for one in listed:
        if one.test not in names.ids:
            raise InvalidListError(f"{FILE}: there is no test {one.test}")


class KnownFailuresPlugin:
    """Keeps what is listed out of the verdict, in the process that counts and prints. It takes reports
    rather than tests, so an error around a test or a worker's crash in it counts as its failure."""

    def __init__(self, listed: list[KnownFailure]) -> None:
        self.listed = {one.test: one for one in listed}

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_logreport(self, report: pytest.TestReport) -> Generator[None, object, object]:
        if known := self.listed.get(report.nodeid):
            if report.failed:
                known.outcome = "failed"
                known.failures.append(report.longreprtext)
                report.outcome = "skipped"
                report.wasxfail = f"{known.cause}; issue {known.issue}"
            elif known.outcome != "failed" and (report.skipped or report.when == "call"):
                known.outcome = report.outcome
        return (yield)

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        terminalreporter.section(FILE)
        for known in self.listed.values():
            terminalreporter.write_line(known.summary())
            for fault in known.failures:
                terminalreporter.write_line(fault)


def pytest_configure(config: pytest.Config) -> None:
    if hasattr(config, "workerinput"):
        return
    try:
        listed = read_list(config.rootpath)
    except InvalidListError as refused:
        raise pytest.UsageError(str(refused)) from None
    if listed:
        config.pluginmanager.register(KnownFailuresPlugin(listed))


if __name__ == "__main__":
    try:
        verify(Path.cwd())
    except InvalidListError as refused:
        sys.exit(str(refused))
