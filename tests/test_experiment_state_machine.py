"""Tests of the experiments' state machine: evidence is counted once, one decision, transitions."""

from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from woadyard.errors import LogEntryError
from woadyard.experiment.messages import Directive, read_directive
from woadyard.experiment.plan import Plan
from woadyard.experiment.state_machine import ExperimentsState
from woadyard.experiment.states import Decision, State
from woadyard.interface import Arrival, RequestClass, Settings
from woadyard.net.experiment_counts import ExperimentCounts

DRAFT = {"plan": {}, "match": {"a": {"machineType": "x"}, "b": {"machineType": "y"}}, "slot_ms": 1000}
END = msgspec.to_builtins(Decision(State.WINNER, "b", (0.01, 0.1), "better", 1.0))


def apply_entry(state_machine: ExperimentsState, operation: str, at_s: float = 0.0, **fields: Any) -> None:
    entry = {"op": operation, "name": "one", "at": int(at_s * 1e6), **fields}
    state_machine.check(entry)
    state_machine.apply(entry)


def running_state() -> ExperimentsState:
    state_machine = ExperimentsState()
    apply_entry(state_machine, "draft", draft=DRAFT)
    apply_entry(state_machine, "start")
    return state_machine


def tried_by_arm_of_active(state_machine: ExperimentsState) -> dict[str, int]:
    active = state_machine.active
    assert active is not None and active.evidence is not None
    return active.evidence.tried_by_arm()


def test_decision_is_made_once_and_directs_all_traffic() -> None:
    state_machine = running_state()
    assert state_machine.directive() == Directive(
        1, "one", read_directive(msgspec.to_builtins(state_machine.directive())).arms, "a", None, 30_000, 1000
    )
    apply_entry(state_machine, "decide", 5.0, decision=END)
    with pytest.raises(LogEntryError) as raised:
        apply_entry(state_machine, "decide", 6.0, decision={**END, "winner": "a"})
    assert "winner" in str(raised.value) and "applied" in raised.value.remedy
    directive = state_machine.directive()
    assert directive is not None and (directive.revision, directive.serve) == (2, "b")
    assert [arm.share for arm in directive.arms] == [0.0, 1.0]
    restored = ExperimentsState()
    restored.load(msgspec.json.decode(msgspec.json.encode(state_machine.dump())))
    assert restored.dump() == state_machine.dump() and restored.directive() == directive
    apply_entry(restored, "applied", 7.5)
    assert restored.experiments["one"].summary()["applied_after_ms"] == 2500
    apply_entry(restored, "close")
    assert restored.active is None and restored.directive() == Directive(3)


@pytest.mark.parametrize(
    "entry",
    [
        {"op": "draft", "name": "one", "at": 0, "draft": DRAFT},
        {"op": "draft", "name": "two", "at": 0, "draft": {**DRAFT, "match": {}}},
        {"op": "draft", "name": "two", "at": 0, "draft": {**DRAFT, "plan": {"alpha": 2}}},
        {"op": "draft", "name": "../x", "at": 0, "draft": DRAFT},
        {"op": "start", "name": "one", "at": 0},
        {"op": "applied", "name": "one", "at": 0},
        {"op": "decide", "name": "one", "at": 0, "decision": {}},
        {"op": "evidence", "at": 0, "reports": [["x", {"low": "y"}, False]]},
        {"op": "strange", "name": "one", "at": 0},
        {},
    ],
)
def test_invalid_entry_is_rejected_and_changes_nothing(entry: dict[str, Any]) -> None:
    state_machine = running_state()
    before = state_machine.dump()
    for check_or_apply in (state_machine.check, state_machine.apply):
        with pytest.raises(LogEntryError):
            check_or_apply(entry)
    assert state_machine.dump() == before


def sidecar_reports(steps: list[tuple[int, int]]) -> list[tuple[int, Any]]:
    """A sidecar's reports over some seconds, one each; `steps` are (requests, good) by second."""
    request_class = RequestClass(aim_us=100_000, deadline_us=200_000)
    arms = {number: arm for number, arm in enumerate([0, 1] * 2000)}
    counts = ExperimentCounts(lambda event: arms[event.request], "z1")
    counts.settings_applied(0, Settings((request_class,)), {})
    state_machine = running_state()
    counts.set_directive(state_machine.directive())
    reports, request = [], 0
    for second, (request_count, good) in enumerate(steps):
        now_us = second * 1_000_000 + 500_000
        for index in range(request_count):
            counts.request_accepted(now_us, Arrival(request, 0, now_us + 200_000))
            counts.request_answered(now_us + (1000 if index < good else 150_000), request, 200)
            request += 1
        reports.append((second, counts.report(now_us)))
        if second % 3 == 2:
            counts.reports_acknowledged([counts.report_number - 1])
    return reports


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 12), st.integers(0, 12)), min_size=1, max_size=12), st.randoms())
def test_counts_do_not_depend_on_loss_repetition_or_order_of_reports(
    steps: list[tuple[int, int]], rng: Any
) -> None:
    numbered_reports = sidecar_reports(steps)
    in_order, out_of_order = running_state(), running_state()
    for second, raw in numbered_reports:
        if raw is not None:
            apply_entry(in_order, "evidence", second, reports=[["s@1", raw, False]])
    # The second of every three reports is acknowledged, so it must be delivered. The others may be
    # lost, and any may be late or repeated. The very last report is delivered.
    for begin in range(0, len(numbered_reports), 3):
        block = [
            report
            for report in numbered_reports[begin : begin + 3]
            if report[0] % 3 == 1 or rng.random() < 0.5
        ]
        delivered = block + [report for report in numbered_reports[: begin + 3] if rng.random() < 0.3]
        rng.shuffle(delivered)
        for second, raw in (
            [*delivered, *numbered_reports[-1:]] if begin + 3 >= len(numbered_reports) else delivered
        ):
            if raw is not None:
                apply_entry(out_of_order, "evidence", second, reports=[["s@1", raw, False]])
    request_count = sum(count for count, _ in steps)
    assert sum(tried_by_arm_of_active(in_order).values()) == request_count
    assert tried_by_arm_of_active(out_of_order) == tried_by_arm_of_active(in_order)


def test_counts_of_an_old_revision_or_a_shut_out_sidecar_are_excluded_and_reported() -> None:
    state_machine = running_state()
    (_, raw) = sidecar_reports([(10, 10)])[0]
    apply_entry(state_machine, "reshare", 1.0, shares=[0.2, 0.8])
    apply_entry(state_machine, "evidence", 1.0, reports=[["s@1", raw, False], ["t@1", raw, True]])
    assert tried_by_arm_of_active(state_machine) == {}
    assert state_machine.experiments["one"].summary()["left_out"] == {"old revision": 10, "shut out": 10}
    assert state_machine.experiments["one"].draft.plan == Plan()
