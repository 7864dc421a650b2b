"""The plans' state machine admits only plans that passed; the rollout advances only as forecast."""

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
from woadyard.whatif.rollout import Measurement, next_step, updated_sidecars
from woadyard.whatif.settings import Rules
from woadyard.whatif.trace import WeightsApplied, read_trace

SECOND = 1_000_000
WEIGHTS = {"machineType=old": 0.2, "e1": 2.0}
RULES = Rules(window_s=5, measured_least=100, stage_wait_s=30)
FLEET = [f"s{n}" for n in range(10)]


def proposal_entry(**changes: Any) -> dict[str, Any]:
    return {"op": "propose", "at": 0, "weights": WEIGHTS, "stages": [0.2, 1.0], **changes}


def verdict_entry(**changes: Any) -> dict[str, Any]:
    figures = {"aim": [0.95, 0.93, 0.97, 0.94], "p99": [9e4, 8e4, 1e5, 9e4]}
    verdict = {"state": "better", "reason": "", "plan": plan_digest(WEIGHTS), "trace": "t", "list": "l",
               "at": 0, "age_us": 60 * SECOND, "figures": figures, **changes}  # fmt: skip
    return {"op": "judge", "revision": 1, "verdict": verdict}


def begin_entry(**changes: Any) -> dict[str, Any]:
    return {"op": "begin", "revision": 1, "at": SECOND, "list": "l", "cut": 1 << 51, **changes}


def apply_entries(plans: PlansState, *entries: dict[str, Any]) -> PlansState:
    for entry in entries:
        plans.check(entry)
        plans.apply(json.loads(json.dumps(entry)))
    return plans


@pytest.mark.parametrize(
    ("entries", "reason"),
    [
        ([begin_entry()], "has no verdict"),
        ([verdict_entry(state="worse"), begin_entry()], "worse"),
        ([verdict_entry(state="cannot tell"), begin_entry()], "cannot tell"),
        ([verdict_entry(), begin_entry(list="other")], "another list"),
        ([verdict_entry(), begin_entry(at=61 * SECOND)], "too old"),
        ([verdict_entry(plan=plan_digest({"e1": 1.0}))], "another plan"),
        ([{"op": "force", "revision": 1, "reason": " "}], "reason"),
        ([proposal_entry()], "one plan at a time"),
        ([verdict_entry(), begin_entry(), begin_entry()], "rolling"),
        ([verdict_entry(), begin_entry(), {"op": "done", "revision": 1}], "done after"),
    ],
)
def test_invalid_entry_is_rejected_and_changes_nothing(entries: list[dict[str, Any]], reason: str) -> None:
    plans = apply_entries(PlansState(), proposal_entry(), *entries[:-1])
    before = plans.dump()
    with pytest.raises(LogEntryError, match=reason) as rejected:
        plans.check(entries[-1])
    assert rejected.value.remedy and plans.dump() == before


def test_forced_plan_begins_and_keeps_its_reason() -> None:
    force = {"op": "force", "revision": 1, "reason": "rack 4 burns"}
    plans = apply_entries(
        PlansState(), proposal_entry(), verdict_entry(state="worse"), force, begin_entry(at=999 * SECOND)
    )
    assert plans.active is not None and (plans.active.state, plans.active.forced) == (
        "rolling",
        "rack 4 burns",
    )


def test_halt_restores_the_previous_weights_under_a_newer_revision() -> None:
    plans = apply_entries(PlansState(), proposal_entry(), verdict_entry(), begin_entry())
    revisions = {sidecar: plans.directive(sidecar)["revision"] for sidecar in FLEET}
    assert set(revisions.values()) == {0, 1}
    halt = {"op": "halt", "revision": 1, "reason": "p99", "errors": {"p99": 3e4}, "wrong": True}
    apply_entries(plans, halt)
    assert {json.dumps(plans.directive(sidecar)) for sidecar in FLEET} == {'{"revision": 2, "weights": {}}'}
    assert plans.widening > 1.0 and plans.history[-1].errors == {"p99": 3e4}


ENTRIES = st.sampled_from([
    proposal_entry(), verdict_entry(), begin_entry(),
    {"op": "stage", "revision": 1, "stage": 1, "cut": 1 << 52},
    {"op": "done", "revision": 1}, {"op": "halt", "revision": 1}, {"op": "withdraw", "revision": 1},
    {"op": "force", "revision": 1, "reason": "x"}, {"op": "nonsense", "revision": 1}, {},
    begin_entry(cut="x"), verdict_entry(at="x"), proposal_entry(stages=[1.0, 0.5]),
    proposal_entry(weights={"e": -1}),
])  # fmt: skip


@settings(max_examples=200, deadline=None)
@given(st.lists(ENTRIES, max_size=12))
def test_any_entries_keep_revisions_growing_and_the_snapshot_loadable(entries: list[Any]) -> None:
    """At most two revisions are in use at a time and no sidecar goes back to an older one."""
    plans, previous = PlansState(), {sidecar: 0 for sidecar in FLEET}
    for entry in entries:
        entry = {**entry, "revision": plans.next_revision - 1} if "revision" in entry else entry
        try:
            plans.check(entry)
        except LogEntryError:
            continue
        plans.apply(entry)
        revisions = {sidecar: plans.directive(sidecar)["revision"] for sidecar in FLEET}
        assert len(set(revisions.values())) <= 2 and all(
            revisions[sidecar] >= previous[sidecar] for sidecar in FLEET
        )
        previous = revisions
    restored = PlansState()
    restored.load(json.loads(json.dumps(plans.dump())))
    assert restored.dump() == plans.dump()


