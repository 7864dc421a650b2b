"""The book is the gate, and the rollout goes on only where all is inside the forecast."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks import whatif_world
from woadyard.errors import LogEntryError, PeerError
from woadyard.interface import LIST_DELTA, LIST_FULL
from woadyard.net.planned_weights import PlannedWeights
from woadyard.whatif.measure import measure_stage
from woadyard.whatif.plans import PlansState, plan_digest
from woadyard.whatif.rollout import Measured, members, step
from woadyard.whatif.settings import Rules
from woadyard.whatif.trace import WeightsApplied, read_trace

SECOND = 1_000_000
WEIGHTS = {"machineType=old": 0.2, "e1": 2.0}
RULES = Rules(window_s=5, measured_least=100, stage_wait_s=30)
FLEET = [f"s{n}" for n in range(10)]


def propose(**changes: Any) -> dict[str, Any]:
    return {"op": "propose", "at": 0, "weights": WEIGHTS, "stages": [0.2, 1.0], **changes}


def verdict(**changes: Any) -> dict[str, Any]:
    figures = {"aim": [0.95, 0.93, 0.97, 0.94], "p99": [9e4, 8e4, 1e5, 9e4]}
    told = {"state": "better", "reason": "", "plan": plan_digest(WEIGHTS), "trace": "t", "list": "l",
            "at": 0, "age_us": 60 * SECOND, "figures": figures, **changes}  # fmt: skip
    return {"op": "judge", "revision": 1, "verdict": told}


def begin(**changes: Any) -> dict[str, Any]:
    return {"op": "begin", "revision": 1, "at": SECOND, "list": "l", "cut": 1 << 51, **changes}


def write(book: PlansState, *records: dict[str, Any]) -> PlansState:
    for record in records:
        book.check(record)
        book.apply(json.loads(json.dumps(record)))
    return book


@pytest.mark.parametrize(
    ("records", "why"),
    [
        ([begin()], "has no verdict"),
        ([verdict(state="worse"), begin()], "worse"),
        ([verdict(state="cannot tell"), begin()], "cannot tell"),
        ([verdict(), begin(list="other")], "another list"),
        ([verdict(), begin(at=61 * SECOND)], "too old"),
        ([verdict(plan=plan_digest({"e1": 1.0}))], "another plan"),
        ([{"op": "force", "revision": 1, "reason": " "}], "reason"),
        ([propose()], "one plan at a time"),
        ([verdict(), begin(), begin()], "rolling"),
        ([verdict(), begin(), {"op": "done", "revision": 1}], "done after"),
    ],
)
def test_the_gate_lets_nothing_out_that_it_must_not(records: list[dict[str, Any]], why: str) -> None:
    book = write(PlansState(), propose(), *records[:-1])
    before = book.dump()
    with pytest.raises(LogEntryError, match=why) as refused:
        book.check(records[-1])
    assert refused.value.remedy and book.dump() == before


def test_a_forced_plan_goes_out_and_keeps_its_reason() -> None:
    forced = {"op": "force", "revision": 1, "reason": "rack 4 burns"}
    book = write(PlansState(), propose(), verdict(state="worse"), forced, begin(at=999 * SECOND))
    assert book.active is not None and (book.active.state, book.active.forced) == ("rolling", "rack 4 burns")


def test_a_halt_brings_the_old_weights_back_under_a_newer_revision() -> None:
    book = write(PlansState(), propose(), verdict(), begin())
    told = {one: book.directive(one)["revision"] for one in FLEET}
    assert set(told.values()) == {0, 1}
    halt = {"op": "halt", "revision": 1, "reason": "p99", "errors": {"p99": 3e4}, "wrong": True}
    write(book, halt)
    assert {json.dumps(book.directive(one)) for one in FLEET} == {'{"revision": 2, "weights": {}}'}
    assert book.widen > 1.0 and book.history[-1].errors == {"p99": 3e4}


OPS = st.sampled_from([
    propose(), verdict(), begin(), {"op": "stage", "revision": 1, "stage": 1, "cut": 1 << 52},
    {"op": "done", "revision": 1}, {"op": "halt", "revision": 1}, {"op": "withdraw", "revision": 1},
    {"op": "force", "revision": 1, "reason": "x"}, {"op": "nonsense", "revision": 1}, {},
    begin(cut="x"), verdict(at="x"), propose(stages=[1.0, 0.5]), propose(weights={"e": -1}),
])  # fmt: skip


@settings(max_examples=200, deadline=None)
@given(st.lists(OPS, max_size=12))
def test_any_records_leave_one_plan_revisions_that_grow_and_a_dump_that_loads(ops: list[Any]) -> None:
    book, last = PlansState(), {one: 0 for one in FLEET}
    for record in ops:
        record = {**record, "revision": book.next - 1} if "revision" in record else record
        try:
            book.check(record)
        except LogEntryError:
            continue
        book.apply(record)
        told = {one: book.directive(one)["revision"] for one in FLEET}
        assert len(set(told.values())) <= 2 and all(told[one] >= last[one] for one in FLEET)
        last = told
    again = PlansState()
    again.load(json.loads(json.dumps(book.dump())))
    assert again.dump() == book.dump()


def rolling() -> PlansState:
    return write(PlansState(), propose(), verdict(), begin())


def inside(**changes: tuple[float, float, float]) -> Measured:
    return Measured(6 * SECOND, 500, {"aim": (0.95, 0.94, 0.96), "p99": (9e4, 8e4, 1e5), **changes})


def test_a_rollout_waits_for_the_audit_then_measures_then_goes_on_to_the_end() -> None:
    book = rolling()
    plan = book.active
    assert plan is not None
    acting = dict.fromkeys(FLEET, 0)
    assert step(2 * SECOND, plan, acting, inside(), RULES).record is None
    late, *others = [one for one in FLEET if book.directive(one)["revision"] == 1]
    acting |= dict.fromkeys(others, 1)
    # One is cut off: it holds the old plan, and the stage waits for it, past its time too.
    waits = step(999 * SECOND, plan, acting, inside(), RULES)
    assert waits.record is None and late in waits.why
    most = Rules(window_s=5, measured_least=100, stage_wait_s=30, missing_most=0.5)
    assert step(2 * SECOND, plan, acting, inside(), most).record is None  # by rule goes on, after the wait
    assert (step(999 * SECOND, plan, acting, inside(), most).record or {})["op"] == "stage"
    acting[late] = 1
    assert step(2 * SECOND, plan, acting, Measured(SECOND, 90), RULES).record is None
    done = step(2 * SECOND, plan, acting, inside(), RULES).record
    assert done is not None
    write(book, done)
    assert members(plan, dict.fromkeys(FLEET, 1)) == FLEET
    last = step(9 * SECOND, plan, dict.fromkeys(FLEET, 1), inside(), RULES).record
    assert last is not None and last["op"] == "done"
    write(book, last)
    assert book.active is None and book.directive("new")["weights"] == WEIGHTS


def test_a_figure_outside_of_its_interval_halts() -> None:
    book = rolling()
    assert book.active is not None
    acting = {one: book.directive(one)["revision"] for one in FLEET}
    record = step(9 * SECOND, book.active, acting, inside(p99=(3e5, 2e5, 4e5)), RULES).record
    assert record is not None and record["op"] == "halt" and "p99" in record["reason"]
    write(book, record)
    assert book.history[-1].errors["p99"] == pytest.approx(2.1e5)


def test_a_sidecar_resolves_a_plan_for_each_list_and_takes_it_whole_or_not_at_all() -> None:
    weighed: list[Any] = []
    used: list[int] = []
    weights = PlannedWeights(weighed.append, lambda revision, told: used.append(revision))
    entries = [{"instanceId": f"e{n}", "machineType": kind} for n, kind in enumerate(["old", "new", "new"])]
    weights.list_applied(LIST_FULL, entries[:2])
    told = {"revision": 3, "weights": {"machineType=old": 1.0, "e1": 4.0, "machineType=new": 2.0}}
    assert weights.apply_directive(told) == 3 and weighed == [{"e0": 0.25, "e1": 1.0}]
    weights.list_applied(LIST_DELTA, entries[2:])
    assert weighed[-1] == {"e0": 0.25, "e1": 1.0, "e2": 0.5}
    none: list[Any] = [{"revision": 4, "weights": {"e1": 0}}, {"revision": -1}, {"weights": {}}, [], None]
    for bad in none:
        with pytest.raises(PeerError):
            weights.apply_directive(bad)
    assert weights.apply_directive(told) == 3 and used == [3]
    assert weights.apply_directive({"revision": 5, "weights": {}}) == 5 and weighed[-1] == {}


def test_a_stage_is_measured_from_where_each_sidecar_took_the_plan() -> None:
    trace = read_trace(whatif_world.record_traces(["small", "old"], sidecars=1, seconds=10)[0][0])
    began = trace.requests[len(trace.requests) // 2].at
    assert measure_stage([trace], 7, 0.9).requests == 0
    trace.changes.append(WeightsApplied(began, 7, {}))
    found = measure_stage([trace], 7, 0.9)
    later = [one for one in trace.requests if one.at >= began]
    assert found.requests == len(later) and found.span_us == later[-1].at - began
    share, low, high = found.figures["aim"]
    assert low < share < high and found.figures["p50"][0] < found.figures["p99"][0]
