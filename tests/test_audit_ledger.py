"""The audit's ledger: any order, loss and repetition of reports gives what the orderly one gives."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from woadyard.audit import Position, Report, Spans
from woadyard.audit.ledger import AuditState
from woadyard.audit.position import parse
from woadyard.audit.questions import at, gaps, out_of_use, version_of, who_acted
from woadyard.audit.run import Run
from woadyard.errors import LogEntryError, PeerError

FIRST = Position("log", 1, 1, "s", build="b")


def moved(generation: int) -> Position:
    return msgspec.structs.replace(FIRST, generation=generation)


def record(*reports: Report, at_ms: int) -> dict[str, Any]:
    return {"op": "reports", "reports": msgspec.to_builtins(list(reports)), "at": at_ms * 1000}


def seen(run: Run) -> dict[str, Any]:
    """What a reader can tell of a run; by which report a row came is none of it."""
    told = replace(run, taken=set()).dump()
    return {**told, "rows": sorted(row[1:] for row in told["rows"])}


class Reports(RuleBasedStateMachine):
    """One sidecar, a network that loses, repeats and reorders, and two ledgers."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.request, self.generation = 1_000_000, 0, 1
        self.spans = Spans("n1", "r1", self.now, FIRST, most=8)
        self.truth: dict[str, list[int]] = {}
        self.out: list[tuple[int, str]] = []
        self.due: list[dict[str, Any]] = []  # on the way to the messy ledger
        self.messy, self.orderly = AuditState(), AuditState()

    def _count(self, of: int, position: str) -> None:
        self.truth.setdefault(position, [0, 0, 0])[of] += 1

    @rule(ms=st.integers(1, 2000))
    def wait(self, ms: int) -> None:
        self.now += ms * 1000

    @rule()
    def attempt(self) -> None:
        self.request += 1
        header = self.spans.attempt(self.now, self.request, 7)
        position = header.split(b": ")[1].strip().decode()
        self._count(0, position)
        self.out.append((self.request, position))

    @rule(reached=st.booleans(), which=st.integers(0, 50))
    def end(self, reached: bool, which: int) -> None:
        if self.out:
            request, position = self.out.pop(which % len(self.out))
            self.spans.ended(request, 7, reached)
            if not reached:
                self._count(2, position)

    @rule()
    def refuse(self) -> None:
        self.spans.refused(self.now)
        self._count(1, self.spans.position.text())

    @rule(by=st.integers(1, 3))
    def listed(self, by: int) -> None:
        self.now += 1000
        self.generation += by
        self.spans.act(self.now, moved(self.generation))

    @rule(fate=st.sampled_from(["lost", "unanswered", "answered", "twice"]))
    def report(self, fate: str) -> None:
        report = self.spans.report(self.now)
        told = record(report, at_ms=report.now + 5)
        if fate != "lost":
            self.orderly.apply(told)
            self.due += [told] * (2 if fate == "twice" else 1)
        if fate in ("lost", "unanswered"):
            self.spans.failed(report.n)

    @rule(which=st.integers(0, 50), again=st.booleans())
    def deliver(self, which: int, again: bool) -> None:
        if self.due:
            told = self.due[which % len(self.due)]
            self.messy.apply(json.loads(json.dumps(told)))
            if not again:
                self.due.remove(told)

    @rule()
    def ack(self) -> None:
        if run := self.messy.latest("n1"):
            self.spans.acked(run.taken)

    @rule()
    def restart(self) -> None:
        book = AuditState()
        book.load(json.loads(json.dumps(self.messy.dump())))
        self.messy = book

    @invariant()
    def bounded(self) -> None:
        assert len(self.spans.kept) <= 8 + len(self.out)

    def teardown(self) -> None:
        last = self.spans.report(self.now)
        told = record(last, at_ms=last.now + 5)
        self.orderly.apply(told)
        for one in [*self.due, told]:
            self.messy.apply(one)
        run, whole = self.messy.runs["n1@r1"], self.orderly.runs["n1@r1"]
        assert seen(run) == seen(whole)
        totals = run.totals()
        if self.spans.merged:  # what was merged has lost its position, none of its counts
            assert [sum(one) for one in zip(*totals.values(), strict=True)] == [
                sum(one) for one in zip(*(self.truth or {"": [0, 0, 0]}).values(), strict=True)
            ]
        else:
            assert {k: list(v) for k, v in totals.items() if any(v)} == self.truth
        assert gaps(self.messy, "n1") == [(run.base + run.heard, None)]
        self.spans.acked(run.taken)
        assert len(self.spans.kept) <= 1 + len(self.out)  # acked: nothing is kept twice