def rolling_plans() -> PlansState:
    return apply_entries(PlansState(), proposal_entry(), verdict_entry(), begin_entry())


def as_forecast(**changes: tuple[float, float, float]) -> Measurement:
    return Measurement(6 * SECOND, 500, {"aim": (0.95, 0.94, 0.96), "p99": (9e4, 8e4, 1e5), **changes})


def test_rollout_waits_for_the_sidecars_then_measures_then_advances_until_done() -> None:
    plans = rolling_plans()
    plan = plans.active
    assert plan is not None
    applied = dict.fromkeys(FLEET, 0)
    assert next_step(2 * SECOND, plan, applied, as_forecast(), RULES).entry is None
    lagging, *others = [sidecar for sidecar in FLEET if plans.directive(sidecar)["revision"] == 1]
    applied |= dict.fromkeys(others, 1)
    # One sidecar is disconnected and has the old plan: the stage waits for it, after the wait time too.
    waiting = next_step(999 * SECOND, plan, applied, as_forecast(), RULES)
    assert waiting.entry is None and lagging in waiting.reason
    tolerant = Rules(window_s=5, measured_least=100, stage_wait_s=30, missing_most=0.5)
    # Rules that tolerate missing sidecars let the stage advance, but only after the wait time.
    assert next_step(2 * SECOND, plan, applied, as_forecast(), tolerant).entry is None
    assert (next_step(999 * SECOND, plan, applied, as_forecast(), tolerant).entry or {})["op"] == "stage"
    applied[lagging] = 1
    assert next_step(2 * SECOND, plan, applied, Measurement(SECOND, 90), RULES).entry is None
    stage = next_step(2 * SECOND, plan, applied, as_forecast(), RULES).entry
    assert stage is not None
    apply_entries(plans, stage)
    assert updated_sidecars(plan, dict.fromkeys(FLEET, 1)) == FLEET
    done = next_step(9 * SECOND, plan, dict.fromkeys(FLEET, 1), as_forecast(), RULES).entry
    assert done is not None and done["op"] == "done"
    apply_entries(plans, done)
    assert plans.active is None and plans.directive("new")["weights"] == WEIGHTS


def test_figure_outside_its_forecast_interval_halts_the_rollout() -> None:
    plans = rolling_plans()
    assert plans.active is not None
    applied = {sidecar: plans.directive(sidecar)["revision"] for sidecar in FLEET}
    halt = next_step(9 * SECOND, plans.active, applied, as_forecast(p99=(3e5, 2e5, 4e5)), RULES).entry
    assert halt is not None and halt["op"] == "halt" and "p99" in halt["reason"]
    apply_entries(plans, halt)
    assert plans.history[-1].errors["p99"] == pytest.approx(2.1e5)


def test_sidecar_resolves_a_plan_against_each_list_and_rejects_an_invalid_one_whole() -> None:
    factors: list[Any] = []
    revisions: list[int] = []
    planned = PlannedWeights(factors.append, lambda revision, weights: revisions.append(revision))
    entries = [{"instanceId": f"e{n}", "machineType": kind} for n, kind in enumerate(["old", "new", "new"])]
    planned.list_applied(LIST_FULL, entries[:2])
    directive = {"revision": 3, "weights": {"machineType=old": 1.0, "e1": 4.0, "machineType=new": 2.0}}
    assert planned.apply_directive(directive) == 3 and factors == [{"e0": 0.25, "e1": 1.0}]
    planned.list_applied(LIST_DELTA, entries[2:])
    assert factors[-1] == {"e0": 0.25, "e1": 1.0, "e2": 0.5}
    invalid_directives: list[Any] = [
        {"revision": 4, "weights": {"e1": 0}}, {"revision": -1}, {"weights": {}}, [], None,
    ]  # fmt: skip
    for invalid in invalid_directives:
        with pytest.raises(PeerError):
            planned.apply_directive(invalid)
    assert planned.apply_directive(directive) == 3 and revisions == [3]
    assert planned.apply_directive({"revision": 5, "weights": {}}) == 5 and factors[-1] == {}


def test_stage_is_measured_from_when_each_sidecar_applied_the_plan() -> None:
    trace = read_trace(whatif_world.record_traces(["small", "old"], sidecars=1, seconds=10)[0][0])
    applied_at = trace.requests[len(trace.requests) // 2].at
    assert measure_stage([trace], 7, 0.9).requests == 0
    trace.changes.append(WeightsApplied(applied_at, 7, {}))
    measurement = measure_stage([trace], 7, 0.9)
    later = [request for request in trace.requests if request.at >= applied_at]
    assert measurement.requests == len(later) and measurement.span_us == later[-1].at - applied_at
    share, low, high = measurement.figures["aim"]
    assert low < share < high and measurement.figures["p50"][0] < measurement.figures["p99"][0]
