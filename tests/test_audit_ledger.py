"""Tests of the audit's ledger: reordered, lost or repeated reports lead to the state of ordered ones."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from woadyard.audit import Position, Report, SpanRecorder
from woadyard.audit.ledger import AuditState
from woadyard.audit.position import parse_position
from woadyard.audit.queries import (
    check_out_of_use,
    parse_version_filter,
    reporting_gaps,
    spans_acted_on,
    state_at,
)
from woadyard.audit.run import Run
from woadyard.errors import LogEntryError, PeerError

FIRST = Position("log", 1, 1, "s", build="b")


def position_at(generation: int) -> Position:
    """`FIRST` with another generation of the list."""
    return msgspec.structs.replace(FIRST, generation=generation)


def reports_entry(*reports: Report, at_ms: int) -> dict[str, Any]:
    return {"op": "reports", "reports": msgspec.to_builtins(list(reports)), "at": at_ms * 1000}


def observable_state(run: Run) -> dict[str, Any]:
    """All of a run that queries depend on: everything but the numbers of its reports."""
    snapshot = replace(run, received_numbers=set()).dump()
    return {**snapshot, "rows": sorted(row[1:] for row in snapshot["rows"])}


class ReportsMachine(RuleBasedStateMachine):
    """One sidecar whose reports reach two ledgers.

    One receives them in order and once; the other over a network that delays, repeats and reorders
    them. Reports that are lost reach neither.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_us, self.request, self.generation = 1_000_000, 0, 1
        self.recorder = SpanRecorder("n1", "r1", self.now_us, FIRST, max_spans=8)
        self.expected_counts: dict[str, list[int]] = {}
        self.in_flight: list[tuple[int, str]] = []
        self.undelivered: list[dict[str, Any]] = []  # entries on the way to the unordered ledger
        self.unordered_state, self.ordered_state = AuditState(), AuditState()

    def _count(self, column: int, position: str) -> None:
        self.expected_counts.setdefault(position, [0, 0, 0])[column] += 1

    @rule(ms=st.integers(1, 2000))
    def wait(self, ms: int) -> None:
        self.now_us += ms * 1000

    @rule()
    def attempt(self) -> None:
        self.request += 1
        header = self.recorder.record_attempt(self.now_us, self.request, 7)
        position = header.split(b": ")[1].strip().decode()
        self._count(0, position)
        self.in_flight.append((self.request, position))

    @rule(was_sent=st.booleans(), which=st.integers(0, 50))
    def end(self, was_sent: bool, which: int) -> None:
        if self.in_flight:
            request, position = self.in_flight.pop(which % len(self.in_flight))
            self.recorder.record_attempt_end(request, 7, was_sent)
            if not was_sent:
                self._count(2, position)

    @rule()
    def refuse(self) -> None:
        self.recorder.record_refusal(self.now_us)
        self._count(1, self.recorder.position.to_text())

    @rule(by=st.integers(1, 3))
    def listed(self, by: int) -> None:
        self.now_us += 1000
        self.generation += by
        self.recorder.set_position(self.now_us, position_at(self.generation))

    @rule(fate=st.sampled_from(["lost", "unanswered", "answered", "twice"]))
    def report(self, fate: str) -> None:
        report = self.recorder.build_report(self.now_us)
        entry = reports_entry(report, at_ms=report.now + 5)
        if fate != "lost":
            self.ordered_state.apply(entry)
            self.undelivered += [entry] * (2 if fate == "twice" else 1)
        if fate in ("lost", "unanswered"):
            self.recorder.report_failed(report.n)

    @rule(which=st.integers(0, 50), again=st.booleans())
    def deliver(self, which: int, again: bool) -> None:
        if self.undelivered:
            entry = self.undelivered[which % len(self.undelivered)]
            self.unordered_state.apply(json.loads(json.dumps(entry)))
            if not again:
                self.undelivered.remove(entry)

    @rule()
    def ack(self) -> None:
        if run := self.unordered_state.latest_run("n1"):
            self.recorder.acknowledge(run.received_numbers)

    @rule()
    def restart(self) -> None:
        restored = AuditState()
        restored.load(json.loads(json.dumps(self.unordered_state.dump())))
        self.unordered_state = restored

    @invariant()
    def bounded(self) -> None:
        assert len(self.recorder.retained) <= 8 + len(self.in_flight)

    def teardown(self) -> None:
        last = self.recorder.build_report(self.now_us)
        last_entry = reports_entry(last, at_ms=last.now + 5)
        self.ordered_state.apply(last_entry)
        for entry in [*self.undelivered, last_entry]:
            self.unordered_state.apply(entry)
        run, ordered_run = self.unordered_state.runs["n1@r1"], self.ordered_state.runs["n1@r1"]
        assert observable_state(run) == observable_state(ordered_run)
        totals = run.totals_by_position()
        if self.recorder.merge_count:  # merged spans lose their position, but no counts
            assert [sum(column) for column in zip(*totals.values(), strict=True)] == [
                sum(column)
                for column in zip(*(self.expected_counts or {"": [0, 0, 0]}).values(), strict=True)
            ]
        else:
            assert {
                position: list(counts) for position, counts in totals.items() if any(counts)
            } == self.expected_counts
        assert reporting_gaps(self.unordered_state, "n1") == [(run.base + run.heard, None)]
        self.recorder.acknowledge(run.received_numbers)
        assert len(self.recorder.retained) <= 1 + len(self.in_flight)  # acknowledged spans are dropped


