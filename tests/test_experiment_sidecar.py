"""The sidecar's part in an experiment: what it counts, and when it falls to control by itself."""

import pytest

from woadyard.errors import PeerError
from woadyard.experiment.messages import Directive, Match
from woadyard.interface import Arrival, RequestClass, Settings
from woadyard.net.experiment_counts import ExperimentCounts
from woadyard.net.experiment_participant import ExperimentParticipant

TOLD = {
    "revision": 3,
    "arms": [
        {"name": "a", "share": 0.5, "match": {"machineType": "x"}},
        {"name": "b", "share": 0.5, "match": {"machineType": "y"}},
    ],
    "control": "a",
    "hold_ms": 2000,
    "slot_ms": 1000,
}
S = 1_000_000


def began() -> tuple[ExperimentParticipant, list[Directive | None]]:
    counts = ExperimentCounts(lambda event: event.request % 2)
    counts.settings_applied(0, Settings((RequestClass(aim_us=100_000, deadline_us=S),)), {})
    splits: list[Directive | None] = []
    return ExperimentParticipant(counts, splits.append, 0), splits


def test_cut_off_it_serves_control_and_counts_nothing_until_told_again() -> None:
    trials, splits = began()
    assert trials.apply_directive(TOLD, S) == 3
    trials.service_responded(2 * S)
    assert not trials.hold_if_overdue(4 * S - 1) and trials.hold_deadline_us() == 4 * S
    assert trials.hold_if_overdue(4 * S) and trials.revision == 0 and not trials.hold_if_overdue(5 * S)
    assert splits[-1] is not None and splits[-1].serve == "a"
    trials.counts.request_accepted(5 * S, Arrival(1, 0, 6 * S))
    assert trials.counts.report(5 * S) is None
    trials.apply_directive(TOLD, 6 * S)
    trials.counts.request_accepted(6 * S, Arrival(1, 0, 7 * S))
    assert trials.revision == 3 and trials.counts.report(6 * S) is not None
    trials.apply_directive({"revision": 4}, 7 * S)
    assert splits[-1] is None and trials.hold_deadline_us() is None and trials.revision == 4


def test_counts_by_the_arm_assigned_at_arrival_and_by_the_answer() -> None:
    trials, _ = began()
    trials.apply_directive(TOLD, 0)
    for request in range(8):
        trials.counts.request_accepted(10, Arrival(request, 0, S))
    # Good, late, failed, its caller left; the last four are under way.
    for request, (status, after) in enumerate([(200, 5), (200, 200_000), (503, 5), (0, 5)]):
        trials.counts.request_answered(10 + after, request, status)
    told = trials.counts.report(20)
    assert told is not None
    by_arm = {row[3]: row[5:] for row in told["rows"]}
    assert by_arm == {"a": [2, 1, 1, 0, 4], "b": [2, 0, 0, 1, 4]}
    trials.apply_directive({**TOLD, "serve": "b"}, 30)
    trials.counts.request_accepted(40, Arrival(9, 0, S))
    assert sum(row[9] for row in (trials.counts.report(50) or {})["rows"]) == 8


def test_a_directive_that_is_none_changes_nothing() -> None:
    trials, splits = began()
    for bad in ({}, {**TOLD, "control": "c"}, {**TOLD, "arms": 5}, {**TOLD, "strange": 1}, None):
        with pytest.raises(PeerError):
            trials.apply_directive(bad, S)
    assert not splits and trials.revision == 0


def test_an_arm_has_the_endpoints_with_every_value_named() -> None:
    entry = {"machineType": "x", "zone": "n"}
    assert Match(machine_type="x").of(entry) and Match(machine_type="x", zone="n").of(entry)
    assert not Match(machine_type="x", zone="s").of(entry) and not Match().of(entry)
    assert not Match(label="blue").of(entry)