TestReports = Reports.TestCase
TestReports.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def ledger_of(spans: Spans, *at_ms: int) -> AuditState:
    book = AuditState()
    for now in at_ms:
        book.apply(record(spans.report(now * 1000), at_ms=now + 100_000))
    return book


def test_a_killed_run_leaves_a_gap_until_the_next_and_what_ended_well_leaves_none() -> None:
    book = AuditState()
    for run, began, last, final in (("a", 0, 900, False), ("b", 2000, 2900, True), ("c", 5000, 5500, False)):
        spans = Spans("n1", run, began * 1000, FIRST)
        spans.attempt((began + 10) * 1000, 1, 1)
        book.apply(record(spans.report(last * 1000, final), at_ms=100_000 + last))
    assert gaps(book, "n1") == [(100_900, 102_000), (105_500, None)]
    states = [at(book, "n1", 100_000 + when)["state"] for when in (-1, 5, 950, 2100, 3000, 5400, 9999)]
    assert states == ["not running", "acted", "gap", "acted", "not running", "acted", "gap"]
    book.apply({"op": "over", "key": "n1@c", "at": 106_000_000})
    assert gaps(book, "n1")[-1] == (105_500, 106_000)
    assert at(book, "n1", 109_999)["state"] == "not running"


def test_who_acted_tells_the_spans_of_a_version_and_out_of_use_waits_for_what_is_under_way() -> None:
    spans = Spans("n1", "a", 0, FIRST)
    spans.attempt(10_000, 1, 1)
    spans.act(50_000, moved(2))
    book = ledger_of(spans, 60)
    told = who_acted(book, version_of({"generation": "1", "lineage": "log"}))
    assert told["sidecars"] == {"n1": {"attempts": 1, "refusals": 0, "unsent": 0}}
    assert (told["spans"][0]["from"], told["spans"][0]["to"]) == (100_000, 100_050)
    assert not out_of_use(book, FIRST)["out_of_use"]  # an attempt begun on it is out still
    spans.ended(1, 1, True)
    book.apply(record(spans.report(70_000), at_ms=100_070))
    assert out_of_use(book, FIRST)["out_of_use"]
    assert [one["name"] for one in out_of_use(book, moved(2))["used_by"]] == ["n1"]


def test_a_ledger_keeps_to_its_size_and_says_what_it_summed_up() -> None:
    book, spans = AuditState(rows_most=64), Spans("n1", "a", 0, FIRST)
    for turn in range(1, 500):
        now = turn * 1_000_000
        spans.attempt(now, turn, 1)
        spans.ended(turn, 1, True)
        spans.act(now + 1, moved(turn + 1))
        book.apply(record(spans.report(now + 2), at_ms=turn * 1000))
        spans.acked(book.runs["n1@a"].taken)
    run = book.runs["n1@a"]
    assert run.size <= 64 and book.compacted > 400
    assert sum(attempts for attempts, _, _ in run.totals().values()) == 499
    assert at(book, "n1", run.base + 5_000)["merged"] > 400  # in a sum, and said so
    assert at(book, "n1", run.base + 498_500)["position"] == moved(499).text()


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
def test_a_bad_record_is_refused_and_changes_nothing(bad: dict[str, Any]) -> None:
    book = ledger_of(Spans("n1", "a", 0, FIRST), 5)
    before = json.dumps(book.dump())
    for act in (book.check, book.apply):
        with pytest.raises(LogEntryError):
            act(bad)
    with pytest.raises(LogEntryError):
        book.load({"runs": [{}]})
    assert json.dumps(book.dump()) == before


def test_a_position_reads_what_it_wrote_and_nothing_else() -> None:
    whole = Position("a1", 2, 30, "ff00", 4, 5, "0-1-0")
    assert parse(whole.text()) == whole and parse(Position().text()) == Position()
    for bad in ("", "a.b", "a.1.2.s.1.1", "a.-1.2.s.1.1.b", "a.1.x.s.1.1.b", "a\r\n.1.2.s.1.1.b"):
        with pytest.raises(PeerError):
            parse(bad)
    assert moved(2).older(moved(3)) and not moved(3).older(moved(3))
    assert Position("log", 1, 9).older(Position("log", 2, 3))  # the greater term is the newer list