TestReports = ReportsMachine.TestCase
TestReports.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def audit_state_after(recorder: SpanRecorder, *at_ms: int) -> AuditState:
    """The audit's state after one report at each of these times since the sidecar's start."""
    audit_state = AuditState()
    for time_ms in at_ms:
        audit_state.apply(reports_entry(recorder.build_report(time_ms * 1000), at_ms=time_ms + 100_000))
    return audit_state


def test_killed_run_leaves_a_gap_until_the_next_run_and_a_final_report_leaves_none() -> None:
    audit_state = AuditState()
    for run, start_ms, last_ms, final in (
        ("a", 0, 900, False),
        ("b", 2000, 2900, True),
        ("c", 5000, 5500, False),
    ):
        recorder = SpanRecorder("n1", run, start_ms * 1000, FIRST)
        recorder.record_attempt((start_ms + 10) * 1000, 1, 1)
        audit_state.apply(
            reports_entry(recorder.build_report(last_ms * 1000, final), at_ms=100_000 + last_ms)
        )
    assert reporting_gaps(audit_state, "n1") == [(100_900, 102_000), (105_500, None)]
    states = [
        state_at(audit_state, "n1", 100_000 + time_ms)["state"]
        for time_ms in (-1, 5, 950, 2100, 3000, 5400, 9999)
    ]
    assert states == ["not running", "acted", "gap", "acted", "not running", "acted", "gap"]
    audit_state.apply({"op": "over", "key": "n1@c", "at": 106_000_000})
    assert reporting_gaps(audit_state, "n1")[-1] == (105_500, 106_000)
    assert state_at(audit_state, "n1", 109_999)["state"] == "not running"


def test_spans_of_a_version_are_found_and_it_is_in_use_while_its_attempts_are_in_flight() -> None:
    recorder = SpanRecorder("n1", "a", 0, FIRST)
    recorder.record_attempt(10_000, 1, 1)
    recorder.set_position(50_000, position_at(2))
    audit_state = audit_state_after(recorder, 60)
    acted = spans_acted_on(audit_state, parse_version_filter({"generation": "1", "lineage": "log"}))
    assert acted["sidecars"] == {"n1": {"attempts": 1, "refusals": 0, "unsent": 0}}
    assert (acted["spans"][0]["from"], acted["spans"][0]["to"]) == (100_000, 100_050)
    # An attempt that was started on it is still in flight.
    assert not check_out_of_use(audit_state, FIRST)["out_of_use"]
    recorder.record_attempt_end(1, 1, True)
    audit_state.apply(reports_entry(recorder.build_report(70_000), at_ms=100_070))
    assert check_out_of_use(audit_state, FIRST)["out_of_use"]
    assert [user["name"] for user in check_out_of_use(audit_state, position_at(2))["used_by"]] == ["n1"]


def test_ledger_stays_within_its_size_and_marks_compacted_rows() -> None:
    audit_state, recorder = AuditState(max_rows=64), SpanRecorder("n1", "a", 0, FIRST)
    for turn in range(1, 500):
        now_us = turn * 1_000_000
        recorder.record_attempt(now_us, turn, 1)
        recorder.record_attempt_end(turn, 1, True)
        recorder.set_position(now_us + 1, position_at(turn + 1))
        audit_state.apply(reports_entry(recorder.build_report(now_us + 2), at_ms=turn * 1000))
        recorder.acknowledge(audit_state.runs["n1@a"].received_numbers)
    run = audit_state.runs["n1@a"]
    assert run.row_count <= 64 and audit_state.compacted_rows > 400
    assert sum(attempts for attempts, _, _ in run.totals_by_position().values()) == 499
    assert state_at(audit_state, "n1", run.base + 5_000)["merged"] > 400  # within a sum, and marked as one
    assert state_at(audit_state, "n1", run.base + 498_500)["position"] == position_at(499).to_text()


@pytest.mark.parametrize(
    "bad",
    [
        {"op": "reports"},
        {"op": "reports", "reports": [{"name": "n1"}]},
        {"op": "reports", "reports": [{"name": "n", "run": "a", "n": 0, "low": 0, "now": 1, "open": 0}]},
        {"op": "state", "key": "n1@none", "state": "current"},
        {"op": "state", "key": "n1@a", "state": "odd"},
        {"op": "nothing"},
        {"op": "over", "key": ["n1"], "at": 1},
        {"op": "over", "key": "n1@a", "at": "now"},
    ],
)
def test_invalid_log_entry_is_rejected_and_changes_nothing(bad: dict[str, Any]) -> None:
    audit_state = audit_state_after(SpanRecorder("n1", "a", 0, FIRST), 5)
    before = json.dumps(audit_state.dump())
    for method in (audit_state.check, audit_state.apply):
        with pytest.raises(LogEntryError):
            method(bad)
    with pytest.raises(LogEntryError):
        audit_state.load({"runs": [{}]})
    assert json.dumps(audit_state.dump()) == before


def test_position_parses_its_own_text_and_nothing_else() -> None:
    whole = Position("a1", 2, 30, "ff00", 4, 5, "0-1-0")
    assert parse_position(whole.to_text()) == whole and parse_position(Position().to_text()) == Position()
    for bad in ("", "a.b", "a.1.2.s.1.1", "a.-1.2.s.1.1.b", "a.1.x.s.1.1.b", "a\r\n.1.2.s.1.1.b"):
        with pytest.raises(PeerError):
            parse_position(bad)
    assert position_at(2).is_older_than(position_at(3)) and not position_at(3).is_older_than(position_at(3))
    assert Position("log", 1, 9).is_older_than(Position("log", 2, 3))  # the greater term has the newer list
