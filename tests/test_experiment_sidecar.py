"""A sidecar's part in an experiment: what it counts, and when it falls back to the control arm by itself."""

import pytest

from woadyard.errors import PeerError
from woadyard.experiment.messages import Directive, Match
from woadyard.interface import Arrival, RequestClass, Settings
from woadyard.net.experiment_counts import ExperimentCounts
from woadyard.net.experiment_participant import ExperimentParticipant

DIRECTIVE = {
    "revision": 3,
    "arms": [
        {"name": "a", "share": 0.5, "match": {"machineType": "x"}},
        {"name": "b", "share": 0.5, "match": {"machineType": "y"}},
    ],
    "control": "a",
    "hold_ms": 2000,
    "slot_ms": 1000,
}
SECOND_US = 1_000_000


def start_participant() -> tuple[ExperimentParticipant, list[Directive | None]]:
    counts = ExperimentCounts(lambda event: event.request % 2)
    counts.settings_applied(0, Settings((RequestClass(aim_us=100_000, deadline_us=SECOND_US),)), {})
    splits: list[Directive | None] = []
    return ExperimentParticipant(counts, splits.append, 0), splits


def test_without_responses_it_serves_control_and_counts_nothing_until_the_next_directive() -> None:
    participant, splits = start_participant()
    assert participant.apply_directive(DIRECTIVE, SECOND_US) == 3
    participant.service_responded(2 * SECOND_US)
    assert (
        not participant.hold_if_overdue(4 * SECOND_US - 1) and participant.hold_deadline_us() == 4 * SECOND_US
    )
    assert (
        participant.hold_if_overdue(4 * SECOND_US)
        and participant.revision == 0
        and not participant.hold_if_overdue(5 * SECOND_US)
    )
    assert splits[-1] is not None and splits[-1].serve == "a"
    participant.counts.request_accepted(5 * SECOND_US, Arrival(1, 0, 6 * SECOND_US))
    assert participant.counts.report(5 * SECOND_US) is None
    participant.apply_directive(DIRECTIVE, 6 * SECOND_US)
    participant.counts.request_accepted(6 * SECOND_US, Arrival(1, 0, 7 * SECOND_US))
    assert participant.revision == 3 and participant.counts.report(6 * SECOND_US) is not None
    participant.apply_directive({"revision": 4}, 7 * SECOND_US)
    assert splits[-1] is None and participant.hold_deadline_us() is None and participant.revision == 4


def test_counts_by_the_arm_assigned_at_arrival_and_by_the_outcome() -> None:
    participant, _ = start_participant()
    participant.apply_directive(DIRECTIVE, 0)
    for request in range(8):
        participant.counts.request_accepted(10, Arrival(request, 0, SECOND_US))
    # Good, slow, failed, disconnected client; the last four are in flight.
    for request, (status, delay_us) in enumerate([(200, 5), (200, 200_000), (503, 5), (0, 5)]):
        participant.counts.request_answered(10 + delay_us, request, status)
    evidence = participant.counts.report(20)
    assert evidence is not None
    by_arm = {row[3]: row[5:] for row in evidence["rows"]}
    assert by_arm == {"a": [2, 1, 1, 0, 4], "b": [2, 0, 0, 1, 4]}
    participant.apply_directive({**DIRECTIVE, "serve": "b"}, 30)
    participant.counts.request_accepted(40, Arrival(9, 0, SECOND_US))
    assert sum(row[9] for row in (participant.counts.report(50) or {})["rows"]) == 8


def test_invalid_directive_changes_nothing() -> None:
    participant, splits = start_participant()
    for invalid in (
        {},
        {**DIRECTIVE, "control": "c"},
        {**DIRECTIVE, "arms": 5},
        {**DIRECTIVE, "strange": 1},
        None,
    ):
        with pytest.raises(PeerError):
            participant.apply_directive(invalid, SECOND_US)
    assert not splits and participant.revision == 0


def test_arm_matches_endpoints_that_have_all_its_values() -> None:
    entry = {"machineType": "x", "zone": "n"}
    assert Match(machine_type="x").matches(entry) and Match(machine_type="x", zone="n").matches(entry)
    assert not Match(machine_type="x", zone="s").matches(entry) and not Match().matches(entry)
    assert not Match(label="blue").matches(entry)
