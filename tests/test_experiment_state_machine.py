"""The book of experiments: evidence that counts once, one decision, ways between states."""

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


def put(book: ExperimentsState, op: str, at_s: float = 0.0, **fields: Any) -> None:
    record = {"op": op, "name": "one", "at": int(at_s * 1e6), **fields}
    book.check(record)
    book.apply(record)


def running() -> ExperimentsState:
    book = ExperimentsState()
    put(book, "draft", draft=DRAFT)
    put(book, "start")
    return book


def sums(book: ExperimentsState) -> dict[str, int]:
    active = book.active
    assert active is not None and active.evidence is not None
    return active.evidence.tried_by_arm()


def test_a_decision_is_made_once_and_directs_all_traffic() -> None:
    book = running()
    assert book.directive() == Directive(
        1, "one", read_directive(msgspec.to_builtins(book.directive())).arms, "a", None, 30_000, 1000
    )
    put(book, "decide", 5.0, decision=END)
    with pytest.raises(LogEntryError) as told:
        put(book, "decide", 6.0, decision={**END, "winner": "a"})
    assert "winner" in str(told.value) and "applied" in told.value.remedy
    directive = book.directive()
    assert directive is not None and (directive.revision, directive.serve) == (2, "b")
    assert [arm.share for arm in directive.arms] == [0.0, 1.0]
    other = ExperimentsState()
    other.load(msgspec.json.decode(msgspec.json.encode(book.dump())))
    assert other.dump() == book.dump() and other.directive() == directive
    put(other, "applied", 7.5)
    assert other.experiments["one"].summary()["applied_after_ms"] == 2500
    put(other, "close")
    assert other.active is None and other.directive() == Directive(3)


@pytest.mark.parametrize(
    "record",
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
def test_a_record_that_fits_nothing_is_refused_and_changes_nothing(record: dict[str, Any]) -> None:
    book = running()
    before = book.dump()
    for call in (book.check, book.apply):
        with pytest.raises(LogEntryError):
            call(record)
    assert book.dump() == before


def counted(steps: list[tuple[int, int]]) -> list[tuple[int, Any]]:
    """A sidecar's reports over some seconds: requests of each arm by second, one report each."""
    aim = RequestClass(aim_us=100_000, deadline_us=200_000)
    arms = {number: arm for number, arm in enumerate([0, 1] * 2000)}
    counts = ExperimentCounts(lambda event: arms[event.request], "z1")
    counts.settings_applied(0, Settings((aim,)), {})
    book = running()
    counts.set_directive(book.directive())
    told, request = [], 0
    for second, (many, good) in enumerate(steps):
        now = second * 1_000_000 + 500_000
        for index in range(many):
            counts.request_accepted(now, Arrival(request, 0, now + 200_000))
            counts.request_answered(now + (1000 if index < good else 150_000), request, 200)
            request += 1
        told.append((second, counts.report(now)))
        if second % 3 == 2:
            counts.reports_acknowledged([counts.report_number - 1])
    return told


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 12), st.integers(0, 12)), min_size=1, max_size=12), st.randoms())
def test_loss_repetition_and_order_of_reports_change_no_count(steps: list[tuple[int, int]], rng: Any) -> None:
    told = counted(steps)
    orderly, other = running(), running()
    for second, raw in told:
        if raw is not None:
            put(orderly, "evidence", second, reports=[["s@1", raw, False]])
    # Of three reports the second was acked, so it came; the others may be lost, all of them late
    # and twice. The last of all comes.
    for begin in range(0, len(told), 3):
        block = [one for one in told[begin : begin + 3] if one[0] % 3 == 1 or rng.random() < 0.5]
        some = block + [one for one in told[: begin + 3] if rng.random() < 0.3]
        rng.shuffle(some)
        for second, raw in [*some, *told[-1:]] if begin + 3 >= len(told) else some:
            if raw is not None:
                put(other, "evidence", second, reports=[["s@1", raw, False]])
    made = sum(many for many, _ in steps)
    assert sum(sums(orderly).values()) == made
    assert sums(other) == sums(orderly)


def test_counts_of_an_old_revision_or_a_shut_out_sidecar_are_left_out_and_shown() -> None:
    book = running()
    (_, raw) = counted([(10, 10)])[0]
    put(book, "reshare", 1.0, shares=[0.2, 0.8])
    put(book, "evidence", 1.0, reports=[["s@1", raw, False], ["t@1", raw, True]])
    assert sums(book) == {}
    assert book.experiments["one"].summary()["left_out"] == {"old revision": 10, "shut out": 10}
    assert book.experiments["one"].draft.plan == Plan()
